/// \file Putting tasks into the waiting queue in the order of the policy.
#include "scheduling/queue_cmd.h"

#include "configuration/configuration_func.h"
#include "reducer/policy_func.h"
#include "scheduling/estimate_func.h"

#include <algorithm>

namespace snipeshunt {

namespace {

Duration taskEstimate(const InstanceState &State, const TaskSpec &Spec) {
  return estimateRuntime(State.Estimates, Spec,
                         expectedTime(State.Configuration.InForce, Spec.Kind));
}

/// Speeds of this instance's upstreams, as learned so far.
struct LearnedSpeeds {
  double Fastest = 0;
  double Mean = 1;
  double Capacity = 0; ///< Of the whole fleet; others are taken as alike.
};

LearnedSpeeds learnedSpeeds(const InstanceState &State) {
  LearnedSpeeds Speeds;
  double OwnSlots = 0;
  double OwnRate = 0;
  double AllSlots = 0;
  for (const auto &[Where, U] : State.Upstreams.All) {
    AllSlots += U.Listed.Slots;
    if (!U.Owned)
      continue;
    OwnSlots += U.Listed.Slots;
    OwnRate += U.Listed.Slots * U.Speed;
    Speeds.Fastest = std::max(Speeds.Fastest, U.Speed);
  }
  if (OwnSlots > 0)
    Speeds.Mean = OwnRate / OwnSlots;
  if (Speeds.Fastest <= 0)
    Speeds.Fastest = 1;
  Speeds.Capacity = std::max(1.0, AllSlots * Speeds.Mean);
  return Speeds;
}

Duration scaled(Duration D, double Speed) {
  return std::chrono::duration_cast<Duration>(D / Speed);
}

} // namespace

JobEstimate estimateJob(const InstanceState &State,
                        const std::vector<TaskSpecPtr> &Tasks) {
  LearnedSpeeds Speeds = learnedSpeeds(State);
  JobEstimate Estimates;
  Duration Longest{0};
  for (const TaskSpecPtr &Spec : Tasks) {
    Duration Estimate = taskEstimate(State, *Spec);
    Estimates.Work += Estimate;
    Longest = std::max(Longest, Estimate);
  }
  Estimates.Span = std::max(scaled(Longest, Speeds.Fastest),
                            scaled(Estimates.Work, Speeds.Capacity));
  Estimates.Longest = scaled(Longest, Speeds.Mean);
  return Estimates;
}

double rankOf(const InstanceState &State, const Team &Owner,
              SteadyTime Enqueued, Duration Span) {
  return toSeconds(Enqueued.time_since_epoch()) +
         State.Policy.MaxStretch * toSeconds(Span) / teamWeightOf(State, Owner);
}

void queueTask(InstanceState &State, WaitingTask Task, size_t Remaining,
               SteadyTime Now) {
  Task.Estimate = taskEstimate(State, *Task.Spec);
  Task.Long = State.Policy.Lanes && Task.Estimate > longThreshold(State);
  // The time of arrival in the rank is the ageing: a task that arrived
  // earlier by the whole remaining work of a later job goes before it.
  if (State.Policy.Order == OrderRule::ShortestRemaining)
    Task.Rank = toSeconds(Task.Enqueued.time_since_epoch()) +
                toSeconds(Task.Estimate) * static_cast<double>(Remaining) /
                    teamWeightOf(State, Task.Owner);
  // Jobs are to end within a multiple of their response on an empty system, so
  // the one that reaches this multiple first goes first. This prefers short
  // jobs and ages long ones by real time.
  if (State.Policy.Order == OrderRule::EarliestDue)
    Task.Rank = rankOf(State, Task.Owner, Task.Enqueued,
                       Task.Span > Duration{0} ? Task.Span : Task.Estimate);
  State.Queue.push(std::move(Task));
}

} // namespace snipeshunt
