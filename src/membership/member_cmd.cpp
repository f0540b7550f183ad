/// \file State changes of the roster.
#include "membership/member_cmd.h"

#include "handover/handover_cmd.h"
#include "jobs/forward_cmd.h"
#include "tickets/ticket_func.h"
#include "upstreams/ownership_func.h"
#include "upstreams/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Bounds what a confused peer can make this instance remember.
constexpr size_t MaxMembers = 512;
// At least this long between two heartbeats sent ahead of their time.
constexpr Duration AnnouncePause = std::chrono::milliseconds(5);
constexpr Duration FetchPause = std::chrono::milliseconds(500);

void record(TimelineKind Kind, const Member &M, EffectList &Out) {
  Out.push_back(
      RecordTimeline{Kind, "", "",
                     "instance=" + M.Self.Where.Value +
                         " incarnation=" + incarnationText(M.Incarnation)});
}

void sendHeartbeat(InstanceState &State, Member &M, SteadyTime Now,
                   EffectList &Out) {
  M.HeartbeatPending = true;
  Heartbeat Message = ownHeartbeat(State, Now);
  M.ToldFree = Message.Load.FreeSlots;
  Out.push_back(SendHeartbeat{M.Self.Where, std::move(Message)});
}

/// The process at this address is another one than before.
void replaceIncarnation(InstanceState &State, Member &M, SteadyTime Now,
                        EffectList &Out) {
  IncarnationId Old = M.Incarnation;
  State.Members.Former[Old] = Now + State.Settings.Limits.TicketLifetime;
  loseReceiver(State, Old, Now, Out);
  State.Handovers.Outgoing.erase(Old);
  dropIncoming(State, Old, Now);
  endForwardsTo(State, Old, Out);
}

void setHealth(InstanceState &State, Member &M, MemberHealth To, SteadyTime Now,
               EffectList &Out) {
  if (M.Health == To)
    return;
  MemberHealth From = M.Health;
  M.Health = To;
  switch (To) {
  case MemberHealth::Alive:
    if (From != MemberHealth::Suspect)
      record(TimelineKind::MemberJoined, M, Out);
    break;
  case MemberHealth::Suspect:
    record(TimelineKind::MemberSuspected, M, Out);
    M.Load.FreeSlots = 0;
    break;
  case MemberHealth::Dead:
    record(TimelineKind::MemberDead, M, Out);
    loseReceiver(State, M.Incarnation, Now, Out);
    returnHeldTasks(State, M.Incarnation, "the home is unreachable", Now, Out);
    endForwardsTo(State, M.Incarnation, Out);
    break;
  case MemberHealth::NeverHeard:
    break;
  }
  updateOwnership(State, Out);
}

void noteDeparture(InstanceState &State, const Heartbeat &Message,
                   SteadyTime Now) {
  if (!Message.Heir)
    return;
  State.Members.Departed[Message.Incarnation] = {
      *Message.Heir, Now + State.Settings.Limits.TicketLifetime};
}

/// A pause of this process makes every peer look silent; their silence is
/// counted only while this process ran.
void discountOwnPause(InstanceState &State, SteadyTime Now) {
  SteadyTime Last = std::exchange(State.Members.LastTick, Now);
  if (Last == SteadyTime{} || Now - Last < State.Settings.Limits.Heartbeat)
    return;
  for (auto &[Where, M] : State.Members.Members)
    M.LastHeard += Now - Last;
}

void detectSilence(InstanceState &State, SteadyTime Now, EffectList &Out) {
  for (auto &[Where, M] : State.Members.Members) {
    bool Watched =
        M.Health == MemberHealth::Alive || M.Health == MemberHealth::Suspect;
    if (!Watched || M.State == MemberState::Left)
      continue;
    Duration Silence = Now - M.LastHeard;
    if (Silence > State.Settings.Limits.Dead)
      setHealth(State, M, MemberHealth::Dead, Now, Out);
    else if (Silence > State.Settings.Limits.Suspect)
      setHealth(State, M, MemberHealth::Suspect, Now, Out);
  }
}

/// Chooses the instance of the data centre that watches the configuration.
void updateWatcher(InstanceState &State, EffectList &Out) {
  std::vector<Address> Candidates;
  if (!State.Drain)
    Candidates.push_back(State.Settings.Advertise);
  for (const auto &[Where, M] : State.Members.Members)
    if (M.Self.Centre == State.Settings.Centre &&
        M.Health == MemberHealth::Alive && M.State == MemberState::Live)
      Candidates.push_back(Where);
  bool Watch = rendezvousOwner("configuration-watch", Candidates) ==
               State.Settings.Advertise;
  if (Watch == State.Watching)
    return;
  State.Watching = Watch;
  Out.push_back(WatchConfiguration{Watch, State.Configuration.InForceRevision});
}

void fetchNewerConfiguration(InstanceState &State, SteadyTime Now,
                             EffectList &Out) {
  if (State.Members.NextFetch > Now)
    return;
  Revision Known = std::max(State.Configuration.InForceRevision,
                            State.Configuration.RejectedRevision);
  const Member *Newest = nullptr;
  for (const auto &[Where, M] : State.Members.Members)
    if (M.Health == MemberHealth::Alive && Known < M.ConfigurationRevision &&
        (!Newest || Newest->ConfigurationRevision < M.ConfigurationRevision))
      Newest = &M;
  if (!Newest)
    return;
  State.Members.NextFetch = Now + FetchPause;
  Out.push_back(FetchConfiguration{Newest->Self.Where});
}

