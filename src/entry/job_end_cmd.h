/// \file Ends of jobs at the entry instance: answers to callers and
/// cancellations at senders.
#ifndef SNIPESHUNT_ENTRY_JOB_END_CMD_H
#define SNIPESHUNT_ENTRY_JOB_END_CMD_H

#include "cells/cell_base.h"
#include "entry/entry_base.h"
#include "instance/instance_effect.h"

#include <functional>
#include <optional>
#include <string>

namespace snipeshunt {

/// What the entry needs of the other parts of this instance.
struct EntryContext {
  /// Peers with their loads. Each forward takes the processors of the job off
  /// the load that its sender reported last.
  CellState &Cells;
  /// Load of this instance as a sender. It walks over all its jobs and
  /// upstreams, so it is called only where senders are compared.
  std::function<SenderLoad()> OwnLoad;
  /// Priority of the jobs that overloaded senders start first; absent if all
  /// routes have the same.
  std::optional<int32_t> UrgentPriority;
};

/// Removes a job and returns it; returns nullopt if there is none.
std::optional<EntryJob>
removeJob(EntryState &State, const EntryContext &Context, RequestId Forward);

/// Records that the outcome of \p J is unknown, if it may have been run: by its
/// present sender, or for an earlier submission.
void recordIfUnresolved(EntryState &State, const EntryJob &J, SteadyTime Now);

/// Returns true if an earlier submission of the job may have started tasks.
bool mayHaveRunEarlier(const EntryState &State, const JobId &Job,
                       SteadyTime Now);

/// Answers a request of a caller. \p Took is the time since it arrived.
void answerCaller(const EntryState &State, RequestId Caller,
                  AnswerStatus Status, Duration RetryAfter,
                  InstanceEffects &Out, Duration Took = Duration::zero());

/// Removes a job, answers its caller and logs any status but `Done`. A
/// rejection is answered as lost if an earlier submission may have started
/// tasks, and a loss as cancelled if a caller has cancelled the job: the
/// answers to a loss ask for another submission, which would start the job
/// again. \p RetryAfter is for the caller, \p Reason for the log.
void endJob(EntryState &State, const EntryContext &Context, RequestId Forward,
            AnswerStatus Status, Duration RetryAfter, std::string Reason,
            SteadyTime Now, InstanceEffects &Out);

/// Answers a job that is not to be forwarded. \p Reason is for the log.
void rejectUnforwarded(EntryState &State, const JobSubmitted &Event,
                       Duration RetryAfter, const std::string &Reason,
                       SteadyTime Now, InstanceEffects &Out);

/// Returns how a submission is answered that is rejected unread: as not run, or
/// as lost if the job is open here or an earlier submission may have started
/// tasks.
AnswerStatus unreadRejection(const EntryState &State, const JobId &Job,
                             SteadyTime Now);

/// Answers a submission of a job that was cancelled lately as cancelled,
/// without starting it. Returns false if the job is open here or its result may
/// be known; it is to be submitted then.
bool answerCancelledJob(EntryState &State, const JobSubmitted &Event,
                        SteadyTime Now, InstanceEffects &Out);

/// Answers a caller's request about a job without ending the job.
void answerAbout(const EntryState &State, RequestId Caller, AnswerStatus Status,
                 InstanceEffects &Out);

/// Makes the pings to a job's sender carry its cancellation; the next one is
/// due at once, or when the present one has been answered.
void cancelAtSender(const EntryContext &Context, const EntryJob &J,
                    SteadyTime Now);

/// Cancels a job whose answer is no longer awaited. The sender notices the end
/// of the connection at once; the ping is for links that lose that. \p Silent
/// is for `AbandonForward`.
void abandonAtSender(const EntryContext &Context, const EntryJob &J,
                     RequestId Forward, SteadyTime Now, InstanceEffects &Out,
                     bool Silent = false);

/// Removes a job from the open jobs of its sender. A sender with open jobs is
/// pinged more often.
void eraseOpenJob(const EntryContext &Context, const EntryJob &J);

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_JOB_END_CMD_H
