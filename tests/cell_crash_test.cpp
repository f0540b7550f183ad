/// \file Tasks that crash the upstreams on which they run, on a fake clock.
#include "sender/admission_cmd.h"
#include "sender/crash_cmd.h"
#include "sender/sender_table.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Three instances and six upstreams of one data centre; "strong" is the
/// sender.
class CellCrashTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 1; I <= 6; ++I)
      Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
    Strong = World.addInstance("strong", "centre-a", 0.6);
    First = World.addInstance("first", "centre-a", 0.2);
    Second = World.addInstance("second", "centre-a", 0.2);
    World.run(seconds(2));
  }

  bool ended(size_t Caller, AnswerStatus Status) const {
    const auto &Answer = World.caller(Caller).Answer;
    return Answer && Answer->Status == Status;
  }
  Duration waited(size_t Caller) const {
    return World.caller(Caller).Answered - World.caller(Caller).Sent;
  }
  size_t runsOf(const std::string &Job, uint32_t Index) const {
    size_t Count = 0;
    for (const RunRecord &R : World.runs())
      Count += R.Key.Job.Value == Job && R.Key.Index == Index ? 1 : 0;
    return Count;
  }
  /// Upstreams on which \p Job was started.
  std::set<UpstreamId> upstreamsOf(const std::string &Job) const {
    std::set<UpstreamId> Found;
    for (const RunRecord &R : World.runs())
      if (R.Key.Job.Value == Job)
        Found.insert(R.Upstream);
    return Found;
  }
  void expectNoOverlap() const {
    std::vector<std::string> Found = World.overlappingRuns();
    EXPECT_TRUE(Found.empty()) << Found.front();
  }

  CellWorld World;
  Address Strong, First, Second;
  std::vector<UpstreamId> Upstreams;
};

} // namespace

// Guards against a task that crashes upstream after upstream until the deadline
// of its caller.
TEST_F(CellCrashTest, JobIsGivenUpAfterTwoCrashesUnderATask) {
  World.setCrashing("a", 0);
  size_t A = World.submit(First, "a", 1, milliseconds(100), seconds(5));
  World.run(seconds(6));
  EXPECT_TRUE(ended(A, AnswerStatus::Lost));
  EXPECT_LT(waited(A), seconds(2));
  EXPECT_EQ(runsOf("a", 0), 2U);
  EXPECT_EQ(World.crashes(), 2U);
  // Both upstreams are back. No task has failed, so the job is not failed.
  size_t Again = World.submit(First, "a", 1, milliseconds(100), seconds(5));
  World.run(milliseconds(50));
  EXPECT_TRUE(ended(Again, AnswerStatus::Lost));
  EXPECT_EQ(runsOf("a", 0), 2U);
}

// Guards against blame on the tasks that ran beside the one that crashed their
// upstream, of the same job and of others.
TEST_F(CellCrashTest, TasksBesideTheCrashingOneSucceed) {
  World.setCrashing("a", 3);
  size_t A = World.submit(First, "a", 8, milliseconds(100), seconds(5));
  std::vector<size_t> Others;
  Others.reserve(4);
  for (int I = 0; I < 4; ++I)
    Others.push_back(World.submit(First, "other-" + std::to_string(I), 1,
                                  milliseconds(300), seconds(5)));
  World.run(seconds(6));
  EXPECT_TRUE(ended(A, AnswerStatus::Lost));
  EXPECT_EQ(runsOf("a", 3), 2U);
  EXPECT_EQ(World.crashes(), 2U);
  for (size_t J : Others)
    EXPECT_TRUE(ended(J, AnswerStatus::Done)) << J;
  expectNoOverlap();
}

