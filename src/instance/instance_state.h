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

/// State that only the reducer changes.
struct FleetInstance {
  FleetSettings Settings;
  CellState Cells;
  DirectoryState Directory;
  SenderState Sender;
  EntryState Entry;
  std::optional<SteadyTime> DrainStarted;
  SteadyTime LastBusy{}; ///< Last time at which jobs were here.
  bool Stopped = false;
  SteadyTime LastEvent{};
  SteadyTime NoStartsBefore{}; ///< No task is started before.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_STATE_H
