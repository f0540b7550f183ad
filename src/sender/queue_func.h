/// \file The queue of a sender: its order and the work that waits in it.
#ifndef SNIPESHUNT_SENDER_QUEUE_FUNC_H
#define SNIPESHUNT_SENDER_QUEUE_FUNC_H

#include "sender/sender_base.h"

#include <string>
#include <utility>
#include <vector>

namespace snipeshunt {

/// Sort key of a job in the queue. Jobs that can meet their objective come
/// first, by latest start; jobs that will be late follow. During an overload,
/// the priority comes before the latest start.
QueueRank rankOf(const SenderState &State, const SenderJob &J, SteadyTime Now);

/// Jobs with waiting tasks, by `QueueRank`.
std::vector<std::pair<QueueRank, SenderJob *>> rankedQueue(SenderState &State,
                                                           SteadyTime Now);

/// Number of jobs in \p Queue that have not started.
uint64_t countWaitingJobs(const SenderState &State, const std::string &Queue);

/// Processors that the waiting tasks of a job need, in thousandths.
int64_t waitingCpu(const SenderJob &J);

/// Expected processor time of the waiting tasks of a job, in thousandths of
/// core-seconds.
double waitingWork(const SenderJob &J);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_QUEUE_FUNC_H
