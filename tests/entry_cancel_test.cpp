/// \file Cancelled jobs that no sender has accepted, and jobs that are
/// cancelled at another instance than the one that took them, on a fake clock.
#include "instance/instance_reducer.h"
#include "sender/caller_cancel_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr RequestId CancelRequest{999999};

/// Gives \p Body to a copy of an instance that is taken out of its world.
InstanceEffects handle(FleetInstance &State, SteadyTime Now,
                       InstanceEventBody Body) {
  return reduce(State, {Now, WallTime{} + seconds(1000000), std::move(Body)});
}

size_t forwards(const InstanceEffects &Effects) {
  size_t Count = 0;
  for (const InstanceEffect &E : Effects)
    Count += std::holds_alternative<ForwardJob>(E) ? 1 : 0;
  return Count;
}

/// Returns the status with which \p Request was answered.
std::optional<AnswerStatus> answerTo(const InstanceEffects &Effects,
                                     RequestId Request) {
  for (const InstanceEffect &E : Effects)
    if (const auto *Answer = std::get_if<AnswerCaller>(&E);
        Answer && Answer->Request == Request)
      return Answer->Status;
  return std::nullopt;
}

} // namespace

// Guards against the start of a job whose cancellation was confirmed while the
// job waited at its entry instance for a sender.
TEST(EntryCancel, WaitingJobIsNotForwarded) {
  CellWorld World;
  Address Entry = World.addInstance("entry", "centre-a");
  World.submit(Entry, "a", 1, milliseconds(200));
  World.run(milliseconds(20));
  FleetInstance State = World.state(Entry);
  ASSERT_EQ(State.Entry.Jobs.size(), 1U);
  const EntryJob &J = State.Entry.Jobs.begin()->second;
  ASSERT_TRUE(J.Sender.Value.empty());
  RequestId Caller = J.Caller;
  InstanceEffects Out =
      handle(State, World.now(), JobCancelled{CancelRequest, JobId{"a"}});
  EXPECT_EQ(answerTo(Out, CancelRequest), AnswerStatus::Cancelled);
  EXPECT_EQ(answerTo(Out, Caller), AnswerStatus::NotRun);
  EXPECT_TRUE(State.Entry.Jobs.empty());
}

// Guards against the start of a job whose cancellation was confirmed while a
// sender was sending it back.
TEST(EntryCancel, RejectedJobIsNotForwardedAgain) {
  CellWorld World;
  for (const char *Centre : {"centre-b", "centre-c"}) {
    World.addUpstream({std::string("up-") + Centre, Centre});
    World.addInstance(Centre, Centre);
  }
  Address Entry = World.addInstance("entry", "centre-a");
  World.run(seconds(2));
  World.submit(Entry, "a", 1, milliseconds(200));
  FleetInstance State = World.state(Entry);
  ASSERT_EQ(State.Entry.Jobs.size(), 1U);
  auto [Forward, J] = *State.Entry.Jobs.begin();
  ASSERT_FALSE(J.Sender.Value.empty());
  InstanceEffects Out =
      handle(State, World.now(), JobCancelled{CancelRequest, JobId{"a"}});
  EXPECT_EQ(answerTo(Out, CancelRequest), AnswerStatus::Cancelled);
  ForwardAnswered Moved;
  Moved.Sender = J.Sender;
  Moved.Request = Forward;
  Moved.Result.emplace();
  Moved.Result->Outcome = JobOutcome::NotRun;
  Moved.Result->Moved = true;
  Out = handle(State, World.now(), std::move(Moved));
  EXPECT_EQ(forwards(Out), 0U);
  EXPECT_EQ(answerTo(Out, J.Caller), AnswerStatus::NotRun);
}

namespace {

/// A fleet with two entries and a sender that is neither of them.
class CancelElsewhere : public ::testing::Test {
protected:
  CancelElsewhere() {
    for (const char *Name : {"up-1", "up-2"})
      World.addUpstream({Name, "centre-a"});
    // Only senders have upstreams in their data centre.
    Sender = World.addInstance("sender", "centre-a");
    Taker = World.addInstance("taker", "centre-b");
    Other = World.addInstance("other", "centre-c");
    World.run(seconds(3));
  }

  /// Status of the answer to a caller; absent without an answer.
  std::optional<AnswerStatus> status(size_t Caller) const {
    const auto &Answer = World.caller(Caller).Answer;
    return Answer ? std::optional<AnswerStatus>(Answer->Status) : std::nullopt;
  }

