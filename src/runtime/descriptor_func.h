/// \file Shares of the process's descriptor limit.
#ifndef SNIPESHUNT_RUNTIME_DESCRIPTOR_FUNC_H
#define SNIPESHUNT_RUNTIME_DESCRIPTOR_FUNC_H

#include "http/connection_table.h"
#include "settings/fleet_settings_type.h"

namespace snipeshunt {

/// Descriptors that all connections of this process together may have.
size_t connectionDescriptors();

/// Open descriptors of this process beyond which no caller is accepted.
size_t callerDescriptors();

/// Limits of the connections from callers, the load balancer and metrics
/// collectors.
ConnectionLimits clientConnectionLimits(const FleetLimits &Settings);

/// Limits of the connections from other instances.
ConnectionLimits peerConnectionLimits(const FleetLimits &Settings);

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_DESCRIPTOR_FUNC_H
