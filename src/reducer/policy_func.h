/// \file Values of the scheduling policy from the configuration in force.
#ifndef SNIPESHUNT_REDUCER_POLICY_FUNC_H
#define SNIPESHUNT_REDUCER_POLICY_FUNC_H

#include "reducer/state_base.h"

namespace snipeshunt {

/// Estimated run time above which a task belongs to the lane of long tasks.
Duration longThreshold(const InstanceState &State);
/// Share of the slots that long tasks may use.
double longShare(const InstanceState &State);
/// Weight of the team in the order of waiting tasks.
double teamWeightOf(const InstanceState &State, const Team &Owner);
/// Tasks of \p Owner that this instance accepts: the quota divided by the
/// number of instances.
size_t localTeamQuota(const InstanceState &State, const Team &Owner);
/// Time limit of a run of a task of \p Kind.
Duration taskTimeoutOf(const InstanceState &State, const TaskKind &Kind);
/// Consecutive failures after which an upstream gets only probes.
uint32_t failuresBeforeProbing(const InstanceState &State);
/// Pause before the first probe of a failing upstream.
Duration firstProbePause(const InstanceState &State);
/// Upper bound of the pause between probes, which grows with each failed probe.
Duration maxProbePause(const InstanceState &State);
/// Retries allowed per start within the window of the retry budget.
double retryShare(const InstanceState &State);
/// Retries allowed in that window besides the share.
size_t retryBurst(const InstanceState &State);
/// Returns true if the configuration excludes the upstream from new tasks.
bool upstreamExcluded(const InstanceState &State, const Address &Upstream);

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_POLICY_FUNC_H
