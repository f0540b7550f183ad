/// \file Calls to the platform: list of instances and upstreams, configuration.
#ifndef SNIPESHUNT_DAEMON_PLATFORM_GATEWAY_H
#define SNIPESHUNT_DAEMON_PLATFORM_GATEWAY_H

#include "daemon/configuration_watch.h"
#include "daemon/daemon.h"

namespace snipeshunt {

/// Reads the platform's list of instances and upstreams periodically, and
/// watches the configuration while the reducer has enabled it. Without a
/// platform in the settings, reports the platform as unreachable.
class PlatformGateway {
public:
  explicit PlatformGateway(Daemon &Owner);

private:
  /// Reads the list once and restarts `ListTimer` after the reply.
  void pollList();

  Daemon &Owner;
  HttpClient Client; ///< Shared with `Watch`.
  Timer ListTimer;   ///< Calls `pollList`.
  ConfigurationWatch Watch;
};

/// Decodes the body of the platform's reply to `GET /v1/instances`.
Result<PlatformListRead> readListReply(std::string_view Body);

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_PLATFORM_GATEWAY_H
