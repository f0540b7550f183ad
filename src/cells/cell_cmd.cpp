/// \file State changes of peers and of claims to cells.
#include "cells/cell_cmd.h"

#include "cells/cell_table.h"
#include "cells/peer_func.h"
#include "cells/share_func.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace snipeshunt {

namespace {

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

void recordToken(CellState &State, const CellClaim &Claim) {
  // This instance claims no other cells, and messages could name any number of
  // them.
  if (Claim.Cell.Centre != State.Self.Centre ||
      Claim.Cell.Index >= CellsPerCentre)
    return;
  FencingToken &Highest = State.HighestToken[Claim.Cell];
  Highest = std::max(Highest, Claim.Token);
}

void log(InstanceEffects &Out, std::string Message) {
  Out.push_back(LogDecision{DecisionPart::Cells, "", std::move(Message)});
}

bool equalClaims(const std::vector<CellClaim> &L,
                 const std::vector<CellClaim> &R) {
  return std::equal(L.begin(), L.end(), R.begin(), R.end(),
                    [](const CellClaim &A, const CellClaim &B) {
                      return A.Cell == B.Cell && A.Token == B.Token;
                    });
}

void applyClaims(CellState &State, Peer &P, std::vector<CellClaim> Claims,
                 SteadyTime Now) {
  if (equalClaims(P.Claims, Claims))
    return;
  State.ClaimsDue = true;
  // The load that an instance reports before it is a sender is that of an
  // instance without upstreams.
  if (P.Claims.empty())
    P.Load = {};
  if (Claims.empty())
    P.ClaimsReleased = Now;
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
  // The load of an evacuated data centre goes to all senders of the others.
  bool FollowsAll = State.Evacuated.count(State.Self.Centre) != 0;
  for (auto &[Centre, Senders] : Ranked) {
    std::sort(Senders.rbegin(), Senders.rend());
    if (!FollowsAll)
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
  P.DrainReported = false;
  P.RejectsJobs = false;
  P.UpstreamsInUse.clear();
  P.Claims.clear();
  P.ClaimsReleased = {};
  P.OldestAwaitedJob = 0;
  P.UnconfirmedSince = {};
  P.LastConfirmation = {};
  P.ConfirmSince = {};
}

/// Updates whether this instance is a standby. One that is stays it somewhat
/// beyond the limit, so that a peer that comes and goes does not change its
/// role. All instances are standbys until they have discovered their peers.
void updateStandby(CellState &State, SteadyTime Now) {
  if (Now - State.Started < DiscoveryTime)
    return;
  size_t Stronger = 0;
  size_t Senders = State.Claims.empty() ? 0 : 1;
  std::vector<double> Weights{State.Self.Weight};
  for (const auto &[Endpoint, P] : State.Peers) {
    if (!isInOwnCentre(State, P) || !isWorking(State, P, Now))
      continue;
    Weights.push_back(P.Record.Weight);
    Senders += P.Claims.empty() ? 0 : 1;
    Stronger += std::tie(State.Self.Weight, Endpoint) <
                        std::tie(P.Record.Weight, State.Self.Endpoint)
                    ? 1
                    : 0;
  }
  std::sort(Weights.begin(), Weights.end(), std::greater<>());
  Senders = std::max(Senders, senderCount(Weights, State.OwnUpstreams));
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
  Message.WantsEvacuation = State.WantsEvacuation;
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

void applyPing(CellState &State, const PingArrived &Event,
               const OwnReport &Report, SteadyTime Now, InstanceEffects &Out) {
  const PeerPing &Message = Event.Message;
  addPeer(State, Message.From, Now);
  auto It = State.Peers.find(Message.From.Endpoint);
  if (It != State.Peers.end()) {
    Peer &P = It->second;
    bool OtherProcess = P.Incarnation != IncarnationId{} &&
                        P.Incarnation != Message.Incarnation;
    applyIncarnation(State, P, Message.Incarnation);
    P.Record = Message.From;
    P.HasUpstreamList = Message.HasUpstreamList;
    recordMessage(P, Now);
    P.LastPingRaw = Now;
    P.LastPingBound = readBound(State, Now);
    // A ping of a former process may arrive after those of the present one. An
    // answered ping tells which of the two is running.
    if (OtherProcess)
      P.UnconfirmedSince = Now;
    P.ConnectionRefused = false;
    P.OldestAwaitedJob = std::max(P.OldestAwaitedJob, Message.OldestAwaitedJob);
    bool NewClaims = P.Claims.size() != Message.Claims.size();
    applyClaims(State, P, Message.Claims, Now);
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
  if (Message.WantsEvacuation)
    Reply.Evacuation = Report.Evacuation;
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
    // repeated soon. A peer that was never there may be no instance at all.
    bool Repeat = P.LastAnsweredPing != SteadyTime{} ||
                  P.LastMessage != SteadyTime{} ||
                  Now - P.Discovered < DiscoveryTime;
    pingBy(State, P, Repeat ? Now + HandoverPingPeriod : P.NextPing);
    return false;
  }
  const PeerPong &Reply = *Event.Reply;
  // An entry of another writer leads back to this process, whose own claims
  // would supersede themselves. The peer expires like one that is silent.
  if (Reply.Incarnation == State.Incarnation)
    return false;
  bool WasReachable = P.LastAnsweredPing != SteadyTime{} &&
                      !isSuspectedAfter(P, Now, remoteIdlePeriod(State));
  applyIncarnation(State, P, Reply.Incarnation);
  P.Record = Reply.From;
  P.ConnectionRefused = false;
  P.LastAnsweredPing = P.PingSent;
  P.OldestAwaitedJob = std::max(P.OldestAwaitedJob, Reply.OldestAwaitedJob);
  bool WasUnconfirmed = P.UnconfirmedSince != SteadyTime{};
  bool Confirms = P.ConfirmSince != SteadyTime{};
  P.LastConfirmation = P.PingSent;
  if (P.PingSent >= P.UnconfirmedSince)
    P.UnconfirmedSince = {};
  if (P.PingSent >= P.ConfirmSince)
    P.ConfirmSince = {};
  State.ClaimsDue = State.ClaimsDue || P.Draining != Reply.Draining ||
                    P.HasUpstreamList != Reply.HasUpstreamList;
  P.Draining = P.DrainReported = Reply.Draining;
  P.HasUpstreamList = Reply.HasUpstreamList;
  P.UpstreamsInUse = std::set<UpstreamId>(Reply.UpstreamsInUse.begin(),
                                          Reply.UpstreamsInUse.end());
  P.Load = Reply.Load;
  P.ConfigurationVersion = Reply.ConfigurationVersion;
  for (auto C = P.CancelledJobs.begin(); C != P.CancelledJobs.end();)
    C = C->second.At <= P.PingSent ? P.CancelledJobs.erase(C) : std::next(C);
  recordCancelledJobs(P, Reply.CancelledJobs, Now);
  applyClaims(State, P, Reply.Claims, Now);
  schedulePingEarlier(State, P, Now);
  for (const InstanceRecord &Record : Reply.KnownInstances)
    addPeer(State, Record, Now);
  if (!WasReachable)
    log(Out, "peer=" + Event.Endpoint.Value +
                 " is reachable, centre=" + P.Record.Centre.Value);
  return Confirms || (WasUnconfirmed && P.UnconfirmedSince == SteadyTime{});
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
  bool Late = Last != SteadyTime{} && Now - Last >= PauseThreshold;
  if (Late || State.LateTick == SteadyTime{} ||
      Now - State.LateTick >= PauseThreshold)
    State.ReadBound = Last;
  if (!Late)
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

SteadyTime readBound(const CellState &State, SteadyTime Now) {
  return State.ReadBound == SteadyTime{} ? Now : State.ReadBound;
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

bool isUsedByPredecessor(const CellState &State, const UpstreamId &Id,
                         SteadyTime Now) {
  return std::any_of(State.Peers.begin(), State.Peers.end(),
                     [&](const auto &Item) {
                       const Peer &P = Item.second;
                       return P.Draining && !isSuspected(P, {}, Now) &&
                              P.UpstreamsInUse.count(Id);
                     });
}

void applyEvacuatedCentres(CellState &State,
                           const std::set<DataCentre> &Evacuated,
                           SteadyTime Now) {
  if (State.Evacuated == Evacuated)
    return;
  State.Evacuated = Evacuated;
  for (auto &[Endpoint, P] : State.Peers)
    if (!P.Claims.empty())
      pingBy(State, P, Now);
}

bool areAllCentresEvacuated(const CellState &State) {
  auto IsEvacuated = [&](const DataCentre &Centre) {
    return State.Evacuated.count(Centre) != 0;
  };
  return IsEvacuated(State.Self.Centre) &&
         std::all_of(State.Peers.begin(), State.Peers.end(),
                     [&](const auto &Item) {
                       const DataCentre &Centre = Item.second.Record.Centre;
                       return Centre.Value.empty() || IsEvacuated(Centre);
                     });
}

std::vector<Address> availableSenders(const CellState &State, SteadyTime Now) {
  std::vector<Address> Senders = reachableSenders(State, Now);
  auto IsEvacuated = [&](const Address &Sender) {
    auto P = State.Peers.find(Sender);
    return State.Evacuated.count(P == State.Peers.end()
                                     ? State.Self.Centre
                                     : P->second.Record.Centre) != 0;
  };
  Senders.erase(std::remove_if(Senders.begin(), Senders.end(), IsEvacuated),
                Senders.end());
  return Senders;
}

std::vector<Address> reachableSenders(const CellState &State, SteadyTime Now) {
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
