/// \file Faults of a soak test and their schedule.
#ifndef SNIPESHUNT_LOAD_SOAK_TYPE_H
#define SNIPESHUNT_LOAD_SOAK_TYPE_H

#include "core/clock.h"
#include "fleet/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace snipeshunt {

/// What a fault does, and to which object.
enum class SoakAction {
  KillInstance,   ///< SIGKILL, then restart on the same address.
  PauseInstance,  ///< SIGSTOP, then SIGCONT.
  DrainInstance,  ///< SIGTERM, then restart.
  CutCentres,     ///< All links between two data centres, both ways.
  CutInstances,   ///< The link between two instances, both ways.
  CutOneWay,      ///< Messages from one instance to another.
  RelayFault,     ///< A relay rule for messages to one instance.
  UpstreamMode,   ///< A mode of the stand-in, then back to normal.
  UpstreamLeaves, ///< The mode `leaving`, until the end of the test.
  KillUpstream,   ///< SIGKILL, then restart.
  Platform,       ///< Faults of the platform stand-in.
  OperatorRace,   ///< Two conflicting changes of the configuration.
};

/// One kind of fault.
struct SoakFault {
  const char *Name; ///< In the report and the printed schedule.
  SoakAction Action;
  const char *Detail; ///< Relay action, upstream mode or JSON of the platform.
  const char *Path;   ///< Path prefix of a relay rule.
  uint32_t Weight;    ///< Relative frequency in a schedule.
  uint32_t MinMs;     ///< Shortest duration.
  uint32_t MaxMs;     ///< Longest duration.
};

/// One injection of a fault.
struct SoakStep {
  Duration At;        ///< Since the start of the run.
  Duration Length;    ///< Time until it is healed.
  size_t Fault;       ///< Row of `SoakFaults`.
  size_t Target;      ///< Index of the instance, upstream or data centre.
  size_t Other;       ///< Second instance or data centre of a cut.
  uint32_t DelayMs;   ///< Of a relay rule.
  double Probability; ///< Of a relay rule or an upstream's mode.
};

/// Size of the fleet; bounds `SoakStep::Target` and `SoakStep::Other`.
struct SoakSizes {
  size_t Centres = 3;
  size_t Instances = 9;  ///< In all data centres together.
  size_t Upstreams = 51; ///< In all data centres together.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_TYPE_H
