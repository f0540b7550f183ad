/// \file Jobs are answered as failed only after `max_attempts` runs of one of
/// their tasks that have ended as failed, on a fake clock.
#include "platform/platform_codec.h"
#include "sender/admission_cmd.h"
#include "sender/job_cmd.h"
#include "sender/renewal_cmd.h"
#include "sender/result_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int64_t FirstProcess = 1000;

/// A sender with two upstreams and a job of two tasks that may fail twice.
class FailedEndTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (const char *Name : {"up-1", "up-2"}) {
      SenderUpstream &U = State.Upstreams[{Name}];
      U.Record.Id = {Name};
      U.Record.Capacity = U.Free = {64000, 262144, 0};
      U.Phase = UpstreamPhase::Ready;
      U.Token = {5};
      U.StartedAt = FirstProcess;
      U.RenewalSequence = 1;
    }
    submit(1, 2);
  }

  void submit(uint64_t Number, uint32_t MaxAttempts) {
    JobOrder Order;
    Order.Id = {"a"};
    Order.Entry = {"10.0.0.1:7000"};
    Order.Number = Number;
    Order.MaxAttempts = MaxAttempts;
    Order.Slack = Order.Remaining = seconds(60);
    Order.Step.Count = 2;
    Order.Step.PerTask = {1000, 64, 0};
    Order.Step.Estimate = milliseconds(100);
    acceptJob(State, Order, {{Number}, false}, Now, Out);
  }
  static RunKey key(uint32_t Run, uint32_t Index = 0) {
    return {{"a"}, 0, Index, Run};
  }
  /// The upstream has accepted a run of a task.
  void start(const std::string &Name, uint32_t Run, uint32_t Index = 0) {
    SenderJob &J = State.Jobs.at({"a"});
    SenderTask &T = J.Tasks[Index];
    T.State = SenderTaskState::Started;
    T.Run = Run;
    T.Upstream = {Name};
    --J.WaitingTasks;
    J.Started = true;
    SenderRun R;
    R.Key = key(Run, Index);
    R.Need = J.Order.Step.PerTask;
    R.Phase = RunPhase::Running;
    R.Ordered = R.Accepted = Now;
    SenderUpstream &U = State.Upstreams.at({Name});
    U.Runs[R.Key] = R;
    U.LeaseExpiry = Now + seconds(1);
  }
  /// The upstream answers a renewal. Its other runs go on.
  void report(const std::string &Name, std::vector<EndReport> Ended,
              int64_t Process = FirstProcess) {
    Now += milliseconds(10);
    SenderUpstream &U = State.Upstreams.at({Name});
    U.RenewalSent = Now;
    UpstreamReport R;
    R.StartedAt = Process;
    for (const auto &[Key, Run] : U.Runs)
      R.Running.push_back({Key, 10});
    for (const EndReport &End : Ended)
      R.LastNumber = std::max(R.LastNumber, End.Number);
    R.Ended = std::move(Ended);
    std::optional<CellId> FencedCell;
    applyRenewal(State,
                 {{Name}, U.Token, U.RenewalSequence, OrderStatus::Accepted, R},
                 Now, FencedCell, Out);
  }
  bool isOpen() const { return State.Jobs.count({"a"}) > 0; }
  /// Failures counted for a task of the open job.
  uint32_t failures(uint32_t Index = 0) const {
    return static_cast<uint32_t>(
        State.Jobs.at({"a"}).Tasks[Index].FailedRuns.size());
  }
  /// Result for which the sender answers the job's duplicates.
  bool isRetainedAsFailed() const {
    auto It = State.RetainedResults.find({"a"});
    return It != State.RetainedResults.end() &&
           It->second.Outcome == JobOutcome::Failed;
  }

  SteadyTime Now{std::chrono::hours(1)};
  SenderState State;
  InstanceEffects Out;
};

} // namespace

