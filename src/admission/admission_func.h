/// \file Whether a submission can be taken.
#ifndef SNIPESHUNT_ADMISSION_ADMISSION_FUNC_H
#define SNIPESHUNT_ADMISSION_ADMISSION_FUNC_H

#include "reducer/state_base.h"

#include <optional>

namespace snipeshunt {

/// Limits on a submission's body, from settings and configuration.
JobBodyLimits bodyLimits(const InstanceState &State);

/// The reason to refuse \p Request as not run, if there is one.
std::optional<Error> testAdmission(const InstanceState &State,
                                   const ParsedSubmission &Request,
                                   SteadyTime Now);

/// Wait of a task that joins this instance's queue now.
Duration expectedWait(const InstanceState &State);

} // namespace snipeshunt

#endif // SNIPESHUNT_ADMISSION_ADMISSION_FUNC_H
