/// \file Jobs that are submitted again after their outcome became unknown and
/// are rejected then, on a fake clock.
#include "entry/entry_cmd.h"
#include "entry/started_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Three instances and four upstreams of one data centre, each with capacity
/// for two tasks; "strong" is the sender, and "first" succeeds it.
class CellResubmission : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 1; I <= 4; ++I)
      Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
    Strong = World.addInstance("strong", "centre-a", 0.6);
    First = World.addInstance("first", "centre-a", 0.3);
    Second = World.addInstance("second", "centre-a", 0.2);
    World.run(seconds(3));
    ASSERT_EQ(World.senders(), std::vector<Address>{Strong});
  }

  size_t submit(const Address &Entry, const std::string &Job = "a") {
    return World.submit(Entry, Job, 2, milliseconds(300));
  }
  /// Submits the job "a", whose caller closes its connection once its tasks
  /// have started.
  void loseStartedJob(const Address &Entry) {
    size_t Caller = submit(Entry);
    World.run(milliseconds(50));
    World.disconnectCaller(Caller);
    World.run(milliseconds(200));
    ASSERT_EQ(startsOf("a"), 2U);
  }
  /// Fills all upstreams for 3 s, and has so many jobs wait that \p Sender
  /// rejects further ones like them at once.
  void fillUpstreams(const Address &Sender) {
    for (int I = 0; I < 4; ++I)
      World.submit(Sender, "filler-" + std::to_string(Fillers++), 2, seconds(3),
                   seconds(20));
    for (int I = 0; I < 12; ++I)
      submit(Sender, "filler-" + std::to_string(Fillers++));
    World.run(milliseconds(20));
  }

  uint64_t rejectionsBy(const Address &Sender) const {
    return World.state(Sender).Sender.Counts.JobsRejected;
  }
  bool ended(size_t Caller, AnswerStatus Status) const {
    const auto &Answer = World.caller(Caller).Answer;
    return Answer && Answer->Status == Status;
  }
  size_t startsOf(const std::string &Job) const {
    size_t Count = 0;
    for (const RunRecord &R : World.runs())
      Count += R.Key.Job.Value == Job ? 1 : 0;
    return Count;
  }
  /// Checks that a rejection of "a" was answered as lost, with no start since
  /// the first two.
  void expectRejectedAsLost(size_t Caller) const {
    ASSERT_TRUE(World.caller(Caller).Answer);
    EXPECT_STREQ(answerStatusName(World.caller(Caller).Answer->Status),
                 answerStatusName(AnswerStatus::Lost));
    EXPECT_EQ(startsOf("a"), 2U);
  }

  CellWorld World;
  Address Strong, First, Second;
  std::vector<UpstreamId> Upstreams;
  int Fillers = 0;
};

} // namespace

// Guards against a job answered as not run by another entry, though its sender
// has started tasks of it for an earlier submission.
TEST_F(CellResubmission, SenderThatStartedTheJobRejectsItAsLost) {
  loseStartedJob(First);
  fillUpstreams(Strong);
  uint64_t Rejected = rejectionsBy(Strong);
  size_t Again = submit(Second);
  World.run(milliseconds(5));
  expectRejectedAsLost(Again);
  EXPECT_EQ(rejectionsBy(Strong), Rejected + 1);
}

// As above, while the sender's retained result is renewed by submissions only:
// the last one comes later than `ResultRetention` after the job was lost.
TEST_F(CellResubmission, RepeatedRejectionsStayLost) {
  loseStartedJob(Strong);
  for (const Address &Entry : {First, Second}) {
    World.run(seconds(4));
    fillUpstreams(Strong);
    size_t Again = submit(Entry);
    World.run(milliseconds(5));
    expectRejectedAsLost(Again);
    World.run(seconds(2));
  }
}

