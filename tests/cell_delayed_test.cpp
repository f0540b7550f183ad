/// \file Jobs and cancellations that arrive late at a sender, on a fake clock.
#include "instance/instance_reducer.h"
#include "sender/upstream_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

PingArrived pingOf(const JobOrder &Order, std::vector<CancelledJob> Cancelled) {
  PingArrived Ping;
  Ping.Message.From = {Order.Entry, DataCentre{"centre-a"}, 0.1};
  Ping.Message.Incarnation = Order.Incarnation;
  Ping.Message.CancelledJobs = std::move(Cancelled);
  return Ping;
}

template <typename T> size_t countOf(const InstanceEffects &Effects) {
  size_t Count = 0;
  for (const InstanceEffect &E : Effects)
    Count += std::holds_alternative<T>(E) ? 1 : 0;
  return Count;
}

/// A sender with one upstream, taken out of its world, to which single messages
/// are given.
struct LoneSender {
  LoneSender() {
    CellWorld World;
    World.addUpstream({"u"});
    Address Sender = World.addInstance("sender", "centre-a");
    World.run(seconds(2));
    State = World.state(Sender);
    Now = World.now();
    Order.Id = JobId{"a"};
    Order.Entry = Address{"entry:1"};
    Order.Incarnation = IncarnationId{9};
    Order.Number = 5;
    Order.Service = State.Sender.Upstreams.begin()->second.Record.Service;
    Order.Stretch = 2;
    Order.Remaining = seconds(2);
    Order.Step.PerTask.CpuMillis = 1000;
    Order.Step.Estimate = milliseconds(100);
  }

  InstanceEffects handle(InstanceEventBody Body) {
    return reduce(State, {Now, WallTime{} + seconds(1000000), std::move(Body)});
  }

  /// The entry instance answers a ping that is sent now.
  InstanceEffects confirm() {
    PingAnswered Answer;
    Answer.Endpoint = Order.Entry;
    Answer.Reply.emplace();
    Answer.Reply->From = {Order.Entry, DataCentre{"centre-a"}, 0.1};
    Answer.Reply->Incarnation = Order.Incarnation;
    return handle(std::move(Answer));
  }

  /// Ticks stay away for 600 ms, while messages are handled all the time.
  void fallBehind() {
    for (int I = 0; I < 6; ++I) {
      Now += milliseconds(100);
      handle(pingOf(Order, {}));
    }
  }

  FleetInstance State;
  SteadyTime Now;
  JobOrder Order;
};

} // namespace

// Guards against overlapping runs: a job that a cut has delayed reaches its
// sender after the entry has released it, while the caller's second submission
// runs elsewhere.
TEST(CellDelayedMessages, JobThatArrivesLateIsNotStarted) {
  for (bool EntryIsKilled : {false, true}) {
    CellWorld World;
    World.setCutsDelayMessages(true);
    for (const char *Centre : {"centre-b", "centre-c"})
      World.addUpstream({std::string("up-") + Centre, Centre});
    Address Entry = World.addInstance("entry", "centre-a");
    Address Other = World.addInstance("other", "centre-a");
    Address B = World.addInstance("b", "centre-b");
    Address C = World.addInstance("c", "centre-c");
    World.run(seconds(2));
    // Cuts off both senders, since the entry may choose either.
    World.cut({B, C});
    size_t First = World.submit(Entry, "a", 1, milliseconds(900), seconds(3));
    ASSERT_EQ(World.state(Entry).Entry.Jobs.size(), 1U);
    Address Late = World.state(Entry).Entry.Jobs.begin()->second.Sender;
    World.run(milliseconds(200));
    if (EntryIsKilled)
      World.kill(Entry);
    World.run(milliseconds(900));
    EXPECT_FALSE(World.caller(First).Answer &&
                 World.caller(First).Answer->Status == AnswerStatus::Done);
    World.run(CallerRetryPause);
    World.cut({Late});
    World.run(milliseconds(1500));
    size_t Again = World.submit(Other, "a", 1, milliseconds(900), seconds(3));
    World.run(milliseconds(100));
    World.heal();
    World.run(seconds(3));
    ASSERT_TRUE(World.caller(Again).Answer);
    EXPECT_EQ(World.caller(Again).Answer->Status, AnswerStatus::Done);
    EXPECT_TRUE(World.overlappingRuns().empty());
    EXPECT_EQ(World.runs().size(), 1U);
  }
}

// Guards against two runs of a task at once (TWICE of the bench's hunts): the
// cancellation of a job overtakes the job, which has waited in the socket of a
// sender short of processor time, and the caller's second submission runs
// elsewhere.
TEST(CellDelayedMessages, JobCancelledBeforeItArrivesIsNotStarted) {
  LoneSender S;
  S.handle(pingOf(S.Order, {}));
  S.confirm();
  S.handle(pingOf(S.Order, {{S.Order.Id, S.Order.Number}}));
  InstanceEffects Out = S.handle(JobArrived{RequestId{1}, S.Order});
  EXPECT_EQ(countOf<StartRun>(Out), 0U);
  EXPECT_EQ(countOf<AnswerJob>(Out), 1U);
  // A later submission through the same entry has a higher number.
  S.Order.Number = 6;
  Out = S.handle(JobArrived{RequestId{2}, S.Order});
  EXPECT_EQ(countOf<StartRun>(Out), 1U);
}

