/// \file State changes of the reading of the store.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_CMD_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_CMD_H

#include "directory/directory_base.h"
#include "instance/instance_effect.h"

namespace snipeshunt {

/// Makes the calls that are due.
void advanceDirectory(DirectoryState &State, SteadyTime Now,
                      InstanceEffects &Out);

/// Adopts a collection. Gives false when it is outdated or could not be read.
bool applyCollectionRead(DirectoryState &State,
                         const CollectionReadAnswered &Event, SteadyTime Now,
                         InstanceEffects &Out);

void applyWatchAnswer(DirectoryState &State, const WatchAnswered &Event,
                      SteadyTime Now, InstanceEffects &Out);

void applyLeaseAnswer(DirectoryState &State, const LeaseAnswered &Event,
                      const InstanceRecord &Self, SteadyTime Now,
                      InstanceEffects &Out);
void applyPublishAnswer(DirectoryState &State, const PublishAnswered &Event,
                        SteadyTime Now);
void applyLeaseRenewal(DirectoryState &State, const LeaseRenewalAnswered &Event,
                       SteadyTime Now);

/// Whether this instance lacks what it needs and the store does not give it.
bool needsSnapshot(const DirectoryState &State, SteadyTime Now);

/// Adopts what a peer has read; it is replaced by the next answer of the store.
void applySnapshot(DirectoryState &State, const SnapshotFetched &Event,
                   InstanceEffects &Out);

/// Reads a collection at once, instead of the call that is open.
void rereadNow(DirectoryState &State, StoreCollection Collection,
               SteadyTime Now);

/// Takes this instance's entry out of the store.
void withdrawRegistration(DirectoryState &State, InstanceEffects &Out);

/// The route of a request, by host and longest prefix; null if there is none.
/// \p Rest gets the path behind the prefix.
const Route *findRoute(const FleetConfiguration &Configuration,
                       std::string_view Host, std::string_view Path,
                       std::string_view &Rest);

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_DIRECTORY_CMD_H
