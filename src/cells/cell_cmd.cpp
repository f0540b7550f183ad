/// \file State changes of peers and of claims to cells.
#include "cells/cell_cmd.h"

#include "cells/cell_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace snipeshunt {

namespace {

// Low bits of a token that hold a hash of the claimant's endpoint, so that
// claims of two instances in the same millisecond differ.
constexpr int TokenHashBits = 10;
// Longest pause between two scans for due pings and expired peers.
constexpr Duration MaxPingScanPause = std::chrono::milliseconds(500);
// A cancel goes out with each ping until one that carried it has been answered,
// or for this time, by which the job has reached its deadline anyway.
constexpr Duration CancelRetention = std::chrono::seconds(10);

/// Returns true if \p P refuses connections or has answered no ping for \p
/// Limit and `SuspectAfter`. \p Limit allows for peers that are pinged rarely.
bool isSuspectedAfter(const Peer &P, SteadyTime Now, Duration Limit) {
  return P.ConnectionRefused ||
         Now - P.LastAnsweredPing >= Limit + SuspectAfter;
}

bool isInOwnCentre(const CellState &State, const Peer &P) {
  return P.Record.Centre == State.Self.Centre;
}

/// Returns \p Shortest, or the period that keeps the pings to \p Peers peers
/// below `MaxIdlePingRate`.
Duration idlePeriod(Duration Shortest, size_t Peers) {
  return std::max<Duration>(Shortest, std::chrono::seconds(1) *
                                          static_cast<int64_t>(Peers) /
                                          MaxIdlePingRate);
}

Duration localIdlePeriod(const CellState &State) {
  return idlePeriod(LocalIdlePingPeriod, State.LocalPeers);
}

Duration remoteIdlePeriod(const CellState &State) {
  return idlePeriod(RemoteIdlePingPeriod, State.RemotePeers);
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
  const std::string &Name = State.Self.Endpoint.Value;
  uint64_t Hash = XXH64(Name.data(), Name.size(), 0);
  return {(Ms << TokenHashBits) | (Hash & ((1U << TokenHashBits) - 1))};
}

void recordToken(CellState &State, const CellClaim &Claim) {
  FencingToken &Highest = State.HighestToken[Claim.Cell];
  Highest = std::max(Highest, Claim.Token);
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

bool isCandidate(const CellState &State, const Peer &P, SteadyTime Now) {
  SteadyTime Last = std::max(P.LastAnsweredPing, P.LastMessage);
  return !P.ConnectionRefused && !P.Draining && P.HasUpstreamList &&
         Last != SteadyTime{} &&
         Now - Last < localIdlePeriod(State) + CandidateMaxSilence;
}

/// An instance of the own data centre that can be a sender.
struct Candidate {
  bool HasShare;        ///< It has its share of the cells already.
  double Weight;        ///< See `InstanceRecord`.
  const Address *Where; ///< Its endpoint.
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
    if (isInOwnCentre(State, P) && isCandidate(State, P, Now))
      Ranked.push_back({P.Claims.size() >= Share, P.Record.Weight, &Endpoint});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const Candidate &L, const Candidate &R) {
              return std::tie(L.HasShare, R.Weight, *L.Where) <
                     std::tie(R.HasShare, L.Weight, *R.Where);
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
        return *C.Where == State.Self.Endpoint;
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

bool equalClaims(const std::vector<CellClaim> &L,
                 const std::vector<CellClaim> &R) {
  return std::equal(L.begin(), L.end(), R.begin(), R.end(),
                    [](const CellClaim &A, const CellClaim &B) {
                      return A.Cell == B.Cell && A.Token == B.Token;
                    });
}

void applyClaims(CellState &State, Peer &P, std::vector<CellClaim> Claims) {
  if (equalClaims(P.Claims, Claims))
    return;
  State.ClaimsDue = true;
  // The load that an instance reports before it is a sender is that of an
  // instance without upstreams.
  if (P.Claims.empty())
    P.Load = {};
  for (const CellClaim &Claim : Claims)
    recordToken(State, Claim);
  P.Claims = std::move(Claims);
}

/// Chooses the remote senders to follow: those of each data centre with the
/// highest hash of both endpoints.
void chooseFollowedSenders(CellState &State) {
  std::map<DataCentre, std::vector<std::pair<uint64_t, Peer *>>> Ranked;
  uint64_t Seed = XXH64(State.Self.Endpoint.Value.data(),
                        State.Self.Endpoint.Value.size(), 0);
  for (auto &[Endpoint, P] : State.Peers) {
    P.Followed = false;
    if (!P.Claims.empty() && !isInOwnCentre(State, P))
      Ranked[P.Record.Centre].emplace_back(
          XXH64(Endpoint.Value.data(), Endpoint.Value.size(), Seed), &P);
  }
  for (auto &[Centre, Senders] : Ranked) {
    std::sort(Senders.rbegin(), Senders.rend());
    Senders.resize(std::min(Senders.size(), FollowedSendersPerCentre));
    for (const auto &[Hash, P] : Senders)
      P->Followed = true;
  }
}

Duration pingPeriod(const CellState &State, const Peer &P, SteadyTime Now) {
  if (P.Draining && !P.UpstreamsInUse.empty() && isInOwnCentre(State, P) &&
      !State.Claims.empty())
    return HandoverPingPeriod;
  if (!P.OpenJobs.empty() || (isInOwnCentre(State, P) && !P.Claims.empty()))
    return SenderPingPeriod;
  if (isInOwnCentre(State, P))
    return Now - State.Started < DiscoveryTime ? SenderPingPeriod
                                               : localIdlePeriod(State);
  return P.Followed ? RemoteSenderPingPeriod : remoteIdlePeriod(State);
}

uint64_t oldestAwaitedJob(const CellState &State, const Peer &P) {
  return P.OpenJobs.empty() ? State.NextJob : *P.OpenJobs.begin();
}

/// Brings the next ping forward if the new state of \p P has a shorter period.
void schedulePingEarlier(CellState &State, Peer &P, SteadyTime Now) {
  pingBy(State, P, Now + pingPeriod(State, P, Now));
}

/// Resets what an earlier process at the same address had reported.
void applyIncarnation(CellState &State, Peer &P, IncarnationId Incarnation) {
  if (P.Incarnation == Incarnation)
    return;
  State.ClaimsDue = true;
  if (P.Incarnation != IncarnationId{})
    P.CancelledJobs.clear();
  P.CancelledHere.clear();
  P.Incarnation = Incarnation;
  P.Draining = false;
  P.RejectsJobs = false;
  P.UpstreamsInUse.clear();
  P.Claims.clear();
  P.OldestAwaitedJob = 0;
  P.UnconfirmedSince = {};
}

/// Updates whether this instance is a standby. One that is stays it somewhat
/// beyond the limit, so that a peer that comes and goes does not change its
/// role. All instances are standbys until they have discovered their peers.
void updateStandby(CellState &State, SteadyTime Now) {
  if (Now - State.Started < DiscoveryTime)
    return;
  size_t Stronger = 0;
  size_t Senders = State.Claims.empty() ? 0 : 1;
  for (const auto &[Endpoint, P] : State.Peers) {
    SteadyTime Last = std::max(P.LastAnsweredPing, P.LastMessage);
    bool Works = !P.ConnectionRefused && !P.Draining && Last != SteadyTime{} &&
                 Now - Last < localIdlePeriod(State) + CandidateMaxSilence;
    if (!isInOwnCentre(State, P) || !Works)
      continue;
    Senders += P.Claims.empty() ? 0 : 1;
    Stronger += std::tie(State.Self.Weight, Endpoint) <
                        std::tie(P.Record.Weight, State.Self.Endpoint)
                    ? 1
                    : 0;
  }
  Senders = std::max<size_t>(Senders, State.WantedSenders);
  size_t Limit = std::max(MinStandbys, StandbysPerSender * Senders);
  State.IsStandby = Stronger < (State.IsStandby ? Limit + Limit / 2 : Limit);
}

void forgetOldCancellations(std::map<JobId, Cancellation> &Jobs,
                            SteadyTime Now) {
  for (auto C = Jobs.begin(); C != Jobs.end();)
    C = Now - C->second.At > CancelRetention ? Jobs.erase(C) : std::next(C);
}

/// Returns the jobs that \p P must stop.
std::vector<CancelledJob> cancelledJobs(Peer &P, SteadyTime Now) {
  forgetOldCancellations(P.CancelledJobs, Now);
  std::vector<CancelledJob> Jobs;
  for (const auto &[Id, C] : P.CancelledJobs)
    Jobs.push_back({Id, C.Number});
  return Jobs;
}

/// Sends a ping to the peer \p P at \p Endpoint and schedules the next one.
void sendPing(CellState &State, const Address &Endpoint, Peer &P,
              SteadyTime Now, InstanceEffects &Out) {
  P.PingPending = true;
  P.PingSent = Now;
  P.NextPing = Now + pingPeriod(State, P, Now);
  PeerPing Message;
  Message.From = State.Self;
  Message.Incarnation = State.Incarnation;
  Message.Draining = State.Draining;
  Message.HasUpstreamList = State.HasUpstreamList;
  // The store's list names all instances; gossip replaces it while the store
  // does not answer.
  Message.WantsKnownInstances = State.InstanceListRead == SteadyTime{} &&
                                (P.LastAnsweredPing == SteadyTime{} ||
                                 Now - State.Started < DiscoveryTime);
  Message.OldestAwaitedJob = oldestAwaitedJob(State, P);
  Message.CancelledJobs = cancelledJobs(P, Now);
  for (const auto &[Cell, Claim] : State.Claims)
    Message.Claims.push_back({Cell, Claim.Token});
  ++State.Counts.PingsSent;
  Out.push_back(SendPing{Endpoint, std::move(Message)});
}

} // namespace

void addPeer(CellState &State, const InstanceRecord &Record, SteadyTime Now) {
  if (Record.Endpoint == State.Self.Endpoint || Record.Endpoint.Value.empty())
    return;
  auto [It, Added] = State.Peers.try_emplace(Record.Endpoint);
  if (Added) {
    It->second.Discovered = Now;
    It->second.Record = Record;
    State.NextPingScan = Now;
  } else if (It->second.Record.Centre.Value.empty()) {
    It->second.Record = Record;
  }
}

void applyListedInstances(CellState &State,
                          const std::vector<InstanceRecord> &List,
                          SteadyTime Now) {
  State.ListedInstances.clear();
  for (const InstanceRecord &Record : List) {
    State.ListedInstances.insert(Record.Endpoint);
    addPeer(State, Record, Now);
  }
  State.InstanceListRead = Now;
}

void pingBy(CellState &State, Peer &P, SteadyTime When) {
  P.NextPing = std::min(P.NextPing, When);
  // A scan leaves out peers with a pending ping, whose next one may be due.
  State.NextPingScan = std::min(State.NextPingScan, P.NextPing);
}

void recordMessage(Peer &P, SteadyTime Now) {
  // An entry that was cut off for this long has already released the jobs that
  // it forwarded here, and their callers may have submitted them elsewhere.
  if (Now - P.LastMessageRaw >= EntryTimeout)
    P.UnconfirmedSince = Now;
  P.LastMessage = P.LastMessageRaw = Now;
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

void applyPing(CellState &State, const PingArrived &Event,
               const OwnReport &Report, SteadyTime Now, InstanceEffects &Out) {
  const PeerPing &Message = Event.Message;
  addPeer(State, Message.From, Now);
  auto It = State.Peers.find(Message.From.Endpoint);
  if (It != State.Peers.end()) {
    Peer &P = It->second;
    applyIncarnation(State, P, Message.Incarnation);
    P.Record = Message.From;
    P.HasUpstreamList = Message.HasUpstreamList;
    recordMessage(P, Now);
    P.ConnectionRefused = false;
    P.OldestAwaitedJob = std::max(P.OldestAwaitedJob, Message.OldestAwaitedJob);
    bool NewClaims = P.Claims.size() != Message.Claims.size();
    applyClaims(State, P, Message.Claims);
    schedulePingEarlier(State, P, Now);
    // Its answer reports the upstreams that it still uses.
    if ((Message.Draining && !P.Draining) || NewClaims ||
        P.LastAnsweredPing == SteadyTime{})
      pingBy(State, P, Now);
  }
  PeerPong Reply;
  Reply.From = State.Self;
  Reply.Incarnation = State.Incarnation;
  Reply.Draining = State.Draining;
  Reply.HasUpstreamList = State.HasUpstreamList;
  for (const auto &[Cell, Claim] : State.Claims)
    Reply.Claims.push_back({Cell, Claim.Token});
  Reply.Load = Report.Load;
  if (State.Draining)
    Reply.UpstreamsInUse = Report.UpstreamsInUse;
  Reply.ConfigurationVersion = Report.ConfigurationVersion;
  if (It != State.Peers.end()) {
    Reply.OldestAwaitedJob = oldestAwaitedJob(State, It->second);
    Reply.CancelledJobs = cancelledJobs(It->second, Now);
    recordCancelledJobs(It->second, Message.CancelledJobs, Now);
  }
  if (Message.WantsKnownInstances)
    for (const auto &[Endpoint, P] : State.Peers)
      if (Reply.KnownInstances.size() < MaxListedPeers &&
          P.LastAnsweredPing != SteadyTime{} &&
          !isSuspectedAfter(P, Now, remoteIdlePeriod(State)) &&
          Endpoint != Message.From.Endpoint)
        Reply.KnownInstances.push_back(P.Record);
  Out.push_back(AnswerPing{Event.Request, std::move(Reply)});
}

bool applyPong(CellState &State, const PingAnswered &Event, SteadyTime Now,
               InstanceEffects &Out) {
  auto It = State.Peers.find(Event.Endpoint);
  if (It == State.Peers.end())
    return false;
  Peer &P = It->second;
  P.PingPending = false;
  if (!Event.Reply) {
    if (Event.ConnectionRefused && !P.ConnectionRefused && isReachable(P, Now))
      log(Out, "connection refused, no process listens at peer=" +
                   Event.Endpoint.Value);
    if (Event.ConnectionRefused) {
      State.ClaimsDue = State.ClaimsDue || !P.ConnectionRefused;
      P.ConnectionRefused = true;
    }
    // A failed ping doesn't show whether the process has ended, so it is
    // repeated soon.
    pingBy(State, P, Now + HandoverPingPeriod);
    return false;
  }
  const PeerPong &Reply = *Event.Reply;
  bool WasReachable = P.LastAnsweredPing != SteadyTime{} &&
                      !isSuspectedAfter(P, Now, remoteIdlePeriod(State));
  applyIncarnation(State, P, Reply.Incarnation);
  P.Record = Reply.From;
  P.ConnectionRefused = false;
  P.LastAnsweredPing = P.PingSent;
  P.OldestAwaitedJob = std::max(P.OldestAwaitedJob, Reply.OldestAwaitedJob);
  bool WasUnconfirmed = P.UnconfirmedSince != SteadyTime{};
  if (P.PingSent >= P.UnconfirmedSince)
    P.UnconfirmedSince = {};
  State.ClaimsDue = State.ClaimsDue || P.Draining != Reply.Draining ||
                    P.HasUpstreamList != Reply.HasUpstreamList;
  P.Draining = Reply.Draining;
  P.HasUpstreamList = Reply.HasUpstreamList;
  P.UpstreamsInUse = std::set<UpstreamId>(Reply.UpstreamsInUse.begin(),
                                          Reply.UpstreamsInUse.end());
  P.Load = Reply.Load;
  P.ConfigurationVersion = Reply.ConfigurationVersion;
  for (auto C = P.CancelledJobs.begin(); C != P.CancelledJobs.end();)
    C = C->second.At <= P.PingSent ? P.CancelledJobs.erase(C) : std::next(C);
  recordCancelledJobs(P, Reply.CancelledJobs, Now);
  applyClaims(State, P, Reply.Claims);
  schedulePingEarlier(State, P, Now);
  for (const InstanceRecord &Record : Reply.KnownInstances)
    addPeer(State, Record, Now);
  if (!WasReachable)
    log(Out, "peer=" + Event.Endpoint.Value +
                 " is reachable, centre=" + P.Record.Centre.Value);
  return WasUnconfirmed && P.UnconfirmedSince == SteadyTime{};
}

void sendPings(CellState &State, SteadyTime Now, InstanceEffects &Out) {
  if (Now < State.NextPingScan)
    return;
  State.NextPingScan = Now + MaxPingScanPause;
  State.Counts.PeersVisited += State.Peers.size();
  State.LocalPeers = State.RemotePeers = 0;
  for (auto It = State.Peers.begin(); It != State.Peers.end();) {
    SteadyTime Last = std::max({It->second.LastAnsweredPing,
                                It->second.LastMessage, It->second.Discovered});
    if (!It->second.PingPending &&
        Now - Last > remoteIdlePeriod(State) + PeerExpiry) {
      It = State.Peers.erase(It);
      continue;
    }
    ++(isInOwnCentre(State, It->second) ? State.LocalPeers : State.RemotePeers);
    ++It;
  }
  chooseFollowedSenders(State);
  updateStandby(State, Now);
  for (auto &[Endpoint, P] : State.Peers) {
    if (!P.PingPending && Now >= P.NextPing)
      sendPing(State, Endpoint, P, Now, Out);
    if (!P.PingPending)
      State.NextPingScan = std::min(State.NextPingScan, P.NextPing);
  }
}

void recordUpstreamList(CellState &State, bool HasList, SteadyTime Now) {
  if (State.HasUpstreamList == HasList)
    return;
  State.HasUpstreamList = HasList;
  for (auto &[Endpoint, P] : State.Peers)
    if (isInOwnCentre(State, P))
      pingBy(State, P, Now);
}

void schedulePingsNow(CellState &State, SteadyTime Now) {
  for (auto &[Endpoint, P] : State.Peers)
    pingBy(State, P, Now);
}

void compensateForPause(CellState &State, SteadyTime Now) {
  SteadyTime Last = std::exchange(State.LastTick, Now);
  if (Last == SteadyTime{} || Now - Last < PauseThreshold)
    return;
  State.LateTick = Now;
  Duration Pause = Now - Last;
  auto Shift = [&](SteadyTime &T) {
    if (T != SteadyTime{})
      T = std::min(Now, T + Pause);
  };
  for (auto &[Endpoint, P] : State.Peers) {
    Shift(P.LastAnsweredPing);
    Shift(P.LastMessage);
  }
}

bool isLagging(const CellState &State, SteadyTime Now) {
  if (State.LastTick == SteadyTime{})
    return false;
  // What arrived before a late tick is handled within some time after it.
  return Now - State.LastTick >= PauseThreshold ||
         (State.LateTick != SteadyTime{} &&
          Now - State.LateTick < PauseThreshold);
}

void recordCancelledJobs(Peer &P, const std::vector<CancelledJob> &Cancelled,
                         SteadyTime Now) {
  if (Cancelled.empty())
    return;
  forgetOldCancellations(P.CancelledHere, Now);
  for (const CancelledJob &Job : Cancelled) {
    Cancellation &C = P.CancelledHere[Job.Id];
    C.Number = std::max(C.Number, Job.Number);
    C.At = Now;
  }
}

bool isCancelledHere(const Peer &P, const JobId &Id, uint64_t Number) {
  auto C = P.CancelledHere.find(Id);
  return C != P.CancelledHere.end() && Number <= C->second.Number;
}

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
    recordToken(State, {Cell, Token});
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

bool isUsedByPredecessor(const CellState &State, const UpstreamId &Id,
                         SteadyTime Now) {
  return std::any_of(State.Peers.begin(), State.Peers.end(),
                     [&](const auto &Item) {
                       const Peer &P = Item.second;
                       return P.Draining && !isSuspected(P, {}, Now) &&
                              P.UpstreamsInUse.count(Id);
                     });
}

std::vector<Address> availableSenders(const CellState &State, SteadyTime Now) {
  std::vector<Address> Senders;
  if (!State.Claims.empty() && !State.Draining)
    Senders.push_back(State.Self.Endpoint);
  for (const auto &[Endpoint, P] : State.Peers)
    if (!P.Claims.empty() && !P.Draining && !P.RejectsJobs &&
        !P.ConnectionRefused && Now - P.LastAnsweredPing < SenderMaxSilence)
      Senders.push_back(Endpoint);
  return Senders;
}

} // namespace snipeshunt
