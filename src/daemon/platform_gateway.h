/// \file The platform's list and its key-value service.
#ifndef SNIPESHUNT_DAEMON_PLATFORM_GATEWAY_H
#define SNIPESHUNT_DAEMON_PLATFORM_GATEWAY_H

#include "daemon/configuration_watch.h"
#include "daemon/daemon.h"

namespace snipeshunt {

/// Reads the list of instances and upstreams, and watches the configuration
/// while the reducer asks for it.
class PlatformGateway {
public:
  explicit PlatformGateway(Daemon &Owner);

private:
  void pollList();

  Daemon &Owner;
  HttpClient Client;
  Timer ListTimer;
  ConfigurationWatch Watch;
};

/// Reads the reply of `GET /v1/instances` of the platform.
Result<PlatformListRead> readListReply(std::string_view Body);

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_PLATFORM_GATEWAY_H
