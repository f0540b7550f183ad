/// \file State changes of the membership of cells.
#include "cells/cell_cmd.h"

#include "cells/cell_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace snipeshunt {

namespace {

// Low bits of a token tell claimants apart that claim in the same millisecond.
constexpr int TokenHashBits = 10;
// A cancel is repeated until a ping that carried it was answered; afterwards
// the job has reached its deadline anyway.
constexpr Duration CancelMemory = std::chrono::seconds(10);

/// Whether \p P has not answered for longer than \p Limit.
bool isSuspectFor(const Peer &P, SteadyTime Now, Duration Limit) {
  return P.Refused || Now - P.Heard >= Limit + SuspectAfter;
}

bool isNear(const CellState &State, const Peer &P) {
  return P.Entry.Centre == State.Self.Centre;
}

FencingToken newToken(const CellState &State, const CellId &Cell,
                      WallTime Wall) {
  auto Ms = static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Wall.time_since_epoch())
          .count());
  auto Highest = State.HighestToken.find(Cell);
  if (Highest != State.HighestToken.end())
    Ms = std::max(Ms, (Highest->second.Value >> TokenHashBits) + 1);
  const std::string &Name = State.Self.Where.Value;
  uint64_t Hash = XXH64(Name.data(), Name.size(), 0);
  return {(Ms << TokenHashBits) | (Hash & ((1U << TokenHashBits) - 1))};
}

void noteToken(CellState &State, const CellClaim &Claim) {
  FencingToken &Highest = State.HighestToken[Claim.Cell];
  Highest = std::max(Highest, Claim.Token);
}

void log(InstanceEffects &Out, std::string Message) {
  Out.push_back(LogDecision{DecisionPart::Cells, "", std::move(Message)});
}

/// Whether \p P is a sender that takes jobs.
bool servesCell(const Peer &P, const CellId &Cell, SteadyTime Now) {
  if (P.Draining || !isPresent(P, Now))
    return false;
  return std::any_of(P.Claims.begin(), P.Claims.end(),
                     [&](const CellClaim &C) { return C.Cell == Cell; });
}

bool isCandidate(const Peer &P, SteadyTime Now) {
  SteadyTime Last = std::max(P.Heard, P.PingedBy);
  return !P.Refused && !P.Draining && P.KnowsUpstreams &&
         Last != SteadyTime{} && Now - Last < CandidateMemory;
}

/// Instances of the own data centre that can be senders, strongest first.
std::vector<Address> rankCandidates(const CellState &State, SteadyTime Now) {
  std::vector<const InstanceEntry *> Entries;
  if (!State.Draining && State.KnowsUpstreams)
    Entries.push_back(&State.Self);
  for (const auto &[Where, P] : State.Peers)
    if (isNear(State, P) && isCandidate(P, Now))
      Entries.push_back(&P.Entry);
  std::sort(Entries.begin(), Entries.end(),
            [](const InstanceEntry *L, const InstanceEntry *R) {
              return std::tie(R->Weight, L->Where) <
                     std::tie(L->Weight, R->Where);
            });
  std::vector<Address> Ranked;
  Ranked.reserve(Entries.size());
  for (const InstanceEntry *E : Entries)
    Ranked.push_back(E->Where);
  return Ranked;
}

/// Whether this instance's turn to claim the cell has come: cells take the
/// candidates in turn, and each has some time before the next one.
bool isTurn(const CellState &State, const CellId &Cell,
            const std::vector<Address> &Ranked, SteadyTime Since,
            SteadyTime Now) {
  auto Own = std::find(Ranked.begin(), Ranked.end(), State.Self.Where);
  if (Own == Ranked.end())
    return false;
  size_t Count = Ranked.size();
  size_t Position =
      (static_cast<size_t>(Own - Ranked.begin()) + Count - Cell.Index % Count) %
      Count;
  return Now - Since >= CandidateDelay * Position;
}

/// Whether the silence of a cell's former sender can't be due to a cut of this
/// instance. A cut silences all peers at nearly the same time, so one must have
/// been heard clearly after the sender. Where all are silent, the store tells
/// whether they are gone.
bool silenceIsConfirmed(const CellState &State, const CellId &Cell,
                        SteadyTime Now) {
  SteadyTime SenderHeard{};
  for (const auto &[Where, P] : State.Peers)
    for (const CellClaim &Claim : P.Claims)
      // A refused connection proves that the peer's machine can be reached.
      if (Claim.Cell == Cell && !P.Refused && !P.Draining)
        SenderHeard = std::max({SenderHeard, P.Heard, P.PingedBy});
  if (SenderHeard == SteadyTime{})
    return true;
  bool Confirmed = std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        const Peer &P = Entry.second;
        return P.Refused || P.Heard > SenderHeard + SuspectAfter / 2;
      });
  if (Confirmed)
    return true;
  bool ReadSince = State.RegisteredRead > SenderHeard + SuspectAfter;
  return ReadSince &&
         std::all_of(
             State.Registered.begin(), State.Registered.end(),
             [&](const Address &Where) { return Where == State.Self.Where; });
}

