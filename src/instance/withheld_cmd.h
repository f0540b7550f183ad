/// \file Effect of an evacuation on the parts of an instance.
#ifndef SNIPESHUNT_INSTANCE_WITHHELD_CMD_H
#define SNIPESHUNT_INSTANCE_WITHHELD_CMD_H

#include "instance/instance_state.h"

namespace snipeshunt {

/// Makes the sender and the entry obey the known evacuations. Called before and
/// after each event.
void updateEvacuation(FleetInstance &State, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_WITHHELD_CMD_H
