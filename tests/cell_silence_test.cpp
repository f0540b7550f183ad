/// \file Connections between instances that fall silent, on a fake clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// "sender" has all cells; "entry" takes the callers' jobs.
class CellSilence : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 1; I <= 4; ++I)
      World.addUpstream({"up-" + std::to_string(I)});
    Sender = World.addInstance("sender", "centre-a", 0.6);
    Entry = World.addInstance("entry", "centre-a", 0.3);
    Other = World.addInstance("other", "centre-a", 0.2);
    World.run(seconds(3));
    ASSERT_EQ(World.senders(), std::vector<Address>{Sender});
  }

  std::string statusOf(size_t Caller) const {
    const auto &Answer = World.caller(Caller).Answer;
    return Answer ? answerStatusName(Answer->Status) : "none";
  }
  size_t runsOf(const std::string &Job) const {
    return static_cast<size_t>(
        std::count_if(World.runs().begin(), World.runs().end(),
                      [&](const auto &R) { return R.Key.Job.Value == Job; }));
  }
  Duration answerTime(size_t Caller) const {
    return World.caller(Caller).Answered - World.caller(Caller).Sent;
  }

  CellWorld World;
  Address Sender, Entry, Other;
};

} // namespace

// Guards against a caller without an answer, whose second submission runs the
// job again: the connection with the sender's answer falls silent while the
// entry shuts down, and its grace period ends before the job's deadline.
TEST_F(CellSilence, LostAnswerReachesItsCallerBeforeTheEntryEnds) {
  size_t A = World.submit(Entry, "a", 2, milliseconds(300), seconds(12));
  World.run(milliseconds(50));
  World.shutDown(Entry);
  World.silenceForwards(Entry, Sender);
  World.run(seconds(7));
  EXPECT_FALSE(World.isAlive(Entry));
  EXPECT_EQ(statusOf(A), "done");
  EXPECT_EQ(runsOf("a"), 2U);
}

// As above without a shutdown: the caller would wait until its deadline.
TEST_F(CellSilence, LostAnswerIsFetchedFromTheSender) {
  size_t A = World.submit(Entry, "a", 2, milliseconds(300), seconds(12));
  World.run(milliseconds(50));
  World.silenceForwards(Entry, Sender);
  World.run(seconds(12));
  EXPECT_EQ(statusOf(A), "done");
  EXPECT_LT(answerTime(A), milliseconds(1500));
  EXPECT_EQ(runsOf("a"), 2U);
}

// As above, for a job whose answer is that it has failed.
TEST_F(CellSilence, LostAnswerOfAFailedJobIsFetched) {
  for (int I = 1; I <= 4; ++I)
    World.faults({"up-" + std::to_string(I)}).FailsAll = true;
  size_t A = World.submit(Entry, "a", 1, milliseconds(300), seconds(12));
  World.silenceForwards(Entry, Sender);
  World.run(seconds(5));
  EXPECT_EQ(statusOf(A), "failed");
}

// Guards against a job that is stopped because its answer is late: it runs for
// far longer than declared, and its connection works.
TEST_F(CellSilence, JobThatTakesLongIsNotDisturbed) {
  size_t A = World.submit(Entry, "a", 2, milliseconds(4000), seconds(12));
  World.run(seconds(6));
  EXPECT_EQ(statusOf(A), "done");
  EXPECT_EQ(runsOf("a"), 2U);
  EXPECT_EQ(World.state(Entry).Entry.Counts.Fetched, 0U);
}

// As above, for a job that runs on while its connection is silent.
TEST_F(CellSilence, JobOnASilentConnectionRunsToItsEnd) {
  size_t A = World.submit(Entry, "a", 2, milliseconds(4000), seconds(12));
  World.run(milliseconds(50));
  World.silenceForwards(Entry, Sender);
  World.run(seconds(6));
  EXPECT_EQ(statusOf(A), "done");
  EXPECT_LT(answerTime(A), milliseconds(4800));
  EXPECT_EQ(runsOf("a"), 2U);
}

// Guards against later jobs that are sent on connections that have fallen
// silent with the one that lost an answer.
TEST_F(CellSilence, LaterJobsUseNewConnections) {
  size_t A = World.submit(Entry, "a", 2, milliseconds(300), seconds(12));
  World.run(milliseconds(50));
  World.silenceForwards(Entry, Sender, 5);
  World.run(milliseconds(1500));
  EXPECT_EQ(statusOf(A), "done");
  size_t B = World.submit(Entry, "b", 2, milliseconds(300), seconds(12));
  World.run(seconds(1));
  EXPECT_EQ(statusOf(B), "done");
  EXPECT_LT(answerTime(B), milliseconds(500));
}

