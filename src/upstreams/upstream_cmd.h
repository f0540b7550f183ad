/// \file State changes of the sender.
#ifndef SNIPESHUNT_UPSTREAMS_UPSTREAM_CMD_H
#define SNIPESHUNT_UPSTREAMS_UPSTREAM_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Adds the upstreams of the settings.
void addConfiguredUpstreams(InstanceState &State);

/// Adopts the platform's list.
void applyUpstreamList(InstanceState &State,
                       const std::vector<ListedUpstream> &List,
                       EffectList &Out);

/// Adopts what an upstream says of itself.
void applyStatus(InstanceState &State, const StatusRead &Event, SteadyTime Now,
                 EffectList &Out);

/// Recomputes which upstreams this instance sends to.
void updateOwnership(InstanceState &State, EffectList &Out);

/// Queries owned upstreams whose status is due.
void pollStatuses(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Handles the end of an attempt: learns from it, retries or passes it on.
void endAttempt(InstanceState &State, const AttemptEnded &Event, SteadyTime Now,
                uint64_t Seed, EffectList &Out);

/// Whether \p U may get a task now.
bool acceptsTask(const InstanceState &State, const Upstream &U, SteadyTime Now);

/// This instance's load, as it tells others.
LoadReport currentLoad(const InstanceState &State, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_UPSTREAM_CMD_H
