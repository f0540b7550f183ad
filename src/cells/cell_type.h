/// \file Cells, and the pings by which instances exchange claims and load.
/// A cell is a partition of a data centre's upstreams that has a single sender.
#ifndef SNIPESHUNT_CELLS_CELL_TYPE_H
#define SNIPESHUNT_CELLS_CELL_TYPE_H

#include "directory/directory_type.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Identifies a cell; `cellOf` assigns each upstream to one.
struct CellId {
  DataCentre Centre;
  uint32_t Index = 0; ///< Below `CellsPerCentre`.

  friend bool operator<(const CellId &L, const CellId &R) {
    return std::tie(L.Centre, L.Index) < std::tie(R.Centre, R.Index);
  }
  friend bool operator==(const CellId &L, const CellId &R) {
    return L.Centre == R.Centre && L.Index == R.Index;
  }
};

/// `data centre/index`, for logs.
inline std::string cellText(const CellId &Cell) {
  return Cell.Centre.Value + "/" + std::to_string(Cell.Index);
}

/// An instance's claim to be the sender of a cell. Of several claims to a cell,
/// the one with the highest token supersedes the others.
struct CellClaim {
  CellId Cell;
  FencingToken Token; ///< Sent with each order to the cell's upstreams.
};

/// Load of a sender. Entry instances choose the sender of a job by it.
struct SenderLoad {
  Duration Delay{0};    ///< Expected wait of a new job before it starts.
  int64_t FreeCpu = 0;  ///< Free thousandths of a core.
  int64_t TotalCpu = 0; ///< Thousandths of a core of usable upstreams.
  uint32_t Waiting = 0; ///< Jobs with tasks that have not been started.
};

/// A job that its entry instance no longer awaits.
struct CancelledJob {
  JobId Id;
  uint64_t Number = 0; ///< `JobOrder::Number`; a later order is not cancelled.

  friend bool operator==(const CancelledJob &L, const CancelledJob &R) {
    return L.Id == R.Id && L.Number == R.Number;
  }
};

/// Reports the state of an instance to a peer and asks for that of the peer.
struct PeerPing {
  InstanceRecord From;       ///< The pinging instance.
  IncarnationId Incarnation; ///< Its process.
  bool Draining = false;     ///< It is shutting down.
  /// The answer should list other instances.
  bool WantsKnownInstances = false;
  /// It has a list of upstreams, so it can be a sender.
  bool HasUpstreamList = false;
  /// The pinging instance awaits none of its jobs at the receiver with a lower
  /// `JobOrder::Number`; the receiver stops those.
  uint64_t OldestAwaitedJob = 0;
  /// Jobs of the pinging instance that the receiver must stop as well.
  std::vector<CancelledJob> CancelledJobs;
  std::vector<CellClaim> Claims; ///< Cells that it is the sender of.
  /// The answer should contain the evacuated data centres. Sent beside the
  /// message, as earlier versions reject one with an unknown field.
  bool WantsEvacuation = false;
};

/// Answer to a ping.
struct PeerPong {
  InstanceRecord From;       ///< The answering instance.
  IncarnationId Incarnation; ///< Its process.
  bool Draining = false;     ///< It is shutting down.
  /// It has a list of upstreams, so it can be a sender.
  bool HasUpstreamList = false;
  std::vector<CellClaim> Claims; ///< Cells that it is the sender of.
  SenderLoad Load;
  /// Upstreams that still have runs of it; filled in only while it drains.
  std::vector<UpstreamId> UpstreamsInUse;
  /// Other instances that answer its pings, if the ping asked for them.
  std::vector<InstanceRecord> KnownInstances;
  uint64_t ConfigurationVersion = 0; ///< 0 if it has no configuration.
  uint64_t OldestAwaitedJob = 0; ///< As in a ping, of the answering instance.
  /// As in a ping, of the answering instance.
  std::vector<CancelledJob> CancelledJobs;
  /// The evacuated data centres that it knows of, if the ping asked for them.
  std::optional<EvacuationSet> Evacuation;
};

// Effects.

/// Send a ping to a peer.
struct SendPing {
  Address Endpoint; ///< Of the peer.
  PeerPing Message;
};

/// Answer a ping.
struct AnswerPing {
  RequestId Request; ///< From `PingArrived`.
  PeerPong Message;
};

// Events.

/// A ping of a peer has arrived.
struct PingArrived {
  RequestId Request; ///< Returned in `AnswerPing`.
  PeerPing Message;
};

/// A ping of this instance was answered, failed or timed out.
struct PingAnswered {
  Address Endpoint;              ///< Of the peer.
  std::optional<PeerPong> Reply; ///< Absent without a valid answer.
  /// The TCP connection was refused: no process listens at the endpoint.
  bool ConnectionRefused = false;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CELL_TYPE_H
