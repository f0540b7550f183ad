/// \file The schedule of faults, a function of the seed alone.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_SCHEDULE_H
#define SNIPESHUNT_SOAK_CELL_SOAK_SCHEDULE_H

#include "soak/cell_soak_type.h"

namespace snipeshunt {

/// Instances whose process a fault concerns; none for faults of links.
std::vector<size_t> processesOf(const FaultStep &Step, size_t Instances);

/// Faults in the order of their times; about \p Rate a second. They overlap,
/// but for two faults of one process.
std::vector<FaultStep> cellSoakSchedule(const CellSoakSizes &Sizes,
                                        uint64_t Seed, double Rate,
                                        Duration Length);

std::string formatSchedule(const std::vector<FaultStep> &Steps);

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_SCHEDULE_H
