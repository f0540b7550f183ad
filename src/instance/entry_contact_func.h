/// \file What the sender knows of the entry instances of its jobs.
#ifndef SNIPESHUNT_INSTANCE_ENTRY_CONTACT_FUNC_H
#define SNIPESHUNT_INSTANCE_ENTRY_CONTACT_FUNC_H

#include "cells/cell_base.h"
#include "sender/sender_base.h"

namespace snipeshunt {

/// Returns true if the entry of a job no longer awaits it: it is
/// unknown, was replaced by another process, reports so, or has sent neither
/// the job nor a ping for `EntryTimeout`. Other jobs that it sends do not
/// count: it goes on forwarding them for a time after it has given up earlier
/// ones.
bool isAbandonedByEntry(const CellState &Cells, const SenderJob &J,
                        SteadyTime Now);

/// Returns a time at which the entry of a job still awaited it, the last one
/// that is known; zero if it no longer does. A job of this instance's own entry
/// can't outlast that unnoticed.
SteadyTime lastContact(const CellState &Cells, const SenderJob &J,
                       SteadyTime Now);

/// Returns true if the entry of a job is confirmed to await it.
bool isAwaitedByEntry(const CellState &Cells, const SenderJob &J,
                      SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_ENTRY_CONTACT_FUNC_H
