/// \file Load tests of senders and entry instances, on a fake clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Two data centres of eight upstreams, each with capacity for two tasks.
class CellLoadTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (const char *Centre : {"centre-a", "centre-b"}) {
      for (int I = 0; I < 8; ++I)
        World.addUpstream({std::string(Centre) + std::to_string(I), Centre});
      for (int I = 0; I < 2; ++I)
        Entries.push_back(World.addInstance(
            std::string(Centre) + "-i" + std::to_string(I), Centre));
    }
    World.run(seconds(2));
  }

  size_t submit(uint32_t Tasks, Duration Time) {
    ++Count;
    return World.submit(Entries[Count % Entries.size()],
                        "job-" + std::to_string(Count), Tasks, Time);
  }

  /// Submits jobs of two tasks each at an interval of \p Pause, for \p For.
  /// Returns their indexes for `CellWorld::caller`.
  std::vector<size_t> submitSteadily(Duration For, Duration Pause,
                                     Duration Time) {
    std::vector<size_t> Jobs;
    for (SteadyTime End = World.now() + For; World.now() < End;) {
      Jobs.push_back(submit(2, Time));
      World.run(Pause);
    }
    return Jobs;
  }

  /// Share of \p Jobs that were done and answered within \p Limit.
  double shareDoneWithin(const std::vector<size_t> &Jobs,
                         Duration Limit) const {
    size_t InTime = 0;
    for (size_t J : Jobs) {
      const CallerRecord &R = World.caller(J);
      InTime += R.Answer && R.Answer->Status == AnswerStatus::Done &&
                        R.Answered - R.Sent <= Limit
                    ? 1
                    : 0;
    }
    return static_cast<double>(InTime) / static_cast<double>(Jobs.size());
  }

  CellWorld World;
  std::vector<Address> Entries;
  size_t Count = 0;
};

} // namespace

// Guards against a backlog of late jobs causing the rejection of later jobs
// that could still end in time. Pattern: deadline-aware admission behind a
// backlog.
TEST_F(CellLoadTest, LateBacklogDoesNotDelayLaterJobs) {
  std::vector<size_t> Burst;
  Burst.reserve(300);
  for (int I = 0; I < 300; ++I)
    Burst.push_back(submit(2, milliseconds(150)));
  World.run(milliseconds(100));
  // Capacity for 32 tasks serves 213 tasks of 150 ms a second; 133 are
  // submitted.
  std::vector<size_t> Later =
      submitSteadily(seconds(2), milliseconds(15), milliseconds(150));
  World.run(seconds(3));
  EXPECT_GE(shareDoneWithin(Later, milliseconds(300)), 0.8);
}

// Guards against slow recovery after all processes have ended: jobs come before
// the cells have senders, are late by the time they do, and must not delay
// later ones.
TEST_F(CellLoadTest, RecoversAfterAllProcessesRestart) {
  for (const Address &E : Entries)
    World.kill(E);
  World.run(milliseconds(800));
  for (const Address &E : Entries)
    World.restart(E);
  World.run(milliseconds(20));
  submitSteadily(milliseconds(400), milliseconds(3), milliseconds(150));
  std::vector<size_t> Later =
      submitSteadily(seconds(2), milliseconds(15), milliseconds(150));
  World.run(seconds(3));
  EXPECT_GE(shareDoneWithin(Later, milliseconds(300)), 0.85);
}

// Guards against rejecting a job only after it has waited for most of its time.
// Pattern: early rejection.
TEST_F(CellLoadTest, RejectsEarlyUnderOverload) {
  std::vector<size_t> Jobs =
      submitSteadily(seconds(3), milliseconds(4), milliseconds(150));
  World.run(seconds(3));
  size_t Rejected = 0;
  size_t Late = 0;
  for (size_t J : Jobs) {
    const CallerRecord &R = World.caller(J);
    if (!R.Answer || R.Answer->Status != AnswerStatus::NotRun)
      continue;
    ++Rejected;
    // A quarter of the objective of 300 ms.
    Late += R.Answered - R.Sent > milliseconds(75) ? 1 : 0;
  }
  EXPECT_GT(Rejected, Jobs.size() / 4);
  EXPECT_LE(Late, Rejected / 10) << Rejected;
}

// Guards against losing throughput under overload: the admitted jobs are served
// in time, at full capacity.
TEST_F(CellLoadTest, OverloadKeepsFullThroughput) {
  std::vector<size_t> Jobs =
      submitSteadily(seconds(3), milliseconds(4), milliseconds(150));
  World.run(seconds(3));
  // Capacity for 32 tasks serves 107 jobs of two tasks a second; 95 % of that
  // is required.
  double Served = shareDoneWithin(Jobs, milliseconds(900)) *
                  static_cast<double>(Jobs.size());
  EXPECT_GE(Served, 0.95 * 107 * 3);
}

// Guards against starting tasks on a slow upstream while the fast one is busy
// for a moment only, so that they end later. Pattern: earliest-finish
// scheduling.
TEST(CellSpeedTest, TasksWaitForFastUpstreamThatIsSoonFree) {
  CellWorld World;
  for (int I = 0; I < 5; ++I)
    World.addUpstream(
        {"u" + std::to_string(I), "centre-a", 64000, I == 0 ? 3.0 : 1.0});
  Address Entry = World.addInstance("i", "centre-a");
  World.run(seconds(2));
  size_t Count = 0;
  auto SubmitEvenly = [&](Duration Pause, Duration For) {
    std::vector<size_t> Jobs;
    for (SteadyTime End = World.now() + For; World.now() < End;) {
      Jobs.push_back(World.submit(Entry, "job-" + std::to_string(++Count), 1,
                                  milliseconds(300)));
      World.run(Pause);
    }
    return Jobs;
  };
  // The speeds are learned while all upstreams are in use.
  SubmitEvenly(milliseconds(20), seconds(1));
  World.run(seconds(2));
  // The fast upstream serves two tasks in 100 ms; three come at once.
  std::vector<size_t> Jobs;
  for (int I = 0; I < 20; ++I) {
    for (size_t J : SubmitEvenly(milliseconds(1), milliseconds(3)))
      Jobs.push_back(J);
    World.run(milliseconds(227));
  }
  // A burst that it can't serve in time goes to the others as well.
  std::vector<size_t> Burst = SubmitEvenly(milliseconds(5), milliseconds(50));
  World.run(seconds(2));
  size_t Fast = 0;
  for (size_t J : Jobs) {
    const CallerRecord &R = World.caller(J);
    ASSERT_TRUE(R.Answer && R.Answer->Status == AnswerStatus::Done);
    Fast += R.Answered - R.Sent < milliseconds(250) ? 1 : 0;
  }
  EXPECT_GE(Fast, Jobs.size() * 9 / 10) << Jobs.size();
  for (size_t J : Burst)
    EXPECT_LE(World.caller(J).Answered - World.caller(J).Sent,
              milliseconds(400));
}
