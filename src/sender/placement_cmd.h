/// \file Placement of waiting tasks on upstreams with free capacity.
#ifndef SNIPESHUNT_SENDER_PLACEMENT_CMD_H
#define SNIPESHUNT_SENDER_PLACEMENT_CMD_H

#include "instance/instance_effect.h"
#include "sender/lease_cmd.h"

#include <functional>

namespace snipeshunt {

/// Starts waiting tasks in the order of the queue, as far as there is free
/// capacity. \p MayStart returns true if tasks of a job may be started. Called
/// after each event; does nothing unless `SenderState::PlacementDue`.
void startWaitingTasks(SenderState &State,
                       const std::function<bool(const SenderJob &)> &MayStart,
                       const ContactLookup &LastContact, SteadyTime Now,
                       InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_PLACEMENT_CMD_H
