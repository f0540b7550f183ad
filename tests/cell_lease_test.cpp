/// \file Leases of runs that have to end, on a fake clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Two data centres with one upstream and one sender each; the job "a" of a
/// second instance of the first data centre runs on "up-a".
class CellLease : public ::testing::Test {
protected:
  void SetUp() override {
    UpA = World.addUpstream({"up-a", "centre-a"});
    UpB = World.addUpstream({"up-b", "centre-b"});
    SenderA = World.addInstance("sender-a", "centre-a", 0.6);
    Entry = World.addInstance("entry", "centre-a", 0.2);
    SenderB = World.addInstance("sender-b", "centre-b", 0.6);
    World.run(seconds(2));
    World.submit(Entry, "a", 1, milliseconds(4000), seconds(6));
    World.run(milliseconds(100));
    ASSERT_EQ(World.runs().size(), 1U);
    ASSERT_EQ(World.runs().front().Upstream, UpA);
    World.faults(UpA).LosesStops = true;
  }

  /// The entry instance ends, and the caller submits "a" again elsewhere.
  void loseEntryAndSubmitAgain() {
    World.kill(Entry);
    World.run(CallerRetryPause);
    Again = World.submit(SenderB, "a", 1, milliseconds(200), seconds(5));
    World.run(seconds(1));
  }

  void expectOneRunAtATime() const {
    const auto &Answer = World.caller(Again).Answer;
    ASSERT_TRUE(Answer);
    EXPECT_EQ(Answer->Status, AnswerStatus::Done);
    std::vector<std::string> Found = World.overlappingRuns();
    EXPECT_TRUE(Found.empty()) << Found.front();
  }

  CellWorld World;
  UpstreamId UpA, UpB;
  Address SenderA, Entry, SenderB;
  size_t Again = 0;
};

} // namespace

// Guards against two runs of a task at once (TWICE): the stops of an abandoned
// job's run are lost, and renewals for another run on its upstream keep it
// alive while the caller's second submission runs elsewhere.
TEST_F(CellLease, RunWhoseStopIsLostLapsesDespiteRenewals) {
  World.submit(SenderA, "b", 1, milliseconds(5000), seconds(8));
  World.run(milliseconds(100));
  loseEntryAndSubmitAgain();
  expectOneRunAtATime();
}

// Guards against the same through starts, which prolong the lease of all runs
// on their upstream.
TEST_F(CellLease, RunWhoseStopIsLostLapsesDespiteStarts) {
  World.kill(Entry);
  for (int I = 0; I < 13; ++I) {
    World.submit(SenderA, "b" + std::to_string(I), 1, milliseconds(50));
    World.run(CallerRetryPause / 13);
  }
  Again = World.submit(SenderB, "a", 1, milliseconds(200), seconds(5));
  World.run(seconds(1));
  expectOneRunAtATime();
}

// Guards against an upstream that stays without starts and without a lease once
// its stop has been accepted.
TEST_F(CellLease, UpstreamIsUsedAgainOnceTheStopIsAccepted) {
  World.kill(Entry);
  World.run(milliseconds(300));
  World.faults(UpA).LosesStops = false;
  World.run(milliseconds(300));
  for (const RunRecord &R : World.runs())
    EXPECT_LT(R.Ended, World.now()) << runText(R.Key);
  size_t Next = World.submit(SenderA, "b", 1, milliseconds(100));
  World.run(milliseconds(150));
  ASSERT_TRUE(World.caller(Next).Answer);
  EXPECT_EQ(World.caller(Next).Answer->Status, AnswerStatus::Done);
}

// Guards against two runs of a task at once (TWICE, review case 6): frequent
// answers of an upstream whose clock is slow make the estimate of that clock
// too high, so that a renewal that a link has delayed grants a lease that ends
// after the sender takes the run for ended.
TEST(CellLeaseClock, SlowClockAndDelayedRenewalsDoNotOutlastTheExpiry) {
  CellWorld World;
  UpstreamId Slow =
      World.addUpstream({"up-a", "centre-a", 64000, 1, /*ClockRate=*/0.98});
  World.addUpstream({"up-b", "centre-a", 64000, 1, /*ClockRate=*/0.98});
  Address Sender = World.addInstance("sender", "centre-a", 0.6);
  World.run(seconds(2));
  for (int I = 0; I < 750; ++I) {
    World.submit(Sender, "short-" + std::to_string(I), 1, milliseconds(20));
    World.run(milliseconds(20));
  }
  size_t Long = World.submit(Sender, "long", 1, seconds(4), seconds(10));
  World.run(milliseconds(50));
  ASSERT_EQ(World.runs().back().Key.Job, JobId{"long"});
  ASSERT_EQ(World.runs().back().Upstream, Slow);
  World.faults(Slow).RenewalDelay = milliseconds(250);
  World.faults(Slow).StartDelay = milliseconds(250);
  World.run(seconds(9));
  std::vector<std::string> Found = World.overlappingRuns();
  EXPECT_TRUE(Found.empty()) << Found.front();
  ASSERT_TRUE(World.caller(Long).Answer);
  EXPECT_EQ(World.caller(Long).Answer->Status, AnswerStatus::Done);
}

