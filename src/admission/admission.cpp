/// \file Admission control for submitted jobs.
#include "admission/admission_func.h"

#include "reducer/policy_func.h"
#include "scheduling/queue_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Expected wait of an instance without usable slots. It is meant to be longer
// than that of any instance with slots.
constexpr Duration WaitWithoutSlots = std::chrono::seconds(60);

// Jobs that are admitted later may go first, so the work ahead of a job may
// take only this share of the time left until it would exceed the maximum
// stretch.
constexpr double MaxWaitShare = 0.4;
// Jobs are not rejected for shorter waits.
constexpr Duration MinAllowedWait = std::chrono::milliseconds(20);

/// Returns the work at speed 1 that the slots of this instance's upstreams do
/// per second, in seconds.
double ownServiceRate(const InstanceState &State) {
  double Rate = 0;
  for (const auto &[Endpoint, U] : State.Upstreams.All)
    if (U.Owned && !U.Leaving && !U.Probing)
      Rate += U.Listed.Slots * U.Speed;
  return Rate;
}

double ownSlots(const InstanceState &State) {
  double Slots = 0;
  for (const auto &[Endpoint, U] : State.Upstreams.All)
    if (U.Owned && !U.Leaving && !U.Probing)
      Slots += U.Listed.Slots;
  return Slots;
}

/// Returns the work at speed 1 that leaves the queue per second, in seconds: to
/// own slots, and to the slots of live peers with an empty queue. The latter
/// are assumed to be shared equally by all instances with waiting tasks.
double queueServiceRate(const InstanceState &State) {
  double Own = ownServiceRate(State);
  double OwnSlots = ownSlots(State);
  double Speed = OwnSlots > 0 ? Own / OwnSlots : 1;
  double IdleSlots = 0;
  double Waiting = 1;
  for (const auto &[Endpoint, M] : State.Members.Members) {
    if (M.Health != MemberHealth::Alive || M.State != MemberState::Live)
      continue;
    if (M.Load.WaitingTasks > 0)
      ++Waiting;
    else
      IdleSlots += M.Load.TotalSlots;
  }
  return Own + IdleSlots * Speed / Waiting;
}

std::optional<Error> testFits(const InstanceState &State,
                              const ParsedSubmission &Request) {
  if (State.Upstreams.All.empty())
    return Error{ErrorKind::Unavailable, "no upstream is configured or listed",
                 "list upstreams in the settings or on the platform"};
  uint32_t MaxAccelerators = 0;
  for (const auto &[Endpoint, U] : State.Upstreams.All)
    MaxAccelerators = std::max(MaxAccelerators, U.Listed.Accelerators);
  for (const TaskSpecPtr &Spec : Request.Tasks)
    if (Spec->Accelerators > MaxAccelerators)
      return Error{ErrorKind::NeverFits,
                   "a task needs " + std::to_string(Spec->Accelerators) +
                       " accelerators; the largest upstream has " +
                       std::to_string(MaxAccelerators),
                   "lower the field accelerators"};
  return std::nullopt;
}

/// Rejects a job whose payloads don't fit beside those of the running jobs. A
/// job fits in any case if there are none.
std::optional<Error> testPayloads(const InstanceState &State,
                                  const ParsedSubmission &Request) {
  size_t Size = 0;
  for (const TaskSpecPtr &Spec : Request.Tasks)
    Size += Spec->Payload.size();
  size_t Used = State.Jobs.PayloadBytes;
  auto Limit = static_cast<size_t>(State.Settings.Limits.MaxPayloadBytes);
  if (Used == 0 || Used + Size <= Limit)
    return std::nullopt;
  return Error{ErrorKind::QueueFull,
               "payloads of running jobs take " + std::to_string(Used) +
                   " of " + std::to_string(Limit) + " bytes",
               "submit later with a new ticket"};
}

