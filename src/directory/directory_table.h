/// \file Intervals of the calls to the store. The platform charges for each
/// call; stale reads and lease renewals cost a tenth of the others.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_TABLE_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_TABLE_H

#include "core/clock.h"

namespace snipeshunt {

/// A watch returns after this time if nothing changes. It is below the 20 s for
/// which the store keeps its history.
constexpr std::chrono::milliseconds WatchTimeout{10000};
/// Reads of the upstreams by a sender within `FleetBounds::DrainNotice`, the
/// time after which an upstream that shuts down must get no more starts.
constexpr int ReadsPerDrainNotice = 2;
/// Interval of the stale reads of the upstreams by other instances. They need a
/// list in case they become senders during an outage of the store.
constexpr Duration StandbyReadPeriod = std::chrono::milliseconds(8000);
/// Interval of the reads of the instances; peers also report the instances that
/// they know.
constexpr Duration InstanceReadPeriod = std::chrono::milliseconds(4000);
/// The first reads of the instances follow each other sooner: the instances of
/// a fleet start together, and the first read misses those that register a
/// moment later.
constexpr uint32_t EarlyReads = 2;
constexpr Duration EarlyReadPeriod = std::chrono::milliseconds(250);
/// Shortest time between two reads of the upstreams that are made because a
/// peer has a list and this instance has none.
constexpr Duration EarlyUpstreamReadPause = std::chrono::milliseconds(500);
/// Time for which a watch of the configuration goes on although a peer has a
/// newer one. Instances receive a version at different moments, and a read for
/// each version of a quick succession would double the calls to the store.
constexpr Duration ConfigurationReadDelay = std::chrono::milliseconds(400);
/// Interval of the requests to peers for a snapshot while the store does not
/// answer.
constexpr Duration SnapshotPeriod = std::chrono::milliseconds(200);
/// Time after the start in which a snapshot is requested from senders only.
/// Their list is newer than that of a standby; a new process learns of them
/// from the first peers that answer.
constexpr Duration SenderSnapshotTime = std::chrono::milliseconds(500);
/// Longest time without a call to the store beside the watch; a renewal of the
/// lease ends it. All open connections may fall silent at once, which the watch
/// shows only seconds later: by TCP probes, or by its time-out. A call that
/// times out (after 800 ms) shows it within 1,920 ms with the tick. A slow
/// store then takes 240 ms to answer the new watch, so that a version is in
/// force 2.2 s after the silence. The platform allows at least 3 s after the
/// silence and at least 2 s after the change. A renewal costs a tenth of a
/// watch that is sent as often, and senders that read the upstreams each second
/// need none.
constexpr Duration MaxStoreSilence = std::chrono::milliseconds(1100);
/// Delay after a failed call, doubled with each further one up to the limit.
constexpr Duration StoreRetryDelay = std::chrono::milliseconds(150);
constexpr Duration MaxStoreRetryDelay = std::chrono::milliseconds(1200);
/// Lifetime of the lease of this instance's record, and the interval at which
/// it is renewed.
constexpr std::chrono::milliseconds RegistrationLifetime{9000};
constexpr Duration RegistrationRenewalPeriod = std::chrono::milliseconds(3000);

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_DIRECTORY_TABLE_H