void forgetOld(InstanceState &State, SteadyTime Now) {
  auto &Former = State.Members.Former;
  for (auto It = Former.begin(); It != Former.end();)
    It = It->second < Now ? Former.erase(It) : std::next(It);
  auto &Departed = State.Members.Departed;
  for (auto It = Departed.begin(); It != Departed.end();)
    It = It->second.ForgetAfter < Now ? Departed.erase(It) : std::next(It);
}

} // namespace

void addMember(InstanceState &State, const MemberAddress &Named) {
  if (Named.Where == State.Settings.Advertise || Named.Where.Value.empty() ||
      State.Members.Members.size() >= MaxMembers)
    return;
  Member M;
  M.Self = Named;
  State.Members.Members.emplace(Named.Where, std::move(M));
}

void applyHeartbeat(InstanceState &State, const Heartbeat &Message,
                    SteadyTime Now, EffectList &Out) {
  if (Message.Self.Where == State.Settings.Advertise ||
      State.Members.Former.count(Message.Incarnation))
    return;
  addMember(State, Message.Self);
  auto It = State.Members.Members.find(Message.Self.Where);
  if (It == State.Members.Members.end())
    return;
  Member &M = It->second;
  bool Replaced =
      M.Incarnation != IncarnationId{} && M.Incarnation != Message.Incarnation;
  if (Replaced)
    replaceIncarnation(State, M, Now, Out);
  bool StateChanged = M.State != Message.State || Replaced;
  M.Self = Message.Self;
  M.Incarnation = Message.Incarnation;
  M.State = Message.State;
  M.Load = Message.Load;
  M.LastHeard = Now;
  if (M.ConfigurationRevision < Message.ConfigurationRevision || Replaced)
    M.ConfigurationRevision = Message.ConfigurationRevision;
  for (const MemberAddress &Named : Message.Known)
    addMember(State, Named);
  if (Message.State == MemberState::Left) {
    noteDeparture(State, Message, Now);
    if (StateChanged) {
      record(TimelineKind::MemberLeft, M, Out);
      // It reported all it could before it left.
      loseReceiver(State, M.Incarnation, Now, Out);
    }
  }
  MemberHealth Before = M.Health;
  setHealth(State, M, MemberHealth::Alive, Now, Out);
  if (StateChanged && Before == MemberHealth::Alive)
    updateOwnership(State, Out);
  fetchNewerConfiguration(State, Now, Out);
}

void applyHeartbeatAnswer(InstanceState &State, const HeartbeatAnswered &Event,
                          SteadyTime Now, EffectList &Out) {
  auto It = State.Members.Members.find(Event.Where);
  if (It != State.Members.Members.end())
    It->second.HeartbeatPending = false;
  if (Event.Reply)
    applyHeartbeat(State, *Event.Reply, Now, Out);
}

Heartbeat ownHeartbeat(const InstanceState &State, SteadyTime Now) {
  Heartbeat Message;
  Message.Self = {State.Settings.Advertise, State.Settings.Centre};
  Message.Incarnation = State.Incarnation;
  Message.State = State.Members.OwnState;
  Message.Load = currentLoad(State, Now);
  Message.ConfigurationRevision = State.Configuration.InForceRevision;
  if (State.Drain && State.Members.OwnState == MemberState::Left)
    Message.Heir = State.Drain->Heir;
  // Only members heard of lately are passed on, so that dead ones fade.
  for (const auto &[Where, M] : State.Members.Members)
    if (M.Health == MemberHealth::Alive)
      Message.Known.push_back(M.Self);
  return Message;
}

void broadcastHeartbeat(InstanceState &State, SteadyTime Now, EffectList &Out) {
  for (auto &[Where, M] : State.Members.Members)
    sendHeartbeat(State, M, Now, Out);
}

void tickMembership(InstanceState &State, SteadyTime Now, EffectList &Out) {
  discountOwnPause(State, Now);
  if (State.Members.OwnState == MemberState::Joining) {
    State.Members.OwnState = MemberState::Live;
    updateOwnership(State, Out);
  }
  detectSilence(State, Now, Out);
  updateWatcher(State, Out);
  forgetOld(State, Now);
  fetchNewerConfiguration(State, Now, Out);
  if (Now < State.Members.NextHeartbeat)
    return;
  State.Members.NextHeartbeat = Now + State.Settings.Limits.Heartbeat;
  for (auto &[Where, M] : State.Members.Members)
    if (!M.HeartbeatPending)
      sendHeartbeat(State, M, Now, Out);
}

void noteToldLoad(InstanceState &State, const Address &Where,
                  const LoadReport &Load) {
  auto It = State.Members.Members.find(Where);
  if (It != State.Members.Members.end())
    It->second.ToldFree = Load.FreeSlots;
}

void announceFreeSlots(InstanceState &State, SteadyTime Now, EffectList &Out) {
  if (State.Queue.size() > 0 || State.Drain)
    return;
  bool AnyWaiting = std::any_of(
      State.Members.Members.begin(), State.Members.Members.end(),
      [](const auto &Entry) { return Entry.second.Load.WaitingTasks > 0; });
  if (!AnyWaiting || currentLoad(State, Now).FreeSlots == 0)
    return;
  for (auto &[Where, M] : State.Members.Members) {
    // A peer that knows of a free slot uses it without being told again.
    if (M.Load.WaitingTasks == 0 || M.ToldFree > 0 ||
        M.Health != MemberHealth::Alive || M.HeartbeatPending ||
        Now - M.LastAnnounced < AnnouncePause)
      continue;
    M.LastAnnounced = Now;
    sendHeartbeat(State, M, Now, Out);
  }
}

const Member *findMember(const InstanceState &State,
                         IncarnationId Incarnation) {
  for (const auto &[Where, M] : State.Members.Members)
    if (M.Incarnation == Incarnation)
      return &M;
  return nullptr;
}

} // namespace snipeshunt
