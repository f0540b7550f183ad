/// \file The one function that changes the state of a fleet instance.
#ifndef SNIPESHUNT_INSTANCE_INSTANCE_REDUCER_H
#define SNIPESHUNT_INSTANCE_INSTANCE_REDUCER_H

#include "instance/instance_effect.h"
#include "instance/instance_event.h"
#include "instance/instance_state.h"

namespace snipeshunt {

/// Returns the state of a process that has just started.
FleetInstance startInstance(FleetSettings Settings, IncarnationId Incarnation,
                            SteadyTime Now);

/// Applies \p E to \p State and returns what the process must do. Reads no
/// clock and draws no random number.
InstanceEffects reduce(FleetInstance &State, const InstanceEvent &E);

/// Returns true if the load balancer may send callers to this instance: it has
/// a configuration and an available sender, and isn't shutting down.
bool isReady(const FleetInstance &State, SteadyTime Now);

/// Returns the cell of an upstream, which depends on its id alone.
/// All instances assign an upstream to the same cell, by a hash of its id.
CellId cellOf(const UpstreamRecord &Record);

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_REDUCER_H
