/// \file State changes of the roster: heartbeats, failure detection,
/// departures.
#include "membership/member_cmd.h"

#include "handover/handover_cmd.h"
#include "jobs/forward_cmd.h"
#include "tickets/ticket_func.h"
#include "upstreams/ownership_func.h"
#include "upstreams/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Bounds the memory that wrong heartbeats of a peer can take here.
constexpr size_t MaxMembers = 512;
// Shortest interval between two early heartbeats to one member.
constexpr Duration MinAnnounceInterval = std::chrono::milliseconds(20);
// Shortest interval between two fetches of the configuration.
constexpr Duration MinFetchInterval = std::chrono::milliseconds(500);
// A peer from which the document was fetched is skipped for this long, so that
// an unreachable one does not keep the others from being asked.
constexpr Duration FetchRetryDelay = std::chrono::seconds(3);
// Longest interval between heartbeats to an unresponsive member. Bounds the
// time after which two instances that consider each other dead resume contact.
constexpr Duration MaxHeartbeatInterval = std::chrono::seconds(5);

// A member counts as new for this long: many heartbeats, so that the loss of
// some does not matter.
constexpr Duration NewMemberPeriod = std::chrono::seconds(10);
// The known instances are most of a heartbeat's size and change rarely, so they
// are sent at this interval only.
constexpr Duration KnownInstancesInterval = std::chrono::seconds(5);

void recordMemberEvent(TimelineKind Kind, const Member &M, EffectList &Out) {
  Out.push_back(
      RecordTimeline{Kind, "", "",
                     "instance=" + M.Location.Endpoint.Value +
                         " incarnation=" + incarnationText(M.Incarnation)});
}

void sendHeartbeat(InstanceState &State, Member &M, SteadyTime Now,
                   EffectList &Out) {
  M.HeartbeatPending = true;
  Out.push_back(
      SendHeartbeat{M.Location.Endpoint, heartbeatFor(State, M, Now)});
}

/// Ends what is open with the previous process of \p M, which another process
/// has replaced.
void replaceIncarnation(InstanceState &State, Member &M, SteadyTime Now,
                        EffectList &Out) {
  IncarnationId Old = M.Incarnation;
  State.Members.ReplacedIncarnations[Old] =
      Now + State.Settings.Limits.TicketLifetime;
  failReceiver(State, Old, Now, Out);
  State.Handovers.Outgoing.erase(Old);
  closeHomeChannel(State, Old, Now);
  endForwardsTo(State, Old, Out);
}

/// Changes the health of \p M, with the consequences for its tasks, the tasks
/// handed over to it, forwarded requests and the ownership of upstreams.
void setHealth(InstanceState &State, Member &M, MemberHealth To, SteadyTime Now,
               EffectList &Out) {
  if (M.Health == To)
    return;
  MemberHealth From = M.Health;
  M.Health = To;
  switch (To) {
  case MemberHealth::Alive:
    M.KnownInstancesSent = {};
    if (From != MemberHealth::Suspect)
      recordMemberEvent(TimelineKind::MemberJoined, M, Out);
    break;
  case MemberHealth::Suspect:
    if (M.State != MemberState::Left)
      recordMemberEvent(TimelineKind::MemberSuspected, M, Out);
    M.Load.FreeSlots = 0;
    break;
  case MemberHealth::Dead:
    // A departed member stops sending as well and is not reported as dead.
    if (M.State != MemberState::Left)
      recordMemberEvent(TimelineKind::MemberDead, M, Out);
    failReceiver(State, M.Incarnation, Now, Out);
    returnReceivedTasks(State, M.Incarnation, "the home is unreachable", Now,
                        Out);
    endForwardsTo(State, M.Incarnation, Out);
    break;
  case MemberHealth::NeverHeard:
    break;
  }
  updateOwnership(State, Out);
}

void recordDeparture(InstanceState &State, const Heartbeat &Message,
                     SteadyTime Now) {
  if (!Message.Successor)
    return;
  State.Members.Departed[Message.Incarnation] = {
      *Message.Successor, Now + State.Settings.Limits.TicketLifetime};
}

