/// \file Members: silence, pauses, departures, returns, and what is forgotten.
#include "membership/member_cmd.h"
#include "reducer/reducer.h"
#include "upstreams/upstream_cmd.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Address Self{"127.0.0.1:1"};
const Address PeerA{"127.0.0.2:1"};
const Address PeerB{"127.0.0.3:1"};
const DataCentre Here{"dc1"};

DaemonSettings settingsWith(std::vector<PeerSettings> Peers) {
  DaemonSettings Settings;
  Settings.Listen = Settings.Advertise = Self;
  Settings.Centre = Here;
  Settings.Peers = std::move(Peers);
  return Settings;
}

/// The reducer with a clock and the effects of the last event.
struct TestInstance {
  explicit TestInstance(std::vector<PeerSettings> Peers = {})
      : State(initialState(settingsWith(std::move(Peers)), IncarnationId{1})) {
    run(milliseconds(100));
  }

  void send(EventBody Body) {
    Last = reduce(State, {Now, 1, std::move(Body)});
    All.insert(All.end(), Last.begin(), Last.end());
  }
  void receive(const Heartbeat &Message) {
    send(HeartbeatReceived{{}, Message});
  }
  /// Ticks for \p Time; no heartbeat is answered, but those of \p Alive come.
  void run(Duration Time, const std::vector<Heartbeat> &Alive = {}) {
    for (SteadyTime End = Now + Time; Now < End;) {
      Now += milliseconds(100);
      for (const Heartbeat &Message : Alive)
        receive(Message);
      send(Tick{});
      for (const SendHeartbeat &Sent : effects<SendHeartbeat>(Last))
        send(HeartbeatAnswered{Sent.Endpoint, std::nullopt});
    }
  }
  template <typename T> static std::vector<T> effects(const EffectList &List) {
    std::vector<T> Out;
    for (const Effect &E : List)
      if (const T *Found = std::get_if<T>(&E))
        Out.push_back(*Found);
    return Out;
  }
  size_t recorded(TimelineKind Kind) const {
    size_t Count = 0;
    for (const RecordTimeline &R : effects<RecordTimeline>(All))
      Count += R.Kind == Kind ? 1 : 0;
    return Count;
  }
  const Member &member(const Address &Where) const {
    return State.Members.Members.at(Where);
  }

  InstanceState State;
  SteadyTime Now{std::chrono::hours(1)};
  EffectList Last;
  EffectList All;
};

Heartbeat heartbeatOf(const Address &Where, uint64_t Incarnation,
                      MemberState State = MemberState::Live) {
  Heartbeat Message;
  Message.Location = {Where, Here};
  Message.Incarnation = {Incarnation};
  Message.State = State;
  return Message;
}

// Guards against a paused process that takes its peers for dead when it wakes,
// and against its pause hiding a death that comes later.
TEST(MembershipTest, OwnPauseDoesNotCountAsSilence) {
  for (bool HeartbeatFirst : {false, true}) {
    TestInstance I;
    I.receive(heartbeatOf(PeerA, 7));
    I.run(seconds(1), {heartbeatOf(PeerA, 7)});
    I.Now += seconds(60);
    if (HeartbeatFirst)
      I.receive(heartbeatOf(PeerA, 7));
    I.send(Tick{});
    I.run(seconds(1));
    EXPECT_EQ(I.member(PeerA).Health, MemberHealth::Alive);
    I.run(seconds(3));
    EXPECT_EQ(I.member(PeerA).Health, MemberHealth::Dead);
  }
}

// Guards against a new process being taken for the one that had its address,
// and against late messages of the former one.
TEST(MembershipTest, NewIncarnationReplacesTheMember) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 7));
  I.send(HeartbeatAnswered{PeerA, std::nullopt});
  I.receive(heartbeatOf(PeerA, 8));
  // The process at the address is asked at once, and its answer counts.
  ASSERT_EQ(TestInstance::effects<SendHeartbeat>(I.Last).size(), 1U);
  I.send(HeartbeatAnswered{PeerA, heartbeatOf(PeerA, 8)});
  EXPECT_EQ(I.member(PeerA).Incarnation, IncarnationId{8});
  I.receive(heartbeatOf(PeerA, 7));
  EXPECT_EQ(I.member(PeerA).Incarnation, IncarnationId{8});
  EXPECT_EQ(findMember(I.State, {7}), nullptr);
}

// Guards against a late message of a replaced process that makes an instance
// started since take the present one for a former one, for minutes.
TEST(MembershipTest, LateMessageOfAnEarlierProcessReplacesNobody) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 8));
  I.receive(heartbeatOf(PeerA, 7));
  I.run(seconds(10), {heartbeatOf(PeerA, 8)});
  EXPECT_EQ(I.member(PeerA).Incarnation, IncarnationId{8});
  EXPECT_EQ(I.member(PeerA).Health, MemberHealth::Alive);
}