  /// Starts of a job's tasks after \p From.
  size_t startsAfter(SteadyTime From, const std::string &Job) const {
    return static_cast<size_t>(std::count_if(
        World.runs().begin(), World.runs().end(), [&](const RunRecord &R) {
          return R.Key.Job == JobId{Job} && R.Started > From;
        }));
  }

  /// Runs of a job that have not ended.
  size_t running(const std::string &Job) const {
    return static_cast<size_t>(std::count_if(
        World.runs().begin(), World.runs().end(), [&](const RunRecord &R) {
          return R.Key.Job == JobId{Job} && R.Ended == SteadyTime::max();
        }));
  }

  CellWorld World;
  Address Sender, Taker, Other;
};

} // namespace

// Guards against a cancellation that is answered 410 by an instance that did
// not take the job, while the job goes on.
TEST_F(CancelElsewhere, JobOfAnotherEntryIsStopped) {
  size_t Job = World.submit(Taker, "a", 20, seconds(1), seconds(30));
  World.run(milliseconds(300));
  ASSERT_GT(running("a"), 0U);
  size_t Cancel = World.cancel(Other, "a");
  World.run(milliseconds(100));
  EXPECT_EQ(status(Cancel), AnswerStatus::Cancelled);
  EXPECT_EQ(status(Job), AnswerStatus::Cancelled);
  SteadyTime Answered = World.now();
  World.run(seconds(5));
  EXPECT_EQ(startsAfter(Answered, "a"), 0U);
  EXPECT_EQ(running("a"), 0U);
}

// As above, at the sender of the job.
TEST_F(CancelElsewhere, SenderStopsAJobOfAnotherEntry) {
  World.submit(Taker, "a", 20, seconds(1), seconds(30));
  World.run(milliseconds(300));
  size_t Cancel = World.cancel(Sender, "a");
  EXPECT_EQ(status(Cancel), AnswerStatus::Cancelled);
  World.run(milliseconds(100));
  EXPECT_EQ(running("a"), 0U);
}

// Guards against a job that its sender took as an entry and that a cancellation
// at another instance does not reach.
TEST_F(CancelElsewhere, JobThatItsSenderTookIsStopped) {
  size_t Job = World.submit(Sender, "a", 20, seconds(1), seconds(30));
  World.run(milliseconds(300));
  size_t Cancel = World.cancel(Other, "a");
  World.run(milliseconds(100));
  EXPECT_EQ(status(Cancel), AnswerStatus::Cancelled);
  EXPECT_EQ(status(Job), AnswerStatus::Cancelled);
  EXPECT_EQ(running("a"), 0U);
}

// Guards against a query that is answered 410 for a job that runs.
TEST_F(CancelElsewhere, QueryFindsAJobOfAnotherEntry) {
  World.submit(Taker, "a", 20, seconds(1), seconds(30));
  World.run(milliseconds(300));
  size_t Query = World.query(Other, "a");
  World.run(milliseconds(100));
  EXPECT_EQ(status(Query), AnswerStatus::Running);
  EXPECT_GT(running("a"), 0U);
}

// Guards against a cancellation of an unknown or ended job that is delayed or
// not answered 410.
TEST_F(CancelElsewhere, JobThatIsNotOpenIsAnsweredSo) {
  size_t Job = World.submit(Taker, "a", 1, milliseconds(50));
  World.run(milliseconds(300));
  ASSERT_EQ(status(Job), AnswerStatus::Done);
  size_t Ended = World.cancel(Other, "a");
  size_t Unknown = World.cancel(Other, "b");
  World.run(milliseconds(10));
  EXPECT_EQ(status(Ended), AnswerStatus::NoSuchJob);
  EXPECT_EQ(status(Unknown), AnswerStatus::NoSuchJob);
}

// Guards against a 410 while an instance that may have the job can't be
// reached, and against a caller that waits for longer than a second.
TEST_F(CancelElsewhere, UnreachableSenderIsNoProof) {
  World.submit(Taker, "a", 20, seconds(1), seconds(30));
  World.run(milliseconds(300));
  World.cut({Other});
  size_t Cancel = World.cancel(Other, "a");
  World.run(milliseconds(1050));
  EXPECT_EQ(status(Cancel), AnswerStatus::Unknown);
  EXPECT_GE(World.caller(Cancel).Answer->RetryAfter, seconds(1));
  World.heal();
  World.run(milliseconds(500));
  size_t Again = World.cancel(Other, "a");
  World.run(milliseconds(100));
  EXPECT_EQ(status(Again), AnswerStatus::Cancelled);
  EXPECT_EQ(running("a"), 0U);
}

