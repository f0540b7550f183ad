/// \file Enqueueing of tasks by the order rule of the policy, and estimates of
/// a job's run times.
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

/// Learned speeds of the upstreams that this instance sends to.
struct LearnedSpeeds {
  double Fastest = 0;
  double Mean = 1;
  /// Of all upstreams, in seconds of work at speed 1 per second; upstreams of
  /// other senders are assumed to have the mean speed of this instance's.
  double Capacity = 0;
};

LearnedSpeeds learnedSpeeds(const InstanceState &State) {
  LearnedSpeeds Speeds;
  double OwnSlots = 0;
  double OwnRate = 0;
  double AllSlots = 0;
  for (const auto &[Endpoint, U] : State.Upstreams.All) {
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
  // The arrival time in the rank ages waiting tasks: a task goes ahead of those
  // of a later job once it has waited as long as the job's remaining work
  // takes.
  if (State.Policy.Order == OrderRule::ShortestRemaining)
    Task.Rank = toSeconds(Task.Enqueued.time_since_epoch()) +
                toSeconds(Task.Estimate) * static_cast<double>(Remaining) /
                    teamWeightOf(State, Task.Owner);
  // The objective is that a job ends within a multiple of its response time on
  // an empty system. The job that reaches this multiple first goes first, which
  // prefers short jobs and still ages long ones by elapsed time.
  if (State.Policy.Order == OrderRule::EarliestDue)
    Task.Rank = rankOf(State, Task.Owner, Task.Enqueued,
                       Task.Span > Duration{0} ? Task.Span : Task.Estimate);
  State.Queue.push(std::move(Task));
}

} // namespace snipeshunt
