/// \file Generates the schedule of faults. It depends only on the seed, the
/// rate, the length and the sizes, so that a failed test can be repeated.
#ifndef SNIPESHUNT_LOAD_SOAK_SCHEDULE_H
#define SNIPESHUNT_LOAD_SOAK_SCHEDULE_H

#include "load/soak_type.h"

namespace snipeshunt {

/// Returns about \p Rate faults a second for \p Length, by time of injection.
/// No two faults of one process overlap, and at any time most instances run
/// without a fault of their process.
std::vector<SoakStep> soakSchedule(const SoakSizes &Sizes, uint64_t Seed,
                                   double Rate, Duration Length);

/// Returns one line for each step, as printed by `--print-schedule`.
std::string formatSchedule(const std::vector<SoakStep> &Steps);

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_SCHEDULE_H