// Guards against a job that fails before or after its last attempt.
TEST_F(FailedEndTest, JobFailsWithTheLastAttempt) {
  start("up-1", 1);
  report("up-1", {{1, key(1), RunEnd::Failed}});
  ASSERT_TRUE(isOpen());
  EXPECT_EQ(failures(), 1U);
  start("up-2", 2);
  report("up-2", {{1, key(2), RunEnd::Failed}});
  EXPECT_FALSE(isOpen());
  EXPECT_TRUE(isRetainedAsFailed());
}

// Guards against a log from which it can't be told on which ends the answer
// `failed` rests.
TEST_F(FailedEndTest, FailedJobIsLoggedWithItsRuns) {
  start("up-1", 1);
  report("up-1", {{1, key(1), RunEnd::Failed}});
  start("up-2", 2);
  report("up-2", {{1, key(2), RunEnd::Failed}});
  bool Logged = std::any_of(Out.begin(), Out.end(), [](const auto &E) {
    const auto *Log = std::get_if<LogDecision>(&E);
    return Log &&
           Log->Message.find("failed_runs=0#1@up-1/1000,0#2@up-2/1000") !=
               std::string::npos;
  });
  EXPECT_TRUE(Logged);
}

// Guards against an end that counts twice because it was listed again, its
// acknowledgement being lost.
TEST_F(FailedEndTest, EndThatIsListedAgainCountsOnce) {
  start("up-1", 1);
  report("up-1", {{1, key(1), RunEnd::Failed}});
  report("up-1", {{1, key(1), RunEnd::Failed}});
  start("up-1", 2);
  report("up-1", {{1, key(1), RunEnd::Failed}});
  ASSERT_TRUE(isOpen());
  EXPECT_EQ(failures(), 1U);
}

// Guards against an end that counts twice because the upstream's next process
// numbers its ends anew.
TEST_F(FailedEndTest, EndUnderANewNumberCountsOnce) {
  start("up-1", 1);
  report("up-1", {{7, key(1), RunEnd::Failed}});
  start("up-1", 2);
  report("up-1", {{1, key(1), RunEnd::Failed}}, FirstProcess + 1);
  report("up-1", {{8, key(1), RunEnd::Failed}}, FirstProcess + 1);
  ASSERT_TRUE(isOpen());
  EXPECT_EQ(failures(), 1U);
}

// Guards against the failure of a run whose lease had lapsed, as that of a late
// order has, being counted for the run that replaced it.
TEST_F(FailedEndTest, EndOfALapsedRunDoesNotCount) {
  start("up-1", 1);
  Now += seconds(2);
  expireRuns(State, Now, Out);
  start("up-2", 2);
  report("up-1", {{1, key(1), RunEnd::Failed}});
  ASSERT_TRUE(isOpen());
  EXPECT_EQ(failures(), 0U);
}

// Guards against the end of a run that this sender has not ordered on that
// upstream, such as one of another sender, being counted for its own run of the
// same number.
TEST_F(FailedEndTest, EndOnAnotherUpstreamDoesNotCount) {
  start("up-1", 1);
  report("up-2", {{1, key(1), RunEnd::Failed}});
  ASSERT_TRUE(isOpen());
  EXPECT_EQ(failures(), 0U);
}

// Guards against the end of a run of an earlier submission being counted for
// the first run of the next one.
TEST_F(FailedEndTest, EndOfAnEarlierSubmissionDoesNotCount) {
  start("up-1", 1);
  abandonJob(State, {{1}, false}, Now, Out);
  ASSERT_FALSE(isOpen());
  submit(2, 2);
  ASSERT_TRUE(isOpen());
  start("up-1", State.Jobs.at({"a"}).Tasks[0].Run + 1);
  report("up-1", {{1, key(1), RunEnd::Failed}});
  ASSERT_TRUE(isOpen());
  EXPECT_EQ(failures(), 0U);
}

