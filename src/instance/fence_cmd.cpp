/// \file Cells whose upstreams have rejected an order for a higher fencing
/// token.
#include "instance/fence_cmd.h"

#include "cells/cell_table.h"
#include "cells/claim_cmd.h"
#include "instance/instance_func.h"
#include "sender/upstream_cmd.h"

#include <string>

namespace snipeshunt {

namespace {

// Orders that are rejected within this time after a claim show that its token
// is too low. The cell is claimed again with a higher token after this time,
// unless the claim of another sender has arrived by then.
constexpr Duration FenceGrace = std::chrono::milliseconds(300);
// Added to a token that was too low; equals about 17 minutes of clock
// difference between two senders.
constexpr uint64_t TokenIncrement = uint64_t{1} << 30;

} // namespace

void releaseFencedCell(FleetInstance &State, const CellId &Cell, SteadyTime Now,
                       InstanceEffects &Out) {
  auto Claim = State.Cells.Claims.find(Cell);
  if (Claim == State.Cells.Claims.end())
    return;
  bool New = Now - Claim->second.Since < FenceGrace;
  logInstance(Out, "orders rejected for a higher fencing token in cell=" +
                       cellText(Cell) +
                       " token=" + std::to_string(Claim->second.Token.Value) +
                       (New ? ", claiming it again with a higher token"
                            : ", released to a newer sender"));
  FencingToken Token = Claim->second.Token;
  releaseClaim(State.Cells, Cell, Now);
  if (New) {
    // Tokens contain the wall clock, and the last sender's clock was ahead of
    // the one here.
    State.Cells.HighestToken[Cell].Value = Token.Value + TokenIncrement;
    State.Cells.ClaimAfter[Cell] = Now + FenceGrace;
  }
  releaseCell(State.Sender, Cell, Now, Out);
}

} // namespace snipeshunt
