/// \file Retained answers: how long, how many, and their transfer.
#ifndef SNIPESHUNT_JOBS_RETENTION_CMD_H
#define SNIPESHUNT_JOBS_RETENTION_CMD_H

#include "reducer/state_base.h"

namespace snipeshunt {

/// Retains \p Answer for \p Record until its ticket has expired.
void retainAnswer(InstanceState &State, TicketSequence Sequence,
                  TicketRecord &Record, StoredAnswerPtr Answer, SteadyTime Now);

/// Drops the records of expired tickets.
void evictExpiredAnswers(InstanceState &State, SteadyTime Now);

/// The answer that a departed incarnation retained for a ticket.
const ImportedAnswer *findImportedAnswer(const InstanceState &State,
                                         IncarnationId From,
                                         TicketSequence Sequence);

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_RETENTION_CMD_H