// Guards against two runs of a task at once (TWICE, review case 10): the entry
// of a job freezes, its caller leaves unnoticed, and the sender freezes before
// it has given up the entry. The lease has to end before the caller's next
// submission is started, however long the entry has been silent by then.
TEST(CellLeaseContact, LeaseOfASilentEntryEndsBeforeTheResubmission) {
  for (int Phase = 0; Phase < 260; Phase += 50)
    for (int Gap = 100; Gap <= 1100; Gap += 100) {
      CellWorld World;
      World.addUpstream({"up-a", "centre-a", 64000, 1, /*ClockRate=*/0.98});
      World.addUpstream({"up-b", "centre-b", 64000, 1, /*ClockRate=*/0.98});
      Address Sender = World.addInstance("sender-a", "centre-a", 0.6);
      Address Entry = World.addInstance("entry", "centre-a", 0.2);
      Address Other = World.addInstance("sender-b", "centre-b", 0.6);
      World.run(seconds(2));
      size_t First = World.submit(Entry, "a", 1, seconds(4), seconds(6));
      World.run(milliseconds(500 + Phase));
      ASSERT_EQ(World.runs().size(), 1U);
      World.freeze(Entry);
      World.disconnectCaller(First);
      World.run(milliseconds(Gap));
      World.freeze(Sender);
      World.run(CallerRetryPause - milliseconds(Gap));
      size_t Again = World.submit(Other, "a", 1, milliseconds(200), seconds(5));
      World.run(seconds(1));
      std::vector<std::string> Found = World.overlappingRuns();
      EXPECT_TRUE(Found.empty())
          << Found.front() << " phase " << Phase << " gap " << Gap;
      ASSERT_TRUE(World.caller(Again).Answer);
      EXPECT_EQ(World.caller(Again).Answer->Status, AnswerStatus::Done);
    }
}

// Guards against the same after a pause of the sender: a ping that has waited
// in its socket meanwhile doesn't show that the entry still awaits its jobs.
TEST(CellLeaseContact, PingsThatWaitedDuringAPauseProlongNoLease) {
  for (int Phase = 0; Phase < 260; Phase += 50)
    for (int Pause = 300; Pause <= 700; Pause += 100) {
      CellWorld World;
      World.addUpstream({"up-a", "centre-a", 64000, 1, /*ClockRate=*/0.98});
      World.addUpstream({"up-b", "centre-b", 64000, 1, /*ClockRate=*/0.98});
      Address Sender = World.addInstance("sender-a", "centre-a", 0.6);
      Address Entry = World.addInstance("entry", "centre-a", 0.2);
      Address Other = World.addInstance("sender-b", "centre-b", 0.6);
      World.run(seconds(2));
      size_t First = World.submit(Entry, "a", 1, seconds(4), seconds(6));
      World.run(milliseconds(500 + Phase));
      World.freeze(Sender);
      World.run(milliseconds(260));
      World.freeze(Entry);
      World.disconnectCaller(First);
      World.run(milliseconds(Pause - 260));
      World.thaw(Sender);
      World.run(CallerRetryPause - milliseconds(Pause - 260));
      size_t Again = World.submit(Other, "a", 1, milliseconds(200), seconds(5));
      World.run(seconds(1));
      std::vector<std::string> Found = World.overlappingRuns();
      EXPECT_TRUE(Found.empty())
          << Found.front() << " phase " << Phase << " pause " << Pause;
      ASSERT_TRUE(World.caller(Again).Answer);
      EXPECT_EQ(World.caller(Again).Answer->Status, AnswerStatus::Done);
    }
}

// Guards against runs of other jobs that lapse with the shortened lease of a
// silent entry's run: its stop is accepted before, and renewals are of full
// length again.
TEST(CellLeaseContact, OtherRunsOnTheUpstreamSurviveASilentEntry) {
  for (int Phase = 0; Phase < 260; Phase += 10) {
    CellWorld World;
    World.addUpstream({"up-a", "centre-a", 64000, 1, /*ClockRate=*/0.98});
    Address Sender = World.addInstance("sender-a", "centre-a", 0.6);
    Address Entry = World.addInstance("entry", "centre-a", 0.2);
    World.run(seconds(2));
    World.submit(Entry, "a", 1, seconds(4), seconds(6));
    size_t Other = World.submit(Sender, "b", 1, seconds(4), seconds(8));
    World.run(milliseconds(500 + Phase));
    ASSERT_EQ(World.runs().size(), 2U);
    World.freeze(Entry);
    World.run(seconds(5));
    EXPECT_EQ(World.runs().size(), 2U) << "phase " << Phase;
    ASSERT_TRUE(World.caller(Other).Answer);
    EXPECT_EQ(World.caller(Other).Answer->Status, AnswerStatus::Done);
  }
}

// Guards against a deployment that is not served because its settings leave no
// time for a lease, or assume a long one of an earlier sender: the shortest and
// the longest `max_lease_ms`, the longest `stop_timeout_ms`.
TEST(CellLeaseContact, UnusualBoundsAreServed) {
  FleetBounds Short, Long, Slow;
  Short.MaxLease = milliseconds(100);
  Long.MaxLease = milliseconds(60000);
  Slow.StopTimeout = milliseconds(10000);
  for (const FleetBounds &Bounds : {Short, Long, Slow}) {
    CellWorld World;
    World.setBounds(Bounds);
    World.addUpstream({"up-a", "centre-a"});
    World.addInstance("sender-a", "centre-a", 0.6);
    Address Entry = World.addInstance("entry", "centre-a", 0.2);
    World.run(seconds(2));
    size_t Job = World.submit(Entry, "a", 1, milliseconds(50));
    World.run(seconds(1));
    ASSERT_TRUE(World.caller(Job).Answer);
    EXPECT_EQ(World.caller(Job).Answer->Status, AnswerStatus::Done);
  }
}