// Guards against a departed member being reported as dead, also when an older
// message of it arrives after its farewell.
TEST(MembershipTest, DepartureIsDistinguishedFromFailure) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 7));
  I.receive(heartbeatOf(PeerB, 9));
  I.receive(heartbeatOf(PeerA, 7, MemberState::Left));
  I.receive(heartbeatOf(PeerA, 7));
  I.run(seconds(10));
  EXPECT_EQ(I.member(PeerA).State, MemberState::Left);
  EXPECT_EQ(I.recorded(TimelineKind::MemberLeft), 1U);
  EXPECT_EQ(I.recorded(TimelineKind::MemberDead), 1U);
  EXPECT_EQ(I.member(PeerB).Health, MemberHealth::Dead);
  I.receive(heartbeatOf(PeerA, 8));
  EXPECT_EQ(I.member(PeerA).State, MemberState::Live);
}

// Guards against a member that was wrongly declared dead staying out.
TEST(MembershipTest, WronglyDeclaredDeadRejoins) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 7));
  I.run(seconds(5));
  ASSERT_EQ(I.member(PeerA).Health, MemberHealth::Dead);
  I.receive(heartbeatOf(PeerA, 7));
  EXPECT_EQ(I.member(PeerA).Health, MemberHealth::Alive);
  EXPECT_EQ(I.recorded(TimelineKind::MemberJoined), 2U);
}

// Guards against addresses of replaced instances that cost messages and memory
// for ever, and against cut-off members that the platform lists being dropped.
TEST(MembershipTest, UnresponsiveMembersCostLittleAndAreEvicted) {
  TestInstance I({{PeerB, Here}});
  PlatformListRead List;
  Address Listed{"127.0.0.5:1"};
  List.Instances = {{Listed, Here}};
  I.send(List);
  I.receive(heartbeatOf(PeerA, 7));
  I.receive(heartbeatOf(Listed, 9));
  Heartbeat Listing = heartbeatOf({"127.0.0.4:1"}, 8);
  Listing.KnownInstances = {{{"127.0.0.9:1"}, Here}};
  I.receive(Listing);
  I.run(seconds(60));
  std::map<Address, size_t> Sent;
  I.All.clear();
  I.run(seconds(60));
  for (const SendHeartbeat &S : TestInstance::effects<SendHeartbeat>(I.All))
    ++Sent[S.Endpoint];
  for (const Address &Where : {PeerA, PeerB, Listed}) {
    EXPECT_GE(Sent[Where], 10U) << Where.Value;
    EXPECT_LE(Sent[Where], 15U) << Where.Value;
  }
  I.run(I.State.Settings.Limits.TicketLifetime);
  std::vector<Address> Left;
  for (const auto &[Where, M] : I.State.Members.Members)
    Left.push_back(Where);
  EXPECT_EQ(Left, (std::vector<Address>{PeerB, Listed}));
}

// Guards against members that are gone living on in each other's heartbeats.
TEST(MembershipTest, OnlyAliveMembersAreListed) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 7));
  EXPECT_EQ(ownHeartbeat(I.State, I.Now).KnownInstances.size(), 1U);
  // The list is repeated only after a pause, or to another incarnation.
  auto ListedInReply = [&](const Heartbeat &From) {
    I.receive(From);
    return TestInstance::effects<ReplyHeartbeat>(I.Last)[0]
        .Message.KnownInstances.size();
  };
  // A new member is told in each message for some seconds.
  I.run(seconds(11), {heartbeatOf(PeerA, 7)});
  EXPECT_EQ(ListedInReply(heartbeatOf(PeerA, 7)), 0U);
  ListedInReply(heartbeatOf(PeerA, 8));
  I.send(HeartbeatAnswered{PeerA, heartbeatOf(PeerA, 8)});
  EXPECT_EQ(ListedInReply(heartbeatOf(PeerA, 8)), 1U);
  I.receive(heartbeatOf(PeerA, 8, MemberState::Left));
  I.receive(heartbeatOf(PeerB, 9));
  I.run(seconds(5));
  EXPECT_TRUE(ownHeartbeat(I.State, I.Now).KnownInstances.empty());
}

