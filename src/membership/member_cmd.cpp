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
constexpr Duration AnnouncePause = std::chrono::milliseconds(20);
constexpr Duration FetchPause = std::chrono::milliseconds(500);
// A peer that did not give its document is passed over for this long, so that
// one that can't be reached does not stand in the way of the others.
constexpr Duration FetchRepeat = std::chrono::seconds(3);
// Longest pause between heartbeats to a silent member; it bounds how long two
// instances that hold each other for dead take to find each other again.
constexpr Duration LongestContactPause = std::chrono::seconds(5);

// A member is new for this long: many heartbeats, so that losses don't matter.
constexpr Duration NewMemberTime = std::chrono::seconds(10);
// The list of members is most of a heartbeat's size and rarely changes.
constexpr Duration KnownPause = std::chrono::seconds(5);

void record(TimelineKind Kind, const Member &M, EffectList &Out) {
  Out.push_back(
      RecordTimeline{Kind, "", "",
                     "instance=" + M.Self.Where.Value +
                         " incarnation=" + incarnationText(M.Incarnation)});
}

void sendHeartbeat(InstanceState &State, Member &M, SteadyTime Now,
                   EffectList &Out) {
  M.HeartbeatPending = true;
  Out.push_back(SendHeartbeat{M.Self.Where, heartbeatFor(State, M, Now)});
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
    M.KnownSent = {};
    if (From != MemberHealth::Suspect)
      record(TimelineKind::MemberJoined, M, Out);
    break;
  case MemberHealth::Suspect:
    if (M.State != MemberState::Left)
      record(TimelineKind::MemberSuspected, M, Out);
    M.Load.FreeSlots = 0;
    break;
  case MemberHealth::Dead:
    // A departed member falls silent as well and is not reported as dead.
    if (M.State != MemberState::Left)
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
  if (Now - Last > State.Settings.Limits.Dead)
    recheckHandovers(State, Now);
  // A heartbeat that was read after the pause must not count as heard later.
  for (auto &[Where, M] : State.Members.Members)
    M.LastHeard = std::min(Now, M.LastHeard + (Now - Last));
}

void detectSilence(InstanceState &State, SteadyTime Now, EffectList &Out) {
  for (auto &[Where, M] : State.Members.Members) {
    bool Watched =
        M.Health == MemberHealth::Alive || M.Health == MemberHealth::Suspect;
    // One that has left falls silent too; what it still had is then lost.
    if (!Watched)
      continue;
    Duration Silence = Now - M.LastHeard;
    if (Silence > State.Settings.Limits.Dead)
      setHealth(State, M, MemberHealth::Dead, Now, Out);
    else if (Silence > State.Settings.Limits.Suspect)
      setHealth(State, M, MemberHealth::Suspect, Now, Out);
  }
}

/// Chooses the instance of the data centre that watches the configuration:
/// one that reaches the platform, or any while none does.
void updateWatcher(InstanceState &State, EffectList &Out) {
  std::vector<Address> Present;
  std::vector<Address> Reaching;
  auto Add = [&](const Address &Where, bool Reachable) {
    Present.push_back(Where);
    if (Reachable)
      Reaching.push_back(Where);
  };
  if (!State.Drain)
    Add(State.Settings.Advertise, State.Members.PlatformReachable);
  for (const auto &[Where, M] : State.Members.Members)
    if (M.Self.Centre == State.Settings.Centre &&
        M.Health == MemberHealth::Alive && M.State == MemberState::Live)
      Add(Where, M.PlatformReachable);
  const std::vector<Address> &Candidates =
      Reaching.empty() ? Present : Reaching;
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
  Member *Newest = nullptr;
  for (auto &[Where, M] : State.Members.Members)
    if (M.Health == MemberHealth::Alive && M.State != MemberState::Left &&
        Known < M.ConfigurationRevision &&
        (M.LastFetch == SteadyTime{} || Now - M.LastFetch > FetchRepeat) &&
        (!Newest || Newest->ConfigurationRevision < M.ConfigurationRevision))
      Newest = &M;
  if (!Newest)
    return;
  State.Members.NextFetch = Now + FetchPause;
  Newest->LastFetch = Now;
  Out.push_back(FetchConfiguration{Newest->Self.Where});
}

/// Whether no answer is expected of \p M.
bool isSilent(const Member &M) {
  return M.Health == MemberHealth::NeverHeard ||
         M.Health == MemberHealth::Dead || M.State == MemberState::Left;
}

bool isNamed(const InstanceState &State, const Address &Where) {
  return State.Members.Listed.count(Where) ||
         std::any_of(State.Settings.Peers.begin(), State.Settings.Peers.end(),
                     [&](const PeerSettings &P) { return P.At == Where; });
}

/// Drops members that have been silent for so long that no ticket of theirs is
/// valid any more. Those that the settings or the platform's list name stay:
/// they may be cut off, and quotas are divided by their number.
void forgetSilentMembers(InstanceState &State, SteadyTime Now) {
  auto &All = State.Members.Members;
  for (auto It = All.begin(); It != All.end();) {
    Member &M = It->second;
    if (!isSilent(M))
      M.SilentSince = {};
    else if (M.SilentSince == SteadyTime{})
      M.SilentSince = Now;
    bool Expired = M.SilentSince != SteadyTime{} &&
                   Now - M.SilentSince > State.Settings.Limits.TicketLifetime &&
                   !M.HeartbeatPending && !isNamed(State, It->first);
    It = Expired ? All.erase(It) : std::next(It);
  }
}

