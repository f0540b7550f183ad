/// \file Values of the scheduling policy from the configuration in force.
#include "reducer/policy_func.h"

#include "configuration/configuration_func.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

Duration longThreshold(const InstanceState &State) {
  return State.Configuration.InForce.Defaults.LongThreshold;
}

double longShare(const InstanceState &State) {
  return State.Configuration.InForce.Defaults.LongShare;
}

double teamWeightOf(const InstanceState &State, const Team &Owner) {
  return teamWeight(State.Configuration.InForce, Owner);
}

size_t localTeamQuota(const InstanceState &State, const Team &Owner) {
  // Counts every member that has sent a heartbeat, reachable or not: in a
  // network partition no side may use the other side's part of the quota.
  size_t Instances = 1;
  for (const auto &[Endpoint, M] : State.Members.Members)
    if (M.Incarnation != IncarnationId{} && M.State != MemberState::Left)
      ++Instances;
  double Quota =
      static_cast<double>(teamQuota(State.Configuration.InForce, Owner));
  return static_cast<size_t>(std::ceil(Quota / static_cast<double>(Instances)));
}

Duration taskTimeoutOf(const InstanceState &State, const TaskKind &Kind) {
  return taskTimeout(State.Configuration.InForce, Kind);
}

uint32_t failuresBeforeProbing(const InstanceState &State) {
  return static_cast<uint32_t>(
      State.Configuration.InForce.Defaults.FailuresBeforeProbing);
}

Duration firstProbePause(const InstanceState &State) {
  return State.Configuration.InForce.Defaults.ProbePause;
}

Duration maxProbePause(const InstanceState &State) {
  return State.Configuration.InForce.Defaults.ProbePauseMax;
}

double retryShare(const InstanceState &State) {
  return State.Configuration.InForce.Defaults.RetryShare;
}

size_t retryBurst(const InstanceState &State) {
  return static_cast<size_t>(State.Configuration.InForce.Defaults.RetryBurst);
}

bool upstreamExcluded(const InstanceState &State, const Address &Upstream) {
  return upstreamLeaving(State.Configuration.InForce, Upstream);
}

} // namespace snipeshunt
