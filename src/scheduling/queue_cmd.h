/// \file Putting tasks into the waiting queue in the order of the policy.
#ifndef SNIPESHUNT_SCHEDULING_QUEUE_CMD_H
#define SNIPESHUNT_SCHEDULING_QUEUE_CMD_H

#include "reducer/state_base.h"

namespace snipeshunt {

/// What a job needs, by the estimates of its tasks.
struct JobEstimate {
  Duration Span{0};    ///< Response on an empty system.
  Duration Longest{0}; ///< Longest task, at mean speed.
  Duration Work{0};    ///< Sum over the tasks, at speed 1.
};

JobEstimate estimateJob(const InstanceState &State,
                        const std::vector<TaskSpecPtr> &Tasks);

/// Order of a task in its lane; lower goes first.
double rankOf(const InstanceState &State, const Team &Owner,
              SteadyTime Enqueued, Duration Span);

/// Queues \p Task; \p Remaining tasks of its job have no result yet.
void queueTask(InstanceState &State, WaitingTask Task, size_t Remaining,
               SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_QUEUE_CMD_H
