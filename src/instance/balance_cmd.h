/// \file Handing cells to instances that have fewer than their share.
#ifndef SNIPESHUNT_INSTANCE_BALANCE_CMD_H
#define SNIPESHUNT_INSTANCE_BALANCE_CMD_H

#include "cells/cell_base.h"
#include "instance/instance_effect.h"
#include "sender/sender_base.h"

namespace snipeshunt {

/// Hands cells to instances that have fewer than their share: those where
/// nothing runs at once, of the others one at a time. Called on each tick.
void balanceCells(CellState &Cells, SenderState &Sender, SteadyTime Now,
                  InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_BALANCE_CMD_H
