/// \file Everything that can happen to an instance of a fleet of cells.
#ifndef SNIPESHUNT_INSTANCE_INSTANCE_EVENT_H
#define SNIPESHUNT_INSTANCE_INSTANCE_EVENT_H

#include "entry/entry_type.h"
#include "settings/fleet_settings_type.h"

#include <variant>

namespace snipeshunt {

/// Periodic wake-up.
struct InstanceTick {};

/// The process is asked to end.
struct ShutdownRequested {};

/// The settings file was read again.
struct SettingsChanged {
  FleetSettings Settings;
};

using InstanceEventBody =
    std::variant<InstanceTick, ShutdownRequested, SettingsChanged, JobSubmitted,
                 JobQueried, JobCancelled, QueueCounted, JobCallerDisconnected,
                 ForwardAnswered, JobArrived, JobAbandoned, PingArrived,
                 PingAnswered, StartAnswered, StopAnswered, RenewalAnswered,
                 CollectionReadAnswered, WatchAnswered, LeaseAnswered,
                 PublishAnswered, LeaseRenewalAnswered, SnapshotFetched>;

/// An event with the times at which it is handled.
struct InstanceEvent {
  SteadyTime Now;
  WallTime Wall; ///< Only for numbers that must rise over restarts.
  InstanceEventBody Body;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_EVENT_H
