/// \file State changes of the claims to cells.
#ifndef SNIPESHUNT_CELLS_CLAIM_CMD_H
#define SNIPESHUNT_CELLS_CLAIM_CMD_H

#include "cells/cell_base.h"
#include "instance/instance_effect.h"

namespace snipeshunt {

/// What a call of `updateClaims` has changed.
struct ClaimChanges {
  std::vector<CellId> Acquired;
  std::vector<CellId> Lost; ///< Superseded by a peer's claim.
};

/// Drops claims that a peer's newer one supersedes, and claims cells of the own
/// data centre that have no sender. \p Wall goes into new tokens. Called with
/// each tick, and with messages that set `CellState::ClaimsDue`.
ClaimChanges updateClaims(CellState &State, SteadyTime Now, WallTime Wall,
                          InstanceEffects &Out);

/// Returns the claimed cells that are to be handed to other instances, because
/// the processor of this one doesn't suffice for them and others have less than
/// their share. Empty while a cell of the data centre is unserved or a sender
/// there is not reachable. Called with each tick.
std::vector<CellId> surplusCells(CellState &State, SteadyTime Now);

/// Releases a cell for another instance and tells the peers.
void handOverCell(CellState &State, const CellId &Cell, SteadyTime Now,
                  InstanceEffects &Out);

/// Releases a cell whose upstreams accept only a newer sender's orders.
void releaseClaim(CellState &State, const CellId &Cell, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CLAIM_CMD_H
