/// \file Settings of an instance in a fleet of cells.
#ifndef SNIPESHUNT_SETTINGS_FLEET_SETTINGS_TYPE_H
#define SNIPESHUNT_SETTINGS_FLEET_SETTINGS_TYPE_H

#include "directory/directory_type.h"
#include "settings/settings_type.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Times that the operators of the platform guarantee.
struct FleetBounds {
  using Milliseconds = std::chrono::milliseconds;

  Milliseconds MaxLease{1000}; ///< Longest lease that an upstream grants.
  /// Longest time from the acknowledgement of a stop to the end of the run.
  Milliseconds StopTimeout{50};
  /// Time from an upstream's being listed as draining until it must no longer
  /// receive starts.
  Milliseconds DrainNotice{2000};
  /// Time from the acknowledgement of an evacuation until no task is started in
  /// the data centre any more; absent if the operators evacuate none.
  std::optional<Milliseconds> Evacuate;
  /// Time that this instance has between SIGTERM and SIGKILL.
  Milliseconds Grace{6000};
};

/// Limits on what all clients together may occupy.
struct FleetLimits {
  /// Connections of callers, the load balancer and metrics collectors; 0: a
  /// share of the descriptor limit.
  size_t MaxConnections = 0;
  size_t MaxPeerConnections = 0; ///< As above, for other instances.
  /// Memory for requests and responses of the former; half of it for those of
  /// other instances. With twice this, as `ConnectionLimits` allows, and a few
  /// KB for each connection, an instance stays within the 120 MB of the
  /// smallest machine.
  size_t MaxBufferedBytes = 24 << 20;
  /// Memory for the jobs that the sender of this instance has admitted, with
  /// the states of their tasks.
  size_t MaxJobBytes = 16 << 20;
};

/// Returns the limits of an instance with \p Memory bytes. The smallest machine
/// has the defaults of `FleetLimits`, larger ones more in proportion.
FleetLimits limitsForMemory(size_t Memory);

/// Contents of the settings file of an instance of a fleet of cells. When the
/// file is reloaded, only `Store`, `Seeds`, `Bounds` and the weight in `Self`
/// are applied; other changes need a restart.
struct FleetSettings {
  std::string Name; ///< Name of this instance in the log.
  Address Front;    ///< Listens here for callers.
  Address Ready;    ///< Listens here for the load balancer's readiness checks.
  Address Metrics;  ///< Listens here for readers of `/metrics`; empty: nowhere.
  InstanceRecord Self; ///< This instance as it is announced to the others.
  /// Listens here for other instances; by default the address in `Self`.
  Address PeersListen;
  Address Store; ///< Address of the platform's store.
  /// Instances to ping from the start, before the store has listed any.
  std::vector<Address> Seeds;
  FleetBounds Bounds;              ///< Times that the operators guarantee.
  FleetLimits Limits;              ///< What clients may occupy.
  LogLevel Level = LogLevel::Info; ///< Least severe messages that are logged.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_FLEET_SETTINGS_TYPE_H
