/// \file Policy values as the configuration in force gives them.
#ifndef SNIPESHUNT_REDUCER_POLICY_FUNC_H
#define SNIPESHUNT_REDUCER_POLICY_FUNC_H

#include "reducer/state_base.h"

namespace snipeshunt {

Duration longThreshold(const InstanceState &State);
double longShare(const InstanceState &State);
double teamWeightOf(const InstanceState &State, const Team &Owner);
/// Tasks of \p Owner that this instance may hold: its part of the quota.
size_t localTeamQuota(const InstanceState &State, const Team &Owner);
Duration taskTimeoutOf(const InstanceState &State, const TaskKind &Kind);
uint32_t failuresBeforeProbing(const InstanceState &State);
Duration firstProbePause(const InstanceState &State);
Duration maxProbePause(const InstanceState &State);
double retryShare(const InstanceState &State);
size_t retryBurst(const InstanceState &State);
bool upstreamExcluded(const InstanceState &State, const Address &Where);

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_POLICY_FUNC_H
