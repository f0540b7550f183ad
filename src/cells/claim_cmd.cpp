/// \file State changes of the claims to cells.
#include "cells/claim_cmd.h"

#include "cells/cell_cmd.h"
#include "cells/cell_table.h"
#include "cells/peer_func.h"
#include "cells/share_func.h"

#include <xxhash.h>

#include <algorithm>

namespace snipeshunt {

namespace {

// Low bits of a token that hold a hash of the claimant's endpoint. Instances
// that start together claim at the same time, and upstreams obey both of two
// senders with the same token.
constexpr int TokenHashBits = 17;
// Unit of the time in the other bits, and its begin, the year 2020. Tokens stay
// below 2^53 until 2037, as larger numbers in JSON are not exact everywhere.
constexpr std::chrono::milliseconds TokenTimeUnit{8};
constexpr std::chrono::milliseconds TokenEpoch{1577836800000};
// Instances that are alike hand cells over only beyond this multiple of
// `UpstreamsPerSender`, so that a few upstreams more or less move none.
constexpr double MaxEqualShareFactor = 1.4;

/// Returns a token above all that were seen for \p Cell.
FencingToken newToken(const CellState &State, const CellId &Cell,
                      WallTime Wall) {
  auto SinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(
                        Wall.time_since_epoch()) -
                    TokenEpoch;
  auto Time =
      static_cast<uint64_t>(std::max<int64_t>(0, SinceEpoch / TokenTimeUnit));
  auto Highest = State.HighestToken.find(Cell);
  if (Highest != State.HighestToken.end())
    Time = std::max(Time, (Highest->second.Value >> TokenHashBits) + 1);
  const std::string &Name = State.Self.Endpoint.Value;
  uint64_t Hash = XXH64(Name.data(), Name.size(), 0);
  return {(Time << TokenHashBits) | (Hash & ((1U << TokenHashBits) - 1))};
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
  const Address *Endpoint;
  double Weight;  ///< See `InstanceRecord`.
  bool HasList;   ///< It has a list of upstreams, without which it can't claim.
  size_t Claimed; ///< Cells that it has.
};

/// Returns the instances of the own data centre that can be senders, by falling
/// weight; of equal ones, those that have cells come first.
std::vector<Candidate> rankCandidates(const CellState &State, SteadyTime Now) {
  std::vector<Candidate> Ranked;
  if (!State.Draining)
    Ranked.push_back({&State.Self.Endpoint, State.Self.Weight,
                      State.HasUpstreamList, State.Claims.size()});
  for (const auto &[Endpoint, P] : State.Peers)
    if (isInOwnCentre(State, P) && isWorking(State, P, Now))
      Ranked.push_back(
          {&Endpoint, P.Record.Weight, P.HasUpstreamList, P.Claims.size()});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const Candidate &L, const Candidate &R) {
              bool LeftServes = L.Claimed > 0;
              bool RightServes = R.Claimed > 0;
              return std::tie(R.Weight, RightServes, *L.Endpoint) <
                     std::tie(L.Weight, LeftServes, *R.Endpoint);
            });
  return Ranked;
}

std::vector<double> weightsOf(const std::vector<Candidate> &Ranked) {
  std::vector<double> Weights(Ranked.size());
  std::transform(Ranked.begin(), Ranked.end(), Weights.begin(),
                 [](const Candidate &C) { return C.Weight; });
  return Weights;
}

/// Returns true if this instance has more upstreams than its processor suffices
/// for.
bool hasTooManyUpstreams(const CellState &State,
                         const std::vector<double> &Weights) {
  double Limit = haveDifferentProcessors(Weights)
                     ? State.Self.Weight * UpstreamsPerCore
                     : MaxEqualShareFactor * UpstreamsPerSender;
  return static_cast<double>(State.Claims.size() * State.OwnUpstreams) >
         Limit * CellsPerCentre;
}

