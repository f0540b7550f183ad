/// \file Settings of an instance in a fleet of cells.
#ifndef SNIPESHUNT_SETTINGS_FLEET_SETTINGS_TYPE_H
#define SNIPESHUNT_SETTINGS_FLEET_SETTINGS_TYPE_H

#include "directory/directory_type.h"
#include "settings/settings_type.h"

#include <string>
#include <vector>

namespace snipeshunt {

/// Times that the operators of the upstreams and the store promise.
struct FleetBounds {
  using Milliseconds = std::chrono::milliseconds;

  Milliseconds MaxLease{1000};  ///< Longest lease that an upstream grants.
  Milliseconds StopTimeout{50}; ///< A stopped run has ended after this time.
  /// A leaving upstream gets no starts this long after it said so.
  Milliseconds DrainNotice{2000};
  Milliseconds Grace{6000}; ///< From SIGTERM to SIGKILL.
};

/// Everything that the settings file of a fleet instance says.
struct FleetSettings {
  std::string Name;           ///< For logs.
  Address Front;              ///< Where callers connect.
  Address Ready;              ///< Where the balancer asks for readiness.
  Address Metrics;            ///< Where counters are read; may be empty.
  InstanceRecord Self;        ///< What other instances learn.
  Address PeersListen;        ///< Where they connect, if it is another address.
  Address Store;              ///< The platform's store.
  std::vector<Address> Seeds; ///< Instances that may be there.
  FleetBounds Bounds;
  LogLevel Level = LogLevel::Info;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_FLEET_SETTINGS_TYPE_H
