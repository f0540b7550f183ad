/// \file Learned speed and health of upstreams, and the retry budget.
#include "upstreams/health_cmd.h"

#include "jobs/job_cmd.h"
#include "reducer/policy_func.h"
#include "scheduling/estimate_func.h"
#include "scheduling/queue_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Starts and retries of this time count for the retry budget.
constexpr Duration BudgetWindow = std::chrono::seconds(10);
// Bounds of a single speed sample. Speeds of real upstreams differ by about
// 1:4; the bounds only keep a single wrong measurement from making an upstream
// look unusable.
constexpr double MinSpeed = 0.05;
constexpr double MaxSpeed = 20;
constexpr double MinSampleWeight = 0.1;
// After a busy reply; short enough that a slot freed at the upstream is used
// soon.
constexpr Duration BusyPause = std::chrono::milliseconds(20);
constexpr Duration ConnectFailedPause = std::chrono::milliseconds(200);

/// Returns \p Base times a factor from 1 to 2 that depends on \p Seed.
Duration withJitter(Duration Base, uint64_t Seed) {
  return Base + Base * static_cast<int64_t>(Seed % 1024) / 1024;
}

void updateSpeed(InstanceState &State, Upstream &U, const Attempt &A,
                 SteadyTime Now) {
  Duration Observed = Now - A.Started;
  auto Kind = State.Estimates.Kinds.find(A.Task.Spec->Kind);
  double Seconds = std::chrono::duration<double>(Observed).count();
  if (Kind != State.Estimates.Kinds.end() && Kind->second.Samples >= 3 &&
      Seconds > 0) {
    double Sample =
        std::clamp(Kind->second.MeanSeconds / Seconds, MinSpeed, MaxSpeed);
    ++U.SpeedSamples;
    double SampleWeight =
        std::max(MinSampleWeight, 1.0 / static_cast<double>(U.SpeedSamples));
    U.Speed += (Sample - U.Speed) * SampleWeight;
  }
  updateRuntimeEstimate(State.Estimates, A.Task.Spec->Kind, Observed, U.Speed);
}

void recordFailure(InstanceState &State, Upstream &U, const Attempt &A,
                   SteadyTime Now, uint64_t Seed, EffectList &Out) {
  ++U.ConsecutiveFailures;
  U.LastFailure = Now;
  if (U.ConsecutiveFailures < failuresBeforeProbing(State))
    return;
  // Tasks that ran concurrently often fail together, for example with their
  // connection. They count as one failure: only a probe, which started after
  // the pause began, lengthens it.
  if (U.Probing && A.Started <= U.ProbePauseStart)
    return;
  if (!U.Probing)
    Out.push_back(RecordTimeline{TimelineKind::UpstreamProbing, "", "",
                                 "upstream=" + U.Listed.Endpoint.Value});
  U.ProbePause = U.Probing ? std::min(U.ProbePause * 2, maxProbePause(State))
                           : firstProbePause(State);
  U.Probing = true;
  U.ProbePauseStart = Now;
  U.NextProbeAt = Now + withJitter(U.ProbePause, Seed);
}

/// Clears the failures, unless the task started before the last failure: such a
/// success says nothing about the upstream's health since then and would hide
/// the failures of an upstream that has just broken.
void recordSuccess(Upstream &U, const Attempt &A) {
  if (U.ConsecutiveFailures > 0 && A.Started <= U.LastFailure)
    return;
  U.ConsecutiveFailures = 0;
  U.Probing = false;
}

void dropExpired(std::deque<SteadyTime> &Times, SteadyTime Now) {
  while (!Times.empty() && Now - Times.front() > BudgetWindow)
    Times.pop_front();
}

} // namespace

void recordAttemptEnd(InstanceState &State, const Attempt &A, AttemptEnd End,
                      SteadyTime Now, uint64_t Seed, EffectList &Out) {
  auto It = State.Upstreams.All.find(A.Upstream);
  if (It == State.Upstreams.All.end())
    return;
  Upstream &U = It->second;
  switch (End) {
  case AttemptEnd::Finished:
    recordSuccess(U, A);
    updateSpeed(State, U, A, Now);
    break;
  case AttemptEnd::Failed:
  case AttemptEnd::Unknown:
    recordFailure(State, U, A, Now, Seed, Out);
    break;
  case AttemptEnd::NothingSent:
    recordFailure(State, U, A, Now, Seed, Out);
    U.BlockedUntil = Now + withJitter(ConnectFailedPause, Seed);
    break;
  case AttemptEnd::Busy:
    U.BlockedUntil = Now + withJitter(BusyPause, Seed);
    break;
  case AttemptEnd::Leaving:
    U.Leaving = true;
    break;
  }
}

bool requeueTask(InstanceState &State, const WaitingTask &Task,
                 SteadyTime Earliest, SteadyTime Now, uint64_t Seed) {
  if (Earliest >= Task.StartBefore)
    return false;
  WaitingTask Requeued = Task;
  Requeued.NotBefore = Earliest + withJitter(BusyPause, Seed) / 4;
  setTaskState(State, Requeued.Key, TaskState::Waiting);
  queueTask(State, std::move(Requeued), 1, Now);
  return true;
}

void recordStart(InstanceState &State, SteadyTime Now) {
  // Expired entries are dropped here as well, since `retryTask` may never be
  // called.
  dropExpired(State.Upstreams.RecentStarts, Now);
  State.Upstreams.RecentStarts.push_back(Now);
}

bool retryTask(InstanceState &State, const WaitingTask &Task, SteadyTime Now,
               uint64_t Seed) {
  UpstreamTable &Table = State.Upstreams;
  dropExpired(Table.RecentStarts, Now);
  dropExpired(Table.RecentRetries, Now);
  double Budget =
      retryShare(State) * static_cast<double>(Table.RecentStarts.size()) +
      static_cast<double>(retryBurst(State));
  // A retry beyond the budget is delayed until an earlier one has left the
  // window. Failing its job instead would fail many jobs when upstreams change
  // their sender and are still busy with the former sender's tasks.
  auto Allowed = static_cast<size_t>(Budget);
  size_t Used = Table.RecentRetries.size();
  SteadyTime Earliest = Now;
  if (Used >= Allowed && Allowed == 0)
    return false;
  if (Used >= Allowed)
    Earliest =
        std::max(Now, Table.RecentRetries[Used - Allowed] + BudgetWindow);
  if (!requeueTask(State, Task, Earliest, Now, Seed))
    return false;
  Table.RecentRetries.push_back(Earliest);
  ++State.Counts.Retries;
  return true;
}

} // namespace snipeshunt