// Guards against the same when the job is read first: a sender that is behind
// asks the entry instance whether it still awaits the job.
TEST(CellDelayedMessages, LaggingSenderConfirmsAJobBeforeItStartsIt) {
  LoneSender S;
  S.handle(pingOf(S.Order, {}));
  S.confirm();
  S.fallBehind();
  InstanceEffects Out = S.handle(JobArrived{RequestId{1}, S.Order});
  EXPECT_EQ(countOf<StartRun>(Out), 0U);
  EXPECT_GE(countOf<SendPing>(Out), 1U);
  S.Now += milliseconds(2);
  Out = S.confirm();
  EXPECT_EQ(countOf<StartRun>(Out), 1U);
}

// Guards against a sender that is behind and never starts the jobs of an entry
// instance, because each job that arrives asks for a newer confirmation than
// the ping that is under way can give.
TEST(CellDelayedMessages, LaterJobsDoNotDelayTheConfirmationOfEarlierOnes) {
  LoneSender S;
  S.handle(pingOf(S.Order, {}));
  S.confirm();
  S.fallBehind();
  S.handle(JobArrived{RequestId{1}, S.Order});
  S.Now += milliseconds(1);
  JobOrder Later = S.Order;
  Later.Id = JobId{"b"};
  Later.Number = 6;
  S.handle(JobArrived{RequestId{2}, Later});
  S.Now += milliseconds(1);
  // The answer to the ping that was sent between the two jobs.
  InstanceEffects Out = S.confirm();
  EXPECT_EQ(countOf<StartRun>(Out), 1U);
  EXPECT_EQ(countOf<SendPing>(Out), 1U);
  S.Now += milliseconds(1);
  EXPECT_EQ(countOf<StartRun>(S.confirm()), 1U);
}

// Guards against overlapping runs (TWICE): a ping and a job of an entry
// instance's former process arrive after the pings of the present one, and the
// job is started although its caller has submitted it again.
TEST(CellDelayedMessages, JobOfAFormerProcessOfItsEntryIsNotStarted) {
  LoneSender S;
  JobOrder Present = S.Order;
  Present.Incarnation = IncarnationId{10};
  S.handle(pingOf(S.Order, {}));
  S.confirm();
  S.Now += milliseconds(100);
  S.handle(InstanceTick{});
  S.handle(pingOf(Present, {}));
  S.Now += milliseconds(100);
  S.handle(InstanceTick{});
  S.handle(pingOf(S.Order, {}));
  InstanceEffects Out = S.handle(JobArrived{RequestId{1}, S.Order});
  EXPECT_EQ(countOf<StartRun>(Out), 0U);
  EXPECT_GE(countOf<SendPing>(Out), 1U);
  // A job of the present process is started once that has answered a ping.
  S.Now += milliseconds(2);
  S.Order.Incarnation = Present.Incarnation;
  S.confirm();
  S.Order.Id = JobId{"b"};
  Out = S.handle(JobArrived{RequestId{2}, S.Order});
  size_t Started = countOf<StartRun>(Out);
  S.Now += milliseconds(2);
  Started += countOf<StartRun>(S.confirm());
  EXPECT_EQ(Started, 1U);
}

// Guards against leases without an end: an answer of an upstream's former
// process arrives after the restart is known, and its clock reading stays in
// use for the next process, whose clock started anew.
TEST(CellDelayedMessages, ClockOfAFormerProcessOfAnUpstreamIsNotUsed) {
  LoneSender S;
  S.handle(pingOf(S.Order, {}));
  S.confirm();
  InstanceEffects Out = S.handle(JobArrived{RequestId{1}, S.Order});
  ASSERT_EQ(countOf<StartRun>(Out), 1U);
  StartRun Start;
  for (const InstanceEffect &E : Out)
    if (const auto *Found = std::get_if<StartRun>(&E))
      Start = *Found;
  int64_t FormerClock = Start.LeaseDeadlineMs - 1000;
  SenderUpstream &U = S.State.Sender.Upstreams.begin()->second;
  UpstreamRecord Record = U.Record;
  ++Record.StartedAt;
  S.Now += milliseconds(10);
  Out.clear();
  applyUpstreams(S.State.Sender, {Record}, S.State.Cells.Claims, cellOf, true,
                 S.Now, Out);
  S.Now += milliseconds(1);
  S.handle(StartAnswered{Start.Upstream, Start.Token, Start.Key,
                         OrderStatus::Accepted, FormerClock});
  S.Now += milliseconds(1);
  RenewalAnswered Renewal;
  Renewal.Upstream = Start.Upstream;
  Renewal.Token = U.Token;
  Renewal.Sequence = U.RenewalSequence;
  Renewal.Status = OrderStatus::Accepted;
  Renewal.Report.emplace();
  Renewal.Report->ClockMs = 20;
  Renewal.Report->StartedAt = Record.StartedAt;
  S.handle(Renewal);
  ASSERT_TRUE(U.ClockOffset);
  EXPECT_LE(toMilliseconds(S.Now.time_since_epoch()) + *U.ClockOffset, 20);
}
