/// \file Text forms of tickets and of the ids that are derived from them.
#ifndef SNIPESHUNT_TICKETS_TICKET_FUNC_H
#define SNIPESHUNT_TICKETS_TICKET_FUNC_H

#include "core/error_type.h"
#include "tickets/ticket_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace snipeshunt {

/// Returns the text of \p T, signed with an HMAC under \p FleetKey.
std::string encodeTicket(const Ticket &T, std::string_view FleetKey);

/// Parses a ticket and verifies its HMAC under \p FleetKey in constant time.
/// Does not check whether it has expired.
Result<Ticket> decodeTicket(std::string_view Text, std::string_view FleetKey);

/// Returns \p Id as sixteen hexadecimal digits.
std::string incarnationText(IncarnationId Id);
/// Parses the text of `incarnationText`.
std::optional<IncarnationId> parseIncarnation(std::string_view Text);

/// Returns the id of a job, `<incarnation>-<sequence>`, for timelines and logs.
std::string jobText(IncarnationId Home, TicketSequence Job);
/// Returns the id of a task, `<incarnation>-<sequence>-<index>`, for timelines
/// and upstreams.
std::string taskText(const TaskKey &Key);

} // namespace snipeshunt

#endif // SNIPESHUNT_TICKETS_TICKET_FUNC_H
