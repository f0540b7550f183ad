/// \file Questions to other instances about jobs that are not open here.
#ifndef SNIPESHUNT_ENTRY_OPEN_JOB_CMD_H
#define SNIPESHUNT_ENTRY_OPEN_JOB_CMD_H

#include "entry/entry_cmd.h"

namespace snipeshunt {

/// Asks the instances that may have the job, and answers the caller: as running
/// or cancelled if one has it, as no such job if none has, and as unknown if
/// that isn't certain in time. \p Grace is the time limit of a shutdown.
void askForJob(EntryState &State, const CellState &Cells, RequestId Caller,
               const QueriedJob &Job, Duration Grace, SteadyTime Now,
               InstanceEffects &Out);

/// Tells all instances that may start tasks that a caller has cancelled a job
/// that was open here, so that a further submission at another instance is not
/// started. No caller awaits the answers.
void announceCancel(EntryState &State, const CellState &Cells, const JobId &Job,
                    Duration Grace, SteadyTime Now, InstanceEffects &Out);

/// Applies the answer to a query, or its failure.
void applyOpenJobReply(EntryState &State, const CellState &Cells,
                       const OpenJobQueryAnswered &Event, Duration Grace,
                       SteadyTime Now, InstanceEffects &Out);

/// Answers the questions that have reached their limit, repeats failed queries,
/// and informs new senders of recent cancellations. Called with each tick.
void advanceQuestions(EntryState &State, const CellState &Cells, Duration Grace,
                      SteadyTime Now, InstanceEffects &Out);

/// Answers all questions as unknown at the end of a shutdown.
void endQuestions(EntryState &State, InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_OPEN_JOB_CMD_H