/// Whether a peer of the own data centre may yet tell of its claims.
bool awaitsFirstAnswers(const CellState &State, SteadyTime Now) {
  if (Now - State.Started < JoinDelay)
    return true;
  return std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        const Peer &P = Entry.second;
        return isNear(State, P) && P.Heard == SteadyTime{} && !P.Refused &&
               P.PingPending && Now - P.Known < PingTimeout;
      });
}

void adoptClaims(CellState &State, Peer &P, std::vector<CellClaim> Claims) {
  for (const CellClaim &Claim : Claims)
    noteToken(State, Claim);
  P.Claims = std::move(Claims);
}

Duration pingPeriod(const CellState &State, const Peer &P, SteadyTime Now) {
  if (P.Draining && !P.Held.empty() && isNear(State, P) &&
      !State.Claims.empty())
    return HandoverPingPeriod;
  if (!P.OpenJobs.empty() || (isNear(State, P) && !P.Claims.empty()))
    return SenderPingPeriod;
  if (isNear(State, P))
    return Now - State.Started < DiscoveryTime ? SenderPingPeriod
                                               : NearIdlePeriod;
  return P.Claims.empty() ? IdlePingPeriod : FarPingPeriod;
}

uint64_t oldestJob(const CellState &State, const Peer &P) {
  return P.OpenJobs.empty() ? State.NextJob : *P.OpenJobs.begin();
}

/// Brings the next ping forward when what was learned of \p P asks for it.
void hastenNextPing(const CellState &State, Peer &P, SteadyTime Now) {
  P.NextPing = std::min(P.NextPing, Now + pingPeriod(State, P, Now));
}

/// Forgets what belonged to an earlier process at the same address.
void adoptIncarnation(Peer &P, IncarnationId Incarnation) {
  if (P.Incarnation == Incarnation)
    return;
  if (P.Incarnation != IncarnationId{})
    P.Cancelled.clear();
  P.Incarnation = Incarnation;
  P.Draining = false;
  P.RefusesJobs = false;
  P.Held.clear();
  P.Claims.clear();
  P.TheirOldestJob = 0;
  P.DoubtedSince = {};
}

} // namespace

void addPeer(CellState &State, const InstanceEntry &Entry, SteadyTime Now) {
  if (Entry.Where == State.Self.Where || Entry.Where.Value.empty())
    return;
  auto [It, Added] = State.Peers.try_emplace(Entry.Where);
  if (Added) {
    It->second.Known = Now;
    It->second.Entry = Entry;
  } else if (It->second.Entry.Centre.Value.empty()) {
    It->second.Entry = Entry;
  }
}

void adoptRegistered(CellState &State, const std::vector<InstanceEntry> &List,
                     SteadyTime Now) {
  State.Registered.clear();
  for (const InstanceEntry &Entry : List) {
    State.Registered.insert(Entry.Where);
    addPeer(State, Entry, Now);
  }
  State.RegisteredRead = Now;
}

void noteMessage(Peer &P, SteadyTime Now) {
  // An entry gives its jobs up before it has been silent for this long, and a
  // caller then has them run elsewhere.
  if (Now - P.PingedByRaw >= OrphanAfter) {
    P.DoubtedSince = Now;
    P.NextPing = Now;
  }
  P.PingedBy = P.PingedByRaw = Now;
}

bool isPresent(const Peer &P, SteadyTime Now) {
  SteadyTime Last = std::max(P.Heard, P.PingedBy);
  return !P.Refused && Last != SteadyTime{} && Now - Last < SuspectAfter;
}

bool isSuspect(const Peer &P, SteadyTime Reached, SteadyTime Now) {
  return P.Refused || Now - std::max(P.Heard, Reached) >= SuspectAfter;
}

