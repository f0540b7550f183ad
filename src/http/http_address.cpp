/// \file Parses addresses of the form `IP:port`.
#include "http/http_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace snipeshunt {

namespace {

constexpr uint32_t FirstMulticastByte = 224;

} // namespace

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

bool isEndpoint(const Address &Text) {
  Result<HostPort> Parsed = parseAddress(Text);
  if (failed(Parsed) || valueOf(Parsed).Port == 0)
    return false;
  in_addr Host{};
  inet_pton(AF_INET, valueOf(Parsed).Host.c_str(), &Host);
  // 0.0.0.0 connects to the own machine; multicast and broadcast numbers
  // follow the last class of machines.
  uint32_t First = ntohl(Host.s_addr) >> 24;
  char Proper[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Host, Proper, sizeof(Proper));
  return First != 0 && First < FirstMulticastByte &&
         Text.Value ==
             std::string(Proper) + ":" + std::to_string(valueOf(Parsed).Port);
}

} // namespace snipeshunt
