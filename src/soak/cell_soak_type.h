/// \file Faults of a soak test of a fleet of cells, and their schedule.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_TYPE_H
#define SNIPESHUNT_SOAK_CELL_SOAK_TYPE_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshunt {

/// Object that a fault affects.
enum class FaultTarget {
  Process,      ///< One instance.
  AllProcesses, ///< Every instance.
  PeersLink,    ///< Connections of the others to one instance.
  StoreLink,    ///< Connections of one instance to the store.
  AllStores,    ///< Connections of every instance to the store.
  RunnerLink,   ///< Connections of all instances to one runner.
};

/// What a fault does to its target.
enum class FaultAction {
  Kill,        ///< SIGKILL, then a new process.
  Pause,       ///< SIGSTOP, then SIGCONT.
  End,         ///< SIGTERM, then a new process.
  HangUp,      ///< SIGHUP.
  Delay,       ///< Bytes are delayed by `LinkDelay`.
  Cut,         ///< Bytes are held in both directions until the fault ends.
  CutForward,  ///< Requests of the connecting side are held.
  CutBackward, ///< Requests are executed, but their answers are held.
  Reset,       ///< Open connections are reset.
  Silence, ///< Open connections stay open but pass no more bytes; new ones do.
};

/// One kind of fault.
struct CellFault {
  const char *Name; ///< In the report and the printed schedule.
  FaultTarget Target;
  FaultAction Action;
  uint32_t Weight; ///< Relative frequency in a schedule.
  uint32_t MinMs;  ///< Shortest duration.
  uint32_t MaxMs;  ///< Longest duration.
};

/// One injection of a fault.
struct FaultStep {
  Duration At;     ///< Since the start of the run.
  Duration Length; ///< Time until it is healed.
  size_t Fault;    ///< Row of `CellFaults`.
  size_t Number;   ///< Index of the affected instance or runner.
};

/// Size of the fleet; bounds `FaultStep::Number`.
struct CellSoakSizes {
  size_t Instances = 6;
  size_t Runners = 9;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_TYPE_H