// Guards against the statement that a job has not run after its second
// submission was admitted and waited at its sender in vain.
TEST_F(CellResubmission, JobThatWaitsInVainIsLostIfItHadStarted) {
  loseStartedJob(First);
  for (const UpstreamId &Id : Upstreams)
    World.faults(Id).Stalls = true;
  for (int I = 0; I < 4; ++I)
    World.submit(Strong, "filler-" + std::to_string(I), 2, milliseconds(100),
                 seconds(20));
  World.run(milliseconds(20));
  size_t Again = World.submit(Second, "a", 2, milliseconds(100));
  World.run(milliseconds(50));
  ASSERT_EQ(World.state(Strong).Sender.Jobs.count({"a"}), 1U);
  ASSERT_FALSE(World.caller(Again).Answer);
  World.run(milliseconds(800));
  expectRejectedAsLost(Again);
}

// Guards against the statement that a job has not run by an instance that is
// told so by its next sender, while the first one, which returned the job on
// its shutdown, had started tasks of it.
TEST_F(CellResubmission, JobReturnedByALeavingSenderIsLostIfItHadStarted) {
  loseStartedJob(Strong);
  fillUpstreams(Strong);
  size_t Again = World.submit(Second, "a", 2, seconds(2), seconds(10));
  World.run(milliseconds(20));
  ASSERT_EQ(World.state(Strong).Sender.Jobs.count({"a"}), 1U);
  ASSERT_FALSE(World.caller(Again).Answer);
  World.setStoreUp(false);
  for (const UpstreamId &Id : Upstreams)
    World.faults(Id).Unreachable = true;
  World.shutDown(Strong);
  World.run(seconds(9));
  expectRejectedAsLost(Again);
}

// Guards against jobs that a leaving sender no longer returns for another
// sender because it has started them before.
TEST_F(CellResubmission, LeavingSenderReturnsAJobThatHadStarted) {
  loseStartedJob(First);
  World.shutDown(Strong);
  size_t Again = submit(Second);
  World.run(seconds(2));
  EXPECT_TRUE(ended(Again, AnswerStatus::Done));
  EXPECT_TRUE(World.overlappingRuns().empty());
}

// Guards against a job answered as not run by the entry that forwarded it
// before, after another sender has rejected it.
TEST_F(CellResubmission, EntryThatForwardedTheJobRejectsItAsLost) {
  size_t Caller = submit(Second);
  World.run(milliseconds(50));
  World.kill(Strong);
  World.run(CallerRetryPause);
  ASSERT_TRUE(ended(Caller, AnswerStatus::Lost));
  ASSERT_EQ(World.senders(), std::vector<Address>{First});
  fillUpstreams(First);
  uint64_t Rejected = rejectionsBy(First);
  size_t Again = submit(Second);
  World.run(milliseconds(5));
  expectRejectedAsLost(Again);
  EXPECT_EQ(rejectionsBy(First), Rejected + 1);
}

// As above, without an available sender.
TEST_F(CellResubmission, EntryWithoutASenderRejectsAForwardedJobAsLost) {
  size_t Caller = submit(Second);
  World.run(milliseconds(50));
  World.kill(Strong);
  World.kill(First);
  for (const UpstreamId &Id : Upstreams)
    World.faults(Id).Unreachable = true;
  World.run(milliseconds(20));
  ASSERT_TRUE(ended(Caller, AnswerStatus::Lost));
  ASSERT_TRUE(World.senders().empty());
  size_t Again = World.submit(Second, "a", 2, milliseconds(10));
  World.run(milliseconds(300));
  expectRejectedAsLost(Again);
}

// As above, after the first caller closed its connection.
TEST_F(CellResubmission, EntryRemembersJobsOfDisconnectedCallers) {
  loseStartedJob(Second);
  World.kill(Strong);
  size_t Again = World.submit(Second, "a", 2, milliseconds(10));
  World.run(milliseconds(200));
  expectRejectedAsLost(Again);
}

// As above, for a job that was done, the answer of which its caller missed.
TEST_F(CellResubmission, EntryThatAnsweredTheJobRejectsItAsLost) {
  size_t Caller = submit(Second);
  World.run(milliseconds(500));
  ASSERT_TRUE(ended(Caller, AnswerStatus::Done));
  World.kill(Strong);
  size_t Again = World.submit(Second, "a", 2, milliseconds(10));
  World.run(milliseconds(200));
  expectRejectedAsLost(Again);
}