// Guards against a second crash that takes other runs with it, and against a
// suspected task that waits forever while all upstreams are busy.
TEST_F(CellCrashTest, SuspectedTaskIsStartedAloneUnderLoad) {
  World.setCrashing("a", 0);
  size_t A = World.submit(First, "a", 1, milliseconds(100), seconds(5));
  for (int I = 0; I < 800; ++I) {
    World.submit(First, "load-" + std::to_string(I), 1, milliseconds(100));
    World.run(milliseconds(7));
  }
  EXPECT_TRUE(ended(A, AnswerStatus::Lost));
  EXPECT_LT(waited(A), seconds(3));
  EXPECT_EQ(World.crashes(), 2U);
  ASSERT_EQ(runsOf("a", 0), 2U);
  const RunRecord *Last = nullptr;
  for (const RunRecord &R : World.runs())
    if (R.Key.Job.Value == "a")
      Last = &R;
  for (const RunRecord &R : World.runs())
    if (&R != Last && R.Upstream == Last->Upstream) {
      EXPECT_TRUE(R.Ended <= Last->Started || R.Started >= Last->Ended)
          << runText(R.Key);
    }
}

// Guards against crashes that are forgotten when a job is lost and its caller
// submits it again at another instance.
TEST_F(CellCrashTest, CrashesCountOverSubmissions) {
  World.setCrashing("a", 0);
  size_t A = World.submit(First, "a", 1, milliseconds(100), milliseconds(900));
  World.run(CallerRetryPause + milliseconds(900));
  EXPECT_TRUE(ended(A, AnswerStatus::Expired));
  size_t Again = World.submit(Second, "a", 1, milliseconds(100), seconds(5));
  World.run(seconds(1));
  EXPECT_TRUE(ended(Again, AnswerStatus::Lost));
  EXPECT_EQ(World.crashes(), 2U);
  size_t Third = World.submit(First, "a", 1, milliseconds(100), seconds(5));
  World.run(milliseconds(50));
  EXPECT_TRUE(ended(Third, AnswerStatus::Lost));
  // The result is no longer retained.
  World.run(ResultRetention + seconds(1));
  size_t Fourth = World.submit(Second, "a", 1, milliseconds(100), seconds(5));
  World.run(seconds(1));
  EXPECT_TRUE(ended(Fourth, AnswerStatus::Lost));
  EXPECT_EQ(World.crashes(), 2U);
}

// Guards against crashes that are forgotten with the sender.
TEST_F(CellCrashTest, EntryPassesCrashesToTheNextSender) {
  World.setCrashing("a", 0);
  size_t A = World.submit(First, "a", 1, milliseconds(100), milliseconds(900));
  World.run(milliseconds(1200));
  EXPECT_TRUE(ended(A, AnswerStatus::Expired));
  World.kill(Strong);
  World.run(seconds(2));
  size_t Again = World.submit(First, "a", 1, milliseconds(100), seconds(5));
  World.run(seconds(2));
  EXPECT_TRUE(ended(Again, AnswerStatus::Lost));
  EXPECT_LT(waited(Again), seconds(2));
  EXPECT_EQ(World.crashes(), 2U);
}

// Guards against a crash that is missed because the upstream is silent until it
// is back.
TEST_F(CellCrashTest, CrashWithoutRefusedConnectionsCountsOnceItIsBack) {
  World.submit(First, "a", 1, milliseconds(4000), seconds(8));
  World.run(milliseconds(100));
  ASSERT_EQ(upstreamsOf("a").size(), 1U);
  UpstreamId Lost = *upstreamsOf("a").begin();
  World.faults(Lost).Unreachable = true;
  World.run(milliseconds(1500));
  EXPECT_EQ(crashesOf(World.state(Strong).Sender.Crashes, {"a"}, 0), 0U);
  World.restartUpstream(Lost);
  World.faults(Lost).Unreachable = false;
  World.run(seconds(3));
  EXPECT_EQ(crashesOf(World.state(Strong).Sender.Crashes, {"a"}, 0), 1U);
}

