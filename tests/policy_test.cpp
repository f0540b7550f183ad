/// \file Tests of the scheduling decisions of the reducer.
#include "reducer/reducer.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

using std::chrono::milliseconds;

const Address Self{"10.0.0.1:1"};
const Address Peer{"10.0.0.2:1"};
const Address First{"10.1.0.1:1"};
const Address Second{"10.1.0.2:1"};
constexpr IncarnationId OwnIncarnation{7};
constexpr IncarnationId PeerIncarnation{8};

/// An instance that sends to two upstreams of two slots each.
class PolicyTest : public ::testing::Test {
protected:
  void SetUp() override { start(2, "dc1"); }

  /// Starts a new instance in dc1 with two upstreams of \p Slots slots each in
  /// \p UpstreamCentre.
  void start(int64_t Slots, const char *UpstreamCentre) {
    DaemonSettings S;
    S.Listen = S.Advertise = Self;
    S.Centre = DataCentre{"dc1"};
    S.FleetKey = "a key of sixteen bytes or more";
    for (const Address &Endpoint : {First, Second})
      S.Upstreams.push_back({Endpoint, DataCentre{UpstreamCentre}, Slots, 0});
    State = initialState(std::move(S), OwnIncarnation);
    send(Tick{});
    for (const Address &Endpoint : {First, Second})
      send(StatusRead{Endpoint,
                      UpstreamStatus{static_cast<uint32_t>(Slots), 0, false}});
  }

  EffectList send(EventBody Body) {
    return reduce(State, {Time.steadyNow(), 1, std::move(Body)});
  }

  /// Submits a job of \p Count tasks of \p Kind with a declared run time of
  /// \p Expected ms. \p Extra is added to the fields of the body.
  EffectList submit(const std::string &Kind, size_t Count, int Expected,
                    const std::string &Extra = "") {
    std::string Tasks;
    for (size_t I = 0; I < Count; ++I)
      Tasks += std::string(I ? "," : "") + R"({"kind":")" + Kind +
               R"(","expected_ms":)" + std::to_string(Expected) + "}";
    JobRequested E;
    E.Request = RequestId{++Requests};
    EffectList Issued = send(TicketsRequested{RequestId{++Requests}, 1});
    E.TicketText = std::get<ReplyTickets>(Issued[0]).Tickets[0];
    E.Body = R"({"team":"t",)" + Extra + R"("tasks":[)" + Tasks + "]}";
    return send(E);
  }

  EffectList end(const StartTask &Start, AttemptEnd End) {
    return send(AttemptEnded{Start.Attempt, {End, "x"}});
  }

  /// Receives a handover of tasks 0 to \p Count - 1 of one job from an idle
  /// home, the peer.
  EffectList handOver(uint64_t Sequence, uint64_t SettledBelow,
                      uint32_t Count) {
    Heartbeat Home;
    Home.Location = {Peer, DataCentre{"dc2"}};
    Home.Incarnation = PeerIncarnation;
    Home.State = MemberState::Live;
    send(HeartbeatReceived{RequestId{98}, Home});
    HandoverReceived E;
    E.Message = {PeerIncarnation,
                 Peer,
                 OwnIncarnation,
                 {Sequence},
                 {SettledBelow},
                 {},
                 {8, 8, 0, milliseconds(0)}};
    for (uint32_t I = 0; I < Count; ++I) {
      auto Spec = std::make_shared<TaskSpec>();
      Spec->Kind = TaskKind{"k"};
      E.Message.Tasks.push_back({TicketSequence{1}, TaskIndex{I}, Team{"t"},
                                 Spec, milliseconds(5000), milliseconds(0)});
    }
    return send(E);
  }

  template <typename T>
  static std::vector<T> effectsOf(const EffectList &Effects) {
    std::vector<T> Found;
    for (const Effect &E : Effects)
      if (auto *One = std::get_if<T>(&E))
        Found.push_back(*One);
    return Found;
  }

  FakeClock Time;
  InstanceState State;
  uint64_t Requests = 0;
};

// Guards against short jobs that wait for large ones submitted just before, and
// against large ones that starve.
TEST_F(PolicyTest, ShortJobsGoFirstUntilLongOnesAreDue) {
  std::vector<StartTask> Running = effectsOf<StartTask>(submit("a", 5, 500));
  ASSERT_EQ(Running.size(), 4U);
  submit("b", 1, 100, R"("patience_ms":9000,)");
  Time.advance(milliseconds(1900));
  submit("b", 1, 100, R"("patience_ms":9000,)");
  std::vector<std::string> Kinds;
  for (size_t I = 0; I < 3; ++I)
    for (const StartTask &S :
         effectsOf<StartTask>(end(Running[I], AttemptEnd::Finished)))
      Kinds.push_back(S.Spec->Kind.Value);
  EXPECT_EQ(Kinds, (std::vector<std::string>{"b", "a", "b"}));
}