// Guards against cancellations that stay unanswerable after a sender has failed
// without a sign: another one has its cells.
TEST_F(CancelElsewhere, CellsOfAFailedSenderAreTakenOver) {
  World.addInstance("standby", "centre-a");
  World.run(seconds(2));
  World.powerOff(Sender);
  World.run(milliseconds(100));
  size_t Early = World.cancel(Other, "b");
  World.run(seconds(4));
  EXPECT_EQ(status(Early), AnswerStatus::Unknown);
  size_t Late = World.cancel(Other, "b");
  World.run(milliseconds(1050));
  EXPECT_EQ(status(Late), AnswerStatus::NoSuchJob);
}

// As above, for a process that has ended: its connections are refused.
TEST_F(CancelElsewhere, CellsOfAnEndedSenderAreTakenOver) {
  World.addInstance("standby", "centre-a");
  World.run(seconds(2));
  World.kill(Sender);
  size_t Cancel = World.cancel(Other, "b");
  World.run(milliseconds(1050));
  EXPECT_EQ(status(Cancel), AnswerStatus::NoSuchJob);
}

// Guards against a 410 for a job at a sender that lives behind a cut that
// refuses connections.
TEST_F(CancelElsewhere, RefusedConnectionIsNoProof) {
  FleetInstance State = World.state(Other);
  SteadyTime Now = World.now();
  InstanceEffects Out =
      handle(State, Now, JobCancelled{CancelRequest, JobId{"a"}});
  for (int I = 0; I < 60; ++I) {
    std::vector<OpenJobQueryAnswered> Refused;
    for (const InstanceEffect &E : Out)
      if (const auto *Query = std::get_if<SendOpenJobQuery>(&E)) {
        OpenJobQueryAnswered Answer;
        Answer.Receiver = Query->Receiver;
        Answer.Number = Query->Number;
        Answer.ConnectionRefused = true;
        Refused.push_back(Answer);
      }
    Now += milliseconds(10);
    Out = handle(State, Now, InstanceTick{});
    for (const OpenJobQueryAnswered &Answer : Refused)
      for (InstanceEffect &E : handle(State, Now, Answer))
        Out.push_back(std::move(E));
  }
  EXPECT_EQ(State.Entry.Elsewhere.Questions.size(), 1U);
}

// Guards against a 410 while a fleet is upgraded: instances of earlier versions
// don't understand the query and may have the job.
TEST_F(CancelElsewhere, EarlierVersionIsNoProof) {
  World.submit(Taker, "a", 20, seconds(1), seconds(30));
  World.run(milliseconds(300));
  // The job's own entry would find it.
  World.setEarlierVersion(Sender);
  World.setEarlierVersion(Taker);
  size_t Cancel = World.cancel(Other, "a");
  World.run(milliseconds(100));
  EXPECT_EQ(status(Cancel), AnswerStatus::Unknown);
}

// Guards against callers that are left without an answer when the entry that
// they asked ends.
TEST_F(CancelElsewhere, EntryThatEndsAnswersItsCallers) {
  World.submit(Other, "b", 20, seconds(1), seconds(30));
  World.shutDown(Other);
  World.run(milliseconds(5300));
  ASSERT_TRUE(World.isAlive(Other));
  World.cut({Other});
  size_t Cancel = World.cancel(Other, "a");
  World.run(milliseconds(500));
  EXPECT_FALSE(World.isAlive(Other));
  EXPECT_EQ(status(Cancel), AnswerStatus::Unknown);
}

// Guards against a query that was lost once and delays the answer beyond the
// limit.
TEST_F(CancelElsewhere, LostQueryIsRepeated) {
  World.submit(Taker, "a", 20, seconds(1), seconds(30));
  World.run(milliseconds(300));
  World.cut({Other});
  size_t Cancel = World.cancel(Other, "a");
  World.run(milliseconds(200));
  World.heal();
  World.run(milliseconds(400));
  EXPECT_EQ(status(Cancel), AnswerStatus::Cancelled);
}

