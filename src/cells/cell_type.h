/// \file Cells: groups of upstreams of one data centre with one sender each.
#ifndef SNIPESHUNT_CELLS_CELL_TYPE_H
#define SNIPESHUNT_CELLS_CELL_TYPE_H

#include "directory/directory_type.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// A share of the upstreams of a data centre.
struct CellId {
  DataCentre Centre;
  uint32_t Index = 0;

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

/// An instance's claim to be the sender of a cell. The highest token wins.
struct CellClaim {
  CellId Cell;
  FencingToken Token;
};

/// How busy a sender is.
struct SenderLoad {
  Duration Delay{0};    ///< Expected wait of a new job before it starts.
  int64_t FreeCpu = 0;  ///< Free thousandths of a core.
  int64_t TotalCpu = 0; ///< Thousandths of a core of usable upstreams.
  uint32_t Waiting = 0; ///< Jobs with tasks that wait.
};

/// Tells a peer of this instance and asks for its state.
struct PeerPing {
  InstanceRecord From;
  IncarnationId Incarnation;
  bool Draining = false;
  bool WantsKnownInstances = false; ///< The answer should name other instances.
  bool HasUpstreamList = false;     ///< It has a list of upstreams to send to.
  /// The pinging instance waits for none of its jobs at the receiver with a
  /// lower number. Numbers rise with each job that is handed over.
  uint64_t OldestAwaitedJob = 0;
  std::vector<JobId> CancelledJobs; ///< Further jobs to stop.
  std::vector<CellClaim> Claims;
};

/// Answer to a ping.
struct PeerPong {
  InstanceRecord From;
  IncarnationId Incarnation;
  bool Draining = false;
  bool HasUpstreamList = false; ///< It has a list of upstreams to send to.
  std::vector<CellClaim> Claims;
  SenderLoad Load;
  /// Upstreams that a draining sender still uses.
  std::vector<UpstreamId> UpstreamsInUse;
  std::vector<InstanceRecord> KnownInstances;
  uint64_t ConfigurationVersion = 0;
  uint64_t OldestAwaitedJob = 0; ///< As in a ping, of the answering instance.
};

// Effects.

/// Ping a peer.
struct SendPing {
  Address Endpoint;
  PeerPing Message;
};

/// Answer a ping.
struct AnswerPing {
  RequestId Request;
  PeerPong Message;
};

// Events.

/// A peer pings.
struct PingArrived {
  RequestId Request;
  PeerPing Message;
};

/// A ping was answered, or not.
struct PingAnswered {
  Address Endpoint;
  std::optional<PeerPong> Reply;
  bool ConnectionRefused = false; ///< No process listens there.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CELL_TYPE_H
