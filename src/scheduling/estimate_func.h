/// \file Run-time estimates per task kind.
#ifndef SNIPESHUNT_SCHEDULING_ESTIMATE_FUNC_H
#define SNIPESHUNT_SCHEDULING_ESTIMATE_FUNC_H

#include "scheduling/queue_base.h"

#include <optional>

namespace snipeshunt {

/// Expected run time of \p Spec at speed 1: learned, else what the operators
/// assume for its kind, else declared, else a default.
Duration estimateRuntime(const RuntimeEstimates &Estimates,
                         const TaskSpec &Spec,
                         std::optional<std::chrono::milliseconds> Assumed);

/// Learns from a run of \p Observed on an upstream of \p Speed.
void updateRuntimeEstimate(RuntimeEstimates &Estimates, const TaskKind &Kind,
                           Duration Observed, double Speed);

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_ESTIMATE_FUNC_H
