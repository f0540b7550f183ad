/// \file Shutdowns that coincide with other faults, and answers that are lost,
/// on a fake clock.
#include "sender/upstream_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Longest time between two reads of the upstreams by a sender, with a margin
// for the answer.
constexpr Duration ReadPeriod = milliseconds(1100);

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

  /// Shuts the sender down while its only job, of 120 tasks, runs on all
  /// upstreams for four more seconds. The next sender has claimed the cells on
  /// return.
  void shutDownDuringALongJob(Duration TaskTime = milliseconds(300)) {
    LongJob = World.submit(Second, "long", 120, TaskTime, seconds(20));
    World.run(milliseconds(200));
    World.shutDown(Strong);
    World.run(milliseconds(400));
    ASSERT_EQ(World.senders(), std::vector<Address>{First});
    ASSERT_EQ(World.state(Strong).Sender.Jobs.size(), 1U);
  }
  /// Returns the number of runs that began on \p Id at \p From or later.
  size_t startsOn(const UpstreamId &Id, SteadyTime From) const {
    size_t Count = 0;
    for (const RunRecord &R : World.runs())
      Count += R.Upstream == Id && R.Started >= From ? 1 : 0;
    return Count;
  }
  /// Checks that the first upstream gets no starts from now on while the others
  /// do, and that the long job is done.
  void expectStartsOnlyOnTheOthers() {
    SteadyTime From = World.now();
    World.run(seconds(5));
    EXPECT_EQ(startsOn({"up-1"}, From), 0U);
    for (const char *Other : {"up-2", "up-3", "up-4"})
      EXPECT_GT(startsOn({Other}, From), 5U) << Other;
    EXPECT_TRUE(ended(LongJob, AnswerStatus::Done));
    EXPECT_TRUE(World.overlappingRuns().empty());
  }

  CellWorld World;
  Address Strong, First, Second;
  size_t LongJob = 0;
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

// Guards against starts on an upstream that has begun to drain after the sender
// has released its cell: the sender goes on using it in its shutdown.
TEST_F(CellShutdown, UpstreamThatDrainsDuringTheShutdownGetsNoStarts) {
  shutDownDuringALongJob();
  World.setDraining({"up-1"});
  World.run(ReadPeriod);
  expectStartsOnlyOnTheOthers();
}

// As above, with an upstream that has left the list, or whose record can't be
// read, which looks the same.
TEST_F(CellShutdown, UpstreamThatIsUnlistedDuringTheShutdownGetsNoStarts) {
  shutDownDuringALongJob();
  World.setListed({"up-1"}, false);
  World.run(ReadPeriod);
  expectStartsOnlyOnTheOthers();
}

// As above, with an upstream that serves another service now.
TEST_F(CellShutdown, UpstreamOfAnotherServiceGetsNoStartsDuringTheShutdown) {
  shutDownDuringALongJob();
  World.record({"up-1"}).Service = {"other"};
  World.run(ReadPeriod);
  expectStartsOnlyOnTheOthers();
}

// Guards against overloads of an upstream that has less capacity since the
// sender has released its cell.
TEST_F(CellShutdown, UpstreamThatShrinksDuringTheShutdownIsNotOverloaded) {
  shutDownDuringALongJob();
  World.setCapacity({"up-1"}, 30000);
  World.run(ReadPeriod);
  SteadyTime From = World.now();
  World.run(seconds(5));
  for (const RunRecord &R : World.overloads())
    EXPECT_LT(R.Started, From) << runText(R.Key);
  EXPECT_GT(startsOn({"up-1"}, From), 3U);
  EXPECT_TRUE(ended(LongJob, AnswerStatus::Done));
}

// Guards against a departure that was announced during the shutdown and counts
// as a crash, for which the tasks on the upstream would be suspected.
TEST_F(CellShutdown, AnnouncedDepartureDuringTheShutdownIsNoCrash) {
  shutDownDuringALongJob(seconds(4));
  World.setDraining({"up-1"});
  World.run(seconds(2));
  World.crashUpstream({"up-1"}, seconds(10));
  World.run(milliseconds(500));
  EXPECT_EQ(World.state(Strong).Sender.Counts.UpstreamCrashes, 0U);
}

