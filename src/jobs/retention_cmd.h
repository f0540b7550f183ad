/// \file Retention, eviction and transfer of the answers of ended jobs.
#ifndef SNIPESHUNT_JOBS_RETENTION_CMD_H
#define SNIPESHUNT_JOBS_RETENTION_CMD_H

#include "reducer/state_base.h"

namespace snipeshunt {

/// Stores the \p Answer of an ended job in \p Record until its ticket has
/// expired, then evicts the oldest answers beyond the byte limit.
void retainAnswer(InstanceState &State, TicketSequence Sequence,
                  TicketRecord &Record, StoredAnswerPtr Answer, SteadyTime Now);

/// Evicts the records of expired tickets and expired imported answers. Called
/// at each tick.
void evictExpiredAnswers(InstanceState &State, SteadyTime Now);

/// Returns the imported answer for the ticket \p Sequence of the departed
/// incarnation \p From, or null.
const ImportedAnswer *findImportedAnswer(const InstanceState &State,
                                         IncarnationId From,
                                         TicketSequence Sequence);

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_RETENTION_CMD_H
