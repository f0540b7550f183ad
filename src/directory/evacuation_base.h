/// \file State of the evacuation of data centres.
#ifndef SNIPESHUNT_DIRECTORY_EVACUATION_BASE_H
#define SNIPESHUNT_DIRECTORY_EVACUATION_BASE_H

#include "directory/directory_type.h"

namespace snipeshunt {

/// What this instance knows of evacuated data centres.
struct EvacuationState {
  /// `FleetBounds::Evacuate`; absent: nothing is read, and nothing withheld.
  std::optional<Duration> Bound;
  /// The set of the highest revision, of the store or of a peer.
  std::optional<EvacuationSet> Current;
  /// Since when starts wait for a set that was read later: the start of the
  /// process, or its return from a pause or a network cut.
  std::optional<SteadyTime> AwaitedSince;
  SteadyTime LastReturn{}; ///< The last start or return.
  bool IsReturn = false;   ///< `AwaitedSince` is a return, not the start.
  /// A read has failed since the last return.
  bool ReadFailed = false;
  bool GivenUp = false; ///< The wait has lasted for `Bound`, as was logged.
  SteadyTime LastPeerMessage{}; ///< Zero before the first.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_EVACUATION_BASE_H
