/// \file State of an instance's peers and of the claims to cells.
#ifndef SNIPESHUNT_CELLS_CELL_BASE_H
#define SNIPESHUNT_CELLS_CELL_BASE_H

#include "cells/cell_type.h"

#include <map>
#include <optional>
#include <set>

namespace snipeshunt {

/// Cancellation of a job by its entry instance.
struct Cancellation {
  uint64_t Number = 0; ///< `JobOrder::Number` of the cancelled order.
  SteadyTime At{};     ///< When it was sent first or received last.
};

/// Another instance, as far as this one has received its state. Times are zero
/// while the event has not occurred.
struct Peer {
  InstanceRecord Record;
  IncarnationId Incarnation; ///< Process that answered or pinged last.
  /// Time at which the last answered ping was sent. Shifted by pauses of this
  /// process, see `compensateForPause`.
  SteadyTime LastAnsweredPing{};
  /// Arrival of its last ping or job, shifted in the same way.
  SteadyTime LastMessage{};
  /// Arrival of its last ping or job, without that shift.
  SteadyTime LastMessageRaw{};
  /// Arrival of its last ping, without that shift. Only pings tell which of its
  /// jobs it awaits.
  SteadyTime LastPingRaw{};
  /// `CellState::ReadBound` when its last ping was handled.
  SteadyTime LastPingBound{};
  /// Set when a message arrives first, after a silence of `EntryTimeout` or
  /// from another process than the messages before: it and those that follow
  /// may have been delayed by a link that was cut. Zero again once a ping sent
  /// since then has been answered. Until then, no task of the peer's jobs is
  /// started. Only a job makes that ping due at once.
  SteadyTime UnconfirmedSince{};
  /// Time at which the last answered ping was sent, without that shift.
  SteadyTime LastConfirmation{};
  /// Receipt of its last job that came while this process was behind; zero once
  /// a ping sent since then has been answered. See `SenderJob::ConfirmSince`.
  SteadyTime ConfirmSince{};
  SteadyTime NextPing{}; ///< When the next ping is due.
  /// No result query is sent to it before.
  SteadyTime NextResultQuery{};
  SteadyTime PingSent{};    ///< When the last ping was sent.
  SteadyTime Discovered{};  ///< When this instance first received its address.
  bool PingPending = false; ///< The last ping has neither answer nor failure.
  /// A ping's TCP connection was refused, and it has neither answered nor sent
  /// a ping since.
  bool ConnectionRefused = false;
  bool Draining = false; ///< It reports that it is shutting down.
  /// It has answered a ping while it was shutting down, so that
  /// `UpstreamsInUse` is valid.
  bool DrainReported = false;
  /// It has a list of upstreams, so it can be a sender.
  bool HasUpstreamList = false;
  /// It answered a job by reporting that it takes no more of them.
  bool RejectsJobs = false;
  std::vector<CellClaim> Claims; ///< Cells that it is the sender of.
  /// When it last reported that it is no longer a sender.
  SteadyTime ClaimsReleased{};
  /// A sender of another data centre whose load this instance keeps up to date.
  bool Followed = false;
  /// As reported last, less the processors of jobs forwarded to it since.
  SenderLoad Load;
  /// Upstreams that still have runs of it; reported only while it drains.
  std::set<UpstreamId> UpstreamsInUse;
  uint64_t ConfigurationVersion = 0; ///< 0 if it has no configuration.
  /// `JobOrder::Number` of the jobs that this instance awaits from it.
  std::set<uint64_t> OpenJobs;
  /// Jobs of this instance that it must stop. Pings and answers to its pings
  /// carry them until a ping sent since then has been answered.
  std::map<JobId, Cancellation> CancelledJobs;
  /// Its jobs that it has cancelled here. A cancellation can arrive before the
  /// job, since the two have different connections.
  std::map<JobId, Cancellation> CancelledHere;
  /// It awaits none of its jobs at this instance with a lower
  /// `JobOrder::Number`.
  uint64_t OldestAwaitedJob = 0;
};

/// This instance's claim to a cell.
struct OwnClaim {
  FencingToken Token;
  SteadyTime Since; ///< When it was made.
};

/// Counters since the start of the process.
struct CellCounters {
  uint64_t PingsSent = 0;
  uint64_t PeersVisited = 0; ///< Peers looked at by scans of the peer list.
};

/// Peers and claims.
struct CellState {
  InstanceRecord Self;       ///< As reported to peers.
  IncarnationId Incarnation; ///< Of this process.
  SteadyTime Started{};      ///< Start of this process.
  SteadyTime LastTick{};     ///< Last call of `compensateForPause`.
  /// Last tick that came late by `PauseThreshold` or more.
  SteadyTime LateTick{};
  /// Messages that are handled now have arrived at this time or later: the tick
  /// before the last one or, for a time after a late tick, the one before that.
  SteadyTime ReadBound{};
  bool Draining = false; ///< This instance is shutting down.
  /// This instance has a list of upstreams, so it can be a sender.
  bool HasUpstreamList = false;
  std::map<Address, Peer> Peers; ///< By endpoint.
  uint64_t NextJob = 1; ///< `JobOrder::Number` of the next forwarded job.
  std::map<CellId, OwnClaim> Claims; ///< Cells that this instance sends to.
  /// A claimed cell that goes to another instance once nothing runs there.
  std::optional<CellId> LeavingCell;
  SteadyTime LeavingSince{}; ///< When `LeavingCell` was chosen.
  SteadyTime NextBalance{};  ///< `surplusCells` returns none before.
  /// Highest token seen for each cell, of any instance.
  std::map<CellId, FencingToken> HighestToken;
  /// Cells that this instance may not claim before a time.
  std::map<CellId, SteadyTime> ClaimAfter;
  /// Since when cells of the own data centre have had no reachable sender.
  std::map<CellId, SteadyTime> UnservedSince;
  size_t OwnUpstreams = 0; ///< Upstreams of the own data centre.
  /// No ping is due before. Changed by `pingBy` and `sendPings` only.
  SteadyTime NextPingScan{};
  /// A message has changed what `updateClaims` decides by.
  bool ClaimsDue = true;
  size_t LocalPeers = 0;  ///< Peers of the own data centre.
  size_t RemotePeers = 0; ///< All other peers.
  /// This instance is among the strongest of its data centre, from which
  /// senders are taken.
  bool IsStandby = true;
  CellCounters Counts;
  /// The answers to pings should contain the evacuated data centres.
  bool WantsEvacuation = false;
  /// Data centres whose senders get no jobs.
  std::set<DataCentre> Evacuated;
  /// Instances in the store's list, and when that was read.
  std::set<Address> ListedInstances;
  SteadyTime InstanceListRead{};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CELL_BASE_H
