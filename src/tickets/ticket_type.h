/// \file The ticket that names the home of a job.
#ifndef SNIPESHUNT_TICKETS_TICKET_TYPE_H
#define SNIPESHUNT_TICKETS_TICKET_TYPE_H

#include "core/id_type.h"

#include <chrono>

namespace snipeshunt {

/// Permission to submit one job, bound to the incarnation that issued it.
struct Ticket {
  DataCentre Centre;         ///< Data centre of the home.
  Address Home;              ///< Advertised address of the home.
  IncarnationId Incarnation; ///< The only process that may run the job.
  TicketSequence Sequence;   ///< Unique within the incarnation.
  std::chrono::milliseconds IssuedAt; ///< Home's steady clock at the issue.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TICKETS_TICKET_TYPE_H
