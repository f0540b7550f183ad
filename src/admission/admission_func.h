/// \file Admission control for submitted jobs.
#ifndef SNIPESHUNT_ADMISSION_ADMISSION_FUNC_H
#define SNIPESHUNT_ADMISSION_ADMISSION_FUNC_H

#include "reducer/state_base.h"

#include <optional>

namespace snipeshunt {

/// Returns the limits on a submission's body, from the settings and the
/// configuration in force.
JobBodyLimits bodyLimits(const InstanceState &State);

/// Returns the reason to reject \p Request as not run, or nothing if it is
/// admitted. Called for each valid submission at its home.
std::optional<Error> testAdmission(const InstanceState &State,
                                   const ParsedSubmission &Request,
                                   SteadyTime Now);

/// Returns the estimated wait of a task that is queued here now: the queued
/// work divided by the speed of this instance's slots, or 60 s without usable
/// slots.
Duration expectedWait(const InstanceState &State);

} // namespace snipeshunt

#endif // SNIPESHUNT_ADMISSION_ADMISSION_FUNC_H
