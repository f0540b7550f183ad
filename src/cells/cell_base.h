/// \file State of the membership of cells.
#ifndef SNIPESHUNT_CELLS_CELL_BASE_H
#define SNIPESHUNT_CELLS_CELL_BASE_H

#include "cells/cell_type.h"

#include <map>
#include <set>

namespace snipeshunt {

/// Another instance as this one knows it.
struct Peer {
  InstanceRecord Record;
  IncarnationId Incarnation;
  SteadyTime LastAnsweredPing{}; ///< Sending time of the last answered ping.
  SteadyTime LastMessage{};      ///< Arrival of its last ping.
  /// As above, but with pauses of this process counted as its silence.
  SteadyTime LastMessageRaw{};
  /// Since when what comes from it may be old: a link that was cut delivers
  /// what it has held up. Zero once it has answered a ping that was sent since.
  SteadyTime UnconfirmedSince{};
  SteadyTime NextPing{};
  SteadyTime PingSent{};
  SteadyTime Discovered{}; ///< When this instance learned of it.
  bool PingPending = false;
  bool ConnectionRefused = false; ///< No process listens there.
  bool Draining = false;
  bool HasUpstreamList = false;
  bool RejectsJobs = false; ///< It said that it is leaving.
  std::vector<CellClaim> Claims;
  SenderLoad Load;
  std::set<UpstreamId> UpstreamsInUse; ///< Still used while it drains.
  uint64_t ConfigurationVersion = 0;
  std::set<uint64_t> OpenJobs; ///< Numbers of this instance's jobs there.
  std::map<JobId, SteadyTime>
      CancelledJobs; ///< To be told; by time of the cancel.
  /// Lowest number of its jobs here that it still waits for.
  uint64_t OldestAwaitedJob = 0;
};

/// This instance's claim to a cell.
struct OwnClaim {
  FencingToken Token;
  SteadyTime Since;
};

/// Peers and claims.
struct CellState {
  InstanceRecord Self;
  IncarnationId Incarnation;
  SteadyTime Started{};
  SteadyTime LastTick{};
  bool Draining = false;
  bool HasUpstreamList = false; ///< This instance can be a sender.
  std::map<Address, Peer> Peers;
  uint64_t NextJob = 1; ///< Number of the next job that is handed over.
  std::map<CellId, OwnClaim> Claims;
  /// Highest token seen for each cell.
  std::map<CellId, FencingToken> HighestToken;
  /// Cells that may not be claimed before a time.
  std::map<CellId, SteadyTime> ClaimAfter;
  /// Since when cells of the own data centre have had no sender.
  std::map<CellId, SteadyTime> UnservedSince;
  uint32_t CellCount = 1; ///< Cells of the own data centre.
  /// Instances that the store named, and when it did.
  std::set<Address> ListedInstances;
  SteadyTime InstanceListRead{};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CELLS_CELL_BASE_H