// Guards against cancellations that stay unanswerable after a machine was
// removed whose cells nobody can take over.
TEST_F(CancelElsewhere, UnlistedSenderHasNoJob) {
  World.powerOff(Sender);
  World.run(seconds(6));
  size_t Cancel = World.cancel(Other, "b");
  World.run(milliseconds(1050));
  EXPECT_EQ(status(Cancel), AnswerStatus::NoSuchJob);
}

namespace {

/// A forward of the job "a", whose request reached its entry \p Age ago.
JobArrived forwardOf(const FleetInstance &Entry, Duration Age) {
  JobArrived Event;
  Event.Request = {777};
  Event.Order.Id = {"a"};
  Event.Order.Entry = Entry.Settings.Self.Endpoint;
  Event.Order.Incarnation = Entry.Cells.Incarnation;
  Event.Order.Number = Entry.Cells.NextJob;
  Event.Order.Queue = "queue";
  Event.Order.Service = {"service"};
  Event.Order.Step.Estimate = milliseconds(100);
  Event.Order.Step.PerTask = {1000, 64, 0};
  Event.Order.Slack = seconds(1);
  Event.Order.Remaining = seconds(30);
  Event.Order.Age = Age;
  return Event;
}

/// Returns how a forwarded job was answered at once.
std::optional<JobOutcome> outcome(const InstanceEffects &Effects) {
  for (const InstanceEffect &E : Effects)
    if (const auto *Answer = std::get_if<AnswerJob>(&E))
      return Answer->Result.Outcome;
  return std::nullopt;
}

OpenJobQueryArrived cancelQuery() { return {{1}, {{{{"a"}, true}}}}; }

} // namespace

// Guards against the start of a job whose forward was under way, or which
// waited at its entry, while it was cancelled at another instance.
TEST_F(CancelElsewhere, ForwardThatArrivesLaterIsNotStarted) {
  FleetInstance State = World.state(Sender);
  SteadyTime Now = World.now();
  InstanceEffects Out = handle(State, Now, cancelQuery());
  Out = handle(State, Now + milliseconds(20),
               forwardOf(World.state(Taker), milliseconds(30)));
  EXPECT_EQ(outcome(Out), JobOutcome::NotRun);
  EXPECT_TRUE(State.Sender.Jobs.empty());
}

// Guards against the start of a cancelled job that its caller submits again
// after the retry pause, and against one that is never accepted again.
TEST_F(CancelElsewhere, SubmissionIsAcceptedOnlyLongAfterTheCancellation) {
  for (milliseconds After : {milliseconds(990), milliseconds(1300),
                             milliseconds(9900), milliseconds(10010)}) {
    FleetInstance State = World.state(Sender);
    SteadyTime Now = World.now();
    handle(State, Now, cancelQuery());
    for (milliseconds T(10); T <= After; T += milliseconds(10)) {
      PingArrived Ping;
      Ping.Message.From = World.state(Taker).Settings.Self;
      Ping.Message.Incarnation = World.state(Taker).Cells.Incarnation;
      handle(State, Now + T, Ping);
      handle(State, Now + T, InstanceTick{});
    }
    InstanceEffects Out = handle(
        State, Now + After, forwardOf(World.state(Taker), milliseconds(0)));
    EXPECT_EQ(State.Sender.Jobs.size(), After > seconds(10) ? 1U : 0U)
        << After.count();
  }
}

// Guards against a job that is answered as not run while it runs: it was
// submitted anew, and a further forward of it may be late.
TEST_F(CancelElsewhere, LateForwardOfAnOpenJobJoinsIt) {
  FleetInstance State = World.state(Sender);
  SteadyTime Now = World.now();
  handle(State, Now, forwardOf(World.state(Taker), milliseconds(0)));
  ASSERT_EQ(State.Sender.Jobs.size(), 1U);
  recordCallerCancel(State.Sender.Cancelled, {"a"}, Now);
  JobArrived Late = forwardOf(World.state(Taker), milliseconds(0));
  Late.Request = {778};
  Late.Order.Number += 1;
  InstanceEffects Out = handle(State, Now + milliseconds(20), Late);
  EXPECT_EQ(outcome(Out), JobOutcome::Lost);
  EXPECT_EQ(State.Sender.Jobs.size(), 1U);
}

