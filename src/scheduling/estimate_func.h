/// \file Estimates of run times per task kind.
#ifndef SNIPESHUNT_SCHEDULING_ESTIMATE_FUNC_H
#define SNIPESHUNT_SCHEDULING_ESTIMATE_FUNC_H

#include "scheduling/queue_base.h"

#include <optional>

namespace snipeshunt {

/// Returns the estimated run time of \p Spec at speed 1: the learned mean of
/// its kind once there are enough samples, else \p Assumed (the operators'
/// setting for the kind), else the time that the caller declared, else a
/// default.
Duration estimateRuntime(const RuntimeEstimates &Estimates,
                         const TaskSpec &Spec,
                         std::optional<std::chrono::milliseconds> Assumed);

/// Adds a run that took \p Observed on an upstream of \p Speed to the mean of
/// its kind. Called for every attempt that finished.
void updateRuntimeEstimate(RuntimeEstimates &Estimates, const TaskKind &Kind,
                           Duration Observed, double Speed);

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_ESTIMATE_FUNC_H