// Guards against ends that are not failures being counted as such.
TEST_F(FailedEndTest, OtherEndsDoNotCount) {
  uint32_t Run = 0;
  for (RunEnd End : {RunEnd::Stopped, RunEnd::Lapsed, RunEnd::Broken}) {
    start("up-1", ++Run);
    report("up-1", {{Run, key(Run), End}});
    ASSERT_TRUE(isOpen()) << runEndName(End);
    EXPECT_EQ(failures(), 0U) << runEndName(End);
  }
}

// Guards against starts that an upstream does not accept being counted as
// failures.
TEST_F(FailedEndTest, RejectedStartsDoNotCount) {
  uint32_t Run = 0;
  for (OrderStatus Status :
       {OrderStatus::NoRoom, OrderStatus::Fenced, OrderStatus::Outdated,
        OrderStatus::TooLate, OrderStatus::Unhealthy, OrderStatus::OtherProcess,
        OrderStatus::Rejected, OrderStatus::NothingSent, OrderStatus::Refused,
        OrderStatus::Unknown}) {
    // A fenced upstream is not used again under the same claim.
    State.Upstreams.at({"up-1"}).Phase = UpstreamPhase::Ready;
    start("up-1", ++Run);
    std::optional<CellId> FencedCell;
    applyStartAnswer(State, {{"up-1"}, {5}, key(Run), Status, {}, {}}, Now,
                     FencedCell, Out);
    ASSERT_TRUE(isOpen()) << orderStatusName(Status);
    EXPECT_EQ(failures(), 0U) << orderStatusName(Status);
  }
}

// Guards against runs that ended in an unknown way, with their lease, their
// process or unlisted, being counted as failures.
TEST_F(FailedEndTest, RunsThatAreGoneDoNotCount) {
  start("up-1", 1);
  Now += seconds(2);
  expireRuns(State, Now, Out);
  EXPECT_EQ(failures(), 0U);
  for (int64_t Process : {FirstProcess, FirstProcess + 1}) {
    start("up-1", State.Jobs.at({"a"}).Tasks[0].Run + 1);
    SenderUpstream &U = State.Upstreams.at({"up-1"});
    U.RenewalSent = Now + milliseconds(1);
    UpstreamReport R;
    R.StartedAt = Process;
    std::optional<CellId> FencedCell;
    applyRenewal(State, {{"up-1"}, U.Token, 1, OrderStatus::Accepted, R},
                 Now + milliseconds(2), FencedCell, Out);
    ASSERT_TRUE(isOpen()) << Process;
    EXPECT_TRUE(U.Runs.empty()) << Process;
    EXPECT_EQ(failures(), 0U) << Process;
    Now += milliseconds(10);
  }
}

// Guards against failures of several tasks being added up.
TEST_F(FailedEndTest, FailuresOfTwoTasksAreCountedApart) {
  start("up-1", 1, 0);
  start("up-1", 1, 1);
  report("up-1",
         {{1, key(1, 0), RunEnd::Failed}, {2, key(1, 1), RunEnd::Failed}});
  ASSERT_TRUE(isOpen());
  EXPECT_EQ(failures(0), 1U);
  EXPECT_EQ(failures(1), 1U);
}

// Guards against answers that another call or another claim has replaced, which
// may list the ends of a former process.
TEST_F(FailedEndTest, ReplacedRenewalsDoNotCount) {
  start("up-1", 1);
  UpstreamReport R;
  R.StartedAt = FirstProcess;
  R.Ended = {{1, key(1), RunEnd::Failed}};
  R.LastNumber = 1;
  std::optional<CellId> FencedCell;
  applyRenewal(State, {{"up-1"}, {5}, 0, OrderStatus::Accepted, R}, Now,
               FencedCell, Out);
  applyRenewal(State, {{"up-1"}, {4}, 1, OrderStatus::Accepted, R}, Now,
               FencedCell, Out);
  ASSERT_TRUE(isOpen());
  EXPECT_EQ(failures(), 0U);
}