/// Whether a heartbeat to \p M is due. The longer a member is silent, the
/// rarer they are, so that old addresses cost little.
bool contactIsDue(Member &M, Duration Period, SteadyTime Now) {
  if (M.HeartbeatPending || Now < M.CoveredUntil ||
      (isSilent(M) && Now < M.NextContact))
    return false;
  Duration Silence =
      M.SilentSince == SteadyTime{} ? Duration::zero() : Now - M.SilentSince;
  M.NextContact = Now + std::min(LongestContactPause, Period + Silence / 4);
  return true;
}

void forgetOld(InstanceState &State, SteadyTime Now) {
  forgetSilentMembers(State, Now);
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

void applyInstanceList(InstanceState &State,
                       const std::vector<MemberAddress> &List) {
  State.Members.Listed.clear();
  for (const MemberAddress &Named : List) {
    State.Members.Listed.insert(Named.Where);
    addMember(State, Named);
  }
}

void applyHeartbeat(InstanceState &State, const Heartbeat &Message,
                    SteadyTime Now, EffectList &Out, bool IsReply) {
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
  // A message that was overtaken by the farewell would make the member look
  // dead instead of departed.
  if (!Replaced && M.State == MemberState::Left &&
      Message.State != MemberState::Left)
    return;
  // A request may be a late copy from a process that is gone. If a member that
  // is present seems to be replaced, the process at its address decides.
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
    M.KnownSent = {};
  if (M.Incarnation != Message.Incarnation)
    M.FirstHeard = Now;
  for (const DepartureNotice &Notice : Message.Departed)
    State.Members.Departed.emplace(
        Notice.Left, Departure{Notice.Heir, Now + Notice.ForgetIn});
  // Heartbeats can overtake each other; a process never returns to an earlier
  // state.
  MemberState Latest =
      Replaced ? Message.State : std::max(M.State, Message.State);
  bool StateChanged = M.State != Latest || Replaced;
  M.Self = Message.Self;
  M.Incarnation = Message.Incarnation;
  M.State = Latest;
  M.Load = Message.Load;
  M.LastHeard = Now;
  M.PlatformReachable = Message.PlatformReachable;
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

Heartbeat answerHeartbeat(InstanceState &State, const Heartbeat &Message,
                          SteadyTime Now) {
  auto It = State.Members.Members.find(Message.Self.Where);
  if (It == State.Members.Members.end())
    return ownHeartbeat(State, Now);
  // One exchange tells both sides of each other. The member with the lower
  // address starts it; the other does so only while none comes or its own
  // answers don't arrive.
  if (Message.HearsReceiver && Message.Self.Where < State.Settings.Advertise)
    It->second.CoveredUntil = Now + State.Settings.Limits.Heartbeat * 3 / 2;
  return heartbeatFor(State, It->second, Now);
}

void applyHeartbeatAnswer(InstanceState &State, const HeartbeatAnswered &Event,
                          SteadyTime Now, EffectList &Out) {
  auto It = State.Members.Members.find(Event.Where);
  if (It != State.Members.Members.end())
    It->second.HeartbeatPending = false;
  if (Event.Reply)
    applyHeartbeat(State, *Event.Reply, Now, Out, /*IsReply=*/true);
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
  Message.PlatformReachable = State.Members.PlatformReachable;
  // Only members heard of lately are passed on, so that dead ones fade.
  for (const auto &[Where, M] : State.Members.Members)
    if (M.Health == MemberHealth::Alive && M.State != MemberState::Left)
      Message.Known.push_back(M.Self);
  return Message;
}

Heartbeat heartbeatFor(const InstanceState &State, Member &To, SteadyTime Now) {
  Heartbeat Message = ownHeartbeat(State, Now);
  Message.HearsReceiver =
      To.Health == MemberHealth::Alive &&
      Now - To.LastHeard < State.Settings.Limits.Suspect / 2;
  if (To.KnownSent != SteadyTime{} && Now - To.KnownSent < KnownPause)
    Message.Known.clear();
  else
    To.KnownSent = Now;
  To.ToldFree = Message.Load.FreeSlots;
  // One that started after a departure has not seen the farewell.
  if (Now - To.FirstHeard < NewMemberTime)
    for (const auto &[Left, D] : State.Members.Departed)
      if (D.ForgetAfter > Now)
        Message.Departed.push_back(
            {Left, D.Heir,
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 D.ForgetAfter - Now)});
  return Message;
}

void announceConfiguration(InstanceState &State, SteadyTime Now,
                           EffectList &Out) {
  State.Members.NextFetch = Now;
  for (auto &[Where, M] : State.Members.Members) {
    M.LastFetch = {};
    // The others got the document from this one or from a watcher of theirs.
    if (State.Watching && M.Self.Centre == State.Settings.Centre &&
        M.Health == MemberHealth::Alive)
      sendHeartbeat(State, M, Now, Out);
  }
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
    if (contactIsDue(M, State.Settings.Limits.Heartbeat, Now))
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