// Guards against blame on a task whose upstream was only cut off, or whose
// sender paused.
TEST_F(CellCrashTest, LapsedLeasesAreNoCrashes) {
  size_t A = World.submit(First, "a", 4, milliseconds(1500), seconds(9));
  World.run(milliseconds(100));
  for (const UpstreamId &U : upstreamsOf("a"))
    World.faults(U).Unreachable = true;
  World.run(seconds(2));
  for (const UpstreamId &U : Upstreams)
    World.faults(U).Unreachable = false;
  World.freeze(Strong);
  World.run(milliseconds(700));
  World.thaw(Strong);
  World.run(seconds(5));
  EXPECT_TRUE(ended(A, AnswerStatus::Done));
  EXPECT_TRUE(World.state(Strong).Sender.Crashes.Jobs.empty());
}

// Guards against a job that is shown as failed though one of the two starts
// that are counted got no answer and may never have begun.
TEST_F(CellCrashTest, UnansweredStartIsNoProofOfACrash) {
  size_t A = World.submit(First, "a", 1, milliseconds(3000), seconds(6));
  World.run(milliseconds(100));
  ASSERT_EQ(upstreamsOf("a").size(), 1U);
  UpstreamId One = *upstreamsOf("a").begin();
  for (const UpstreamId &U : Upstreams)
    if (!(U == One))
      World.faults(U).Unreachable = true;
  World.crashUpstream(One, seconds(20));
  // The lease of the first run expires, and the second start gets no answer.
  World.run(milliseconds(1250));
  for (const UpstreamId &U : Upstreams)
    if (!(U == One)) {
      World.faults(U).Unreachable = false;
      World.faults(U).Refuses = true;
    }
  World.run(milliseconds(300));
  for (const UpstreamId &U : Upstreams)
    World.faults(U).Refuses = false;
  World.run(seconds(5));
  EXPECT_EQ(runsOf("a", 0), 2U);
  EXPECT_TRUE(ended(A, AnswerStatus::Done));
}

// Guards against a job that is shown as failed though its runs had succeeded
// before their upstreams crashed, and only the reports of that were lost.
TEST_F(CellCrashTest, RunsWithLostReportsAreNotInProgress) {
  for (const UpstreamId &U : Upstreams)
    World.faults(U).LostRenewalShare = 1;
  size_t A = World.submit(First, "a", 1, milliseconds(100), seconds(5));
  for (int I = 0; I < 2; ++I) {
    World.run(milliseconds(200));
    EXPECT_TRUE(World.runs().back().Done);
    UpstreamId Last = World.runs().back().Upstream;
    World.crashUpstream(Last, seconds(20));
    World.faults(Last).LostRenewalShare = 0;
    World.run(milliseconds(1400));
  }
  World.run(seconds(4));
  EXPECT_FALSE(ended(A, AnswerStatus::Failed));
}

// Guards against crashes that are counted under runs whose lease had expired.
TEST_F(CellCrashTest, RunWhoseLeaseHadExpiredIsNoProofOfACrash) {
  size_t A = World.submit(First, "a", 1, milliseconds(2500), seconds(9));
  for (int I = 0; I < 2; ++I) {
    World.run(milliseconds(300));
    UpstreamId Last = World.runs().back().Upstream;
    World.faults(Last).Unreachable = true;
    World.run(milliseconds(1200));
    World.restartUpstream(Last);
    World.faults(Last).Unreachable = false;
  }
  World.run(seconds(6));
  EXPECT_TRUE(ended(A, AnswerStatus::Done));
}

// Guards against upstreams that count as crashed because they refuse
// connections for a moment, while their process and its runs go on.
TEST_F(CellCrashTest, RefusedConnectionsAloneAreNoProofOfACrash) {
  size_t A = World.submit(First, "a", 1, milliseconds(3000), seconds(9));
  World.run(milliseconds(300));
  for (int I = 0; I < 2; ++I) {
    UpstreamId Last = World.runs().back().Upstream;
    World.faults(Last).Refuses = true;
    World.run(milliseconds(1500));
    World.faults(Last).Refuses = false;
  }
  World.run(seconds(7));
  EXPECT_TRUE(ended(A, AnswerStatus::Done));
}

