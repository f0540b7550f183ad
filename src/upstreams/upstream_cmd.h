/// \file State changes of this instance as a sender: the list of upstreams,
/// their status and the end of attempts.
#ifndef SNIPESHUNT_UPSTREAMS_UPSTREAM_CMD_H
#define SNIPESHUNT_UPSTREAMS_UPSTREAM_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Adds the upstreams of the settings. Called once at the start.
void addConfiguredUpstreams(InstanceState &State);

/// Applies the platform's list, which has just been read: adds new upstreams
/// and marks unlisted ones as leaving.
void applyUpstreamList(InstanceState &State,
                       const std::vector<ListedUpstream> &List,
                       EffectList &Out);

/// Applies an upstream's status, or records that the request was not answered.
void applyStatus(InstanceState &State, const StatusRead &Event, SteadyTime Now,
                 EffectList &Out);

/// Recomputes the sender of each upstream. Called when the list, a member's
/// health or state, or this instance's own state changes.
void updateOwnership(InstanceState &State, EffectList &Out);

/// Requests the status of owned upstreams that is due. Called on every tick.
void pollStatuses(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Handles the end of an attempt: frees its slot, records it in the upstream's
/// health and speed, and queues the task again or finishes it at its home.
void endAttempt(InstanceState &State, const AttemptEnded &Event, SteadyTime Now,
                uint64_t Seed, EffectList &Out);

/// Returns true if this instance may start a task on \p U now.
bool acceptsTask(const InstanceState &State, const Upstream &U, SteadyTime Now);

/// Returns this instance's load as reported to other instances.
LoadReport currentLoad(const InstanceState &State, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_UPSTREAM_CMD_H
