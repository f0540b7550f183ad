/// \file Parses a ticket's text without checking its HMAC.
#include "history/ticket_text.h"

#include <array>

namespace snipeshunt {

namespace {

/// Returns true if \p Text is not empty and has only characters of \p Allowed.
bool consistsOf(std::string_view Text, std::string_view Allowed) {
  return !Text.empty() &&
         Text.find_first_not_of(Allowed) == std::string_view::npos;
}

} // namespace

std::optional<std::string> jobIdFromTicketText(std::string_view Ticket) {
  constexpr std::string_view Prefix = "v1.";
  constexpr std::string_view Digits = "0123456789";
  constexpr std::string_view HexDigits = "0123456789abcdef";
  if (Ticket.substr(0, Prefix.size()) != Prefix)
    return std::nullopt;
  std::string_view Rest = Ticket.substr(Prefix.size());
  // The home's address contains dots, so the fields are split off from the
  // right: HMAC, issue time, sequence, incarnation.
  std::array<std::string_view, 4> Fields;
  for (std::string_view &Field : Fields) {
    size_t Dot = Rest.rfind('.');
    if (Dot == std::string_view::npos)
      return std::nullopt;
    Field = Rest.substr(Dot + 1);
    Rest = Rest.substr(0, Dot);
  }
  auto [Hmac, Issued, Sequence, Incarnation] = Fields;
  bool HasHome = Rest.find('.') != std::string_view::npos;
  if (!HasHome || !consistsOf(Hmac, HexDigits) || !consistsOf(Issued, Digits) ||
      !consistsOf(Sequence, Digits) || Incarnation.size() != 16 ||
      !consistsOf(Incarnation, HexDigits))
    return std::nullopt;
  return std::string(Incarnation) + "-" + std::string(Sequence);
}

} // namespace snipeshunt
