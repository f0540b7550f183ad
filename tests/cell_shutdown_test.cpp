/// \file Shutdowns that coincide with other faults, and answers that are lost,
/// on a fake clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Three instances and four upstreams of one data centre; "strong" is the
/// sender, and "first" succeeds it.
class CellShutdown : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 1; I <= 4; ++I)
      World.addUpstream({"up-" + std::to_string(I)});
    Strong = World.addInstance("strong", "centre-a", 0.6);
    First = World.addInstance("first", "centre-a", 0.3);
    Second = World.addInstance("second", "centre-a", 0.2);
    World.run(seconds(3));
    ASSERT_EQ(World.senders(), std::vector<Address>{Strong});
  }

  /// Submits a job of two tasks each 60 ms, and calls \p Fault after the
  /// sixteenth.
  template <typename F>
  void submitJobs(const std::vector<Address> &Entries, F Fault) {
    for (int I = 0; I < 40; ++I) {
      Jobs.push_back(World.submit(Entries[I % Entries.size()],
                                  "job-" + std::to_string(I), 2,
                                  milliseconds(200)));
      if (I == 15)
        Fault();
      World.run(milliseconds(60));
    }
    World.run(seconds(7));
  }

  bool ended(size_t Caller, AnswerStatus Status) const {
    const auto &Answer = World.caller(Caller).Answer;
    return Answer && Answer->Status == Status;
  }
  size_t runsOf(const std::string &Job) const {
    size_t Count = 0;
    for (const RunRecord &R : World.runs())
      Count += R.Key.Job.Value == Job ? 1 : 0;
    return Count;
  }
  /// Checks that all jobs are done, each task by one run.
  void expectAllDoneByOneRun() const {
    for (size_t J : Jobs) {
      EXPECT_TRUE(ended(J, AnswerStatus::Done)) << J;
      EXPECT_EQ(runsOf("job-" + std::to_string(J)), 2U) << J;
    }
    for (const RunRecord &R : World.runs())
      EXPECT_TRUE(R.Done) << runText(R.Key);
    EXPECT_TRUE(World.overlappingRuns().empty());
  }
  /// Checks that no job that was rejected has run, and that no runs overlap.
  void expectTrueAnswers() const {
    for (size_t J : Jobs) {
      EXPECT_TRUE(World.caller(J).Answer) << J;
      if (ended(J, AnswerStatus::NotRun)) {
        EXPECT_EQ(runsOf("job-" + std::to_string(J)), 0U) << J;
      }
    }
    EXPECT_TRUE(World.overlappingRuns().empty());
  }

  CellWorld World;
  Address Strong, First, Second;
  std::vector<size_t> Jobs;
};

} // namespace

// Guards against jobs lost between two instances that shut down at once: the
// sender hands its waiting jobs to a successor that leaves as well.
TEST_F(CellShutdown, SenderAndItsSuccessorShutDownAtOnce) {
  submitJobs({Second}, [this] {
    World.shutDown(Strong);
    World.shutDown(First);
  });
  expectAllDoneByOneRun();
  EXPECT_FALSE(World.isAlive(Strong));
  EXPECT_FALSE(World.isAlive(First));
}

// As above, but the successor leaves once it has claimed the cells and uses
// upstreams.
TEST_F(CellShutdown, SuccessorShutsDownAfterItHasTakenOver) {
  submitJobs({Second}, [this] {
    World.shutDown(Strong);
    World.run(milliseconds(300));
    World.shutDown(First);
  });
  expectAllDoneByOneRun();
}

// Guards against a hand-over that waits for the store: the successor can't read
// the list of upstreams again.
TEST_F(CellShutdown, SenderShutsDownWhileTheStoreIsDown) {
  submitJobs({First, Second}, [this] {
    World.setStoreUp(false);
    World.shutDown(Strong);
  });
  expectAllDoneByOneRun();
  EXPECT_FALSE(World.isAlive(Strong));
}

// Guards against two senders of an upstream: the draining sender is cut off
// from its successor, which then can't see which upstreams are still in use.
TEST_F(CellShutdown, SenderShutsDownWhileItIsCutOff) {
  submitJobs({First, Second}, [this] {
    World.cut({Strong});
    World.shutDown(Strong);
    World.run(milliseconds(700));
    World.heal();
  });
  expectTrueAnswers();
}

// As above, with messages that arrive after the cut, and a shutdown that begins
// before it.
TEST_F(CellShutdown, DrainingSenderIsCutOffAndItsMessagesArriveLate) {
  World.setCutsDelayMessages(true);
  submitJobs({First, Second}, [this] {
    World.shutDown(Strong);
    World.run(milliseconds(50));
    World.cut({Strong});
    World.run(milliseconds(1500));
    World.heal();
  });
  expectTrueAnswers();
}

// Guards against a second run of a job, or the statement that it has not run,
// after the sender's answer to its entry was lost.
TEST_F(CellShutdown, JobWhoseAnswerWasLostIsNotRunAgain) {
  size_t A = World.submit(First, "a", 2, milliseconds(300));
  World.run(milliseconds(250));
  World.cut({First});
  World.run(milliseconds(1500));
  ASSERT_TRUE(ended(A, AnswerStatus::Lost));
  World.heal();
  size_t Again = World.submit(Second, "a", 2, milliseconds(300));
  World.run(seconds(1));
  EXPECT_TRUE(ended(Again, AnswerStatus::Done));
  EXPECT_EQ(runsOf("a"), 2U);
}

// Guards against runs that overlap those of the first sender, whose process is
// paused with the job and resumes while the job runs elsewhere.
TEST_F(CellShutdown, PausedSenderThatIsToShutDownStartsNothing) {
  World.submit(Second, "a", 4, milliseconds(2500), seconds(6));
  World.run(milliseconds(100));
  World.freeze(Strong);
  World.shutDown(Strong);
  World.run(milliseconds(2400));
  size_t Again = World.submit(First, "a", 4, milliseconds(300), seconds(5));
  World.run(milliseconds(50));
  World.thaw(Strong);
  World.run(seconds(4));
  EXPECT_TRUE(ended(Again, AnswerStatus::Done));
  EXPECT_TRUE(World.overlappingRuns().empty());
}

// Guards against a caller without an answer: its job outlasts the grace period
// of its entry, which may be the sender too. It gets a clear failure, and the
// sender stops the job.
TEST_F(CellShutdown, JobThatOutlastsItsEntryIsAnsweredAsLost) {
  size_t A = World.submit(Second, "a", 2, seconds(15), seconds(20));
  size_t B = World.submit(Strong, "b", 2, seconds(15), seconds(20));
  World.run(milliseconds(300));
  ASSERT_EQ(runsOf("a") + runsOf("b"), 4U);
  World.shutDown(Second);
  World.run(milliseconds(5500));
  EXPECT_FALSE(World.caller(A).Answer);
  World.run(milliseconds(400));
  EXPECT_FALSE(World.isAlive(Second));
  EXPECT_TRUE(ended(A, AnswerStatus::Lost));
  for (const RunRecord &R : World.runs())
    if (R.Key.Job.Value == "a") {
      EXPECT_LE(R.Ended, World.now());
    }
  World.shutDown(Strong);
  World.run(seconds(6));
  EXPECT_FALSE(World.isAlive(Strong));
  EXPECT_TRUE(ended(B, AnswerStatus::Lost));
}
