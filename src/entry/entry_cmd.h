/// \file State changes of the entry instance.
#ifndef SNIPESHUNT_ENTRY_ENTRY_CMD_H
#define SNIPESHUNT_ENTRY_ENTRY_CMD_H

#include "entry/job_end_cmd.h"

#include <optional>
#include <vector>

namespace snipeshunt {

/// Forwards a caller's job to the sender that is expected to start it first.
/// A job that is open already is not started again; its answer goes to the new
/// request.
void submitJob(EntryState &State, const EntryContext &Context,
               const JobSubmitted &Event, SteadyTime Now, InstanceEffects &Out);

/// Has the sender of a job that is open here stop it. If this instance is the
/// sender, the calling function must do so.
void cancelJob(EntryState &State, const EntryContext &Context, const JobId &Id,
               SteadyTime Now, InstanceEffects &Out);

/// Returns the time from the arrival of a job by which it is to end.
Duration objectiveOf(const JobOrder &Order);

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
