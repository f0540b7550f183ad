/// \file State changes of the claims to cells.
#include "cells/claim_cmd.h"

#include "cells/cell_cmd.h"
#include "cells/cell_table.h"
#include "cells/peer_func.h"

#include <xxhash.h>

#include <algorithm>

namespace snipeshunt {

namespace {

// Low bits of a token that hold a hash of the claimant's endpoint, so that
// claims of two instances in the same millisecond differ.
constexpr int TokenHashBits = 10;

/// Returns a token above all that were seen for \p Cell.
FencingToken newToken(const CellState &State, const CellId &Cell,
                      WallTime Wall) {
  auto Ms = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Wall.time_since_epoch())
          .count());
  auto Highest = State.HighestToken.find(Cell);
  if (Highest != State.HighestToken.end())
    Ms = std::max(Ms, (Highest->second.Value >> TokenHashBits) + 1);
  const std::string &Name = State.Self.Endpoint.Value;
  uint64_t Hash = XXH64(Name.data(), Name.size(), 0);
  return {(Ms << TokenHashBits) | (Hash & ((1U << TokenHashBits) - 1))};
}

void log(InstanceEffects &Out, std::string Message) {
  Out.push_back(LogDecision{DecisionPart::Cells, "", std::move(Message)});
}

/// Returns the cells of the own data centre that neither this instance nor a
/// peer that is reachable and not draining claims. Clears the time since which
/// the others were unserved.
std::vector<CellId> unservedCells(CellState &State, SteadyTime Now) {
  std::vector<bool> Served(CellsPerCentre);
  auto Record = [&](const CellId &Cell) {
    if (Cell.Centre == State.Self.Centre && Cell.Index < CellsPerCentre)
      Served[Cell.Index] = true;
  };
  for (const auto &[Cell, Claim] : State.Claims)
    Record(Cell);
  for (const auto &[Endpoint, P] : State.Peers)
    if (!P.Claims.empty() && !P.Draining && isReachable(P, Now))
      for (const CellClaim &Claim : P.Claims)
        Record(Claim.Cell);
  std::vector<CellId> Unserved;
  for (uint32_t I = 0; I < CellsPerCentre; ++I) {
    CellId Cell{State.Self.Centre, I};
    if (Served[I])
      State.UnservedSince.erase(Cell);
    else
      Unserved.push_back(Cell);
  }
  return Unserved;
}

/// Indexes of \p Cells, for logs.
std::string cellList(const std::vector<CellId> &Cells) {
  std::string Text = "cells=";
  for (const CellId &Cell : Cells)
    Text += (Text.back() == '=' ? "" : ",") + std::to_string(Cell.Index);
  return Text;
}

/// An instance of the own data centre that can be a sender.
struct Candidate {
  bool HasShare; ///< It has its share of the cells already.
  double Weight; ///< See `InstanceRecord`.
  const Address *Endpoint;
};

/// Returns the instances of the own data centre that can be senders: those
/// without their share of the cells first, by falling weight and then by
/// endpoint.
std::vector<Candidate> rankCandidates(const CellState &State, SteadyTime Now) {
  size_t Share =
      (CellsPerCentre + State.WantedSenders - 1) / State.WantedSenders;
  std::vector<Candidate> Ranked;
  if (!State.Draining && State.HasUpstreamList)
    Ranked.push_back({State.Claims.size() >= Share, State.Self.Weight,
                      &State.Self.Endpoint});
  for (const auto &[Endpoint, P] : State.Peers)
    if (isInOwnCentre(State, P) && P.HasUpstreamList &&
        isWorking(State, P, Now))
      Ranked.push_back({P.Claims.size() >= Share, P.Record.Weight, &Endpoint});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const Candidate &L, const Candidate &R) {
              return std::tie(L.HasShare, R.Weight, *L.Endpoint) <
                     std::tie(R.HasShare, L.Weight, *R.Endpoint);
            });
  return Ranked;
}

/// Returns true if this instance may claim a cell that has been unserved since
/// \p Since. The unserved cells are spread over \p Turns of the first
/// candidates by their index; each later candidate waits `CandidateDelay`
/// longer.
bool isClaimTurn(const CellState &State, const CellId &Cell,
                 const std::vector<Candidate> &Ranked, size_t Turns,
                 SteadyTime Since, SteadyTime Now) {
  auto Own =
      std::find_if(Ranked.begin(), Ranked.end(), [&](const Candidate &C) {
        return *C.Endpoint == State.Self.Endpoint;
      });
  if (Own == Ranked.end())
    return false;
  auto Rank = static_cast<size_t>(Own - Ranked.begin());
  size_t Position =
      Rank < Turns ? (Rank + Turns - Cell.Index % Turns) % Turns : Rank;
  return Now - Since >= CandidateDelay * Position;
}