// Guards against a queue order that ignores the weights of teams.
TEST_F(PolicyTest, TeamsWithHigherWeightGoFirst) {
  std::vector<StartTask> Running = effectsOf<StartTask>(submit("a", 5, 500));
  submit("b", 1, 500, R"("patience_ms":9000,)");
  PolicyException Heavier;
  Heavier.Name = "t";
  Heavier.Setting = ExceptionSetting::TeamWeight;
  Heavier.Value = 10;
  State.Configuration.InForce.Exceptions.push_back(Heavier);
  submit("c", 1, 500, R"("patience_ms":9000,)");
  auto Next = effectsOf<StartTask>(end(Running[0], AttemptEnd::Finished));
  ASSERT_EQ(Next.size(), 1U);
  EXPECT_EQ(Next[0].Spec->Kind.Value, "c");
}

// Guards against long tasks that use all slots and block short ones.
TEST_F(PolicyTest, LongTasksLeaveSlotsToShortOnes) {
  EXPECT_EQ(effectsOf<StartTask>(submit("long", 4, 5000)).size(), 2U);
  EXPECT_EQ(effectsOf<StartTask>(submit("short", 2, 100)).size(), 2U);
}

// Guards against a broken upstream that passes as healthy because tasks started
// before its first failure still succeed: they must not clear its failures.
TEST_F(PolicyTest, OlderSuccessDoesNotClearAFailure) {
  std::vector<StartTask> Running = effectsOf<StartTask>(submit("a", 4, 100));
  ASSERT_EQ(Running.size(), 4U);
  Time.advance(milliseconds(1));
  std::vector<StartTask> OnFirst;
  for (const StartTask &S : Running)
    if (S.Upstream == First)
      OnFirst.push_back(S);
  ASSERT_EQ(OnFirst.size(), 2U);
  end(OnFirst[0], AttemptEnd::Failed);
  end(OnFirst[1], AttemptEnd::Finished);
  EXPECT_EQ(State.Upstreams.All[First].ConsecutiveFailures, 1U);
}

// Guards against many jobs that fail on an upstream that fails every task.
TEST_F(PolicyTest, FailingUpstreamGetsOnlyProbes) {
  State.Upstreams.All[Second].Leaving = true;
  for (int I = 0; I < 3; ++I) {
    std::vector<StartTask> Starts = effectsOf<StartTask>(submit("a", 1, 100));
    ASSERT_EQ(Starts.size(), 1U);
    Time.advance(milliseconds(1));
    end(Starts[0], AttemptEnd::Failed);
  }
  EXPECT_TRUE(State.Upstreams.All[First].Probing);
  EXPECT_TRUE(effectsOf<StartTask>(submit("a", 1, 100)).empty());
  Time.advance(milliseconds(2000));
  send(StatusRead{First, UpstreamStatus{2, 0, false}});
  EXPECT_EQ(State.Upstreams.All[First].SlotsInUse, 1U);
}

// Guards against retries that multiply the load of a busy fleet: beyond the
// budget they are delayed.
TEST_F(PolicyTest, RetriesEndWithTheBudget) {
  State.Configuration.InForce.Defaults.RetryBurst = 2;
  State.Configuration.InForce.Defaults.RetryShare = 0;
  std::vector<StartTask> Starts = effectsOf<StartTask>(submit("a", 3, 100));
  ASSERT_EQ(Starts.size(), 3U);
  end(Starts[0], AttemptEnd::Busy);
  end(Starts[1], AttemptEnd::Busy);
  end(Starts[2], AttemptEnd::Busy);
  Time.advance(milliseconds(1900));
  EXPECT_EQ(effectsOf<StartTask>(send(Tick{})).size(), 2U);
}

// Guards against jobs admitted under overload that then end late, and against
// rejecting callers that have set patience_ms and so accept the wait.
TEST_F(PolicyTest, RejectsJobsThatWouldEndLate) {
  for (int I = 0; I < 30; ++I)
    submit("a", 1, 500, R"("patience_ms":60000,)");
  Time.advance(milliseconds(1900));
  auto Late = effectsOf<ReplyToCaller>(submit("b", 1, 100));
  ASSERT_EQ(Late.size(), 1U);
  EXPECT_EQ(Late[0].Answer->Result, Outcome::NotRun);
  EXPECT_TRUE(
      effectsOf<ReplyToCaller>(submit("b", 1, 100, R"("patience_ms":60000,)"))
          .empty());
}