// Guards against upstreams that count as crashed because they have left while
// the store, which would have listed them as draining, did not answer.
TEST_F(CellCrashTest, DepartureWithoutTheStoreIsNoProofOfACrash) {
  World.setStoreUp(false);
  World.run(milliseconds(1500));
  size_t A = World.submit(First, "a", 1, milliseconds(900), seconds(9));
  for (int I = 0; I < 2; ++I) {
    World.run(milliseconds(300));
    World.crashUpstream(World.runs().back().Upstream, seconds(20));
    World.run(milliseconds(1200));
  }
  World.run(seconds(6));
  EXPECT_TRUE(ended(A, AnswerStatus::Done));
}

// Guards against a crash of an idle upstream that is counted under the runs of
// its next process.
TEST_F(CellCrashTest, RunsOfTheNextProcessAreNotSuspected) {
  for (const UpstreamId &U : Upstreams)
    World.restartUpstream(U);
  size_t A = World.submit(First, "a", 4, milliseconds(400), seconds(5));
  World.run(seconds(3));
  EXPECT_TRUE(ended(A, AnswerStatus::Done));
  EXPECT_TRUE(World.state(Strong).Sender.Crashes.Jobs.empty());
}

// Guards against the same while the store's list tells of the next process
// before that has reported.
TEST_F(CellCrashTest, RunsOfTheNextProcessAreNotSuspectedByTheList) {
  // The list is read each second, so some reads come before the first report.
  for (int I = 0; I < 40; ++I) {
    for (const UpstreamId &U : Upstreams)
      World.restartUpstream(U);
    World.submit(First, "a" + std::to_string(I), 4, milliseconds(150));
    World.run(milliseconds(730));
  }
  EXPECT_TRUE(World.state(Strong).Sender.Crashes.Jobs.empty());
}

// Guards against a task that crashes upstream after upstream because it does so
// before its start is answered.
TEST_F(CellCrashTest, TaskThatCrashesBeforeItsAnswerIsGivenUp) {
  World.setCrashing("a", 0, milliseconds(0));
  size_t A = World.submit(First, "a", 1, milliseconds(100), seconds(9));
  World.run(seconds(9));
  ASSERT_TRUE(World.caller(A).Answer);
  EXPECT_FALSE(ended(A, AnswerStatus::Done));
  EXPECT_LE(World.crashes(), 3U);
  for (int I = 0; I < 4; ++I) {
    World.submit(I % 2 == 0 ? Second : First, "a", 1, milliseconds(100));
    World.run(seconds(4));
  }
  EXPECT_LE(World.crashes(), 3U);
}

// Guards against one crash that counts twice, because two senders have seen it
// and their records meet at an entry instance.
TEST(CrashHistoryTest, OneCrashSeenByTwoSendersCountsOnce) {
  CrashHistory History;
  SteadyTime Now(std::chrono::hours(1));
  mergeCrashes(History, {"a"}, {{0, {"up-1"}, 7}}, Now);
  mergeCrashes(History, {"a"}, {{0, {"up-1"}, 7, CrashEvidence::InProgress}},
               Now);
  mergeCrashes(History, {"a"}, {{0, {"up-1"}, 7}}, Now);
  EXPECT_EQ(crashesOf(History, {"a"}, 0), 1U);
  EXPECT_EQ(crashesOf(History, {"a"}).front().Evidence,
            CrashEvidence::InProgress);
  mergeCrashes(History, {"a"}, {{0, {"up-1"}, 8}, {0, {"up-2"}, 7}}, Now);
  EXPECT_EQ(crashesOf(History, {"a"}, 0), 3U);
}

