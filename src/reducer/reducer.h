/// \file The reducer: the only function that changes the state of an instance.
#ifndef SNIPESHUNT_REDUCER_REDUCER_H
#define SNIPESHUNT_REDUCER_REDUCER_H

#include "reducer/effect_type.h"
#include "reducer/event_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Returns the state of a process that has just started.
InstanceState initialState(DaemonSettings Settings, IncarnationId Incarnation);

/// Applies \p E to \p State and returns the effects that the process must carry
/// out in their order. Reads no clock and draws no random number: both come
/// with the event.
EffectList reduce(InstanceState &State, const Event &E);

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_REDUCER_H
