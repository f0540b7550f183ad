/// \file The events that the reducer of a fleet of cells handles.
#ifndef SNIPESHUNT_INSTANCE_INSTANCE_EVENT_H
#define SNIPESHUNT_INSTANCE_INSTANCE_EVENT_H

#include "entry/entry_type.h"
#include "settings/fleet_settings_type.h"

#include <variant>

namespace snipeshunt {

/// Periodic timer, on which time-outs and due calls are checked.
struct InstanceTick {};

/// The process was asked to shut down.
struct ShutdownRequested {};

/// The settings file was read again.
struct SettingsChanged {
  FleetSettings Settings;
};

using InstanceEventBody =
    std::variant<InstanceTick, ShutdownRequested, SettingsChanged, JobSubmitted,
                 JobQueried, JobCancelled, QueueCounted, JobCallerDisconnected,
                 ForwardAnswered, JobArrived, JobAbandoned, ResultQueryArrived,
                 ResultQueryAnswered, OpenJobQueryArrived, OpenJobQueryAnswered,
                 PingArrived, PingAnswered, StartAnswered, StopAnswered,
                 RenewalAnswered, CollectionReadAnswered, WatchAnswered,
                 LeaseAnswered, PublishAnswered, LeaseRenewalAnswered,
                 SnapshotFetched>;

/// An event and the times at which it is handled.
struct InstanceEvent {
  SteadyTime Now;
  WallTime Wall; ///< Only for fencing tokens, which must rise over restarts.
  InstanceEventBody Body;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_EVENT_H
