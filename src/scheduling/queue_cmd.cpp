/// \file Putting tasks into the waiting queue in the order of the policy.
#include "scheduling/queue_cmd.h"

#include "configuration/configuration_func.h"
#include "reducer/policy_func.h"
#include "scheduling/estimate_func.h"

namespace snipeshunt {

namespace {

double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

} // namespace

void queueTask(InstanceState &State, WaitingTask Task, size_t Remaining,
               SteadyTime Now) {
  Task.Estimate = estimateRuntime(
      State.Estimates, *Task.Spec,
      expectedTime(State.Configuration.InForce, Task.Spec->Kind));
  Task.Long = State.Policy.Lanes && Task.Estimate > longThreshold(State);
  // The time of arrival in the rank is the ageing: a task that arrived
  // earlier by the whole remaining work of a later job goes before it.
  if (State.Policy.Order == OrderRule::ShortestRemaining)
    Task.Rank = toSeconds(Task.Enqueued.time_since_epoch()) +
                toSeconds(Task.Estimate) * static_cast<double>(Remaining) /
                    teamWeightOf(State, Task.Owner);
  State.Queue.push(std::move(Task));
}

} // namespace snipeshunt
