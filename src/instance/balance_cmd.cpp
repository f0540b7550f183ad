/// \file Handing cells to instances that have fewer than their share.
#include "instance/balance_cmd.h"

#include "cells/cell_table.h"
#include "cells/claim_cmd.h"
#include "sender/upstream_cmd.h"

namespace snipeshunt {

namespace {

void giveCell(CellState &Cells, SenderState &Sender, const CellId &Cell,
              SteadyTime Now, InstanceEffects &Out) {
  handOverCell(Cells, Cell, Now, Out);
  releaseCell(Sender, Cell, Now, Out);
}

/// Gives `CellState::LeavingCell` away once nothing runs there, or keeps it if
/// that takes too long.
void advanceLeavingCell(CellState &Cells, SenderState &Sender, SteadyTime Now,
                        InstanceEffects &Out) {
  CellId Cell = *Cells.LeavingCell;
  if (!Cells.Claims.count(Cell)) {
    Cells.LeavingCell.reset();
    return;
  }
  // Upstreams may have been added to the cell since.
  setCellLeaving(Sender, Cell, true);
  if (isCellIdle(Sender, Cell)) {
    giveCell(Cells, Sender, Cell, Now, Out);
    Cells.LeavingCell.reset();
  } else if (Now - Cells.LeavingSince >= MaxLeavingTime) {
    setCellLeaving(Sender, Cell, false);
    Cells.LeavingCell.reset();
    Cells.NextBalance = Now + BalanceRetryPause;
  }
}

} // namespace

void balanceCells(CellState &Cells, SenderState &Sender, SteadyTime Now,
                  InstanceEffects &Out) {
  if (Cells.LeavingCell)
    return advanceLeavingCell(Cells, Sender, Now, Out);
  for (const CellId &Cell : surplusCells(Cells, Now)) {
    if (isCellIdle(Sender, Cell)) {
      giveCell(Cells, Sender, Cell, Now, Out);
    } else if (!Cells.LeavingCell) {
      setCellLeaving(Sender, Cell, true);
      Cells.LeavingCell = Cell;
      Cells.LeavingSince = Now;
    }
  }
}

} // namespace snipeshunt
