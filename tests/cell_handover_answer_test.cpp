/// \file Answers of jobs whose sender loses its cells before any of their tasks
/// runs, on a fake clock.
#include "cells/cell_table.h"
#include "sender/admission_cmd.h"
#include "sender/upstream_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Two senders of one data centre that do not know of each other: "newer"
/// claims the cells of "older" with higher tokens. The upstreams are idle, so
/// "older" learns that only from the answers to its next orders.
class CellHandoverAnswer : public ::testing::Test {
protected:
  /// Adds the upstreams \p Names and starts the first sender.
  void startOlder(const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      Upstreams.push_back(World.addUpstream({Name}));
    Older = World.addInstance("older", "centre-a", 0.6);
  }

  void startNewer() {
    Newer = World.addInstance("newer", "centre-a", 0.5);
    World.cutOneWay(Older, Newer);
    World.cutOneWay(Newer, Older);
    World.run(seconds(3));
    ASSERT_EQ(World.state(Older).Cells.Claims.size(), CellsPerCentre);
    ASSERT_EQ(World.state(Newer).Cells.Claims.size(), CellsPerCentre);
  }

  /// Adds a sender of another data centre, which has one upstream.
  void startRemote() {
    World.addUpstream({"remote-up", "centre-b"});
    World.addInstance("remote", "centre-b", 0.6);
    World.run(seconds(2));
  }

  /// Returns the answer of a job, or nullopt.
  std::optional<AnswerStatus> answerOf(size_t Caller) const {
    const auto &Answer = World.caller(Caller).Answer;
    return Answer ? std::optional(Answer->Status) : std::nullopt;
  }

  /// Returns two names of upstreams that belong to one cell.
  static std::vector<std::string> namesInOneCell() {
    std::map<CellId, std::string> ByCell;
    for (int I = 0;; ++I) {
      UpstreamRecord Record;
      Record.Id = {"up-" + std::to_string(I)};
      Record.Centre = {"centre-a"};
      auto [It, New] = ByCell.emplace(cellOf(Record), Record.Id.Value);
      if (!New)
        return {It->second, Record.Id.Value};
    }
  }

  CellWorld World;
  Address Older;
  Address Newer;
  std::vector<UpstreamId> Upstreams;
};

} // namespace

// Guards against 502 for a job whose starts were all rejected by upstreams that
// a newer sender had taken over, while another sender could run it.
TEST_F(CellHandoverAnswer, JobWithRejectedStartsIsMovedToAnotherSender) {
  startOlder(namesInOneCell());
  startRemote();
  startNewer();
  size_t Job = World.submit(Older, "a", 2, milliseconds(100));
  World.run(seconds(1));
  EXPECT_EQ(answerOf(Job), AnswerStatus::Done);
  ASSERT_EQ(World.runs().size(), 2U);
  for (const RunRecord &R : World.runs())
    EXPECT_EQ(R.Upstream, UpstreamId{"remote-up"});
}

// Guards against 502 for such a job if there is no other sender.
TEST_F(CellHandoverAnswer, JobWithRejectedStartsIsAnsweredAsNotRun) {
  startOlder(namesInOneCell());
  startNewer();
  size_t Job = World.submit(Older, "a", 2, milliseconds(100));
  World.run(seconds(2));
  EXPECT_EQ(answerOf(Job), AnswerStatus::NotRun);
  EXPECT_TRUE(World.runs().empty());
}

// Guards against 503 for a job of which one start was rejected and another one
// accepted, by an upstream that the newer sender's orders had not reached yet.
TEST_F(CellHandoverAnswer, JobWithAnAcceptedStartIsAnsweredAsLost) {
  startOlder(namesInOneCell());
  startRemote();
  World.faults(Upstreams[1]).LostRenewalShare = 1;
  startNewer();
  // Each upstream has room for one of the tasks.
  size_t Job = World.submit(Older, "a", 2, seconds(2), seconds(5), 40000);
  World.run(milliseconds(100));
  World.faults(Upstreams[1]).LostRenewalShare = 0;
  World.run(seconds(3));
  EXPECT_EQ(answerOf(Job), AnswerStatus::Lost);
  ASSERT_EQ(World.runs().size(), 1U);
  EXPECT_EQ(World.runs()[0].Upstream, Upstreams[1]);
  EXPECT_FALSE(World.runs()[0].Done);
}

// Guards against 503 for a job whose start had no answer when the cell was
// released, since the upstream may have carried it out.
TEST_F(CellHandoverAnswer, JobWithAnUnansweredStartIsAnsweredAsLost) {
  startOlder(namesInOneCell());
  startRemote();
  startNewer();
  World.faults(Upstreams[1]).StartDelay = seconds(1);
  size_t Job =
      World.submit(Older, "a", 2, milliseconds(100), seconds(3), 40000);
  World.run(seconds(1));
  EXPECT_EQ(answerOf(Job), AnswerStatus::Lost);
}

