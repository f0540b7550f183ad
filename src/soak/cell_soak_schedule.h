/// \file Generates the schedule of faults. It depends only on the seed, the
/// rate, the length and the sizes, so that a failed test can be repeated.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_SCHEDULE_H
#define SNIPESHUNT_SOAK_CELL_SOAK_SCHEDULE_H

#include "soak/cell_soak_type.h"

namespace snipeshunt {

/// Returns the instances whose processes \p Step affects; none for a fault of
/// links.
std::vector<size_t> processesOf(const FaultStep &Step, size_t Instances);

/// Returns about \p Rate faults a second for \p Length, by time of injection.
/// Faults may overlap, except two faults of the same process.
std::vector<FaultStep> cellSoakSchedule(const CellSoakSizes &Sizes,
                                        uint64_t Seed, double Rate,
                                        Duration Length);

/// Returns one line for each step, as printed by `--print-schedule`.
std::string formatSchedule(const std::vector<FaultStep> &Steps);

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_SCHEDULE_H
