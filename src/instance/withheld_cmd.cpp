/// \file Effect of an evacuation on the parts of an instance.
#include "instance/withheld_cmd.h"

#include "cells/cell_cmd.h"
#include "directory/evacuation_cmd.h"
#include "directory/evacuation_table.h"

#include <set>
#include <utility>

namespace snipeshunt {

void updateEvacuation(FleetInstance &State, SteadyTime Now) {
  const EvacuationState &Known = State.Directory.Evacuation;
  if (!Known.Bound && !State.Cells.WantsEvacuation)
    return;
  State.Cells.WantsEvacuation = Known.Bound.has_value();
  std::set<DataCentre> Centres;
  if (Known.Current)
    Centres = Known.Current->Centres;
  applyEvacuatedCentres(State.Cells, Centres, Now);
  WithheldStarts &Withheld = State.Sender.Withheld;
  std::optional<SteadyTime> PausedSince = startsPausedSince(Known, Now);
  if (Withheld.Paused != PausedSince.has_value() || Withheld.Centres != Centres)
    State.Sender.PlacementDue = true;
  Withheld.Paused = PausedSince.has_value();
  Withheld.Evacuated = Centres.count(State.Settings.Self.Centre) != 0;
  Withheld.ReturnsJobs = Withheld.Evacuated ||
                         (PausedSince && Now - *PausedSince >= MaxStartPause);
  Withheld.Centres = std::move(Centres);
}

} // namespace snipeshunt
