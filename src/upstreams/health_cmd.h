/// \file Learned speed and health of upstreams, and the retry budget, which
/// limits retries to a share of the recent starts plus a burst.
#ifndef SNIPESHUNT_UPSTREAMS_HEALTH_CMD_H
#define SNIPESHUNT_UPSTREAMS_HEALTH_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Updates the upstream's speed and health and the run-time estimates from the
/// attempt \p A that has just ended with \p End. \p Seed is used for the jitter
/// of pauses.
void recordAttemptEnd(InstanceState &State, const Attempt &A, AttemptEnd End,
                      SteadyTime Now, uint64_t Seed, EffectList &Out);

/// Queues \p Task again, to start no earlier than \p Earliest plus some jitter.
/// Does not use the retry budget. Returns false if \p Earliest is not before
/// the start deadline of the task.
bool requeueTask(InstanceState &State, const WaitingTask &Task,
                 SteadyTime Earliest, SteadyTime Now, uint64_t Seed);

/// Counts the start of an attempt for the retry budget. Called for each start.
void recordStart(InstanceState &State, SteadyTime Now);

/// Queues \p Task again after an attempt that proved not to have started it, to
/// start when the retry budget allows it. Returns false if that is not before
/// the start deadline of the task, or if the budget allows no retries at all.
bool retryTask(InstanceState &State, const WaitingTask &Task, SteadyTime Now,
               uint64_t Seed);

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_HEALTH_CMD_H