// Guards against a caller whose submission joins an open job being answered by
// the lower number of attempts of an older configuration.
TEST_F(FailedEndTest, JoinedSubmissionRaisesTheAttempts) {
  submit(2, 3);
  for (uint32_t Run : {1U, 2U}) {
    start("up-1", Run);
    report("up-1", {{Run, key(Run), RunEnd::Failed}});
  }
  ASSERT_TRUE(isOpen());
  submit(3, 1);
  ASSERT_TRUE(isOpen());
  start("up-1", 3);
  report("up-1", {{3, key(3), RunEnd::Failed}});
  EXPECT_TRUE(isRetainedAsFailed());
}

// Guards against a submission under a higher number of attempts being answered
// with the retained failure of one under a lower number, whether it arrives or
// its entry asks for the result.
TEST_F(FailedEndTest, RetainedFailureOfFewerAttemptsIsNotTheAnswer) {
  for (uint32_t Run : {1U, 2U}) {
    start("up-1", Run);
    report("up-1", {{Run, key(Run), RunEnd::Failed}});
  }
  ASSERT_TRUE(isRetainedAsFailed());
  Now += seconds(1);
  ResultQuery Query;
  Query.Entry = {"10.0.0.1:7000"};
  Query.Jobs = {{{"a"}, 1}, {{"a"}, 3}};
  ResultReply Reply = answerResultQuery(State, Query, Now);
  ASSERT_EQ(Reply.Jobs.size(), 2U);
  EXPECT_TRUE(Reply.Jobs[0].Result);
  EXPECT_FALSE(Reply.Jobs[1].Result);
  submit(2, 2);
  EXPECT_EQ(std::get<AnswerJob>(Out.back()).Result.Outcome, JobOutcome::Failed);
  submit(3, 3);
  EXPECT_EQ(std::get<AnswerJob>(Out.back()).Result.Outcome, JobOutcome::Lost);
  // A new start would allow as many failures again.
  EXPECT_FALSE(isOpen());
}

namespace {

/// Highest number of runs of one task of \p Job that have ended as failed by
/// \p Until, as the upstreams have carried them out.
size_t failedRuns(const CellWorld &World, const std::string &Job,
                  SteadyTime Until) {
  std::map<uint32_t, size_t> Failed;
  size_t Highest = 0;
  for (const RunRecord &R : World.runs())
    if (R.Key.Job.Value == Job && R.Failed && R.Ended <= Until)
      Highest = std::max(Highest, ++Failed[R.Key.Index]);
  return Highest;
}

/// Two instances and six upstreams of one data centre; jobs may fail three
/// times.
class FailedEndFleetTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 1; I <= 6; ++I)
      Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
    Sender = World.addInstance("sender", "centre-a", 0.6);
    Entry = World.addInstance("entry", "centre-a", 0.2);
    World.run(seconds(2));
  }
  void setFailing(bool Failing) {
    for (const UpstreamId &U : Upstreams)
      World.faults(U).FailsAll = Failing;
  }
  void setRoute(const std::function<void(Route &)> &Change) {
    FleetConfiguration To = World.configuration();
    ++To.Version;
    Change(To.Routes.front());
    World.setConfiguration(To);
  }
  void expectFailedAfter(size_t Caller, size_t Runs) {
    const auto &Answer = World.caller(Caller).Answer;
    ASSERT_TRUE(Answer);
    EXPECT_EQ(Answer->Status, AnswerStatus::Failed);
    EXPECT_EQ(failedRuns(World, "a", World.caller(Caller).Answered), Runs);
  }

  CellWorld World;
  Address Sender, Entry;
  std::vector<UpstreamId> Upstreams;
};

} // namespace

// Guards against a configuration that changes the attempts or the service of a
// route while a job of it is under way.
TEST_F(FailedEndFleetTest, ConfigurationsDoNotChangeAJobUnderWay) {
  size_t A = World.submit(Entry, "a", 1, seconds(2), seconds(9));
  World.run(milliseconds(300));
  setRoute([](Route &R) {
    R.MaxAttempts = 1;
    R.Service = {"other"};
  });
  World.run(milliseconds(700));
  setFailing(true);
  World.run(seconds(3));
  expectFailedAfter(A, 3);
}