namespace {

/// An upstream with a run that was in progress when it ended, as its sender
/// sees it.
struct EndedUpstream {
  EndedUpstream() {
    State.UpstreamListRead = Now - milliseconds(100);
    U.Record.Id = {"up-1"};
    U.StartedAt = 7;
    U.RenewalLost = Now - milliseconds(10);
    U.LostRenewalWait = milliseconds(50);
    Run = &U.Runs[{{"a"}, 0, 0, 1}];
    Run->Key = {{"a"}, 0, 0, 1};
    Run->Phase = RunPhase::Running;
    Run->Ordered = Run->Accepted = Now - milliseconds(100);
  }
  CrashEvidence evidence(CrashSign Sign) {
    InstanceEffects Out;
    recordCrash(State, U, Sign, nullptr, Now, Out);
    return crashesOf(State.Crashes, {"a"}).at(0).Evidence;
  }

  SteadyTime Now{std::chrono::hours(1)};
  SenderState State;
  SenderUpstream U;
  SenderRun *Run = nullptr;
};

} // namespace

// Guards against evidence that is taken for stronger than it is: each condition
// of a run in progress counts.
TEST(CrashEvidenceTest, RunIsInProgressUnderAllConditionsOnly) {
  EXPECT_EQ(EndedUpstream().evidence(CrashSign::Refused),
            CrashEvidence::InProgress);
  EXPECT_EQ(EndedUpstream().evidence(CrashSign::OtherProcess),
            CrashEvidence::InProgress);
  std::vector<std::function<void(EndedUpstream &)>> Doubts = {
      [](EndedUpstream &E) { E.U.RenewalLost.reset(); },
      [](EndedUpstream &E) { E.U.RenewalLost = E.Now - milliseconds(90); },
      [](EndedUpstream &E) { E.U.LostRenewalWait = milliseconds(2); },
      [](EndedUpstream &E) { E.U.LostRenewalWait = milliseconds(250); },
      [](EndedUpstream &E) { E.Run->Phase = RunPhase::Unconfirmed; },
      [](EndedUpstream &E) { E.Run->StopRequested = true; },
      [](EndedUpstream &E) { E.Run->Accepted = E.Now - milliseconds(5); },
      [](EndedUpstream &E) { E.State.UpstreamListRead = E.Now - seconds(2); },
  };
  for (size_t I = 0; I < Doubts.size(); ++I) {
    EndedUpstream E;
    Doubts[I](E);
    EXPECT_EQ(E.evidence(CrashSign::Refused), CrashEvidence::Possible) << I;
  }
}

// Guards against an open job that fails at its second crash, because a later
// process shows at once that the one before has ended.
TEST(CrashEvidenceTest, CrashesSeenByTheNextProcessEndAJobAsLost) {
  EndedUpstream E;
  SenderJob &J = E.State.Jobs[{"a"}];
  J.Order.Id = {"a"};
  J.Tasks.resize(1);
  InstanceEffects Out;
  mergeCrashes(E.State.Crashes, {"a"},
               {{0, {"up-2"}, 3, CrashEvidence::InProgress}}, E.Now);
  recordCrash(E.State, E.U, CrashSign::OtherProcess, nullptr, E.Now, Out);
  EXPECT_TRUE(E.State.Jobs.empty());
  EXPECT_EQ(E.State.Counts.JobsLost, 1U);
  EXPECT_EQ(E.State.Counts.JobsFailed, 0U);
}

// Guards against a run that is counted again under the crash of the next
// process: the crash of the one before is no longer to be taken back.
TEST(CrashEvidenceTest, NextProcessHasNoRecordedCrash) {
  EndedUpstream E;
  E.evidence(CrashSign::Refused);
  EXPECT_TRUE(E.U.CrashRecorded);
  InstanceEffects Out;
  recordCrash(E.State, E.U, CrashSign::NewReport, nullptr, E.Now, Out);
  EXPECT_FALSE(E.U.CrashRecorded);
}

