/// \file The schedule of faults, a function of the seed alone.
#ifndef SNIPESHUNT_LOAD_SOAK_SCHEDULE_H
#define SNIPESHUNT_LOAD_SOAK_SCHEDULE_H

#include "load/soak_type.h"

namespace snipeshunt {

/// About \p Rate faults a second for \p Length, by time of injection. No two
/// faults of one process overlap, and most instances are undisturbed.
std::vector<SoakStep> soakSchedule(const SoakSizes &Sizes, uint64_t Seed,
                                   double Rate, Duration Length);

std::string formatSchedule(const std::vector<SoakStep> &Steps);

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_SCHEDULE_H
