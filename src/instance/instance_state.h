/// \file The whole state of an instance of a fleet of cells.
#ifndef SNIPESHUNT_INSTANCE_INSTANCE_STATE_H
#define SNIPESHUNT_INSTANCE_INSTANCE_STATE_H

#include "cells/cell_base.h"
#include "directory/directory_base.h"
#include "entry/entry_base.h"
#include "sender/sender_base.h"
#include "settings/fleet_settings_type.h"

#include <optional>

namespace snipeshunt {

/// State of an instance. Only `reduce` changes it.
struct FleetInstance {
  FleetSettings Settings;
  CellState Cells;
  DirectoryState Directory;
  SenderState Sender;
  EntryState Entry;
  /// When the shutdown was requested; absent before.
  std::optional<SteadyTime> DrainStarted;
  /// During a shutdown, last tick at which the entry or the sender had jobs.
  SteadyTime LastBusy{};
  bool Stopped = false;        ///< `StopProcess` was returned.
  SteadyTime LastEvent{};      ///< When the last event was handled.
  SteadyTime NoStartsBefore{}; ///< No task is started before this time.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_STATE_H