// Guards against a rejection that says that the job has not run, though an
// upstream has crashed under it. Crashes are remembered longer than results.
TEST(CrashHistoryTest, RejectedJobWithCrashesMayHaveRun) {
  SenderState State;
  JobOrder Order;
  Order.Id = {"a"};
  Order.Crashes = {{0, {"up-1"}, 1}};
  InstanceEffects Out;
  acceptJob(State, Order, {{1}, false}, SteadyTime(std::chrono::hours(1)), Out);
  const JobResult *Result = nullptr;
  for (const InstanceEffect &E : Out)
    if (const auto *Answer = std::get_if<AnswerJob>(&E))
      Result = &Answer->Result;
  ASSERT_TRUE(Result);
  EXPECT_EQ(Result->Outcome, JobOutcome::NotRun);
  EXPECT_TRUE(Result->MayHaveRun);
}

// Guards against a record of crashes that grows without limit.
TEST(CrashHistoryTest, SizeAndAgeAreLimited) {
  CrashHistory History;
  SteadyTime Now(std::chrono::hours(1));
  for (int I = 0; I < 20000; ++I)
    mergeCrashes(History, {"job-" + std::to_string(I)}, {{0, {"up"}, 1}}, Now);
  EXPECT_LE(History.Jobs.size(), 4096U);
  EXPECT_LE(History.Order.size(), 4096U);
  EXPECT_EQ(crashesOf(History, {"job-19999"}, 0), 1U);
  EXPECT_EQ(crashesOf(History, {"job-0"}, 0), 0U);
  mergeCrashes(History, {"late"}, {{0, {"up"}, 1}},
               Now + std::chrono::minutes(2));
  EXPECT_EQ(History.Jobs.size(), 1U);
}

namespace {
/// Runs the world until another run of any job has started.
void runToNextStart(CellWorld &World) {
  size_t Before = World.runs().size();
  for (int I = 0; I < 4000 && World.runs().size() == Before; ++I)
    World.run(milliseconds(1));
}
} // namespace

// Guards against live upstreams that count as crashed because a cut resets
// their connections and refuses new ones.
TEST_F(CellCrashTest, CutThatResetsAndRefusesIsNoProofOfACrash) {
  size_t A = World.submit(First, "a", 1, milliseconds(3000), seconds(9));
  for (int I = 0; I < 2; ++I) {
    if (I > 0)
      runToNextStart(World);
    World.run(milliseconds(100));
    UpstreamId Last = World.runs().back().Upstream;
    World.faults(Last).Refuses = true;
    World.resetConnections(Last);
    World.run(milliseconds(1050));
    World.faults(Last).Refuses = false;
  }
  World.run(seconds(7));
  EXPECT_EQ(World.crashes(), 0U);
  EXPECT_FALSE(ended(A, AnswerStatus::Failed));
  EXPECT_TRUE(crashesOf(World.state(Strong).Sender.Crashes, {"a"}).empty());
}

// Guards against a proof from a renewal of an upstream that had stopped to
// answer: the run had ended long before.
TEST_F(CellCrashTest, MuteUpstreamGivesNoProof) {
  size_t A = World.submit(First, "a", 1, milliseconds(100), seconds(9));
  for (int I = 0; I < 2; ++I) {
    if (I > 0 || World.runs().empty())
      runToNextStart(World);
    UpstreamId Last = World.runs().back().Upstream;
    World.faults(Last).Mute = true;
    World.run(milliseconds(450));
    EXPECT_TRUE(World.runs().back().Done);
    World.crashUpstream(Last, seconds(20));
    World.resetConnections(Last);
    World.faults(Last).Mute = false;
  }
  World.run(seconds(4));
  EXPECT_FALSE(ended(A, AnswerStatus::Failed));
  EXPECT_EQ(World.state(Strong).Sender.Counts.CrashesInProgress, 0U);
}

// As above, with only the one answer lost that carries the end.
TEST_F(CellCrashTest, LostAnswerBeforeTheCrashGivesNoProof) {
  World.submit(First, "a", 1, milliseconds(100), seconds(9));
  for (int I = 0; I < 2; ++I) {
    if (I > 0 || World.runs().empty())
      runToNextStart(World);
    UpstreamId Last = World.runs().back().Upstream;
    World.faults(Last).Mute = true;
    World.run(milliseconds(140));
    EXPECT_TRUE(World.runs().back().Done);
    World.crashUpstream(Last, seconds(2));
    World.resetConnections(Last);
    World.faults(Last).Mute = false;
  }
  World.run(seconds(6));
  size_t Again = World.submit(First, "a", 1, milliseconds(100), seconds(9));
  World.run(seconds(4));
  ASSERT_TRUE(World.caller(Again).Answer);
  EXPECT_FALSE(ended(Again, AnswerStatus::Failed));
}

