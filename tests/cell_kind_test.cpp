/// \file Upstreams that restart under their id as another kind, on a fake
/// clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Longest time between two reads of the upstreams' records by a sender.
constexpr Duration ReadPeriod = seconds(1);

/// One instance and four upstreams, the first of which changes its kind.
class CellKindTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 1; I <= 4; ++I)
      Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
    for (const UpstreamId &Id : Upstreams)
      World.setKind(Id, Id == Changing ? "old" : "other");
    Only = World.addInstance("only", "centre-a");
    World.run(seconds(2));
  }

  void restart(const std::string &Kind) {
    World.restartUpstream(Changing);
    World.setKind(Changing, Kind);
  }
  size_t submit(const std::string &Requirement,
                Duration TaskTime = milliseconds(50)) {
    return World.submit(Only, "job-" + std::to_string(NextJob++), 1, TaskTime,
                        seconds(3), 27000, Requirement);
  }
  /// Returns the kinds of upstream on which the job's tasks were started.
  std::vector<std::string> kindsOf(size_t Number) const {
    std::vector<std::string> Kinds;
    for (const RunRecord &R : World.runs())
      if (R.Key.Job.Value == "job-" + std::to_string(Number))
        Kinds.push_back(R.Kind);
    return Kinds;
  }
  bool isDone(size_t Number) const {
    const CallerRecord &Caller = World.caller(Number);
    return Caller.Answer && Caller.Answer->Status == AnswerStatus::Done;
  }

  bool isRejected(size_t Number) const {
    const CallerRecord &Caller = World.caller(Number);
    return Caller.Answer && Caller.Answer->Status == AnswerStatus::NotRun;
  }

  CellWorld World;
  Address Only;
  UpstreamId Changing{"up-1"};
  std::vector<UpstreamId> Upstreams;
  int NextJob = 0;
};

using Kinds = std::vector<std::string>;

} // namespace

// Guards against starts on an idle upstream that has restarted as another kind
// than the one that the task requires, before its new record was read.
TEST_F(CellKindTest, RestartedIdleUpstreamGetsNoTaskForItsFormerKind) {
  for (int Round = 0; Round < 20; ++Round) {
    std::string Old = Round % 2 ? "new" : "old";
    std::string New = Round % 2 ? "old" : "new";
    restart(New);
    World.run(milliseconds(1 + 53 * Round));
    size_t OfOld = submit(Old);
    size_t OfNew = submit(New);
    World.run(seconds(4));
    EXPECT_EQ(kindsOf(OfOld), Kinds{}) << "round " << Round;
    // Until the record was read, no upstream is known to have the new kind.
    Kinds Expected = isRejected(OfNew) ? Kinds{} : Kinds{New};
    EXPECT_EQ(kindsOf(OfNew), Expected) << "round " << Round;
    EXPECT_TRUE(isDone(OfNew) || isRejected(OfNew)) << "round " << Round;
  }
}

// Guards against starts on an upstream that restarts, with an interruption that
// its sender does not notice, while it runs other tasks.
TEST_F(CellKindTest, RestartedBusyUpstreamGetsNoTaskForItsFormerKind) {
  for (int Round = 0; Round < 40; ++Round) {
    std::string Old = Round % 2 ? "new" : "old";
    std::string New = Round % 2 ? "old" : "new";
    size_t Before = submit(Old, milliseconds(300));
    World.run(milliseconds(20));
    EXPECT_EQ(kindsOf(Before), Kinds{Old}) << "round " << Round;
    restart(New);
    World.run(milliseconds(1 + 7 * Round));
    size_t OfOld = submit(Old);
    World.run(seconds(4));
    EXPECT_EQ(kindsOf(OfOld), Kinds{}) << "round " << Round;
  }
}

// Guards against a start that reaches the process which has followed the one
// that it was sent for.
TEST_F(CellKindTest, StartUnderWayIsNotCarriedOutByAnotherKind) {
  size_t OfOld = submit("old");
  size_t Sent = World.state(Only).Sender.Counts.RunsStarted;
  restart("new");
  World.run(seconds(4));
  EXPECT_EQ(Sent, 1U);
  EXPECT_EQ(kindsOf(OfOld), Kinds{});
}

// Guards against delays of tasks that any upstream may run, or of those that
// require the kind that the upstream has.
TEST_F(CellKindTest, TasksThatFitAreStartedAtOnce) {
  for (const char *Requirement : {"", "old", "other"}) {
    size_t Number = submit(Requirement);
    World.run(milliseconds(60));
    EXPECT_TRUE(isDone(Number)) << Requirement;
  }
  restart("new");
  size_t Any = submit("");
  World.run(milliseconds(60));
  EXPECT_TRUE(isDone(Any));
}

// Guards against an upstream that is not used again after it has restarted as
// another kind.
TEST_F(CellKindTest, RestartedUpstreamServesItsNewKind) {
  restart("new");
  size_t OfOld = submit("old");
  World.run(ReadPeriod + milliseconds(100));
  size_t OfNew = submit("new");
  World.run(milliseconds(60));
  EXPECT_TRUE(isDone(OfNew));
  EXPECT_EQ(kindsOf(OfOld), Kinds{});
}