// Guards against an upstream that is replaced under its id between the report
// of a failed end and its acknowledgement, whose next ends have the same
// numbers.
TEST_F(FailedEndFleetTest, EndsOfReplacedUpstreamsCountOnce) {
  for (size_t I = 1; I < Upstreams.size(); ++I)
    World.setListed(Upstreams[I], false);
  World.run(seconds(20));
  setFailing(true);
  size_t A = World.submit(Entry, "a", 1, milliseconds(100), seconds(5));
  size_t Replaced = 0;
  for (int I = 0; I < 5000 && !World.caller(A).Answer; ++I) {
    World.run(milliseconds(1));
    if (World.runs().size() <= Replaced)
      continue;
    const RunRecord Last = World.runs().back();
    // Every second end is taken with the upstream before it is read.
    auto Delay = milliseconds(World.runs().size() % 2 == 0 ? 1 : 2);
    if (!Last.Failed || World.now() - Last.Ended < Delay)
      continue;
    Replaced = World.runs().size();
    World.restartUpstream(Last.Upstream);
  }
  // Ends that the upstream took with it don't count.
  EXPECT_GT(Replaced, 3U);
  ASSERT_TRUE(World.caller(A).Answer);
  EXPECT_EQ(World.caller(A).Answer->Status, AnswerStatus::Failed);
  EXPECT_GE(failedRuns(World, "a", World.caller(A).Answered), 3U);
}

// Guards against a sender that counts the runs of its predecessor, which it
// finds on the upstreams, among those of its own.
TEST_F(FailedEndFleetTest, RunsOfAFormerSenderDoNotCount) {
  size_t A = World.submit(Entry, "a", 1, seconds(2), seconds(9));
  World.run(milliseconds(300));
  World.kill(Sender);
  World.run(milliseconds(50));
  setFailing(true);
  World.run(CallerRetryPause);
  ASSERT_TRUE(World.caller(A).Answer);
  EXPECT_EQ(World.caller(A).Answer->Status, AnswerStatus::Lost);
  size_t Again = World.submit(Entry, "a", 1, seconds(2), seconds(9));
  World.run(seconds(5));
  ASSERT_TRUE(World.caller(Again).Answer);
  EXPECT_EQ(World.caller(Again).Answer->Status, AnswerStatus::Failed);
  EXPECT_GE(failedRuns(World, "a", World.caller(Again).Answered), 3U);
}

