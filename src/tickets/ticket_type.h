/// \file The ticket, which identifies the home of a job.
#ifndef SNIPESHUNT_TICKETS_TICKET_TYPE_H
#define SNIPESHUNT_TICKETS_TICKET_TYPE_H

#include "core/id_type.h"

#include <chrono>

namespace snipeshunt {

/// Permission to submit one job to the incarnation that issued it. It reaches
/// callers as a signed text.
struct Ticket {
  DataCentre Centre; ///< Data centre of the home.
  Address Home;      ///< Advertised address of the home.
  /// Issuing process, the only one that may run the job.
  IncarnationId Incarnation;
  TicketSequence Sequence; ///< Unique within the incarnation.
  /// Time of issue on the home's steady clock.
  std::chrono::milliseconds IssuedAt;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TICKETS_TICKET_TYPE_H
