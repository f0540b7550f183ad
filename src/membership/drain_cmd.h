/// \file Graceful shutdown.
#ifndef SNIPESHUNT_MEMBERSHIP_DRAIN_CMD_H
#define SNIPESHUNT_MEMBERSHIP_DRAIN_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Starts a graceful shutdown; a second request changes nothing.
void startDrain(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Advances a graceful shutdown: waits for the work, hands the retained
/// answers to a peer, announces the departure, ends the process.
void advanceDrain(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Notes that the heir has taken a part of the answers, or has not.
void applyAnswerTransferEnd(InstanceState &State,
                            const AnswerTransferEnded &Event, SteadyTime Now,
                            EffectList &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_MEMBERSHIP_DRAIN_CMD_H