namespace {

/// What the callers of a simulated fleet were told over some seeds.
struct Answers {
  size_t Failed = 0;
  size_t Done = 0;
  size_t DoneAfterFailure = 0; ///< A task of the job had failed before.
  std::vector<std::string> TooFewRuns;
};

/// Runs a fleet in which tasks fail, upstreams are replaced, late or mute,
/// answers are lost, and cuts delay messages. Callers of lost jobs submit them
/// again.
void runFleet(uint64_t Seed, Answers &Out) {
  std::mt19937_64 Random(Seed);
  auto Below = [&Random](uint64_t Limit) { return Random() % Limit; };
  CellWorld World;
  std::vector<UpstreamId> Upstreams;
  Upstreams.reserve(8);
  for (int I = 0; I < 8; ++I)
    Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
  std::vector<Address> Entries{World.addInstance("a", "centre-a", 0.6),
                               World.addInstance("b", "centre-a", 0.5),
                               World.addInstance("c", "centre-a", 0.2)};
  World.setCutsDelayMessages(true);
  FleetConfiguration Configuration = World.configuration();
  const uint32_t Attempts = Configuration.Routes.front().MaxAttempts =
      static_cast<uint32_t>(2 + Below(3));
  World.setConfiguration(Configuration);
  World.run(seconds(3));
  struct Submission {
    std::string Job;
    size_t Caller;
    bool Repeated;
  };
  std::vector<Submission> Submissions;
  for (int Step = 0; Step < 150; ++Step) {
    UpstreamFaults &Faults = World.faults(Upstreams[Below(Upstreams.size())]);
    switch (Below(14)) {
    case 0:
    case 1:
    case 2:
    case 3:
      Faults.FailsAll = !Faults.FailsAll;
      break;
    case 4:
      Faults.LateOrders = Faults.LateOrders > 0 ? 0 : 0.4;
      break;
    case 5:
      Faults.StartsOutliveProcess = true;
      Faults.StartDelay = Faults.StartDelay
                              ? std::nullopt
                              : std::optional<Duration>(milliseconds(400));
      break;
    case 6:
      Faults.LostRenewals = 2;
      break;
    case 7:
      Faults.Unreachable = !Faults.Unreachable;
      break;
    case 8:
      World.restartUpstream(Upstreams[Below(Upstreams.size())]);
      break;
    case 9:
      World.crashUpstream(Upstreams[Below(Upstreams.size())], milliseconds(80));
      break;
    case 10:
      World.cut({Entries[Below(Entries.size())]});
      break;
    case 11:
      World.heal();
      break;
    case 12:
      World.silenceForwards(Entries[2], Entries[Below(2)], 1);
      break;
    default:
      World.resetConnections(Upstreams[Below(Upstreams.size())]);
      break;
    }
    std::string Job = "job-" + std::to_string(Step);
    Submissions.push_back({Job,
                           World.submit(Entries[Below(Entries.size())], Job, 2,
                                        milliseconds(120), seconds(4), 9000),
                           false});
    World.run(milliseconds(40));
    for (size_t I = 0; I < Submissions.size(); ++I) {
      const CallerRecord &Caller = World.caller(Submissions[I].Caller);
      if (Submissions[I].Repeated || !Caller.Answer ||
          Caller.Answer->Status == AnswerStatus::Done ||
          Caller.Answer->Status == AnswerStatus::Failed ||
          World.now() - Caller.Answered < CallerRetryPause)
        continue;
      Submissions[I].Repeated = true;
      Job = Submissions[I].Job;
      Submissions.push_back(
          {Job,
           World.submit(Entries[Below(Entries.size())], Job, 2,
                        milliseconds(120), seconds(4), 9000),
           false});
    }
  }
  World.heal();
  World.run(seconds(6));
  for (const Submission &S : Submissions) {
    const CallerRecord &Caller = World.caller(S.Caller);
    if (!Caller.Answer)
      continue;
    size_t Runs = failedRuns(World, S.Job, Caller.Answered);
    if (Caller.Answer->Status == AnswerStatus::Done) {
      ++Out.Done;
      Out.DoneAfterFailure += Runs >= 1 ? 1 : 0;
    }
    if (Caller.Answer->Status != AnswerStatus::Failed)
      continue;
    ++Out.Failed;
    if (Runs < Attempts)
      Out.TooFewRuns.push_back("seed=" + std::to_string(Seed) + " " + S.Job +
                               " failed_runs=" + std::to_string(Runs) +
                               " max_attempts=" + std::to_string(Attempts));
  }
}

} // namespace

// Guards against jobs that are answered as failed though no task has failed so
// often, whatever becomes of orders, reports, processes and messages.
TEST(FailedEndPropertyTest, FailedJobsHaveTheirFailedRuns) {
  Answers Found;
  for (uint64_t Seed = 1; Seed <= 50; ++Seed)
    runFleet(Seed, Found);
  EXPECT_TRUE(Found.TooFewRuns.empty())
      << Found.TooFewRuns.size() << " jobs, first " << Found.TooFewRuns.front();
  RecordProperty("failed", static_cast<int>(Found.Failed));
  RecordProperty("done_after_failure",
                 static_cast<int>(Found.DoneAfterFailure));
  // The check is of no use in a fleet without these.
  EXPECT_GT(Found.Failed, 50U);
  EXPECT_GT(Found.DoneAfterFailure, 50U);
  EXPECT_GT(Found.Done, Found.Failed);
}
