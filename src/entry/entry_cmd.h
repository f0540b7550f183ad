/// \file State changes of the entry.
#ifndef SNIPESHUNT_ENTRY_ENTRY_CMD_H
#define SNIPESHUNT_ENTRY_ENTRY_CMD_H

#include "cells/cell_base.h"
#include "entry/entry_base.h"
#include "instance/instance_effect.h"

#include <functional>

namespace snipeshunt {

/// What the entry knows of the senders. Loads are adjusted for jobs that were
/// handed over since they were told.
struct EntryContext {
  CellState &Cells;
  /// Load of this instance as a sender; a walk over its jobs and upstreams, so
  /// it is worked out only where a choice needs it.
  std::function<SenderLoad()> OwnLoad;
};

/// Hands a caller's job to the sender that is expected to end it first.
void submitJob(EntryState &State, const EntryContext &Context,
               const JobSubmitted &Event, SteadyTime Now, InstanceEffects &Out);

void queryJob(EntryState &State, const JobQueried &Event, InstanceEffects &Out);

void cancelJob(EntryState &State, const EntryContext &Context,
               const JobCancelled &Event, SteadyTime Now, InstanceEffects &Out);

/// Stops the job of a caller that has closed its connection. Gives the number
/// of the forward if the sender is this instance.
std::optional<RequestId> dropCaller(EntryState &State,
                                    const EntryContext &Context,
                                    RequestId Caller, SteadyTime Now,
                                    InstanceEffects &Out);

/// Adopts a sender's answer.
void applyForwardAnswer(EntryState &State, const EntryContext &Context,
                        const ForwardAnswered &Event, SteadyTime Now,
                        InstanceEffects &Out);

/// Answers the callers of senders that are gone and those past their deadline.
void expireEntryJobs(EntryState &State, const EntryContext &Context,
                     SteadyTime Now, InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_ENTRY_CMD_H
