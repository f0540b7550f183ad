/// \file Enqueueing of tasks by the order rule of the policy, and estimates of
/// a job's run times.
#ifndef SNIPESHUNT_SCHEDULING_QUEUE_CMD_H
#define SNIPESHUNT_SCHEDULING_QUEUE_CMD_H

#include "reducer/state_base.h"

namespace snipeshunt {

/// Estimated times of a job, from the estimates of its tasks.
struct JobEstimate {
  Duration Span{0}; ///< Response time on an empty system.
  /// Run time of the longest task at the mean learned speed.
  Duration Longest{0};
  Duration Work{0}; ///< Sum of the run times of all tasks at speed 1.
};

/// Returns the estimated times of a job with \p Tasks.
JobEstimate estimateJob(const InstanceState &State,
                        const std::vector<TaskSpecPtr> &Tasks);

/// Returns the rank of a task under `OrderRule::EarliestDue`: the time in
/// seconds at which its job, with an estimated response time of \p Span on an
/// empty system, reaches the maximum stretch. A higher weight of the
/// team \p Owner makes it due earlier.
double rankOf(const InstanceState &State, const Team &Owner,
              SteadyTime Enqueued, Duration Span);

/// Sets the estimate, lane and rank of \p Task and adds it to the queue.
/// \p Remaining is the number of tasks of its job without a result; it is 1 for
/// a task that is queued again or was received from another instance.
void queueTask(InstanceState &State, WaitingTask Task, size_t Remaining,
               SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_QUEUE_CMD_H
