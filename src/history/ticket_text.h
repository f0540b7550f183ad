/// \file Parses a ticket's text without checking its HMAC.
#ifndef SNIPESHUNT_HISTORY_TICKET_TEXT_H
#define SNIPESHUNT_HISTORY_TICKET_TEXT_H

#include <optional>
#include <string>
#include <string_view>

namespace snipeshunt {

/// Returns the job id `<incarnation>-<sequence>` of a ticket, or nothing if
/// \p Ticket is malformed. Deliberately independent of the code that issues
/// tickets, so that the checker does not share its faults.
std::optional<std::string> jobIdFromTicketText(std::string_view Ticket);

} // namespace snipeshunt

#endif // SNIPESHUNT_HISTORY_TICKET_TEXT_H