/// A pause of this process makes every peer look unresponsive, so the time of
/// the pause is not counted.
void compensateForOwnPause(InstanceState &State, SteadyTime Now) {
  SteadyTime Last = std::exchange(State.Members.LastTick, Now);
  if (Last == SteadyTime{} ||
      Now - Last < State.Settings.Limits.HeartbeatInterval)
    return;
  if (Now - Last > State.Settings.Limits.DeadAfter)
    scheduleResendsNow(State, Now);
  // A heartbeat that was read after the pause is not moved beyond the present.
  for (auto &[Endpoint, M] : State.Members.Members)
    M.LastHeard = std::min(Now, M.LastHeard + (Now - Last));
}

void detectUnresponsiveMembers(InstanceState &State, SteadyTime Now,
                               EffectList &Out) {
  for (auto &[Endpoint, M] : State.Members.Members) {
    bool Watched =
        M.Health == MemberHealth::Alive || M.Health == MemberHealth::Suspect;
    // Applies to members that have left, too: tasks that they had not reported
    // by then are lost.
    if (!Watched)
      continue;
    Duration Elapsed = Now - M.LastHeard;
    if (Elapsed > State.Settings.Limits.DeadAfter)
      setHealth(State, M, MemberHealth::Dead, Now, Out);
    else if (Elapsed > State.Settings.Limits.SuspectAfter)
      setHealth(State, M, MemberHealth::Suspect, Now, Out);
  }
}

/// Chooses the instance of the data centre that watches the configuration: one
/// that reaches the platform's service, or any while none does.
void updateWatcher(InstanceState &State, EffectList &Out) {
  std::vector<Address> Present;
  std::vector<Address> ReachingPlatform;
  auto Add = [&](const Address &Endpoint, bool Reachable) {
    Present.push_back(Endpoint);
    if (Reachable)
      ReachingPlatform.push_back(Endpoint);
  };
  if (!State.Drain)
    Add(State.Settings.Advertise, State.Members.PlatformReachable);
  for (const auto &[Endpoint, M] : State.Members.Members)
    if (M.Location.Centre == State.Settings.Centre &&
        M.Health == MemberHealth::Alive && M.State == MemberState::Live)
      Add(Endpoint, M.PlatformReachable);
  const std::vector<Address> &Candidates =
      ReachingPlatform.empty() ? Present : ReachingPlatform;
  bool Watch = rendezvousOwner("configuration-watch", Candidates) ==
               State.Settings.Advertise;
  if (Watch == State.WatchesConfiguration)
    return;
  State.WatchesConfiguration = Watch;
  Out.push_back(WatchConfiguration{Watch, State.Configuration.InForceRevision});
}

/// Fetches the configuration from the member with the newest revision, if that
/// is newer than what was applied or rejected here.
void fetchNewerConfiguration(InstanceState &State, SteadyTime Now,
                             EffectList &Out) {
  if (State.Members.NextFetch > Now)
    return;
  Revision LatestRevision = std::max(State.Configuration.InForceRevision,
                                     State.Configuration.RejectedRevision);
  Member *Newest = nullptr;
  for (auto &[Endpoint, M] : State.Members.Members)
    if (M.Health == MemberHealth::Alive && M.State != MemberState::Left &&
        LatestRevision < M.ConfigurationRevision &&
        (M.LastFetch == SteadyTime{} || Now - M.LastFetch > FetchRetryDelay) &&
        (!Newest || Newest->ConfigurationRevision < M.ConfigurationRevision))
      Newest = &M;
  if (!Newest)
    return;
  State.Members.NextFetch = Now + MinFetchInterval;
  Newest->LastFetch = Now;
  Out.push_back(FetchConfiguration{Newest->Location.Endpoint});
}

/// Returns true if no reply is expected from \p M.
bool isUnresponsive(const Member &M) {
  return M.Health == MemberHealth::NeverHeard ||
         M.Health == MemberHealth::Dead || M.State == MemberState::Left;
}