// Guards against a job that stays until its caller's deadline at a sender that
// shuts down, though all its starts were rejected.
TEST_F(CellHandoverAnswer, JobWithRejectedStartsLeavesASenderInShutdown) {
  startOlder({"up-1"});
  startRemote();
  World.faults(Upstreams[0]).Refuses = true;
  size_t Job = World.submit(Older, "a", 1, milliseconds(100), seconds(4));
  World.run(milliseconds(50));
  ASSERT_EQ(World.state(Older).Sender.Jobs.size(), 1U);
  World.shutDown(Older);
  World.run(milliseconds(500));
  EXPECT_EQ(answerOf(Job), AnswerStatus::Done);
  EXPECT_EQ(World.runs().size(), 1U);
}

// Guards against a job that stays until its caller's deadline at a sender that
// has lost its claims to a peer's newer ones, though all its starts were
// rejected.
TEST_F(CellHandoverAnswer, JobWithRejectedStartsLeavesASenderWithoutClaims) {
  startOlder({"up-1"});
  startNewer();
  World.faults(Upstreams[0]).Refuses = true;
  size_t Job = World.submit(Older, "a", 1, milliseconds(100), seconds(8));
  World.run(milliseconds(50));
  ASSERT_EQ(World.state(Older).Sender.Jobs.size(), 1U);
  World.heal();
  for (int I = 0; I < 40 && !World.state(Older).Cells.Claims.empty(); ++I)
    World.run(milliseconds(50));
  ASSERT_TRUE(World.state(Older).Cells.Claims.empty());
  EXPECT_TRUE(World.state(Older).Sender.Jobs.empty());
  // The next sender can't start it in time either.
  World.run(seconds(1));
  EXPECT_EQ(answerOf(Job), AnswerStatus::NotRun);
  EXPECT_TRUE(World.runs().empty());
}

namespace {

/// A sender that releases a cell while a start on its only upstream awaits its
/// answer.
class ReleasedUpstream : public ::testing::Test {
protected:
  void SetUp() override {
    SenderUpstream &U = State.Upstreams[{"up"}];
    U.Record.Id = {"up"};
    U.Record.Capacity = U.Free = {64000, 262144, 0};
    U.Cell = Cell;
    U.Token = {5};
    U.Phase = UpstreamPhase::Ready;
    U.ClockOffset = 0;
    JobOrder Order;
    Order.Id = {"a"};
    Order.Slack = Order.Remaining = seconds(60);
    Order.Step.PerTask = {1000, 64, 0};
    Order.Step.Estimate = milliseconds(100);
    acceptJob(State, Order, {{1}, false}, Now, Out);
    SenderJob &J = State.Jobs.at({"a"});
    J.Tasks[0].State = SenderTaskState::Started;
    J.Tasks[0].Run = 1;
    J.Tasks[0].Upstream = {"up"};
    --J.WaitingTasks;
    J.Started = true;
    orderStart(U, J, Key, milliseconds(100), milliseconds(800), State.Bounds,
               Now, Out);
    releaseCell(State, Cell, Now, Out);
    ASSERT_EQ(State.Jobs.size(), 1U);
    Out.clear();
  }

  /// Returns true if the job was answered as lost and nothing is left of it.
  bool isLost() const {
    const auto *Answer =
        Out.empty() ? nullptr : std::get_if<AnswerJob>(&Out.back());
    return Answer && Answer->Result.Outcome == JobOutcome::Lost &&
           State.Jobs.empty() && State.Upstreams.empty();
  }

  CellId Cell{{"centre-a"}, 1};
  RunKey Key{{"a"}, 0, 0, 1};
  SteadyTime Now{std::chrono::hours(1)};
  SenderState State;
  InstanceEffects Out;
};

} // namespace

// Guards against a task that is started again after a pause of the sender in
// which its run may have ended as done at the next sender.
TEST_F(ReleasedUpstream, RunWhoseLeaseExpiresUnansweredIsNotStartedAgain) {
  expireRuns(State, Now + seconds(3), Out);
  EXPECT_TRUE(isLost());
}

// Guards against a job that hangs until its lease expires because the sender
// began to shut down between the release and the answer.
TEST_F(ReleasedUpstream, AcceptedStartEndsTheJobInAShutdownToo) {
  State.Draining = true;
  std::optional<CellId> FencedCell;
  applyStartAnswer(State, {{"up"}, {5}, Key, OrderStatus::Accepted, {}, {}},
                   Now, FencedCell, Out);
  EXPECT_TRUE(isLost());
}
