/// \file State changes of reading the store and of the registration in it.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_CMD_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_CMD_H

#include "directory/directory_base.h"
#include "instance/instance_effect.h"

namespace snipeshunt {

/// Makes the calls to the store that are due. Called on each tick, and when a
/// cell was claimed.
void advanceDirectory(DirectoryState &State, SteadyTime Now,
                      InstanceEffects &Out);

/// Applies the answer to a read. Returns false if the read failed, or if the
/// answer is not to the last call for the collection or is out of date.
bool applyCollectionRead(DirectoryState &State,
                         const CollectionReadAnswered &Event, SteadyTime Now,
                         InstanceEffects &Out);

/// Applies the answer to a watch: watches on, or reads the collection if the
/// changes are not known.
void applyWatchAnswer(DirectoryState &State, const WatchAnswered &Event,
                      SteadyTime Now, InstanceEffects &Out);

/// Apply the answers to the calls of the registration. \p Self is the record
/// that is published.
void applyLeaseAnswer(DirectoryState &State, const LeaseAnswered &Event,
                      const InstanceRecord &Self, SteadyTime Now,
                      InstanceEffects &Out);
void applyPublishAnswer(DirectoryState &State, const PublishAnswered &Event,
                        SteadyTime Now, InstanceEffects &Out);
void applyLeaseRenewal(DirectoryState &State, const LeaseRenewalAnswered &Event,
                       SteadyTime Now, InstanceEffects &Out);

/// Returns true if this instance has use for the list of upstreams.
bool wantsUpstreams(const DirectoryState &State);

/// Records whether this instance is a sender or may become one. Others neither
/// read nor keep the list of upstreams, which is most of the memory and of the
/// traffic of an instance in a large fleet.
void applyRole(DirectoryState &State, bool IsSender, bool IsStandby,
               SteadyTime Now, InstanceEffects &Out);

/// Returns true if this instance lacks the configuration or the upstreams while
/// calls to the store fail, and a peer may be asked again.
bool needsSnapshot(const DirectoryState &State, SteadyTime Now);

/// Applies a peer's snapshot: its configuration if that is newer, its upstreams
/// if this instance has none. Later answers of the store replace them.
void applySnapshot(DirectoryState &State, const SnapshotFetched &Event,
                   InstanceEffects &Out);

/// A peer uses \p Version of the configuration. If it is newer than the one in
/// use, a read follows after `ConfigurationReadDelay`, unless the watch brings
/// a newer one before; at once if there is none in use.
void recordPeerConfiguration(DirectoryState &State, uint64_t Version,
                             SteadyTime Now);

/// Reads the upstreams before their next read is due, if none is known. Called
/// when a peer has a list: the first read of a standby may have come before the
/// upstreams registered, and the next one is seconds away.
void readUpstreamsEarly(DirectoryState &State, SteadyTime Now);

/// Schedules a read of a collection at once. The answer to a pending call is
/// ignored; a pending read of the configuration is left to finish instead.
void rereadNow(DirectoryState &State, StoreCollection Collection,
               SteadyTime Now);

/// Returns the number of records that could not be read in the last reads.
size_t unreadableRecords(const DirectoryState &State);

/// Removes this instance's record from the store. Called on shutdown.
void withdrawRegistration(DirectoryState &State, InstanceEffects &Out);

/// Returns the route of a request, by host and longest matching prefix, or
/// null. \p Rest is set to the path after the prefix.
const Route *findRoute(const FleetConfiguration &Configuration,
                       std::string_view Host, std::string_view Path,
                       std::string_view &Rest);

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_DIRECTORY_CMD_H