bool isListedOrConfigured(const InstanceState &State, const Address &Endpoint) {
  return State.Members.ListedInstances.count(Endpoint) ||
         std::any_of(
             State.Settings.Peers.begin(), State.Settings.Peers.end(),
             [&](const PeerSettings &P) { return P.Endpoint == Endpoint; });
}

/// Evicts members that have been unresponsive for so long that their tickets
/// have expired. Those in the settings or the platform's list stay: they may
/// only be cut off, and quotas are divided by their number.
void evictUnresponsiveMembers(InstanceState &State, SteadyTime Now) {
  auto &All = State.Members.Members;
  for (auto It = All.begin(); It != All.end();) {
    Member &M = It->second;
    if (!isUnresponsive(M))
      M.UnresponsiveSince = {};
    else if (M.UnresponsiveSince == SteadyTime{})
      M.UnresponsiveSince = Now;
    bool Expired =
        M.UnresponsiveSince != SteadyTime{} &&
        Now - M.UnresponsiveSince > State.Settings.Limits.TicketLifetime &&
        !M.HeartbeatPending && !isListedOrConfigured(State, It->first);
    It = Expired ? All.erase(It) : std::next(It);
  }
}

/// Returns true if a heartbeat to \p M is due. The longer a member is
/// unresponsive, the longer the interval, so that unused addresses cost few
/// messages.
bool isHeartbeatDue(Member &M, Duration Period, SteadyTime Now) {
  if (M.HeartbeatPending || Now < M.PeerInitiatesUntil ||
      (isUnresponsive(M) && Now < M.EarliestHeartbeat))
    return false;
  Duration Elapsed = M.UnresponsiveSince == SteadyTime{}
                         ? Duration::zero()
                         : Now - M.UnresponsiveSince;
  M.EarliestHeartbeat =
      Now + std::min(MaxHeartbeatInterval, Period + Elapsed / 4);
  return true;
}

/// Evicts members, replaced incarnations and departures that are no longer
/// needed.
void evictExpired(InstanceState &State, SteadyTime Now) {
  evictUnresponsiveMembers(State, Now);
  auto &ReplacedIncarnations = State.Members.ReplacedIncarnations;
  for (auto It = ReplacedIncarnations.begin();
       It != ReplacedIncarnations.end();)
    It = It->second < Now ? ReplacedIncarnations.erase(It) : std::next(It);
  auto &Departed = State.Members.Departed;
  for (auto It = Departed.begin(); It != Departed.end();)
    It = It->second.ExpiresAt < Now ? Departed.erase(It) : std::next(It);
}

} // namespace

void addMember(InstanceState &State, const MemberAddress &Instance) {
  if (Instance.Endpoint == State.Settings.Advertise ||
      Instance.Endpoint.Value.empty() ||
      State.Members.Members.size() >= MaxMembers)
    return;
  Member M;
  M.Location = Instance;
  State.Members.Members.emplace(Instance.Endpoint, std::move(M));
}

void applyInstanceList(InstanceState &State,
                       const std::vector<MemberAddress> &List) {
  State.Members.ListedInstances.clear();
  for (const MemberAddress &Instance : List) {
    State.Members.ListedInstances.insert(Instance.Endpoint);
    addMember(State, Instance);
  }
}

