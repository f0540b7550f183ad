/// \file What the parts of an instance need of each other.
#ifndef SNIPESHUNT_INSTANCE_INSTANCE_FUNC_H
#define SNIPESHUNT_INSTANCE_INSTANCE_FUNC_H

#include "entry/job_end_cmd.h"
#include "instance/instance_state.h"

#include <string>

namespace snipeshunt {

/// What the entry needs of the other parts.
EntryContext entryContext(FleetInstance &State, SteadyTime Now);

/// Logs a decision on the instance as a whole.
void logInstance(InstanceEffects &Out, std::string Message);

} // namespace snipeshunt

#endif // SNIPESHUNT_INSTANCE_INSTANCE_FUNC_H