// As above, late in a shutdown, when new jobs are no longer forwarded.
TEST_F(CellResubmission, EntryLateInAShutdownRejectsAForwardedJobAsLost) {
  loseStartedJob(Second);
  // An open job keeps the process from ending.
  World.submit(Second, "long", 1, seconds(4), seconds(9));
  World.shutDown(Second);
  World.run(milliseconds(2550));
  ASSERT_TRUE(World.isAlive(Second));
  size_t Again = submit(Second);
  size_t Other = submit(Second, "b");
  World.run(milliseconds(50));
  expectRejectedAsLost(Again);
  EXPECT_TRUE(ended(Other, AnswerStatus::NotRun));
}

// Guards against an open job that is answered as not run when it is submitted
// again late in a shutdown of its entry.
TEST_F(CellResubmission, OpenJobIsNotRejectedLateInAShutdown) {
  World.submit(Second, "a", 2, seconds(4), seconds(9));
  World.shutDown(Second);
  World.run(milliseconds(2550));
  size_t Again = World.submit(Second, "a", 2, seconds(4), seconds(9));
  World.run(seconds(3));
  EXPECT_TRUE(ended(Again, AnswerStatus::Done));
  EXPECT_EQ(startsOf("a"), 2U);
}

// Guards against rejections that don't say that a job has not run although the
// sender knows so: the job had waited when its caller disconnected.
TEST_F(CellResubmission, JobThatHadOnlyWaitedIsRejectedAsNotRun) {
  fillUpstreams(Strong);
  size_t Caller = World.submit(First, "a", 2, seconds(2), seconds(10));
  World.run(milliseconds(50));
  ASSERT_EQ(World.state(Strong).Sender.Jobs.count({"a"}), 1U);
  World.disconnectCaller(Caller);
  World.run(milliseconds(5));
  for (int I = 0; I < 2; ++I) {
    uint64_t Rejected = rejectionsBy(Strong);
    size_t Again = submit(Second);
    World.run(milliseconds(5));
    EXPECT_TRUE(ended(Again, AnswerStatus::NotRun));
    EXPECT_EQ(rejectionsBy(Strong), Rejected + 1);
  }
  EXPECT_EQ(startsOf("a"), 0U);
}

// Guards against unbounded memory for ended jobs, and against records of later
// jobs that are removed with those of earlier ones.
TEST(StartedJobsTest, NumberAndAgeAreLimited) {
  StartedJobs Record;
  SteadyTime Now{std::chrono::hours(1)};
  for (int I = 0; I < 20000; ++I)
    recordStartedJob(Record, {"job-" + std::to_string(I)}, Now);
  EXPECT_LE(Record.Jobs.size(), 4096U);
  EXPECT_EQ(Record.Jobs.size(), Record.Order.size());
  EXPECT_FALSE(mayHaveStarted(Record, {"job-0"}, Now));
  EXPECT_TRUE(mayHaveStarted(Record, {"job-19999"}, Now));
  // A job that is recorded again stays as long as a new one.
  Now += seconds(20);
  recordStartedJob(Record, {"job-19999"}, Now);
  Now += seconds(20);
  EXPECT_FALSE(mayHaveStarted(Record, {"job-19998"}, Now));
  recordStartedJob(Record, {"other"}, Now);
  EXPECT_EQ(Record.Jobs.size(), 2U);
  EXPECT_TRUE(mayHaveStarted(Record, {"job-19999"}, Now));
}

// Guards against a submission that is rejected unread with the statement that
// the job has not run, though an earlier submission of it has started tasks.
TEST(UnreadRejection, JobThatMayHaveRunIsNotAnsweredAsNotRun) {
  CellWorld World;
  World.addUpstream({"up-1"});
  Address Entry = World.addInstance("entry", "centre-a");
  World.run(seconds(1));
  World.submit(Entry, "done", 1, milliseconds(10));
  World.run(seconds(1));
  World.submit(Entry, "open", 1, milliseconds(500));
  World.run(milliseconds(50));
  const EntryState &State = World.state(Entry).Entry;
  for (const char *Job : {"done", "open"})
    EXPECT_EQ(unreadRejection(State, {Job}, World.now()), AnswerStatus::Lost)
        << Job;
  EXPECT_EQ(unreadRejection(State, {"new"}, World.now()), AnswerStatus::NotRun);
}