void applyHeartbeat(InstanceState &State, const Heartbeat &Message,
                    SteadyTime Now, EffectList &Out, bool IsReply) {
  if (Message.Location.Endpoint == State.Settings.Advertise ||
      State.Members.ReplacedIncarnations.count(Message.Incarnation))
    return;
  addMember(State, Message.Location);
  auto It = State.Members.Members.find(Message.Location.Endpoint);
  if (It == State.Members.Members.end())
    return;
  Member &M = It->second;
  bool Replaced =
      M.Incarnation != IncarnationId{} && M.Incarnation != Message.Incarnation;
  // A message that arrives after the last heartbeat would turn the departed
  // member into a dead one.
  if (!Replaced && M.State == MemberState::Left &&
      Message.State != MemberState::Left)
    return;
  // A request may be a late copy from a process that has ended. If it would
  // replace a member that is present, the process at the address is asked.
  bool Present =
      (M.Health == MemberHealth::Alive || M.Health == MemberHealth::Suspect) &&
      M.State != MemberState::Left;
  if (Replaced && Present && !IsReply) {
    if (!M.HeartbeatPending)
      sendHeartbeat(State, M, Now, Out);
    return;
  }
  if (Replaced)
    replaceIncarnation(State, M, Now, Out);
  if (Replaced)
    M.KnownInstancesSent = {};
  if (M.Incarnation != Message.Incarnation)
    M.FirstHeard = Now;
  for (const DepartureNotice &Notice : Message.Departed)
    State.Members.Departed.emplace(
        Notice.Incarnation,
        Departure{Notice.Successor, Now + Notice.ExpiresIn});
  // Heartbeats may arrive out of order; a process never returns to an earlier
  // state.
  MemberState Latest =
      Replaced ? Message.State : std::max(M.State, Message.State);
  bool StateChanged = M.State != Latest || Replaced;
  M.Location = Message.Location;
  M.Incarnation = Message.Incarnation;
  M.State = Latest;
  M.Load = Message.Load;
  M.LastHeard = Now;
  M.PlatformReachable = Message.PlatformReachable;
  if (M.ConfigurationRevision < Message.ConfigurationRevision || Replaced)
    M.ConfigurationRevision = Message.ConfigurationRevision;
  for (const MemberAddress &Instance : Message.KnownInstances)
    addMember(State, Instance);
  if (Message.State == MemberState::Left) {
    recordDeparture(State, Message, Now);
    if (StateChanged) {
      recordMemberEvent(TimelineKind::MemberLeft, M, Out);
      // It reported all that it could before it left.
      failReceiver(State, M.Incarnation, Now, Out);
    }
  }
  MemberHealth Before = M.Health;
  setHealth(State, M, MemberHealth::Alive, Now, Out);
  if (StateChanged && Before == MemberHealth::Alive)
    updateOwnership(State, Out);
  fetchNewerConfiguration(State, Now, Out);
}

Heartbeat answerHeartbeat(InstanceState &State, const Heartbeat &Message,
                          SteadyTime Now) {
  auto It = State.Members.Members.find(Message.Location.Endpoint);
  if (It == State.Members.Members.end())
    return ownHeartbeat(State, Now);
  // One exchange informs both sides. The member with the lower address starts
  // it; the other does so only while no exchange comes or its own replies don't
  // arrive.
  if (Message.HearsReceiver &&
      Message.Location.Endpoint < State.Settings.Advertise)
    It->second.PeerInitiatesUntil =
        Now + State.Settings.Limits.HeartbeatInterval * 3 / 2;
  return heartbeatFor(State, It->second, Now);
}

void applyHeartbeatAnswer(InstanceState &State, const HeartbeatAnswered &Event,
                          SteadyTime Now, EffectList &Out) {
  auto It = State.Members.Members.find(Event.Endpoint);
  if (It != State.Members.Members.end())
    It->second.HeartbeatPending = false;
  if (Event.Reply)
    applyHeartbeat(State, *Event.Reply, Now, Out, /*IsReply=*/true);
}

Heartbeat ownHeartbeat(const InstanceState &State, SteadyTime Now) {
  Heartbeat Message;
  Message.Location = {State.Settings.Advertise, State.Settings.Centre};
  Message.Incarnation = State.Incarnation;
  Message.State = State.Members.OwnState;
  Message.Load = currentLoad(State, Now);
  Message.ConfigurationRevision = State.Configuration.InForceRevision;
  if (State.Drain && State.Members.OwnState == MemberState::Left)
    Message.Successor = State.Drain->Successor;
  Message.PlatformReachable = State.Members.PlatformReachable;
  // Only members that are alive are listed, so that others are evicted
  // everywhere.
  for (const auto &[Endpoint, M] : State.Members.Members)
    if (M.Health == MemberHealth::Alive && M.State != MemberState::Left)
      Message.KnownInstances.push_back(M.Location);
  return Message;
}

