/// \file Parses addresses of the form `IP:port`.
#include "http/http_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace snipeshunt {

Result<HostPort> parseAddress(const Address &Text) {
  Error Invalid{ErrorKind::InvalidField,
                "'" + Text.Value + "' is not an address",
                "give IPv4 number and port, for instance 10.0.0.5:7070"};
  size_t Colon = Text.Value.rfind(':');
  if (Colon == std::string::npos)
    return Invalid;
  HostPort Parts;
  Parts.Host = Text.Value.substr(0, Colon);
  in_addr Parsed{};
  if (inet_pton(AF_INET, Parts.Host.c_str(), &Parsed) != 1)
    return Invalid;
  const char *Begin = Text.Value.data() + Colon + 1;
  const char *End = Text.Value.data() + Text.Value.size();
  auto [Rest, Problem] = std::from_chars(Begin, End, Parts.Port);
  if (Problem != std::errc() || Rest != End || Begin == End)
    return Invalid;
  return Parts;
}

} // namespace snipeshunt
