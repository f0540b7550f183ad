/// \file Times and sizes of the membership of cells.
#ifndef SNIPESHUNT_CELLS_CELL_TABLE_H
#define SNIPESHUNT_CELLS_CELL_TABLE_H

#include "core/clock.h"

#include <cstddef>

namespace snipeshunt {

/// Period of pings to senders of the own data centre, and to any that run jobs
/// of this instance. Three of them fit into `SuspectAfter`.
constexpr Duration SenderPingPeriod = std::chrono::milliseconds(250);
/// Period of pings to senders of other data centres without jobs of this
/// instance. They only refresh the load by which a sender is chosen.
constexpr Duration RemoteSenderPingPeriod = std::chrono::milliseconds(700);
/// Shortest period of pings to peers of the own data centre that are no
/// senders.
constexpr Duration LocalIdlePingPeriod = std::chrono::milliseconds(1500);
/// Shortest period of pings to all other peers. One that becomes a sender pings
/// by itself.
constexpr Duration RemoteIdlePingPeriod = std::chrono::milliseconds(5000);
/// Pings a second to peers that are no senders. The periods grow with the
/// number of such peers, so that the cost of an instance does not.
constexpr int64_t MaxIdlePingRate = 8;
/// Remote senders of each data centre whose load an instance follows. Each
/// instance follows others, so that all are known to some.
constexpr size_t FollowedSendersPerCentre = 2;
/// Period of pings to a draining sender that still uses upstreams of the own
/// data centre, and the longest pause after a ping that failed.
constexpr Duration HandoverPingPeriod = std::chrono::milliseconds(40);
/// Time-out of a ping. It leaves time to replace an unresponsive connection
/// before the peer is suspected.
constexpr Duration PingTimeout = std::chrono::milliseconds(350);
/// Silence after which a peer is suspected. A cell must not stay without sender
/// for much longer than the leases of its upstreams last, about 1 s.
constexpr Duration SuspectAfter = std::chrono::milliseconds(900);
/// Silence of an entry instance after which its jobs are stopped. Together with
/// the time that a stop takes, one time-out included, it is below the pause
/// after which a caller submits a job again elsewhere, 1.3 s; docs/proofs.md,
/// "The margin of a stop", adds up the steps.
constexpr Duration EntryTimeout = std::chrono::milliseconds(1000);
/// A peer is a candidate for the sender of a cell for the period of its pings
/// and this long after its last answer or message.
constexpr Duration CandidateMaxSilence = std::chrono::milliseconds(1100);
/// The second candidate claims a cell this much later than the first, and so
/// on, since the first may have failed without being suspected yet.
constexpr Duration CandidateDelay = std::chrono::milliseconds(250);
/// Jobs are forwarded to a sender for this long after its last answered ping.
constexpr Duration SenderMaxSilence = std::chrono::milliseconds(1700);
/// Time after the start of this process before it claims a cell. It leaves time
/// to receive the claims of its peers.
constexpr Duration FirstClaimDelay = std::chrono::milliseconds(150);
/// Time after the start in which all pings ask for other instances, and peers
/// of the own data centre are pinged with `SenderPingPeriod`.
constexpr Duration DiscoveryTime = std::chrono::milliseconds(2000);
/// Pause before a cell is claimed again from which this instance was fenced
/// off.
constexpr Duration ReclaimPause = std::chrono::milliseconds(3000);
/// Period of the ticks of an instance. Leases and deadlines are checked this
/// often, so each is acted upon at most this much late.
constexpr Duration CellTickPeriod = std::chrono::milliseconds(20);
/// A longer gap between two ticks or events is a pause of this process, not
/// silence of its peers.
constexpr Duration PauseThreshold = std::chrono::milliseconds(150);
/// Silence after which a peer is removed.
constexpr Duration PeerExpiry = std::chrono::seconds(30);
/// Cells of each data centre. The number is fixed, so that an upstream never
/// changes its cell: with a number that follows the list of upstreams,
/// instances with lists of different age disagree about the cell of most
/// upstreams. It is a multiple of most small numbers of senders and bounds that
/// number.
constexpr uint32_t CellsPerCentre = 24;
/// Upstreams for one sender. A sender spends about 0.1 ms on a task, so that 40
/// upstreams with 300 starts a second take 3 % of a core.
constexpr size_t UpstreamsPerSender = 40;
/// Upstreams for the processors of one core, where instances differ. At ten
/// starts a second on each upstream and 0.2 ms of processor time for a start
/// with its renewals, senders then use a quarter of their processors, which
/// leaves room for bursts of three times the load.
constexpr double UpstreamsPerCore = 120;
/// Interval of the checks whether cells are to be handed to other instances.
constexpr Duration BalancePeriod = std::chrono::milliseconds(250);
/// Longest time for which nothing is started in a cell that is to be handed
/// over. Most tasks run for less than a second.
constexpr Duration MaxLeavingTime = std::chrono::seconds(3);
/// Pause after a cell was not handed over within `MaxLeavingTime`.
constexpr Duration BalanceRetryPause = std::chrono::seconds(5);
/// Wait for an instance that is to have a cell and has no list of upstreams
/// yet. It reads the list once it has been told that there is one.
constexpr Duration UpstreamListWait = std::chrono::milliseconds(750);
/// Instances of a data centre that are ready to become senders: this many for
/// each sender, and at least the minimum. They read the list of upstreams.
constexpr size_t StandbysPerSender = 2;
constexpr size_t MinStandbys = 4;
/// Limit on `PeerPong::KnownInstances`.
constexpr size_t MaxListedPeers = 64;

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CELL_TABLE_H
