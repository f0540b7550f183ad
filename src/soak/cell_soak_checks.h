/// \file The promises of a fleet of cells, as callers and upstreams see them.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H
#define SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H

#include "history/history_func.h"
#include "soak/cell_soak_callers.h"
#include "soak/cell_soak_injector.h"

namespace snipeshunt {

/// What a run has left behind.
struct SoakRecord {
  std::vector<RunEvent> History;
  std::vector<SoakAttempt> Attempts;
  std::vector<Outage> Outages;
};

std::vector<GuaranteeReport> checkGuarantees(const SoakRecord &Record);

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H
