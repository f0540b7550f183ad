/// \file Members: failure detection, pauses, departures, restarts and eviction.
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

/// One instance with a clock and the effects of its events.
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
  /// Ticks for \p Time. Sends the heartbeats in \p Alive before each tick;
  /// those of the instance get no reply.
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
  const Member &member(const Address &Endpoint) const {
    return State.Members.Members.at(Endpoint);
  }

  InstanceState State;
  SteadyTime Now{std::chrono::hours(1)};
  EffectList Last;
  EffectList All;
};

Heartbeat heartbeatOf(const Address &Endpoint, uint64_t Incarnation,
                      MemberState State = MemberState::Live) {
  Heartbeat Message;
  Message.Location = {Endpoint, Here};
  Message.Incarnation = {Incarnation};
  Message.State = State;
  return Message;
}

// Guards against a process that considers its peers dead after a pause of its
// own, and against a pause that delays the detection of a later failure.
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

// Guards against a new process that is mistaken for the previous one at its
// address, and against late messages of the previous one.
TEST(MembershipTest, NewIncarnationReplacesTheMember) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 7));
  I.send(HeartbeatAnswered{PeerA, std::nullopt});
  I.receive(heartbeatOf(PeerA, 8));
  // A heartbeat is sent to the address at once, and its reply decides.
  ASSERT_EQ(TestInstance::effects<SendHeartbeat>(I.Last).size(), 1U);
  I.send(HeartbeatAnswered{PeerA, heartbeatOf(PeerA, 8)});
  EXPECT_EQ(I.member(PeerA).Incarnation, IncarnationId{8});
  I.receive(heartbeatOf(PeerA, 7));
  EXPECT_EQ(I.member(PeerA).Incarnation, IncarnationId{8});
  EXPECT_EQ(findMember(I.State, {7}), nullptr);
}

// Guards against a late message of a replaced process that reaches an instance
// started later, which would then take the present process for the replaced one
// until the ticket lifetime has passed.
TEST(MembershipTest, LateMessageOfAnEarlierProcessReplacesNobody) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 8));
  I.receive(heartbeatOf(PeerA, 7));
  I.run(seconds(10), {heartbeatOf(PeerA, 8)});
  EXPECT_EQ(I.member(PeerA).Incarnation, IncarnationId{8});
  EXPECT_EQ(I.member(PeerA).Health, MemberHealth::Alive);
}

// Guards against a departed member that is reported as dead, also if an older
// message arrives after its last heartbeat.
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

// Guards against a member that stays dead although its heartbeats arrive again.
TEST(MembershipTest, WronglyDeclaredDeadRejoins) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 7));
  I.run(seconds(5));
  ASSERT_EQ(I.member(PeerA).Health, MemberHealth::Dead);
  I.receive(heartbeatOf(PeerA, 7));
  EXPECT_EQ(I.member(PeerA).Health, MemberHealth::Alive);
  EXPECT_EQ(I.recorded(TimelineKind::MemberJoined), 2U);
}

// Guards against unused addresses that cost messages and memory forever, and
// against the eviction of unreachable members that the platform or the settings
// list.
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
  for (const Address &Endpoint : {PeerA, PeerB, Listed}) {
    EXPECT_GE(Sent[Endpoint], 10U) << Endpoint.Value;
    EXPECT_LE(Sent[Endpoint], 15U) << Endpoint.Value;
  }
  I.run(I.State.Settings.Limits.TicketLifetime);
  std::vector<Address> Left;
  for (const auto &[Endpoint, M] : I.State.Members.Members)
    Left.push_back(Endpoint);
  EXPECT_EQ(Left, (std::vector<Address>{PeerB, Listed}));
}

