/// \file The promises of a fleet of cells, as callers and upstreams see them.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H
#define SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H

#include "soak/cell_soak_callers.h"
#include "soak/cell_soak_injector.h"

namespace snipeshunt {

/// What a run has left behind.
struct SoakRecord {
  std::vector<RunEvent> History;
  std::vector<SoakAttempt> Attempts;
  std::vector<Outage> Outages;
};

std::vector<PromiseReport> checkPromises(const SoakRecord &Record);

bool anyBroken(const std::vector<PromiseReport> &Reports);
std::string formatPromises(const std::vector<PromiseReport> &Reports);

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_CHECKS_H
