/// \file Parses addresses of the form `IP:port`.
#ifndef SNIPESHUNT_HTTP_HTTP_ADDRESS_H
#define SNIPESHUNT_HTTP_HTTP_ADDRESS_H

#include "core/error_type.h"
#include "core/id_type.h"

#include <string>

namespace snipeshunt {

/// Parts of an address.
struct HostPort {
  std::string Host;  ///< IP number.
  uint16_t Port = 0; ///< TCP port.
};

/// Parses \p Text, which must be an IPv4 number, a colon and a port.
Result<HostPort> parseAddress(const Address &Text);

/// Returns true if \p Text is the address of one process, in its only proper
/// form: an IPv4 number of a machine and a port from 1, without leading zeros.
/// Two such texts that differ are addresses of different processes.
bool isEndpoint(const Address &Text);

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_HTTP_ADDRESS_H
