/// \file Shutdown of an instance.
#ifndef SNIPESHUNT_INSTANCE_DRAIN_CMD_H
#define SNIPESHUNT_INSTANCE_DRAIN_CMD_H

#include "instance/instance_effect.h"
#include "instance/instance_state.h"

namespace snipeshunt {

/// Begins the shutdown: jobs of which nothing has run go to other senders.
void beginDrain(FleetInstance &State, SteadyTime Now, InstanceEffects &Out);

/// Ends the process once its jobs are done or the time limit is near. Called on
/// each tick.
void advanceDrain(FleetInstance &State, SteadyTime Now, InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_DRAIN_CMD_H
