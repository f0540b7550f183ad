/// \file State changes of a sender's jobs.
#ifndef SNIPESHUNT_SENDER_JOB_CMD_H
#define SNIPESHUNT_SENDER_JOB_CMD_H

#include "instance/instance_effect.h"
#include "sender/sender_base.h"

#include <functional>

namespace snipeshunt {

/// Outcome of a run, as far as its job is concerned.
enum class RunOutcome {
  Done,
  Failed,  ///< Counts towards `JobOrder::MaxAttempts`.
  Aborted, ///< Ended or not started without the task's fault.
};

/// Reason for which jobs are rejected or ended, see `WithheldStarts`.
const char *withheldReason(const WithheldStarts &Withheld);

/// Ends a job as lost, since its waiter no longer awaits it. Called when the
/// caller cancels or disconnects, or the entry closes the connection.
void abandonJob(SenderState &State, const JobWaiter &Waiter, SteadyTime Now,
                InstanceEffects &Out);

/// Ends jobs of other entry instances for which \p IsOrphaned returns true.
/// Called on each tick.
void cancelAbandonedJobs(
    SenderState &State,
    const std::function<bool(const SenderJob &)> &IsOrphaned, SteadyTime Now,
    InstanceEffects &Out);

/// Ends started jobs whose deadline has passed, and rejects waiting jobs that
/// can't finish while an answer is of use. Called on each tick.
void expireSenderJobs(SenderState &State, SteadyTime Now, InstanceEffects &Out);

/// Rejects the jobs of which nothing has run, so that their entries hand them
/// to other senders. Called when this instance begins to shut down.
void returnWaitingJobs(SenderState &State, SteadyTime Now,
                       InstanceEffects &Out);

/// Ends the jobs whose unfinished tasks all wait and fit no upstream that is
/// left, if upstreams were released or fenced off since the last call. Those
/// that have not run go to other senders.
void returnStrandedJobs(SenderState &State, SteadyTime Now,
                        InstanceEffects &Out);

/// Ends the jobs whose unfinished tasks all wait for starts that are withheld,
/// see `WithheldStarts::ReturnsJobs`. Those that have not run go to other
/// senders.
void returnWithheldJobs(SenderState &State, SteadyTime Now,
                        InstanceEffects &Out);

/// Applies the end of a run to its job: the task is done, waits again, or makes
/// the job fail. Ignored if \p Key is not the last run of its task.
void applyRunOutcome(SenderState &State, const UpstreamId &Upstream,
                     const RunKey &Key, RunOutcome Outcome, SteadyTime Now,
                     InstanceEffects &Out);

/// Ends a job: stops its runs, retains the result unless nothing was run, and
/// answers the waiter. \p Moved is for `JobResult::Moved` of a job that was not
/// run.
void finishJob(SenderState &State, const JobId &Id, JobOutcome Outcome,
               const std::string &Reason, SteadyTime Now, InstanceEffects &Out,
               bool Moved = false);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_JOB_CMD_H