void applyPing(CellState &State, const PingArrived &Event,
               const OwnReport &Report, SteadyTime Now, InstanceEffects &Out) {
  const PeerPing &Message = Event.Message;
  addPeer(State, Message.From, Now);
  auto It = State.Peers.find(Message.From.Where);
  if (It != State.Peers.end()) {
    Peer &P = It->second;
    adoptIncarnation(P, Message.Incarnation);
    P.Entry = Message.From;
    P.KnowsUpstreams = Message.KnowsUpstreams;
    noteMessage(P, Now);
    P.Refused = false;
    P.TheirOldestJob = std::max(P.TheirOldestJob, Message.OldestJob);
    bool NewClaims = P.Claims.size() != Message.Claims.size();
    adoptClaims(State, P, Message.Claims);
    hastenNextPing(State, P, Now);
    // Its answer says which upstreams it still uses.
    if ((Message.Draining && !P.Draining) || NewClaims ||
        P.Heard == SteadyTime{})
      P.NextPing = Now;
  }
  PeerPong Reply;
  Reply.From = State.Self;
  Reply.Incarnation = State.Incarnation;
  Reply.Draining = State.Draining;
  Reply.KnowsUpstreams = State.KnowsUpstreams;
  for (const auto &[Cell, Claim] : State.Claims)
    Reply.Claims.push_back({Cell, Claim.Token});
  Reply.Load = Report.Load;
  if (State.Draining)
    Reply.Held = Report.Held;
  Reply.ConfigurationVersion = Report.ConfigurationVersion;
  if (It != State.Peers.end())
    Reply.OldestJob = oldestJob(State, It->second);
  if (Message.WantsKnown)
    for (const auto &[Where, P] : State.Peers)
      if (Reply.Known.size() < MaxNamedPeers && P.Heard != SteadyTime{} &&
          !isSuspectFor(P, Now, IdlePingPeriod) && Where != Message.From.Where)
        Reply.Known.push_back(P.Entry);
  Out.push_back(AnswerPing{Event.Request, std::move(Reply)});
}

bool applyPong(CellState &State, const PingAnswered &Event, SteadyTime Now,
               InstanceEffects &Out) {
  auto It = State.Peers.find(Event.Where);
  if (It == State.Peers.end())
    return false;
  Peer &P = It->second;
  P.PingPending = false;
  if (!Event.Reply) {
    if (Event.Refused && !P.Refused && isPresent(P, Now))
      log(Out, "no process listens at peer=" + Event.Where.Value);
    if (Event.Refused)
      P.Refused = true;
    // A broken connection says little; the next answer tells.
    P.NextPing = std::min(P.NextPing, Now + HandoverPingPeriod);
    return false;
  }
  const PeerPong &Reply = *Event.Reply;
  bool WasHeard =
      P.Heard != SteadyTime{} && !isSuspectFor(P, Now, IdlePingPeriod);
  adoptIncarnation(P, Reply.Incarnation);
  P.Entry = Reply.From;
  P.Refused = false;
  P.Heard = P.PingSent;
  P.TheirOldestJob = std::max(P.TheirOldestJob, Reply.OldestJob);
  bool Doubted = P.DoubtedSince != SteadyTime{};
  if (P.PingSent >= P.DoubtedSince)
    P.DoubtedSince = {};
  else
    P.NextPing = Now;
  P.Draining = Reply.Draining;
  P.KnowsUpstreams = Reply.KnowsUpstreams;
  P.Held = std::set<UpstreamId>(Reply.Held.begin(), Reply.Held.end());
  P.Load = Reply.Load;
  P.ConfigurationVersion = Reply.ConfigurationVersion;
  for (auto C = P.Cancelled.begin(); C != P.Cancelled.end();)
    C = C->second <= P.PingSent ? P.Cancelled.erase(C) : std::next(C);
  adoptClaims(State, P, Reply.Claims);
  hastenNextPing(State, P, Now);
  for (const InstanceEntry &Known : Reply.Known)
    addPeer(State, Known, Now);
  if (!WasHeard)
    log(Out, "peer=" + Event.Where.Value +
                 " answers, centre=" + P.Entry.Centre.Value);
  return Doubted && P.DoubtedSince == SteadyTime{};
}

void sendPings(CellState &State, SteadyTime Now, InstanceEffects &Out) {
  for (auto It = State.Peers.begin(); It != State.Peers.end();) {
    SteadyTime Last =
        std::max({It->second.Heard, It->second.PingedBy, It->second.Known});
    bool Forgotten = !It->second.PingPending && Now - Last > ForgetPeerAfter;
    It = Forgotten ? State.Peers.erase(It) : std::next(It);
  }
  for (auto &[Where, P] : State.Peers) {
    if (P.PingPending || Now < P.NextPing)
      continue;
    P.PingPending = true;
    P.PingSent = Now;
    P.NextPing = Now + pingPeriod(State, P, Now);
    PeerPing Message;
    Message.From = State.Self;
    Message.Incarnation = State.Incarnation;
    Message.Draining = State.Draining;
    Message.KnowsUpstreams = State.KnowsUpstreams;
    Message.WantsKnown =
        P.Heard == SteadyTime{} || Now - State.Started < DiscoveryTime;
    Message.OldestJob = oldestJob(State, P);
    for (auto C = P.Cancelled.begin(); C != P.Cancelled.end();) {
      if (Now - C->second > CancelMemory) {
        C = P.Cancelled.erase(C);
        continue;
      }
      Message.Cancelled.push_back(C->first);
      ++C;
    }
    for (const auto &[Cell, Claim] : State.Claims)
      Message.Claims.push_back({Cell, Claim.Token});
    Out.push_back(SendPing{Where, std::move(Message)});
  }
}

