/// \file Queries for results whose answers may have been lost.
#ifndef SNIPESHUNT_ENTRY_RESULT_QUERY_CMD_H
#define SNIPESHUNT_ENTRY_RESULT_QUERY_CMD_H

#include "entry/job_end_cmd.h"

namespace snipeshunt {

/// Asks the senders of overdue jobs for their results, since the answers may
/// have been lost. Called with each tick.
void queryResults(const EntryState &State, const EntryContext &Context,
                  SteadyTime Now, InstanceEffects &Out);

/// Applies the results that a sender has sent again, and answers a job as lost
/// that its sender does not have.
void applyResultReply(EntryState &State, const EntryContext &Context,
                      const ResultQueryAnswered &Event, SteadyTime Now,
                      InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_RESULT_QUERY_CMD_H