std::optional<Error> testQuota(const InstanceState &State,
                               const ParsedSubmission &Request) {
  auto Used = State.Jobs.TeamTasks.find(Request.Owner);
  size_t TasksHere = Used == State.Jobs.TeamTasks.end() ? 0 : Used->second;
  size_t Quota = localTeamQuota(State, Request.Owner);
  if (TasksHere + Request.Tasks.size() <= Quota)
    return std::nullopt;
  return Error{ErrorKind::QuotaExceeded,
               "team '" + Request.Owner.Value + "' has " +
                   std::to_string(TasksHere) +
                   " tasks of running jobs on this instance; its "
                   "share of the team's quota is " +
                   std::to_string(Quota),
               "submit later, or ask the operators to raise team_quota_tasks"};
}

/// Returns true if the expected wait that \p M reports can be used. With an
/// empty queue but no free slot it reports no wait, although a task would wait
/// there.
bool hasUsableWait(const Member &M) {
  return M.Health == MemberHealth::Alive && M.State == MemberState::Live &&
         (M.Load.FreeSlots > 0 || M.Load.WaitingTasks > 0);
}

std::optional<Error> testPatience(const InstanceState &State,
                                  const ParsedSubmission &Request) {
  bool HasSlots = ownServiceRate(State) > 0;
  Duration Expected = HasSlots ? expectedWait(State) : Request.Patience;
  for (const auto &[Endpoint, M] : State.Members.Members)
    if (hasUsableWait(M))
      Expected = std::min<Duration>(Expected, M.Load.ExpectedWait);
  // Declared run times are often far too long, so only the wait is compared.
  if (Expected <= Request.Patience)
    return std::nullopt;
  return Error{ErrorKind::PatienceTooShort,
               "the expected wait of " +
                   std::to_string(toMilliseconds(Expected)) +
                   " ms exceeds patience_ms",
               "submit later or with a longer patience_ms"};
}

/// Rejects a job that would probably exceed the maximum stretch, unless its
/// caller has set patience_ms.
std::optional<Error> testStretch(const InstanceState &State,
                                 const ParsedSubmission &Request,
                                 SteadyTime Now) {
  if (!State.Policy.RejectLate || Request.PatienceGiven ||
      State.Queue.size() == 0)
    return std::nullopt;
  double Rate = queueServiceRate(State);
  if (Rate <= 0)
    return std::nullopt;
  JobEstimate Estimates = estimateJob(State, Request.Tasks);
  double Rank = rankOf(State, Request.Owner, Now, Estimates.Span);
  auto Allowed = std::chrono::duration_cast<Duration>(
      (State.Policy.MaxStretch * Estimates.Span - Estimates.Longest) *
      MaxWaitShare);
  auto MaxWorkAhead = std::chrono::duration_cast<Duration>(
      std::max(Allowed, MinAllowedWait) * Rate);
  Duration WorkAhead{0};
  // Stops at the limit: a scan of the whole queue would make rejections
  // expensive while the queue is full.
  for (bool Long : {false, true})
    State.Queue.visit(Long, [&](const WaitingTask &Task) {
      if (Task.Rank >= Rank || WorkAhead > MaxWorkAhead)
        return false;
      WorkAhead += Task.Estimate;
      return true;
    });
  if (WorkAhead <= MaxWorkAhead)
    return std::nullopt;
  auto Wait = std::chrono::duration_cast<Duration>(WorkAhead / Rate);
  return Error{ErrorKind::PatienceTooShort,
               "the expected wait of at least " +
                   std::to_string(toMilliseconds(Wait)) +
                   " ms is long for a job of this size",
               "submit later, or give a patience_ms to wait"};
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
  double Rate = ownServiceRate(State);
  if (Rate <= 0)
    return WaitWithoutSlots;
  return std::chrono::duration_cast<Duration>(State.Queue.work() / Rate);
}

std::optional<Error> testAdmission(const InstanceState &State,
                                   const ParsedSubmission &Request,
                                   SteadyTime Now) {
  // A job admitted now would not be finished before the process exits.
  if (State.Drain &&
      (State.Drain->Successor || State.Members.OwnState == MemberState::Left))
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
  if (std::optional<Error> E = testPayloads(State, Request))
    return E;
  if (std::optional<Error> E = testQuota(State, Request))
    return E;
  if (std::optional<Error> E = testPatience(State, Request))
    return E;
  return testStretch(State, Request, Now);
}

} // namespace snipeshunt