void hastenPings(CellState &State, SteadyTime Now) {
  for (auto &[Where, P] : State.Peers)
    P.NextPing = Now;
}

void discountPause(CellState &State, SteadyTime Now) {
  SteadyTime Last = std::exchange(State.LastTick, Now);
  if (Last == SteadyTime{} || Now - Last < OwnPause)
    return;
  Duration Pause = Now - Last;
  auto Shift = [&](SteadyTime &T) {
    if (T != SteadyTime{})
      T = std::min(Now, T + Pause);
  };
  for (auto &[Where, P] : State.Peers) {
    Shift(P.Heard);
    Shift(P.PingedBy);
  }
}

ClaimChanges updateClaims(CellState &State, SteadyTime Now, WallTime Wall,
                          InstanceEffects &Out) {
  ClaimChanges Changes;
  for (const auto &[Where, P] : State.Peers) {
    if (!isPresent(P, Now))
      continue;
    for (const CellClaim &Claim : P.Claims) {
      auto Own = State.Claims.find(Claim.Cell);
      if (Own == State.Claims.end() || Claim.Token < Own->second.Token)
        continue;
      log(Out, "cell=" + cellText(Claim.Cell) + " has a newer sender=" +
                   Where.Value + " token=" + std::to_string(Claim.Token.Value));
      State.Claims.erase(Own);
      Changes.Lost.push_back(Claim.Cell);
    }
  }
  if (State.Draining || awaitsFirstAnswers(State, Now))
    return Changes;
  std::vector<Address> Ranked;
  for (uint32_t I = 0; I < State.CellCount; ++I) {
    CellId Cell{State.Self.Centre, I};
    if (State.Claims.count(Cell))
      continue;
    bool Served =
        std::any_of(State.Peers.begin(), State.Peers.end(), [&](const auto &E) {
          return servesCell(E.second, Cell, Now);
        });
    if (Served) {
      State.UnservedSince.erase(Cell);
      continue;
    }
    SteadyTime Since = State.UnservedSince.try_emplace(Cell, Now).first->second;
    auto After = State.ClaimAfter.find(Cell);
    if (After != State.ClaimAfter.end() && Now < After->second)
      continue;
    if (Ranked.empty())
      Ranked = rankCandidates(State, Now);
    if (Ranked.empty())
      break;
    if (!isTurn(State, Cell, Ranked, Since, Now) ||
        !silenceIsConfirmed(State, Cell, Now))
      continue;
    State.UnservedSince.erase(Cell);
    FencingToken Token = newToken(State, Cell, Wall);
    State.Claims[Cell] = {Token, Now};
    noteToken(State, {Cell, Token});
    Changes.Gained.push_back(Cell);
    log(Out, "cell=" + cellText(Cell) + " has no sender, claimed by this " +
                 "instance, token=" + std::to_string(Token.Value) +
                 " candidates=" + std::to_string(Ranked.size()));
  }
  // Callers' jobs wait for the news of a sender.
  if (!Changes.Gained.empty())
    hastenPings(State, Now);
  return Changes;
}

void yieldClaim(CellState &State, const CellId &Cell, SteadyTime Now) {
  State.Claims.erase(Cell);
  State.ClaimAfter[Cell] = Now + ReclaimPause;
}

bool heldByPredecessor(const CellState &State, const UpstreamId &Id,
                       SteadyTime Now) {
  return std::any_of(
      State.Peers.begin(), State.Peers.end(), [&](const auto &Entry) {
        const Peer &P = Entry.second;
        return P.Draining && !isSuspect(P, {}, Now) && P.Held.count(Id);
      });
}

std::vector<Address> presentSenders(const CellState &State, SteadyTime Now) {
  std::vector<Address> Senders;
  if (!State.Claims.empty() && !State.Draining)
    Senders.push_back(State.Self.Where);
  for (const auto &[Where, P] : State.Peers)
    if (!P.Claims.empty() && !P.Draining && !P.RefusesJobs && !P.Refused &&
        Now - P.Heard < SenderMemory)
      Senders.push_back(Where);
  return Senders;
}

} // namespace snipeshunt
