/// \file What the sender knows of the entry instances of its jobs.
#include "instance/entry_contact_func.h"

#include "cells/cell_table.h"

#include <algorithm>

namespace snipeshunt {

bool isAbandonedByEntry(const CellState &Cells, const SenderJob &J,
                        SteadyTime Now) {
  const JobOrder &Order = J.Order;
  auto P = Cells.Peers.find(Order.Entry);
  if (P == Cells.Peers.end())
    return true;
  return P->second.Incarnation != Order.Incarnation ||
         Order.Number < P->second.OldestAwaitedJob ||
         Now - std::max(P->second.LastPingRaw, J.Received) >= EntryTimeout;
}

SteadyTime lastContact(const CellState &Cells, const SenderJob &J,
                       SteadyTime Now) {
  if (J.Waiter.Local)
    return Now;
  if (isAbandonedByEntry(Cells, J, Now))
    return {};
  const Peer &P = Cells.Peers.at(J.Order.Entry);
  // A job that came late may have been given up before.
  SteadyTime Received =
      J.ConfirmSince == SteadyTime{} ? J.ReceivedBound : SteadyTime{};
  return std::max({P.LastPingBound, P.LastConfirmation, Received});
}

bool isAwaitedByEntry(const CellState &Cells, const SenderJob &J,
                      SteadyTime Now) {
  auto P = Cells.Peers.find(J.Order.Entry);
  return P != Cells.Peers.end() && P->second.UnconfirmedSince == SteadyTime{} &&
         P->second.LastConfirmation >= J.ConfirmSince &&
         !isAbandonedByEntry(Cells, J, Now);
}

} // namespace snipeshunt
