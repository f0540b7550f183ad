/// \file Text form of tickets and of the ids that derive from them.
#ifndef SNIPESHUNT_TICKETS_TICKET_FUNC_H
#define SNIPESHUNT_TICKETS_TICKET_FUNC_H

#include "core/error_type.h"
#include "tickets/ticket_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace snipeshunt {

/// Writes \p T with an HMAC under \p FleetKey.
std::string encodeTicket(const Ticket &T, std::string_view FleetKey);

/// Reads a ticket and checks its HMAC in constant time.
Result<Ticket> decodeTicket(std::string_view Text, std::string_view FleetKey);

/// Sixteen hexadecimal digits.
std::string incarnationText(IncarnationId Id);
std::optional<IncarnationId> parseIncarnation(std::string_view Text);

/// `<incarnation>-<sequence>`.
std::string jobText(IncarnationId Home, TicketSequence Job);
/// `<incarnation>-<sequence>-<index>`.
std::string taskText(const TaskKey &Key);

} // namespace snipeshunt

#endif // SNIPESHUNT_TICKETS_TICKET_FUNC_H