Heartbeat heartbeatFor(const InstanceState &State, Member &To, SteadyTime Now) {
  Heartbeat Message = ownHeartbeat(State, Now);
  Message.HearsReceiver =
      To.Health == MemberHealth::Alive &&
      Now - To.LastHeard < State.Settings.Limits.SuspectAfter / 2;
  if (To.KnownInstancesSent != SteadyTime{} &&
      Now - To.KnownInstancesSent < KnownInstancesInterval)
    Message.KnownInstances.clear();
  else
    To.KnownInstancesSent = Now;
  To.ReportedFree = Message.Load.FreeSlots;
  // A member that started after a departure has not received the last heartbeat
  // of the departed one.
  if (Now - To.FirstHeard < NewMemberPeriod)
    for (const auto &[Left, D] : State.Members.Departed)
      if (D.ExpiresAt > Now)
        Message.Departed.push_back(
            {Left, D.Successor,
             std::chrono::duration_cast<std::chrono::milliseconds>(D.ExpiresAt -
                                                                   Now)});
  return Message;
}

void announceConfiguration(InstanceState &State, SteadyTime Now,
                           EffectList &Out) {
  State.Members.NextFetch = Now;
  for (auto &[Endpoint, M] : State.Members.Members) {
    M.LastFetch = {};
    // Only the watcher announces it; other data centres have a watcher of their
    // own.
    if (State.WatchesConfiguration &&
        M.Location.Centre == State.Settings.Centre &&
        M.Health == MemberHealth::Alive)
      sendHeartbeat(State, M, Now, Out);
  }
}

void broadcastHeartbeat(InstanceState &State, SteadyTime Now, EffectList &Out) {
  for (auto &[Endpoint, M] : State.Members.Members)
    sendHeartbeat(State, M, Now, Out);
}

void tickMembership(InstanceState &State, SteadyTime Now, EffectList &Out) {
  compensateForOwnPause(State, Now);
  if (State.Members.OwnState == MemberState::Joining) {
    State.Members.OwnState = MemberState::Live;
    updateOwnership(State, Out);
  }
  detectUnresponsiveMembers(State, Now, Out);
  updateWatcher(State, Out);
  evictExpired(State, Now);
  fetchNewerConfiguration(State, Now, Out);
  if (Now < State.Members.NextHeartbeat)
    return;
  State.Members.NextHeartbeat = Now + State.Settings.Limits.HeartbeatInterval;
  for (auto &[Endpoint, M] : State.Members.Members)
    if (isHeartbeatDue(M, State.Settings.Limits.HeartbeatInterval, Now))
      sendHeartbeat(State, M, Now, Out);
}

void recordReportedLoad(InstanceState &State, const Address &Endpoint,
                        const LoadReport &Load) {
  auto It = State.Members.Members.find(Endpoint);
  if (It != State.Members.Members.end())
    It->second.ReportedFree = Load.FreeSlots;
}

void announceFreeSlots(InstanceState &State, SteadyTime Now, EffectList &Out) {
  if (State.Queue.size() > 0 || State.Drain)
    return;
  bool AnyWaiting = std::any_of(
      State.Members.Members.begin(), State.Members.Members.end(),
      [](const auto &Item) { return Item.second.Load.WaitingTasks > 0; });
  if (!AnyWaiting || currentLoad(State, Now).FreeSlots == 0)
    return;
  for (auto &[Endpoint, M] : State.Members.Members) {
    // A peer that has been told of free slots uses them without another
    // heartbeat.
    if (M.Load.WaitingTasks == 0 || M.ReportedFree > 0 ||
        M.Health != MemberHealth::Alive || M.HeartbeatPending ||
        Now - M.LastEarlyHeartbeat < MinAnnounceInterval)
      continue;
    M.LastEarlyHeartbeat = Now;
    sendHeartbeat(State, M, Now, Out);
  }
}

const Member *findMember(const InstanceState &State,
                         IncarnationId Incarnation) {
  for (const auto &[Endpoint, M] : State.Members.Members)
    if (M.Incarnation == Incarnation)
      return &M;
  return nullptr;
}

} // namespace snipeshunt
