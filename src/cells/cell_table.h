/// \file Times and sizes of the membership of cells.
#ifndef SNIPESHUNT_CELLS_CELL_TABLE_H
#define SNIPESHUNT_CELLS_CELL_TABLE_H

#include "core/clock.h"

#include <cstddef>

namespace snipeshunt {

/// Pause between pings to senders of the own data centre and to those that run
/// jobs of this instance. Three of them fit into the time after which a peer is
/// suspected.
constexpr Duration SenderPingPeriod = std::chrono::milliseconds(250);
/// Pause between pings to other senders, of which only the load is of use.
constexpr Duration RemoteSenderPingPeriod = std::chrono::milliseconds(700);
/// Pause between pings to peers of the own data centre that are no senders.
constexpr Duration LocalIdlePingPeriod = std::chrono::milliseconds(1500);
/// Pause between pings to other peers. One that becomes a sender says so.
constexpr Duration RemoteIdlePingPeriod = std::chrono::milliseconds(5000);
/// Pause between pings to a predecessor that still uses upstreams.
constexpr Duration HandoverPingPeriod = std::chrono::milliseconds(40);
/// A ping without an answer is given up after this time; a connection that has
/// gone silent is then replaced before the peer is suspected.
constexpr Duration PingTimeout = std::chrono::milliseconds(350);
/// Silence after which a peer is taken as gone. A take-over must not wait much
/// longer than the leases of its upstreams last, about 1 s.
constexpr Duration SuspectAfter = std::chrono::milliseconds(900);
/// Silence of an entry after which its jobs are stopped. Together with the
/// time that a stop takes it is below the pause after which a caller submits
/// a job again elsewhere, 1.3 s.
constexpr Duration EntryTimeout = std::chrono::milliseconds(1000);
/// A peer that answered within this time is a candidate for a cell; most peers
/// are pinged rarely.
constexpr Duration CandidateMaxSilence = std::chrono::milliseconds(2600);
/// The second candidate claims a cell this much later than the first, and so
/// on, since the first may be gone without this instance knowing yet.
constexpr Duration CandidateDelay = std::chrono::milliseconds(250);
/// A sender that answered within this time may be given jobs.
constexpr Duration SenderMaxSilence = std::chrono::milliseconds(1700);
/// An instance that has just started first hears of claims that exist.
constexpr Duration FirstClaimDelay = std::chrono::milliseconds(150);
/// Time after the start in which peers are asked for the instances they know.
constexpr Duration DiscoveryTime = std::chrono::milliseconds(2000);
/// Pause before a cell is claimed again whose claim was fenced off.
constexpr Duration ReclaimPause = std::chrono::milliseconds(3000);
/// A longer gap between two ticks is a pause of this process, not silence of
/// its peers; ticks come every 20 ms.
constexpr Duration PauseThreshold = std::chrono::milliseconds(150);
/// A peer that has been silent for this time is forgotten.
constexpr Duration PeerExpiry = std::chrono::seconds(30);
/// Upstreams of one cell. A sender spends about 0.1 ms on a task, so that 40
/// upstreams with 300 starts a second take 3 % of a core.
constexpr size_t CellSize = 40;
/// Peers that are named in one answer to a ping.
constexpr size_t MaxListedPeers = 64;

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CELL_TABLE_H