/// Returns the rank of the candidate that is to claim each of \p Unserved
/// cells: those with fewer cells than their share first, then the others in
/// turn.
std::vector<size_t> assignCells(const CellState &State,
                                const std::vector<Candidate> &Ranked,
                                size_t Unserved) {
  std::vector<uint32_t> Shares =
      cellShares(weightsOf(Ranked), State.OwnUpstreams);
  std::vector<size_t> Assigned;
  for (size_t I = 0; I < Ranked.size(); ++I)
    for (size_t N = Ranked[I].Claimed; N < Shares[I]; ++N)
      Assigned.push_back(I);
  size_t Senders = static_cast<size_t>(std::count_if(
      Shares.begin(), Shares.end(), [](uint32_t Share) { return Share > 0; }));
  for (size_t I = 0; Assigned.size() < Unserved; ++I)
    Assigned.push_back(I % Senders);
  return Assigned;
}

/// Returns true if this instance may claim a cell that has been unserved since
/// \p Since and that the candidate of rank \p Assigned is to have. Each other
/// candidate waits `CandidateDelay` longer than the one before.
bool isClaimTurn(const CellState &State, const std::vector<Candidate> &Ranked,
                 size_t Assigned, SteadyTime Since, SteadyTime Now) {
  size_t Position = 0;
  for (size_t I = 0; I < Ranked.size(); ++I) {
    const Candidate &C = Ranked[I];
    bool Own = *C.Endpoint == State.Self.Endpoint;
    if (Own && !C.HasList)
      return false;
    if (Own && I == Assigned)
      return true;
    if (Own)
      break;
    Position += I != Assigned && C.HasList ? 1 : 0;
  }
  Duration Delay = CandidateDelay * (Position + 1);
  if (!Ranked[Assigned].HasList)
    Delay += UpstreamListWait;
  return Now - Since >= Delay;
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
  if (Ranked.empty())
    return Changes;
  std::vector<size_t> Assigned = assignCells(State, Ranked, Unserved.size());
  for (size_t I = 0; I < Unserved.size(); ++I) {
    const CellId &Cell = Unserved[I];
    SteadyTime Since = State.UnservedSince.try_emplace(Cell, Now).first->second;
    auto After = State.ClaimAfter.find(Cell);
    if (After != State.ClaimAfter.end() && Now < After->second)
      continue;
    if (!isClaimTurn(State, Ranked, Assigned[I], Since, Now) ||
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

std::vector<CellId> surplusCells(CellState &State, SteadyTime Now) {
  if (Now < State.NextBalance || State.Claims.size() <= 1)
    return {};
  State.NextBalance = Now + BalancePeriod;
  bool AllReachable = std::all_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Item) {
        const Peer &P = Item.second;
        return !isInOwnCentre(State, P) || P.Claims.empty() ||
               (!P.Draining && isReachable(P, Now));
      });
  if (State.Draining || !AllReachable || isLagging(State, Now) ||
      !unservedCells(State, Now).empty())
    return {};
  std::vector<Candidate> Ranked = rankCandidates(State, Now);
  std::vector<double> Weights = weightsOf(Ranked);
  if (!hasTooManyUpstreams(State, Weights))
    return {};
  std::vector<uint32_t> Shares = cellShares(Weights, State.OwnUpstreams);
  size_t Surplus = 0;
  size_t Missing = 0;
  for (size_t I = 0; I < Ranked.size(); ++I) {
    const Candidate &C = Ranked[I];
    if (*C.Endpoint == State.Self.Endpoint)
      Surplus = C.Claimed > Shares[I] ? C.Claimed - Shares[I] : 0;
    else if (C.HasList && C.Claimed < Shares[I])
      Missing += Shares[I] - C.Claimed;
  }
  std::vector<CellId> Cells;
  for (auto It = State.Claims.rbegin();
       It != State.Claims.rend() && Cells.size() < std::min(Surplus, Missing);
       ++It)
    Cells.push_back(It->first);
  return Cells;
}

void handOverCell(CellState &State, const CellId &Cell, SteadyTime Now,
                  InstanceEffects &Out) {
  log(Out, "cell=" + cellText(Cell) +
               " released to an instance that has fewer cells than its share");
  releaseClaim(State, Cell, Now);
  schedulePingsNow(State, Now);
}

void releaseClaim(CellState &State, const CellId &Cell, SteadyTime Now) {
  State.Claims.erase(Cell);
  State.ClaimAfter[Cell] = Now + ReclaimPause;
}

} // namespace snipeshunt