// Guards against ended members that instances keep listing to each other.
TEST(MembershipTest, OnlyAliveMembersAreListed) {
  TestInstance I;
  I.receive(heartbeatOf(PeerA, 7));
  EXPECT_EQ(ownHeartbeat(I.State, I.Now).KnownInstances.size(), 1U);
  // The list is sent again only after an interval, or to another incarnation.
  auto ListedInReply = [&](const Heartbeat &From) {
    I.receive(From);
    return TestInstance::effects<ReplyHeartbeat>(I.Last)[0]
        .Message.KnownInstances.size();
  };
  // After 11 s, the list was last sent less than the interval of 5 s ago.
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

// Guards against heartbeats in both directions where one exchange is enough,
// and against none at all if that exchange does not arrive or its replies get
// lost.
TEST(MembershipTest, LowerAddressInitiatesHeartbeats) {
  const Address Lower{"127.0.0.0:1"};
  TestInstance I;
  auto SentIn2Seconds = [&](bool Comes, bool Hears) {
    Heartbeat Message = heartbeatOf(Lower, 7);
    Message.HearsReceiver = Hears;
    I.run(seconds(1), {Message});
    I.All.clear();
    I.run(seconds(2),
          Comes ? std::vector<Heartbeat>{Message} : std::vector<Heartbeat>{});
    return TestInstance::effects<SendHeartbeat>(I.All).size();
  };
  EXPECT_EQ(SentIn2Seconds(true, true), 0U);
  EXPECT_GE(SentIn2Seconds(true, false), 3U);
  EXPECT_GE(SentIn2Seconds(false, true), 2U);
  I.run(seconds(1), {heartbeatOf(PeerA, 8)});
  I.All.clear();
  I.run(seconds(2), {heartbeatOf(PeerA, 8)});
  size_t ToHigher = 0;
  for (const SendHeartbeat &S : TestInstance::effects<SendHeartbeat>(I.All))
    ToHigher += S.Endpoint == PeerA && S.Message.HearsReceiver ? 1 : 0;
  EXPECT_GE(ToHigher, 3U);
}

// Guards against a configuration watcher that can't reach the platform while
// another instance can, and against having no watcher while none can.
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

// Guards against an unresponsive peer that keeps the instance from fetching
// newer documents of other peers.
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

// Guards against tasks for an upstream that is unlisted, and against tasks for
// one that is listed again or moves to another data centre before its status is
// read anew.
TEST(UpstreamListTest, FollowsRemovalReturnAndMove) {
  TestInstance I;
  const Address Upstream = listed("dc1").Endpoint;
  auto List = [&](std::vector<ListedUpstream> Upstreams) {
    PlatformListRead Read;
    Read.Upstreams = std::move(Upstreams);
    I.send(Read);
  };
  auto Accepts = [&] {
    return acceptsTask(I.State, I.State.Upstreams.All.at(Upstream), I.Now);
  };
  auto ReadStatus = [&] {
    I.send(StatusRead{Upstream, UpstreamStatus{2, 0, false}});
  };
  List({listed("dc1")});
  EXPECT_FALSE(Accepts()) << "before its status is read";
  ReadStatus();
  EXPECT_TRUE(Accepts());
  I.State.Upstreams.All.at(Upstream).SlotsInUse = 1;
  List({});
  EXPECT_FALSE(Accepts());
  ReadStatus();
  EXPECT_FALSE(Accepts()) << "its own status does not list it again";
  List({listed("dc1")});
  ReadStatus();
  EXPECT_TRUE(Accepts()) << "returned under its address";
  List({listed("dc2")});
  EXPECT_FALSE(Accepts()) << "belongs to senders of the other data centre";
  EXPECT_EQ(I.State.Upstreams.All.at(Upstream).Sender, Address{});
  List({listed("dc1")});
  EXPECT_FALSE(Accepts()) << "its status is read anew";
  ReadStatus();
  EXPECT_TRUE(Accepts());
  I.State.Upstreams.All.at(Upstream).SlotsInUse = 0;
  List({});
  EXPECT_EQ(I.State.Upstreams.All.count(Upstream), 0U);
}

} // namespace
} // namespace snipeshunt
