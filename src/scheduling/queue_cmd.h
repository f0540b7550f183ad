/// \file Putting tasks into the waiting queue in the order of the policy.
#ifndef SNIPESHUNT_SCHEDULING_QUEUE_CMD_H
#define SNIPESHUNT_SCHEDULING_QUEUE_CMD_H

#include "reducer/state_base.h"

namespace snipeshunt {

/// Queues \p Task; \p Remaining tasks of its job have no result yet.
void queueTask(InstanceState &State, WaitingTask Task, size_t Remaining,
               SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_QUEUE_CMD_H
