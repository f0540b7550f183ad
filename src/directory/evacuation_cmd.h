/// \file State changes of the evacuation of data centres.
#ifndef SNIPESHUNT_DIRECTORY_EVACUATION_CMD_H
#define SNIPESHUNT_DIRECTORY_EVACUATION_CMD_H

#include "directory/evacuation_base.h"
#include "instance/instance_effect.h"

namespace snipeshunt {

/// Applies the setting. Starts wait for the first set from then on.
void setEvacuationBound(EvacuationState &State, std::optional<Duration> Bound,
                        SteadyTime Now);

/// Applies a read that began after the last return.
void applyEvacuationRead(EvacuationState &State, const EvacuationSet &Read,
                         InstanceEffects &Out);

/// Applies the changes up to \p Revision that a watch has reported. They follow
/// a revision that is not higher than that of the current set.
void applyEvacuationChanges(EvacuationState &State,
                            const std::vector<EvacuationChange> &Changes,
                            StoreRevision Revision, InstanceEffects &Out);

/// Applies the set that a peer has sent in answer to a request of \p Asked.
void applyPeerEvacuation(EvacuationState &State, const EvacuationSet &Received,
                         SteadyTime Asked, InstanceEffects &Out);

/// Records a message of a peer. Returns true if this instance was cut off from
/// all peers before it.
bool recordPeerMessage(EvacuationState &State, SteadyTime Now);

/// Makes starts wait for a read that begins later, since this process was
/// paused or cut off. The caller schedules the read.
void awaitEvacuationRead(EvacuationState &State, SteadyTime Now,
                         InstanceEffects &Out);

/// Logs that starts no longer wait for the set, if that has been awaited for
/// too long. Called on each tick.
void advanceEvacuation(EvacuationState &State, SteadyTime Now,
                       InstanceEffects &Out);

/// Returns since when starts have been waiting for the set; nothing if they
/// don't wait.
std::optional<SteadyTime> startsPausedSince(const EvacuationState &State,
                                            SteadyTime Now);

/// Returns the set for peers, unless this instance still awaits it.
std::optional<EvacuationSet> evacuationForPeers(const EvacuationState &State);

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_EVACUATION_CMD_H
