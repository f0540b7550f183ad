/// \file State changes of the entry instance.
#ifndef SNIPESHUNT_ENTRY_ENTRY_CMD_H
#define SNIPESHUNT_ENTRY_ENTRY_CMD_H

#include "cells/cell_base.h"
#include "entry/entry_base.h"
#include "instance/instance_effect.h"

#include <functional>
#include <optional>

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

/// Returns how a submission is answered that is rejected unread: as not run, or
/// as lost if the job is open here or an earlier submission may have started
/// tasks.
AnswerStatus unreadRejection(const EntryState &State, const JobId &Job,
                             SteadyTime Now);

/// Forwards a caller's job to the sender that is expected to start it first.
/// A job that is open already is not started again; its answer goes to the new
/// request.
void submitJob(EntryState &State, const EntryContext &Context,
               const JobSubmitted &Event, SteadyTime Now, InstanceEffects &Out);

/// Answers a submission of a job that was cancelled lately as cancelled,
/// without starting it. Returns false if the job is open here or its result may
/// be known; it is to be submitted then.
bool answerCancelledJob(EntryState &State, const JobSubmitted &Event,
                        SteadyTime Now, InstanceEffects &Out);

/// Has the sender of a job that is open here stop it. If this instance is the
/// sender, the calling function must do so.
void cancelJob(EntryState &State, const EntryContext &Context, const JobId &Id,
               SteadyTime Now, InstanceEffects &Out);

/// Answers a caller's request about a job without ending the job.
void answerAbout(const EntryState &State, RequestId Caller, AnswerStatus Status,
                 InstanceEffects &Out);

/// Removes the job of a caller that has disconnected and has its sender stop
/// it. If this instance is the sender, returns the key of the job, which the
/// calling function must stop.
std::optional<RequestId> dropCaller(EntryState &State,
                                    const EntryContext &Context,
                                    RequestId Caller, SteadyTime Now,
                                    InstanceEffects &Out);

/// Applies a sender's answer: answers the caller or tries the next sender.
void applyForwardAnswer(EntryState &State, const EntryContext &Context,
                        const ForwardAnswered &Event, SteadyTime Now,
                        InstanceEffects &Out);

/// Asks the senders of overdue jobs for their results, since the answers may
/// have been lost. Called with each tick.
void queryResults(const EntryState &State, const EntryContext &Context,
                  SteadyTime Now, InstanceEffects &Out);

/// Applies the results that a sender has sent again, and answers a job as lost
/// that its sender does not have.
void applyResultReply(EntryState &State, const EntryContext &Context,
                      const ResultQueryAnswered &Event, SteadyTime Now,
                      InstanceEffects &Out);

/// Ends all open jobs at the end of a shutdown and has their senders stop them.
/// Returns the keys of those whose sender is this instance, which the calling
/// function must stop.
std::vector<RequestId> endAllJobs(EntryState &State,
                                  const EntryContext &Context, SteadyTime Now,
                                  InstanceEffects &Out);

/// Answers the jobs that are past their deadline and those whose sender is
/// suspected, and forwards those that wait for a sender. Called with each tick.
void expireEntryJobs(EntryState &State, const EntryContext &Context,
                     SteadyTime Now, InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_ENTRY_CMD_H
