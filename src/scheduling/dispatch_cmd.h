/// \file Assignment of waiting tasks to free slots of own upstreams and of
/// peers.
#ifndef SNIPESHUNT_SCHEDULING_DISPATCH_CMD_H
#define SNIPESHUNT_SCHEDULING_DISPATCH_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Starts waiting tasks on the upstreams that this instance sends to, while
/// slots are free. Called after every event. \p Seed is the random number of
/// the random placement rule.
void startTasks(InstanceState &State, SteadyTime Now, uint64_t Seed,
                EffectList &Out);

/// Hands waiting tasks of this home over to peers that have free slots, or to
/// the peer with the shortest expected wait if this instance has no slots
/// itself. Called after `startTasks`.
void handOverTasks(InstanceState &State, SteadyTime Now, EffectList &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_DISPATCH_CMD_H
