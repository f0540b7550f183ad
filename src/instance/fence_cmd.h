/// \file Cells whose upstreams have rejected an order for a higher fencing
/// token.
#ifndef SNIPESHUNT_INSTANCE_FENCE_CMD_H
#define SNIPESHUNT_INSTANCE_FENCE_CMD_H

#include "instance/instance_effect.h"
#include "instance/instance_state.h"

namespace snipeshunt {

/// Releases a cell whose upstreams accept only a newer sender's orders. A cell
/// that was claimed just before is claimed again with a higher token.
void releaseFencedCell(FleetInstance &State, const CellId &Cell, SteadyTime Now,
                       InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_FENCE_CMD_H
