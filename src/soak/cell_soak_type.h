/// \file Faults of a soak of real instances of a fleet of cells.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_TYPE_H
#define SNIPESHUNT_SOAK_CELL_SOAK_TYPE_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshunt {

/// What a fault disturbs.
enum class FaultTarget {
  Process,      ///< One instance.
  AllProcesses, ///< Every instance.
  PeersLink,    ///< Connections of the others to one instance.
  StoreLink,    ///< Connections of one instance to the store.
  AllStores,    ///< Those of every instance.
  RunnerLink,   ///< Connections of all instances to one runner.
};

enum class FaultAction {
  Kill,   ///< SIGKILL, then a new process.
  Pause,  ///< SIGSTOP, then SIGCONT.
  End,    ///< SIGTERM, then a new process.
  HangUp, ///< SIGHUP.
  Delay,
  Cut,
  CutForward,  ///< The connecting side isn't heard.
  CutBackward, ///< Its requests are carried out and get no answer.
  Reset,
  Silence, ///< Open connections pass nothing any more.
};

/// One kind of fault.
struct CellFault {
  const char *Name;
  FaultTarget Target;
  FaultAction Action;
  uint32_t Weight; ///< Share of the schedule.
  uint32_t MinMs;  ///< Shortest duration.
  uint32_t MaxMs;  ///< Longest duration.
};

/// One injection.
struct FaultStep {
  Duration At;     ///< Since the start of the run.
  Duration Length; ///< Until it is healed.
  size_t Fault;    ///< Row of the table of faults.
  size_t Number;   ///< Instance or runner.
};

/// What bounds the targets of faults.
struct CellSoakSizes {
  size_t Instances = 6;
  size_t Runners = 9;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_TYPE_H
