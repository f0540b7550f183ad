/// \file Starting waiting tasks on upstreams that have room.
#ifndef SNIPESHUNT_SENDER_PLACEMENT_CMD_H
#define SNIPESHUNT_SENDER_PLACEMENT_CMD_H

#include "instance/instance_effect.h"
#include "sender/sender_base.h"

#include <functional>

namespace snipeshunt {

/// Starts tasks, in the order of the queue, while there is room. \p MayStart
/// says whether a job may have tasks started.
void startWaitingTasks(SenderState &State,
                       const std::function<bool(const SenderJob &)> &MayStart,
                       SteadyTime Now, InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_PLACEMENT_CMD_H