// Guards against a caller that waits until its deadline for a job that was lost
// on its way to the sender, and against a run of that job after the answer.
TEST_F(CellSilence, LostJobIsAnsweredAsLost) {
  World.silenceForwards(Entry, Sender, 5);
  size_t A = World.submit(Entry, "a", 2, milliseconds(300), seconds(12));
  World.run(seconds(2));
  EXPECT_EQ(statusOf(A), "lost");
  EXPECT_EQ(runsOf("a"), 0U);
  World.run(CallerRetryPause);
  size_t Again = World.submit(Entry, "a", 2, milliseconds(300), seconds(12));
  World.run(seconds(1));
  EXPECT_EQ(statusOf(Again), "done");
  EXPECT_EQ(runsOf("a"), 2U);
}

// Guards against a result query that starts tasks or reports another
// submission's abandoned run as the result of this one.
TEST_F(CellSilence, ResultQueryStartsNothing) {
  size_t A = World.submit(Other, "a", 2, milliseconds(300));
  World.run(milliseconds(50));
  World.disconnectCaller(A);
  World.run(milliseconds(500));
  FleetInstance State = World.state(Sender);
  ASSERT_EQ(State.Sender.RetainedResults.count({"a"}), 1U);
  size_t Runs = World.runs().size();
  ResultQueryArrived Event;
  Event.Query = {Entry,
                 World.state(Entry).Cells.Incarnation,
                 {{{"a"}, 1}, {{"unknown"}, 2}}};
  size_t Replies = 0;
  for (const InstanceEffect &E : reduce(State, {World.now(), {}, Event})) {
    EXPECT_FALSE(std::holds_alternative<StartRun>(E));
    const auto *Answer = std::get_if<AnswerResultQuery>(&E);
    if (!Answer)
      continue;
    ++Replies;
    ASSERT_EQ(Answer->Reply.Jobs.size(), 2U);
    EXPECT_FALSE(Answer->Reply.Jobs[0].Result);
    EXPECT_FALSE(Answer->Reply.Jobs[1].Result);
  }
  EXPECT_EQ(Replies, 1U);
  EXPECT_TRUE(State.Sender.Jobs.empty());
  EXPECT_EQ(World.runs().size(), Runs);
}

// Guards against messages for each job: results are asked for only if answers
// are overdue.
TEST_F(CellSilence, JobsThatAreAnsweredInTimeCostNoQuery) {
  for (int I = 0; I < 60; ++I) {
    World.submit(Entry, "job-" + std::to_string(I), 1, milliseconds(200));
    World.run(milliseconds(50));
  }
  World.run(seconds(2));
  EXPECT_EQ(World.resultQueries(), 0U);
  EXPECT_EQ(World.state(Entry).Entry.Counts.Done, 60U);
}

// Guards against queries that grow with the number of open jobs, and against
// giving up jobs that wait for a connection: only the oldest are asked for.
TEST_F(CellSilence, QueryIsLimitedToTheOldestJobs) {
  FleetInstance State = World.state(Entry);
  SteadyTime Now = World.now();
  for (uint64_t I = 0; I < 200; ++I) {
    JobSubmitted Job;
    Job.Request = RequestId{1000 + I};
    Job.Queue = {"queue", "host.example",  "/queue/", {"service"}, 0, 3,
                 1.6,     milliseconds(60)};
    Job.Job.Id = {"job-" + std::to_string(I)};
    Job.Job.Step = {1, {1, 1, 0}, milliseconds(10), "", "", 0};
    Job.Patience = seconds(12);
    reduce(State, {Now, {}, Job});
  }
  ASSERT_EQ(State.Cells.Peers.at(Sender).OpenJobs.size(), 200U);
  uint64_t Oldest = *State.Cells.Peers.at(Sender).OpenJobs.begin();
  size_t Queries = 0;
  for (int I = 0; I < 60; ++I) {
    Now += milliseconds(10);
    for (const InstanceEffect &E : reduce(State, {Now, {}, InstanceTick{}}))
      if (const auto *Query = std::get_if<SendResultQuery>(&E)) {
        ++Queries;
        EXPECT_EQ(Query->Sender, Sender);
        EXPECT_EQ(Query->Query.Jobs.size(), 64U);
        for (const JobReference &Job : Query->Query.Jobs)
          EXPECT_LT(Job.Number, Oldest + 64);
      }
  }
  EXPECT_EQ(Queries, 1U);
}
