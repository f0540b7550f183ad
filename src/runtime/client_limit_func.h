/// \file Limits of an instance's incoming connections.
#ifndef SNIPESHUNT_RUNTIME_CLIENT_LIMIT_FUNC_H
#define SNIPESHUNT_RUNTIME_CLIENT_LIMIT_FUNC_H

#include "http/connection_table.h"
#include "settings/fleet_settings_type.h"

namespace snipeshunt {

/// Limits of the connections from callers, the load balancer and metrics
/// collectors.
ConnectionLimits clientConnectionLimits(const FleetLimits &Settings);

/// Limits of the connections from other instances.
ConnectionLimits peerConnectionLimits(const FleetLimits &Settings);

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_CLIENT_LIMIT_FUNC_H
