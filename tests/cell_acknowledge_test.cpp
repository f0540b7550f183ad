/// \file Acknowledgements of ends to upstreams that restart under their id, on
/// a fake clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One instance and one upstream, whose process has reported several ends that
/// were acknowledged.
class CellAcknowledgeTest : public ::testing::Test {
protected:
  void SetUp() override {
    Only = World.addInstance("only", "centre-a");
    World.run(seconds(2));
    for (int I = 0; I < EarlierRuns; ++I) {
      submit("earlier-" + std::to_string(I), milliseconds(20));
      World.run(milliseconds(100));
    }
    World.run(seconds(2));
    ASSERT_EQ(World.runs().size(), static_cast<size_t>(EarlierRuns));
    ASSERT_TRUE(World.listedEnds(Id).empty());
  }

  size_t submit(const std::string &Job, Duration TaskTime) {
    return World.submit(Only, Job, 1, TaskTime, seconds(3), 27000);
  }
  bool isDone(size_t Number) const {
    const CallerRecord &Caller = World.caller(Number);
    return Caller.Answer && Caller.Answer->Status == AnswerStatus::Done;
  }
  size_t runsOf(const std::string &Job) const {
    return std::count_if(
        World.runs().begin(), World.runs().end(),
        [&](const RunRecord &R) { return R.Key.Job.Value == Job; });
  }

  static constexpr int EarlierRuns = 5;
  CellWorld World;
  UpstreamId Id = World.addUpstream({"up"});
  Address Only;
};

} // namespace

// Guards against a task that is started again after it has ended as done
// (TWICE): its upstream has restarted unnoticed while it was idle, and the next
// renewal acknowledges numbers of the former process. The new process takes
// them for its own and forgets the end before it has reported it.
TEST_F(CellAcknowledgeTest, EndOfARestartedIdleUpstreamIsNotForgotten) {
  for (int Round = 0; Round < 10; ++Round) {
    std::string Job = "a-" + std::to_string(Round);
    World.restartUpstream(Id);
    World.run(milliseconds(1 + 53 * Round));
    // The end precedes the first renewal that follows the start.
    size_t Number = submit(Job, milliseconds(1));
    World.run(seconds(3));
    EXPECT_TRUE(isDone(Number)) << "round " << Round;
    EXPECT_EQ(runsOf(Job), 1U) << "round " << Round;
    EXPECT_TRUE(World.listedEnds(Id).empty()) << "round " << Round;
  }
}

// As above, but the task takes longer, and the renewal that would have shown
// the restart gets no answer.
TEST_F(CellAcknowledgeTest, EndAfterALostRenewalIsNotForgotten) {
  World.restartUpstream(Id);
  World.faults(Id).LostRenewals = 1;
  size_t Number = submit("a", milliseconds(200));
  World.run(seconds(3));
  EXPECT_TRUE(isDone(Number));
  EXPECT_EQ(runsOf("a"), 1U);
  EXPECT_TRUE(World.listedEnds(Id).empty());
}

// Guards against ends that stay on the upstream's list, or are applied twice,
// because a renewal went out without its acknowledgement, and against a
// renewal with each tick until one may carry it.
TEST_F(CellAcknowledgeTest, LeftOutAcknowledgementFollows) {
  size_t Number = submit("a", milliseconds(20));
  World.run(milliseconds(100));
  EXPECT_TRUE(isDone(Number));
  EXPECT_EQ(World.listedEnds(Id), std::vector<uint64_t>{EarlierRuns + 1});
  World.faults(Id).NewConnections = 2;
  uint64_t Done = World.state(Only).Sender.Counts.RunsDone;
  size_t Renewals = World.renewalsSent();
  World.run(milliseconds(700));
  EXPECT_EQ(World.listedEnds(Id), std::vector<uint64_t>{EarlierRuns + 1});
  World.run(seconds(2));
  EXPECT_TRUE(World.listedEnds(Id).empty());
  EXPECT_EQ(World.renewalsSent() - Renewals, 3U);
  EXPECT_EQ(World.state(Only).Sender.Counts.RunsDone, Done);
  EXPECT_EQ(runsOf("a"), 1U);
}

// Guards against ends that are read from a list that repeats earlier ones and
// are taken for repeated too.
TEST_F(CellAcknowledgeTest, NewEndsBesideRepeatedOnesAreApplied) {
  World.faults(Id).NewConnections = 4;
  std::vector<size_t> Numbers;
  for (int I = 0; I < 8; ++I) {
    Numbers.push_back(submit("a-" + std::to_string(I), milliseconds(30)));
    World.run(milliseconds(20));
  }
  World.run(seconds(2));
  for (size_t Number : Numbers)
    EXPECT_TRUE(isDone(Number));
  EXPECT_EQ(World.runs().size(), static_cast<size_t>(EarlierRuns) + 8);
  EXPECT_TRUE(World.listedEnds(Id).empty());
}
