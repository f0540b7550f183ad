/// \file Whether a submission can be taken.
#include "admission/admission_func.h"

#include "reducer/policy_func.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Wait told by an instance that sends to no upstream: longer than that of any
// instance which can start tasks itself.
constexpr Duration NoSlotsWait = std::chrono::seconds(60);

/// Work at speed 1 that this instance's own slots do in a second.
double ownRate(const InstanceState &State) {
  double Rate = 0;
  for (const auto &[Where, U] : State.Upstreams.All)
    if (U.Owned && !U.Leaving && !U.Probing)
      Rate += U.Listed.Slots * U.Speed;
  return Rate;
}

std::optional<Error> testFits(const InstanceState &State,
                              const JobRequest &Request) {
  if (State.Upstreams.All.empty())
    return Error{ErrorKind::Unavailable, "no upstream is known",
                 "list upstreams in the settings or on the platform"};
  uint32_t Most = 0;
  for (const auto &[Where, U] : State.Upstreams.All)
    Most = std::max(Most, U.Listed.Accelerators);
  for (const TaskSpecPtr &Spec : Request.Tasks)
    if (Spec->Accelerators > Most)
      return Error{ErrorKind::NeverFits,
                   "a task needs " + std::to_string(Spec->Accelerators) +
                       " accelerators; the largest upstream has " +
                       std::to_string(Most),
                   "lower the field accelerators"};
  return std::nullopt;
}

std::optional<Error> testQuota(const InstanceState &State,
                               const JobRequest &Request) {
  auto Used = State.Jobs.TeamTasks.find(Request.Owner);
  size_t Held = Used == State.Jobs.TeamTasks.end() ? 0 : Used->second;
  size_t Quota = teamQuotaHere(State, Request.Owner);
  if (Held + Request.Tasks.size() <= Quota)
    return std::nullopt;
  return Error{ErrorKind::QuotaExceeded,
               "team '" + Request.Owner.Value + "' has " +
                   std::to_string(Held) +
                   " tasks here, its part of the quota "
                   "is " +
                   std::to_string(Quota),
               "submit later, or ask the operators to raise team_quota_tasks"};
}

std::optional<Error> testPatience(const InstanceState &State,
                                  const JobRequest &Request) {
  Duration Expected = expectedWait(State);
  for (const auto &[Where, M] : State.Members.Members)
    if (M.Health == MemberHealth::Alive && M.State == MemberState::Live)
      Expected = std::min<Duration>(Expected, M.Load.ExpectedWait);
  // Declared run times are often far too long, so only the wait may refuse.
  if (Expected <= Request.Patience)
    return std::nullopt;
  return Error{ErrorKind::PatienceTooShort,
               "the expected wait of " +
                   std::to_string(toMilliseconds(Expected)) +
                   " ms exceeds patience_ms",
               "submit later or with a longer patience_ms"};
}

} // namespace

JobBodyLimits bodyLimits(const InstanceState &State) {
  JobBodyLimits Limits;
  Limits.MaxTasks = static_cast<size_t>(State.Settings.Limits.MaxTasksPerJob);
  const PolicyDefaults &Defaults = State.Configuration.InForce.Defaults;
  Limits.DefaultPatience = Defaults.DefaultPatience;
  Limits.MaxPatience = Defaults.MaxPatience;
  return Limits;
}

Duration expectedWait(const InstanceState &State) {
  double Rate = ownRate(State);
  if (Rate <= 0)
    return NoSlotsWait;
  return std::chrono::duration_cast<Duration>(State.Queue.work() / Rate);
}

std::optional<Error> testAdmission(const InstanceState &State,
                                   const JobRequest &Request, SteadyTime Now) {
  // From here on nothing that is taken would be finished.
  if (State.Drain &&
      (State.Drain->Heir || State.Members.OwnState == MemberState::Left))
    return Error{ErrorKind::Draining, "the instance is shutting down",
                 "take a new ticket from another instance"};
  size_t Limit = static_cast<size_t>(State.Settings.Limits.QueueLimitTasks);
  if (State.Queue.size() + Request.Tasks.size() > Limit)
    return Error{ErrorKind::QueueFull,
                 "the queue holds " + std::to_string(State.Queue.size()) +
                     " of " + std::to_string(Limit) + " tasks",
                 "submit later with a new ticket"};
  if (std::optional<Error> E = testFits(State, Request))
    return E;
  if (std::optional<Error> E = testQuota(State, Request))
    return E;
  return testPatience(State, Request);
}

} // namespace snipeshunt
