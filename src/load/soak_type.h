/// \file Faults of a soak run and their schedule.
#ifndef SNIPESHUNT_LOAD_SOAK_TYPE_H
#define SNIPESHUNT_LOAD_SOAK_TYPE_H

#include "core/clock.h"
#include "fleet/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipeshunt {

/// What a fault disturbs, and how.
enum class SoakAction {
  KillInstance,   ///< SIGKILL, then restart on the same address.
  PauseInstance,  ///< SIGSTOP, then SIGCONT.
  DrainInstance,  ///< SIGTERM, then restart.
  CutCentres,     ///< All links between two data centres, both ways.
  CutInstances,   ///< The link between two instances, both ways.
  CutOneWay,      ///< Messages of one instance to another.
  RelayFault,     ///< A relay rule for messages to one instance.
  UpstreamMode,   ///< A mode of the stand-in, then back to normal.
  UpstreamLeaves, ///< The mode `leaving`, until the end of the run.
  KillUpstream,   ///< SIGKILL, then restart.
  Platform,       ///< Faults of the platform stand-in.
  OperatorRace,   ///< Two conflicting changes of the configuration.
};

/// One kind of fault.
struct SoakFault {
  const char *Name;
  SoakAction Action;
  const char *Detail; ///< Relay action, mode or faults of the platform.
  const char *Path;   ///< Of a relay rule.
  uint32_t Weight;    ///< Share of the schedule.
  uint32_t MinMs;     ///< Shortest duration.
  uint32_t MaxMs;     ///< Longest duration.
};

/// One injection.
struct SoakStep {
  Duration At;     ///< Since the start of the run.
  Duration Length; ///< Until it is healed.
  size_t Fault;    ///< Row of the table of faults.
  size_t Target;   ///< Instance, upstream or data centre.
  size_t Other;    ///< Second instance or data centre of a cut.
  uint32_t DelayMs;
  double Probability;
};

/// Sizes, which bound the targets of faults.
struct SoakSizes {
  size_t Centres = 3;
  size_t Instances = 9;
  size_t Upstreams = 51;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_TYPE_H
