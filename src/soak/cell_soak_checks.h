/// \file Checks the guarantees of a fleet of cells against what callers and
/// upstreams recorded.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H
#define SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H

#include "history/history_func.h"
#include "soak/cell_soak_callers.h"
#include "soak/cell_soak_injector.h"

namespace snipeshunt {

/// Records of a soak test.
struct SoakRecord {
  std::vector<RunEvent> History; ///< Starts and ends of runs on the stand-ins.
  std::vector<SoakAttempt> Attempts; ///< Submissions of all callers.
  std::vector<Outage> Outages;       ///< Faults of instances' processes.
};

/// Returns one report for each guarantee; to be called after the test.
std::vector<GuaranteeReport> checkGuarantees(const SoakRecord &Record);

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H