/// Returns true if the silence of a cell's former sender can't be explained by
/// this instance being cut off from the network. Such a cut silences all peers
/// at nearly the same time, so a peer must have answered clearly later than the
/// sender. Without such a peer, the store's list must have been read since the
/// sender was suspected and must list no other instance.
bool isSenderLossConfirmed(const CellState &State, const CellId &Cell,
                           SteadyTime Now) {
  SteadyTime SenderLastReached{};
  for (const auto &[Endpoint, P] : State.Peers)
    for (const CellClaim &Claim : P.Claims)
      // A refused connection proves that the peer's machine can be reached.
      if (Claim.Cell == Cell && !P.ConnectionRefused && !P.Draining)
        SenderLastReached =
            std::max({SenderLastReached, P.LastAnsweredPing, P.LastMessage});
  if (SenderLastReached == SteadyTime{})
    return true;
  bool Confirmed = std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Item) {
        const Peer &P = Item.second;
        return P.ConnectionRefused ||
               P.LastAnsweredPing > SenderLastReached + SuspectAfter / 2;
      });
  if (Confirmed)
    return true;
  bool ReadSince = State.InstanceListRead > SenderLastReached + SuspectAfter;
  return ReadSince &&
         std::all_of(State.ListedInstances.begin(), State.ListedInstances.end(),
                     [&](const Address &Endpoint) {
                       return Endpoint == State.Self.Endpoint;
                     });
}

/// Returns true while this instance must not claim cells yet, since the first
/// answer of a peer in the own data centre may still report claims.
bool awaitsFirstPongs(const CellState &State, SteadyTime Now) {
  if (Now - State.Started < FirstClaimDelay)
    return true;
  return std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Item) {
        const Peer &P = Item.second;
        return isInOwnCentre(State, P) && P.LastAnsweredPing == SteadyTime{} &&
               !P.ConnectionRefused && P.PingPending &&
               Now - P.Discovered < PingTimeout;
      });
}

} // namespace

ClaimChanges updateClaims(CellState &State, SteadyTime Now, WallTime Wall,
                          InstanceEffects &Out) {
  ClaimChanges Changes;
  State.ClaimsDue = false;
  State.Counts.PeersVisited += State.Peers.size();
  for (const auto &[Endpoint, P] : State.Peers) {
    if (P.Claims.empty() || State.Claims.empty() || !isReachable(P, Now))
      continue;
    for (const CellClaim &Claim : P.Claims) {
      auto Own = State.Claims.find(Claim.Cell);
      if (Own == State.Claims.end() || Claim.Token < Own->second.Token)
        continue;
      log(Out, "cell=" + cellText(Claim.Cell) +
                   " claim superseded by sender=" + Endpoint.Value +
                   " token=" + std::to_string(Claim.Token.Value));
      State.Claims.erase(Own);
      Changes.Lost.push_back(Claim.Cell);
    }
  }
  if (State.Draining || awaitsFirstPongs(State, Now))
    return Changes;
  std::vector<CellId> Unserved = unservedCells(State, Now);
  if (Unserved.empty())
    return Changes;
  std::vector<Candidate> Ranked = rankCandidates(State, Now);
  // As many candidates as the unserved cells make shares for.
  size_t Turns = (Unserved.size() * State.WantedSenders + CellsPerCentre - 1) /
                 CellsPerCentre;
  Turns = std::min(Turns, Ranked.size());
  for (const CellId &Cell : Unserved) {
    SteadyTime Since = State.UnservedSince.try_emplace(Cell, Now).first->second;
    auto After = State.ClaimAfter.find(Cell);
    if (After != State.ClaimAfter.end() && Now < After->second)
      continue;
    if (!isClaimTurn(State, Cell, Ranked, Turns, Since, Now) ||
        !isSenderLossConfirmed(State, Cell, Now))
      continue;
    State.UnservedSince.erase(Cell);
    FencingToken Token = newToken(State, Cell, Wall);
    State.Claims[Cell] = {Token, Now};
    State.HighestToken[Cell] = Token;
    Changes.Acquired.push_back(Cell);
  }
  if (!Changes.Acquired.empty())
    log(Out,
        "cells acquired, they had no sender: " + cellList(Changes.Acquired) +
            " token=" +
            std::to_string(State.Claims[Changes.Acquired.back()].Token.Value) +
            " candidates=" + std::to_string(Ranked.size()));
  // Jobs at other entry instances wait for a sender, so report the claim at
  // once.
  if (!Changes.Acquired.empty())
    schedulePingsNow(State, Now);
  return Changes;
}

void releaseClaim(CellState &State, const CellId &Cell, SteadyTime Now) {
  State.Claims.erase(Cell);
  State.ClaimAfter[Cell] = Now + ReclaimPause;
}

} // namespace snipeshunt
