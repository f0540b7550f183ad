/// \file Learned speed and health of upstreams, and the retry budget.
#ifndef SNIPESHUNT_UPSTREAMS_HEALTH_CMD_H
#define SNIPESHUNT_UPSTREAMS_HEALTH_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Updates speed, run times and health from the end of an attempt.
void recordAttemptEnd(InstanceState &State, const Attempt &A, AttemptEnd End,
                      SteadyTime Now, uint64_t Seed, EffectList &Out);

/// Queues a task again that no upstream was asked to start. Gives false when
/// its time is used up before \p Earliest.
bool requeueTask(InstanceState &State, const WaitingTask &Task,
                 SteadyTime Earliest, SteadyTime Now, uint64_t Seed);

/// Counts the start of an attempt for the retry budget.
void recordStart(InstanceState &State, SteadyTime Now);

/// Queues a task again whose attempt has not started it, for the time at which
/// the retry budget allows it. Gives false when the task's time ends before.
bool retryTask(InstanceState &State, const WaitingTask &Task, SteadyTime Now,
               uint64_t Seed);

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_HEALTH_CMD_H
