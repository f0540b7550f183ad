/// \file State changes of a sender's jobs.
#ifndef SNIPESHUNT_SENDER_JOB_CMD_H
#define SNIPESHUNT_SENDER_JOB_CMD_H

#include "instance/instance_effect.h"
#include "sender/sender_base.h"

#include <functional>

namespace snipeshunt {

/// How a run left its upstream, as far as its job is concerned.
enum class RunOutcome {
  Done,
  Failed,  ///< Counts as an attempt.
  Aborted, ///< Ended or not started without the task's fault.
};

/// Takes a job, or refuses it. A second copy of a submission takes over the
/// running job or gets the kept result.
void acceptJob(SenderState &State, const JobOrder &Order, JobWaiter Waiter,
               SteadyTime Now, InstanceEffects &Out);

/// Stops a job whose caller no longer waits.
void abandonJob(SenderState &State, const JobWaiter &Waiter, SteadyTime Now,
                InstanceEffects &Out);

/// Stops the jobs of which \p IsOrphaned says that nobody waits for them.
void cancelOrphanedJobs(SenderState &State,
                        const std::function<bool(const JobOrder &)> &IsOrphaned,
                        SteadyTime Now, InstanceEffects &Out);

/// Gives up jobs that can't end in time.
void expireSenderJobs(SenderState &State, SteadyTime Now, InstanceEffects &Out);

/// Hands back jobs that have not started, for another sender.
void returnWaitingJobs(SenderState &State, SteadyTime Now,
                       InstanceEffects &Out);

/// Adopts the end of a run.
void applyRunOutcome(SenderState &State, const UpstreamId &Where,
                     const RunKey &Key, RunOutcome Outcome, SteadyTime Now,
                     InstanceEffects &Out);

/// Ends a job and stops what is left of it.
void finishJob(SenderState &State, const JobId &Id, JobOutcome Outcome,
               const std::string &Reason, SteadyTime Now, InstanceEffects &Out);

/// Position of a job in the queue: earliest latest start first, as long as the
/// objective can be met; jobs that will be late come after those that need not
/// be.
QueueRank rankOf(const SenderJob &J, SteadyTime Now);

/// Jobs with waiting tasks, in the order in which these start.
std::vector<std::pair<QueueRank, SenderJob *>> rankedQueue(SenderState &State,
                                                           SteadyTime Now);

/// How busy this sender is, as a new job sees it that is not late yet.
SenderLoad senderLoad(const SenderState &State, SteadyTime Now);

/// Jobs of a queue of which no task has started.
uint64_t countWaitingJobs(const SenderState &State, const std::string &Queue);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_JOB_CMD_H
