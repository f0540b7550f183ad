/// \file Record of the jobs of which senders may have started tasks.
#ifndef SNIPESHUNT_ENTRY_STARTED_CMD_H
#define SNIPESHUNT_ENTRY_STARTED_CMD_H

#include "entry/entry_base.h"

namespace snipeshunt {

/// Records that tasks of \p Job may have started, and removes the oldest
/// records.
void recordStartedJob(StartedJobs &Record, const JobId &Job, SteadyTime Now);

/// Returns true if tasks of \p Job may have started for an earlier submission.
bool mayHaveStarted(const StartedJobs &Record, const JobId &Job,
                    SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_STARTED_CMD_H
