/// \file Graceful shutdown of this instance.
#ifndef SNIPESHUNT_MEMBERSHIP_DRAIN_CMD_H
#define SNIPESHUNT_MEMBERSHIP_DRAIN_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Starts a graceful shutdown: releases the upstreams, returns waiting tasks of
/// other homes and announces the state `draining`. Does nothing if one is under
/// way.
void startDrain(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Advances a graceful shutdown; called at each tick. Waits until the work is
/// done or the time limit is reached, transfers the retained answers to a
/// successor, announces the departure and ends the process.
void advanceDrain(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Handles the end of the transfer of one chunk of answers: sends the next, or
/// announces the departure after the last. If the successor did not accept it,
/// the next tick starts the transfer anew.
void applyAnswerTransferEnd(InstanceState &State,
                            const AnswerTransferEnded &Event, SteadyTime Now,
                            EffectList &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_MEMBERSHIP_DRAIN_CMD_H