// Guards against a heartbeat in each direction of a link that one covers, and
// against silence when the one does not arrive or its answers get lost.
TEST(MembershipTest, LowerAddressInitiatesHeartbeats) {
  const Address Lower{"127.0.0.0:1"};
  TestInstance I;
  auto SentIn3Seconds = [&](bool Comes, bool Hears) {
    Heartbeat Message = heartbeatOf(Lower, 7);
    Message.HearsReceiver = Hears;
    I.run(seconds(1), {Message});
    I.All.clear();
    I.run(seconds(2),
          Comes ? std::vector<Heartbeat>{Message} : std::vector<Heartbeat>{});
    return TestInstance::effects<SendHeartbeat>(I.All).size();
  };
  EXPECT_EQ(SentIn3Seconds(true, true), 0U);
  EXPECT_GE(SentIn3Seconds(true, false), 3U);
  EXPECT_GE(SentIn3Seconds(false, true), 2U);
  I.run(seconds(1), {heartbeatOf(PeerA, 8)});
  I.All.clear();
  I.run(seconds(2), {heartbeatOf(PeerA, 8)});
  size_t ToHigher = 0;
  for (const SendHeartbeat &S : TestInstance::effects<SendHeartbeat>(I.All))
    ToHigher += S.Endpoint == PeerA && S.Message.HearsReceiver ? 1 : 0;
  EXPECT_GE(ToHigher, 3U);
}

// Guards against a watcher that is cut off from the platform alone, and
// against nobody trying when none reaches it.
TEST(MembershipTest, WatcherReachesThePlatform) {
  TestInstance I;
  Heartbeat A = heartbeatOf(PeerA, 7);
  Heartbeat B = heartbeatOf(PeerB, 8);
  auto Watches = [&](bool Own, bool AReaches, bool BReaches) {
    I.send(PlatformReachabilityObserved{Own});
    A.PlatformReachable = AReaches;
    B.PlatformReachable = BReaches;
    I.run(milliseconds(200), {A, B});
    return I.State.WatchesConfiguration;
  };
  bool Usual = Watches(true, true, true);
  EXPECT_TRUE(Watches(true, false, false));
  EXPECT_FALSE(Watches(false, true, false));
  EXPECT_EQ(Watches(false, false, false), Usual);
}

// Guards against a peer that does not answer keeping the newer documents of
// the others from being fetched.
TEST(MembershipTest, FetchesFromTheNextPeerWhenOneDoesNotAnswer) {
  TestInstance I;
  Heartbeat A = heartbeatOf(PeerA, 7);
  Heartbeat B = heartbeatOf(PeerB, 8);
  A.ConfigurationRevision = {6};
  B.ConfigurationRevision = {5};
  I.run(seconds(2), {A, B});
  std::vector<FetchConfiguration> Sent =
      TestInstance::effects<FetchConfiguration>(I.All);
  ASSERT_EQ(Sent.size(), 2U);
  EXPECT_EQ(Sent[0].Endpoint, PeerA);
  EXPECT_EQ(Sent[1].Endpoint, PeerB);
}

ListedUpstream listed(const char *Centre) {
  ListedUpstream U;
  U.Endpoint = {"127.0.0.8:1"};
  U.Centre = {Centre};
  U.Slots = 2;
  return U;
}

// Guards against tasks for an upstream that the list has dropped, and against
// one that returns or moves being treated as if nothing had happened.
TEST(UpstreamListTest, FollowsRemovalReturnAndMove) {
  TestInstance I;
  const Address Where = listed("dc1").Endpoint;
  auto List = [&](std::vector<ListedUpstream> Upstreams) {
    PlatformListRead Read;
    Read.Upstreams = std::move(Upstreams);
    I.send(Read);
  };
  auto Accepts = [&] {
    return acceptsTask(I.State, I.State.Upstreams.All.at(Where), I.Now);
  };
  auto ReadStatus = [&] {
    I.send(StatusRead{Where, UpstreamStatus{2, 0, false}});
  };
  List({listed("dc1")});
  EXPECT_FALSE(Accepts()) << "before its status is read";
  ReadStatus();
  EXPECT_TRUE(Accepts());
  I.State.Upstreams.All.at(Where).SlotsInUse = 1;
  List({});
  EXPECT_FALSE(Accepts());
  ReadStatus();
  EXPECT_FALSE(Accepts()) << "its own status does not list it again";
  List({listed("dc1")});
  ReadStatus();
  EXPECT_TRUE(Accepts()) << "returned under its address";
  List({listed("dc2")});
  EXPECT_FALSE(Accepts()) << "belongs to senders of the other data centre";
  EXPECT_EQ(I.State.Upstreams.All.at(Where).Sender, Address{});
  List({listed("dc1")});
  EXPECT_FALSE(Accepts()) << "its status is read anew";
  ReadStatus();
  EXPECT_TRUE(Accepts());
  I.State.Upstreams.All.at(Where).SlotsInUse = 0;
  List({});
  EXPECT_EQ(I.State.Upstreams.All.count(Where), 0U);
}

} // namespace
} // namespace snipeshunt
