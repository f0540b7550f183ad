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

// A sender that has lost its cells can still have jobs, which it starts if it
// gets a cell again before their deadlines. Callers wait no longer than this.
constexpr Duration FormerSenderTime = std::chrono::seconds(30);

SteadyTime lastHeardOf(const Peer &P) {
  return std::max(P.LastAnsweredPing, P.LastMessage);
}

/// Returns true if \p P has lately lost or released its last cell.
bool isFormerSender(const Peer &P, SteadyTime Now) {
  return P.ClaimsReleased != SteadyTime{} &&
         Now - P.ClaimsReleased < FormerSenderTime;
}

/// Returns true if \p P has left at least one ping unanswered for
/// `SuspectAfter`.
bool isSilent(const CellState &State, const Peer &P, SteadyTime Now) {
  Duration Period = isInOwnCentre(State, P) ? localIdlePeriod(State)
                                            : remoteIdlePeriod(State);
  return lastHeardOf(P) != SteadyTime{} &&
         Now - lastHeardOf(P) >= Period + SuspectAfter;
}

/// Returns true if this instance or another peer has a newer claim to the cell.
bool isSuperseded(const CellState &State, const Address &Endpoint,
                  const CellClaim &Claim) {
  auto Own = State.Claims.find(Claim.Cell);
  if (Own != State.Claims.end() && Claim.Token < Own->second.Token)
    return true;
  return std::any_of(State.Peers.begin(), State.Peers.end(),
                     [&](const auto &Item) {
                       const auto &[Other, P] = Item;
                       return Other != Endpoint &&
                              std::any_of(P.Claims.begin(), P.Claims.end(),
                                          [&](const CellClaim &Newer) {
                                            return Newer.Cell == Claim.Cell &&
                                                   Claim.Token < Newer.Token;
                                          });
                     });
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

bool isGone(const CellState &State, const Address &Endpoint, const Peer &P,
            Duration Grace, SteadyTime Now) {
  SteadyTime Heard = lastHeardOf(P);
  // The record of an instance that shuts down ends before its process.
  if (!P.Draining && State.InstanceListRead > Heard &&
      !State.ListedInstances.count(Endpoint))
    return true;
  if (Heard == SteadyTime{})
    return false;
  if (P.Draining && Now - Heard >= Grace)
    return true;
  // Starts on its cells are then rejected, and its leases expire or its runs
  // are stopped.
  bool IsSuperseded = (!P.Claims.empty() || !isFormerSender(P, Now)) &&
                      std::all_of(P.Claims.begin(), P.Claims.end(),
                                  [&](const CellClaim &Claim) {
                                    return isSuperseded(State, Endpoint, Claim);
                                  });
  return IsSuperseded &&
         (!P.Draining || (P.DrainReported && P.UpstreamsInUse.empty()));
}

std::vector<Address> possibleSenders(const CellState &State, Duration Grace,
                                     SteadyTime Now) {
  std::vector<Address> Found;
  for (const auto &[Endpoint, P] : State.Peers) {
    bool IsNew = lastHeardOf(P) == SteadyTime{} &&
                 (State.InstanceListRead == SteadyTime{} ||
                  State.ListedInstances.count(Endpoint));
    if ((!P.Claims.empty() || P.Draining || isFormerSender(P, Now) || IsNew) &&
        !((P.ConnectionRefused || isSilent(State, P, Now)) &&
          isGone(State, Endpoint, P, Grace, Now)))
      Found.push_back(Endpoint);
  }
  return Found;
}

} // namespace snipeshunt