// Guards against the start of a cancelled job whose forward waited for seconds,
// on a link that was cut or at a sender that was behind: its age is too low.
TEST_F(CancelElsewhere, ForwardThatMayBeLateIsNotStarted) {
  FleetInstance State = World.state(Sender);
  SteadyTime Now = World.now();
  handle(State, Now, cancelQuery());
  for (milliseconds T(10); T <= seconds(3); T += milliseconds(10))
    handle(State, Now + T, InstanceTick{});
  InstanceEffects Out = handle(State, Now + seconds(3),
                               forwardOf(World.state(Taker), milliseconds(0)));
  EXPECT_EQ(outcome(Out), JobOutcome::NotRun);
  EXPECT_TRUE(State.Sender.Jobs.empty());
}

// Guards against the start of a job that waited at its entry for a sender while
// it was cancelled at another instance: the instance that becomes the sender
// has not been asked.
TEST_F(CancelElsewhere, NewSenderIsInformedOfRecentCancellations) {
  for (milliseconds After : {milliseconds(10), milliseconds(5000)}) {
    FleetInstance State = World.state(Other);
    SteadyTime Now = World.now();
    handle(State, Now, JobCancelled{CancelRequest, JobId{"a"}});
    PingArrived Ping;
    Ping.Message.From = {{"10.0.9.9:7000"}, {"centre-a"}, 0.5};
    Ping.Message.Incarnation = {4711};
    Ping.Message.Claims = {{{{"centre-a"}, 3}, {UINT64_C(1) << 61}}};
    handle(State, Now + After, Ping);
    InstanceEffects Out =
        handle(State, Now + After + milliseconds(10), InstanceTick{});
    size_t Informed = 0;
    for (const InstanceEffect &E : Out)
      if (const auto *Query = std::get_if<SendOpenJobQuery>(&E);
          Query && Query->Receiver == Ping.Message.From.Endpoint) {
        ASSERT_EQ(Query->Query.Jobs.size(), 1U);
        EXPECT_EQ(Query->Query.Jobs[0].Id, JobId{"a"});
        EXPECT_TRUE(Query->Query.Jobs[0].Cancel);
        ++Informed;
      }
    EXPECT_EQ(Informed, 1U) << After.count();
  }
}

// Guards against a 410 for a job at an instance that has just lost its cells,
// and is pinged rarely since: it can still start tasks of its jobs if it gets a
// cell again.
TEST_F(CancelElsewhere, FormerSenderIsAsked) {
  FleetInstance State = World.state(Other);
  SteadyTime Now = World.now();
  PingArrived Ping;
  Ping.Message.From = {{"10.0.9.9:7000"}, {"centre-a"}, 0.5};
  Ping.Message.Incarnation = {4711};
  Ping.Message.Claims = {{{{"centre-a"}, 3}, {UINT64_C(1) << 61}}};
  handle(State, Now, Ping);
  Ping.Message.Claims.clear();
  handle(State, Now + milliseconds(10), Ping);
  InstanceEffects Out = handle(State, Now + milliseconds(1500),
                               JobCancelled{CancelRequest, JobId{"a"}});
  EXPECT_TRUE(std::any_of(Out.begin(), Out.end(), [&](const auto &E) {
    const auto *Query = std::get_if<SendOpenJobQuery>(&E);
    return Query && Query->Receiver == Ping.Message.From.Endpoint;
  }));
}

// As above, with the whole fleet: the sender ends, the job waits, and its
// cancellation comes meanwhile.
TEST_F(CancelElsewhere, JobThatWaitsForASenderIsNotRun) {
  Address Next = World.addInstance("standby", "centre-a");
  World.run(seconds(2));
  World.kill(Sender);
  World.run(milliseconds(10));
  size_t Job = World.submit(Taker, "a", 2, milliseconds(500), seconds(30));
  size_t Cancel = World.cancel(Other, "a");
  World.run(seconds(4));
  std::vector<Address> Senders = World.senders();
  ASSERT_EQ(std::count(Senders.begin(), Senders.end(), Next), 1);
  EXPECT_TRUE(status(Cancel));
  EXPECT_EQ(startsAfter(SteadyTime{}, "a"), 0U);
  ASSERT_TRUE(status(Job));
  EXPECT_NE(status(Job), AnswerStatus::Done);
}