// Guards against a job that is shown as failed though no task of it has failed:
// its upstreams crashed for another reason.
TEST_F(CellCrashTest, CrashesOfOtherCauseDoNotFailTheJob) {
  size_t A = World.submit(First, "a", 1, milliseconds(1000), seconds(9));
  for (int I = 0; I < 2; ++I) {
    if (I > 0)
      runToNextStart(World);
    World.run(milliseconds(100));
    World.crashUpstream(World.runs().back().Upstream, milliseconds(200));
  }
  World.run(seconds(2));
  EXPECT_EQ(World.crashes(), 2U);
  EXPECT_EQ(World.state(Strong).Sender.Counts.CrashesInProgress, 2U);
  EXPECT_TRUE(ended(A, AnswerStatus::Lost));
  size_t Again = World.submit(First, "a", 1, milliseconds(1000), seconds(9));
  World.run(seconds(4));
  EXPECT_TRUE(ended(Again, AnswerStatus::Lost));
  EXPECT_EQ(runsOf("a", 0), 2U);
}

// Guards against a suspicion that outlives the proof that the process lives.
TEST_F(CellCrashTest, RefusalsOfALiveProcessAreForgotten) {
  size_t A = World.submit(First, "a", 1, milliseconds(3000), seconds(9));
  World.run(milliseconds(300));
  UpstreamId Last = World.runs().back().Upstream;
  World.faults(Last).Refuses = true;
  World.run(milliseconds(400));
  World.faults(Last).Refuses = false;
  World.run(seconds(1));
  EXPECT_EQ(World.runs().size(), 1U);
  EXPECT_EQ(crashesOf(World.state(Strong).Sender.Crashes, {"a"}, 0), 0U);
  World.run(seconds(4));
  EXPECT_TRUE(ended(A, AnswerStatus::Done));
}

// Guards against a deadly task that is started anew by each data centre to
// which its caller turns.
TEST(CellCrashFleetTest, DeadlyTaskIsNotStartedAnewByEachCentre) {
  CellWorld World;
  std::vector<Address> Entries;
  for (const char *Centre : {"centre-a", "centre-b", "centre-c"}) {
    for (int I = 1; I <= 6; ++I)
      World.addUpstream(
          {std::string("up-") + Centre + std::to_string(I), Centre});
    World.addInstance(std::string("sender-") + Centre, Centre, 0.6);
    Entries.push_back(
        World.addInstance(std::string("entry-") + Centre, Centre, 0.2));
  }
  World.run(seconds(3));
  World.setCrashing("a", 0, milliseconds(0));
  for (int I = 0; I < 6; ++I) {
    size_t A = World.submit(Entries[I % 3], "a", 1, milliseconds(100),
                            milliseconds(1500));
    World.run(milliseconds(2900));
    ASSERT_TRUE(World.caller(A).Answer);
  }
  EXPECT_LE(World.crashes(), 5U);
}

// Guards against a job that is given up for crashes under a task that is done.
TEST(CrashHistoryTest, CrashesOfADoneTaskDoNotEndItsJob) {
  CrashHistory History;
  SteadyTime Now(std::chrono::hours(1));
  mergeCrashes(History, {"a"},
               {{0, {"up-1"}, 1}, {0, {"up-2"}, 1}, {0, {"up-3"}, 1}}, Now);
  SenderJob J;
  J.Order.Id = {"a"};
  J.Tasks.resize(2);
  J.Tasks[0].State = SenderTaskState::Done;
  EXPECT_FALSE(applyCrashHistory(History, J));
}