// Guards against tasks that start on a slow free slot although they would end
// earlier on a fast one that is about to be free.
TEST_F(PolicyTest, WaitsForAFasterSlot) {
  start(1, "dc1");
  State.Upstreams.All[First].Speed = 4;
  std::vector<StartTask> Fast = effectsOf<StartTask>(submit("a", 1, 400));
  ASSERT_EQ(Fast.size(), 1U);
  EXPECT_EQ(Fast[0].Upstream, First);
  Time.advance(milliseconds(90));
  EXPECT_TRUE(effectsOf<StartTask>(submit("a", 1, 400)).empty());
  auto Next = effectsOf<StartTask>(end(Fast[0], AttemptEnd::Finished));
  ASSERT_EQ(Next.size(), 1U);
  EXPECT_EQ(Next[0].Upstream, First);
}

// Guards against tasks that wait for a slot whose task hangs: by its estimate,
// the slot seems about to be free until the task times out.
TEST_F(PolicyTest, DoesNotWaitForASlotThatIsOverdue) {
  start(1, "dc1");
  State.Upstreams.All[First].Speed = 4;
  ASSERT_EQ(effectsOf<StartTask>(submit("a", 1, 400)).size(), 1U);
  Time.advance(milliseconds(1000));
  std::vector<StartTask> Next = effectsOf<StartTask>(submit("a", 1, 400));
  ASSERT_EQ(Next.size(), 1U);
  EXPECT_EQ(Next[0].Upstream, Second);
}

// Guards against received tasks that wait for a slot here while other instances
// have free ones.
TEST_F(PolicyTest, ReturnsTasksWithoutAFreeSlot) {
  EffectList Effects = handOver(1, 1, 6);
  EXPECT_EQ(effectsOf<StartTask>(Effects).size(), 4U);
  auto Reports = effectsOf<SendReport>(Effects);
  ASSERT_EQ(Reports.size(), 1U);
  ASSERT_EQ(Reports[0].Message.Reports.size(), 2U);
  EXPECT_EQ(Reports[0].Message.Reports[0].Result.End, TaskEnd::NotStarted);
}

// Guards against a lost result of a task that was returned and then received
// again: discarding its first batch also discarded the task.
TEST_F(PolicyTest, ReportsResultsOfTasksReceivedAgain) {
  submit("a", 4, 100);
  handOver(1, 1, 1);
  send(ReportAnswered{PeerIncarnation, true, false, {}});
  for (auto &[Id, A] : std::unordered_map(State.Upstreams.Attempts))
    send(AttemptEnded{Id, {AttemptEnd::Finished, "x"}});
  auto Starts = effectsOf<StartTask>(handOver(2, 1, 1));
  ASSERT_EQ(Starts.size(), 1U);
  handOver(3, 2, 0);
  auto Reports = effectsOf<SendReport>(end(Starts[0], AttemptEnd::Finished));
  ASSERT_EQ(Reports.size(), 1U);
  EXPECT_EQ(Reports[0].Message.Reports[0].Result.End, TaskEnd::Finished);
}

// Guards against reporting a task that still waits as unknown when its job
// fails.
TEST_F(PolicyTest, FailureReportsWhichTaskWasNotStarted) {
  auto Running = effectsOf<StartTask>(submit("a", 5, 500));
  auto Replies = effectsOf<ReplyToCaller>(end(Running[0], AttemptEnd::Failed));
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_NE(Replies[0].Answer->Body.find(R"("index":4,"state":"not_started")"),
            std::string::npos);
}

// Guards against a separate report for each task of a job.
TEST_F(PolicyTest, ReportsTheResultsOfAJobTogether) {
  auto Starts = effectsOf<StartTask>(handOver(1, 1, 3));
  ASSERT_EQ(Starts.size(), 3U);
  EXPECT_TRUE(
      effectsOf<SendReport>(end(Starts[0], AttemptEnd::Finished)).empty());
  EXPECT_TRUE(
      effectsOf<SendReport>(end(Starts[1], AttemptEnd::Finished)).empty());
  auto Reports = effectsOf<SendReport>(end(Starts[2], AttemptEnd::Finished));
  ASSERT_EQ(Reports.size(), 1U);
  EXPECT_EQ(Reports[0].Message.Reports.size(), 3U);
}

// Guards against starvation of an instance without upstreams while its peers
// have waiting tasks and no free slot.
TEST_F(PolicyTest, InstanceWithoutSlotsQueuesAtPeers) {
  start(2, "dc2");
  Heartbeat Message;
  Message.Location = {Peer, DataCentre{"dc1"}};
  Message.Incarnation = PeerIncarnation;
  Message.State = MemberState::Live;
  Message.Load = {0, 8, 5, milliseconds(100)};
  send(HeartbeatReceived{RequestId{99}, Message});
  EXPECT_EQ(effectsOf<SendHandover>(submit("a", 1, 100)).size(), 1U);
}

} // namespace
} // namespace snipeshunt