// Guards against a job that is submitted anew under its id and killed by the
// remembered cancellation.
TEST_F(CancelElsewhere, JobSubmittedAnewIsStarted) {
  World.submit(Taker, "a", 4, seconds(1), seconds(30));
  World.run(milliseconds(300));
  size_t Cancel = World.cancel(Other, "a");
  World.run(seconds(11));
  ASSERT_EQ(status(Cancel), AnswerStatus::Cancelled);
  size_t Again = World.submit(Taker, "a", 2, milliseconds(100), seconds(30));
  World.run(seconds(2));
  EXPECT_EQ(status(Again), AnswerStatus::Done);
}

// Guards against a cancelled job that is started again because its caller was
// told to submit it again, or does so without being told, at any instance.
TEST_F(CancelElsewhere, RepeatedSubmissionOfACancelledJobIsNotStarted) {
  // A second sender, which does not have the job.
  World.addUpstream({"up-far", "centre-d"});
  World.addInstance("far", "centre-d");
  World.run(seconds(3));
  int Number = 0;
  for (const Address &At : {Taker, Other, Sender})
    for (const Address &Next : {Taker, Other, Sender}) {
      std::string Job = "job-" + std::to_string(++Number);
      size_t First = World.submit(Taker, Job, 2, seconds(8), seconds(30));
      World.run(milliseconds(300));
      ASSERT_GT(running(Job), 0U);
      size_t Cancel = World.cancel(At, Job);
      World.run(milliseconds(100));
      EXPECT_EQ(status(Cancel), AnswerStatus::Cancelled) << Job;
      EXPECT_EQ(status(First), AnswerStatus::Cancelled) << Job;
      SteadyTime Acknowledged = World.now();
      for (int Try = 0; Try < 3; ++Try) {
        World.run(CallerRetryPause);
        size_t Again = World.submit(Next, Job, 2, seconds(8), seconds(30));
        World.run(milliseconds(100));
        EXPECT_EQ(status(Again), AnswerStatus::Cancelled) << Job;
      }
      EXPECT_EQ(startsAfter(Acknowledged, Job), 0U) << Job;
    }
}

// Guards against the start of a cancelled job by a sender that was not asked:
// the job was open at the instance that was told to cancel it.
TEST_F(CancelElsewhere, OtherSendersLearnOfACancellationOfAnOwnJob) {
  World.addUpstream({"up-far", "centre-d"});
  Address Far = World.addInstance("far", "centre-d");
  World.run(seconds(3));
  World.submit(Taker, "a", 2, seconds(8), seconds(30));
  World.run(milliseconds(300));
  World.cancel(Taker, "a");
  World.run(milliseconds(100));
  for (const Address &Each : {Far, Sender}) {
    FleetInstance State = World.state(Each);
    InstanceEffects Out = handle(State, World.now() + milliseconds(20),
                                 forwardOf(World.state(Other), {}));
    EXPECT_EQ(State.Sender.Jobs.count({"a"}), 0U) << Each.Value;
  }
}

// Guards against a result that is withheld from the caller of a job that had
// ended before it was cancelled.
TEST_F(CancelElsewhere, ResultOfAnEndedJobIsStillAnswered) {
  World.submit(Taker, "a", 1, milliseconds(50));
  World.run(milliseconds(300));
  size_t Cancel = World.cancel(Other, "a");
  World.run(milliseconds(1300));
  ASSERT_EQ(status(Cancel), AnswerStatus::NoSuchJob);
  size_t Again = World.submit(Taker, "a", 1, milliseconds(50));
  World.run(milliseconds(100));
  EXPECT_EQ(status(Again), AnswerStatus::Done);
}

// Guards against memory that grows with the number of cancellations or with the
// length of their ids.
TEST_F(CancelElsewhere, RecordOfCancellationsIsBounded) {
  CallerCancels Record;
  for (int I = 0; I < 100000; ++I)
    recordCallerCancel(Record, {std::to_string(I % 50000)}, World.now());
  EXPECT_LE(Record.Order.size(), 16384U);
  EXPECT_LE(Record.Jobs.size(), 16384U);
  JobId Long{std::string(10000, 'x')};
  recordCallerCancel(Record, Long, World.now());
  EXPECT_EQ(Record.Jobs.count(Long), 0U);
}

// Guards against a wave of cancellations that costs a message each to each
// sender.
TEST_F(CancelElsewhere, CancellationsShareQueries) {
  for (int I = 0; I < 1000; ++I)
    World.cancel(Other, "job-" + std::to_string(I));
  World.run(milliseconds(200));
  EXPECT_LE(World.openJobQueries(), 10U);
}
