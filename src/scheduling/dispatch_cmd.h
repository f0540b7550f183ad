/// \file Matching waiting tasks with free slots, here and at peers.
#ifndef SNIPESHUNT_SCHEDULING_DISPATCH_CMD_H
#define SNIPESHUNT_SCHEDULING_DISPATCH_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Starts waiting tasks on this instance's upstreams while slots are free.
void startTasks(InstanceState &State, SteadyTime Now, uint64_t Seed,
                EffectList &Out);

/// Hands waiting tasks of this home to peers that have free slots.
void handOverTasks(InstanceState &State, SteadyTime Now, EffectList &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_DISPATCH_CMD_H
