/// \file What this instance knows of its peers.
#include "cells/peer_func.h"

#include "cells/cell_table.h"

#include <algorithm>

namespace snipeshunt {

namespace {

/// Returns \p Shortest, or the period that keeps the pings to \p Peers peers
/// below `MaxIdlePingRate`.
Duration idlePeriod(Duration Shortest, size_t Peers) {
  return std::max<Duration>(Shortest, std::chrono::seconds(1) *
                                          static_cast<int64_t>(Peers) /
                                          MaxIdlePingRate);
}

} // namespace

bool isInOwnCentre(const CellState &State, const Peer &P) {
  return P.Record.Centre == State.Self.Centre;
}

Duration localIdlePeriod(const CellState &State) {
  return idlePeriod(LocalIdlePingPeriod, State.LocalPeers);
}

Duration remoteIdlePeriod(const CellState &State) {
  return idlePeriod(RemoteIdlePingPeriod, State.RemotePeers);
}

bool isWorking(const CellState &State, const Peer &P, SteadyTime Now) {
  SteadyTime Last = std::max(P.LastAnsweredPing, P.LastMessage);
  return !P.ConnectionRefused && !P.Draining && Last != SteadyTime{} &&
         Now - Last < localIdlePeriod(State) + CandidateMaxSilence;
}

bool isReachable(const Peer &P, SteadyTime Now) {
  SteadyTime Last = std::max(P.LastAnsweredPing, P.LastMessage);
  return !P.ConnectionRefused && Last != SteadyTime{} &&
         Now - Last < SuspectAfter;
}

bool isSuspected(const Peer &P, SteadyTime Reached, SteadyTime Now) {
  return P.ConnectionRefused ||
         Now - std::max(P.LastAnsweredPing, Reached) >= SuspectAfter;
}

} // namespace snipeshunt
