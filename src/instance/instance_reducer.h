/// \file The one function that changes the state of a fleet instance.
#ifndef SNIPESHUNT_INSTANCE_INSTANCE_REDUCER_H
#define SNIPESHUNT_INSTANCE_INSTANCE_REDUCER_H

#include "instance/instance_effect.h"
#include "instance/instance_event.h"
#include "instance/instance_state.h"

namespace snipeshunt {

/// State of a process that has just started.
FleetInstance startInstance(FleetSettings Settings, IncarnationId Incarnation,
                            SteadyTime Now);

/// Applies \p E to \p State and gives what the process must do. Reads no clock
/// and draws no random number.
InstanceEffects reduce(FleetInstance &State, const InstanceEvent &E);

/// Whether new callers should be sent to this instance.
bool isReady(const FleetInstance &State, SteadyTime Now);

/// The cell of an upstream when its data centre has \p CellCount cells.
CellId cellOf(const UpstreamRecord &Record, uint32_t CellCount);

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_REDUCER_H
