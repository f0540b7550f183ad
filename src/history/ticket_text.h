/// \file Reads the parts of a ticket's text without checking its HMAC.
#ifndef SNIPESHUNT_HISTORY_TICKET_TEXT_H
#define SNIPESHUNT_HISTORY_TICKET_TEXT_H

#include <optional>
#include <string>
#include <string_view>

namespace snipeshunt {

/// Job id `<incarnation>-<sequence>` of a ticket; nothing when \p Ticket is
/// not the text of a ticket. Written apart from the code that issues tickets,
/// so that the checker does not repeat its faults.
std::optional<std::string> jobIdFromTicketText(std::string_view Ticket);

} // namespace snipeshunt

#endif // SNIPESHUNT_HISTORY_TICKET_TEXT_H