// Guards against a sender that keeps the former record of an upstream in use
// after it has released its cell: its address, kind, capacity and process.
TEST_F(CellShutdown, UpstreamInUseFollowsItsRecordAfterTheRelease) {
  shutDownDuringALongJob();
  FleetInstance State = World.state(Strong);
  ASSERT_TRUE(State.Cells.Claims.empty());
  SenderUpstream &U = State.Sender.Upstreams.at({"up-1"});
  ASSERT_FALSE(U.Runs.empty());
  SenderUpstream Before = U;
  UpstreamRecord Record = U.Record;
  Record.Endpoint = {"10.1.0.99:8000"};
  Record.StartedAt += 1;
  Record.Kind = "other";
  Record.Capacity.CpuMillis -= 1000;
  UpstreamRecord Unknown = Record;
  Unknown.Id = {"up-9"};
  InstanceEffects Out;
  applyUpstreams(State.Sender, {Record, Unknown}, State.Cells.Claims, cellOf,
                 /*Complete=*/true, World.now(), Out);
  EXPECT_EQ(U.Record.Endpoint, Record.Endpoint);
  EXPECT_EQ(U.Record.Kind, "other");
  EXPECT_EQ(U.StartedAt, Record.StartedAt);
  EXPECT_EQ(U.Free.CpuMillis, Before.Free.CpuMillis - 1000);
  EXPECT_EQ(U.Phase, UpstreamPhase::Syncing);
  EXPECT_EQ(U.Token, Before.Token);
  EXPECT_EQ(U.UnlistedSince, SteadyTime{});
  EXPECT_NE(State.Sender.Upstreams.at({"up-2"}).UnlistedSince, SteadyTime{});
  // The upstreams of the released cells that it does not use are not its own.
  EXPECT_EQ(State.Sender.Upstreams.count({"up-9"}), 0U);
  // An upstream that the next sender has taken over stays with it.
  SenderUpstream &Taken = State.Sender.Upstreams.at({"up-3"});
  Taken.Phase = UpstreamPhase::Fenced;
  UpstreamRecord Restarted = Taken.Record;
  Restarted.StartedAt += 1;
  applyUpstreams(State.Sender, {Restarted}, State.Cells.Claims, cellOf,
                 /*Complete=*/true, World.now(), Out);
  EXPECT_EQ(Taken.Phase, UpstreamPhase::Fenced);
  // In another data centre, it belongs to a cell that was never its own.
  Record.Centre = {"centre-b"};
  applyUpstreams(State.Sender, {Record}, State.Cells.Claims, cellOf,
                 /*Complete=*/true, World.now(), Out);
  EXPECT_NE(U.UnlistedSince, SteadyTime{});
}

// Guards against a list that is not read while the upstreams in it are used,
// and against priced reads by a process that uses none any more.
TEST_F(CellShutdown, ListIsReadAsLongAsUpstreamsAreUsed) {
  shutDownDuringALongJob();
  size_t Before = World.upstreamReads(Strong);
  World.run(seconds(3));
  EXPECT_GE(World.upstreamReads(Strong), Before + 2);
  EXPECT_LE(World.upstreamReads(Strong), Before + 4);
  World.run(seconds(4));
  EXPECT_FALSE(World.isAlive(Strong));

  World.submit(Second, "short", 2, milliseconds(300));
  World.run(milliseconds(100));
  World.shutDown(First);
  World.run(milliseconds(500));
  ASSERT_TRUE(World.state(First).Sender.Jobs.empty());
  Before = World.upstreamReads(First);
  World.run(milliseconds(1900));
  ASSERT_TRUE(World.isAlive(First));
  EXPECT_EQ(World.upstreamReads(First), Before);
}

// Guards against an instance in shutdown that goes on accepting jobs by an
// older configuration: the watch does not depend on its role.
TEST_F(CellShutdown, ConfigurationIsAppliedDuringTheShutdown) {
  shutDownDuringALongJob();
  FleetConfiguration Next;
  Next.Version = 2;
  World.setConfiguration(Next);
  World.run(milliseconds(600));
  ASSERT_TRUE(World.isAlive(Strong));
  EXPECT_EQ(World.state(Strong).Directory.Configuration->Version, 2U);
  EXPECT_TRUE(World.state(Strong).Directory.Configuration->Routes.empty());
}
