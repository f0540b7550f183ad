/// \file Evacuation of data centres, on a fake clock.
#include "cells/cell_cmd.h"
#include "directory/evacuation_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Bound{5000};

/// Two data centres with two instances and two upstreams each.
class EvacuationTest : public ::testing::Test {
protected:
  void SetUp() override {
    World.setEvacuationBound(Bound);
    for (const std::string Centre : {"centre-a", "centre-b"}) {
      for (const char *Name : {"1", "2"}) {
        Instances[Centre].push_back(World.addInstance(
            Centre + Name, Centre, *Name == '1' ? 0.5 : 0.25));
        World.addUpstream({Centre + "-u" + Name, Centre});
      }
    }
    World.run(seconds(4));
  }

  /// Submits a job with one task of 50 ms, and runs it.
  AnswerStatus serve(const Address &Entry) {
    size_t Number = World.submit(Entry, "job-" + std::to_string(++Jobs), 1,
                                 milliseconds(50));
    World.run(seconds(2));
    const auto &Answer = World.caller(Number).Answer;
    return Answer ? Answer->Status : AnswerStatus::Unknown;
  }

  /// Starts on the upstreams of \p Centre since \p Since.
  size_t startsIn(const std::string &Centre, SteadyTime Since) const {
    return static_cast<size_t>(std::count_if(
        World.runs().begin(), World.runs().end(), [&](const RunRecord &R) {
          return R.Started >= Since && R.Upstream.Value.find(Centre) == 0;
        }));
  }

  CellWorld World;
  std::map<std::string, std::vector<Address>> Instances; ///< By data centre.
  int Jobs = 0;
};

} // namespace

// Guards against a start in a data centre after its evacuation, against a run
// in progress that the evacuation ends, and against jobs that are not served
// elsewhere meanwhile, or not there again afterwards.
TEST_F(EvacuationTest, StartsStopUntilTheKeyIsRemoved) {
  const Address &Entry = Instances["centre-a"][1];
  size_t Running = World.submit(Entry, "running", 1, milliseconds(1500));
  World.run(milliseconds(50));
  ASSERT_EQ(startsIn("centre-a", {}), 1U);
  World.setEvacuated("centre-a", true);
  World.run(milliseconds(100));
  SteadyTime Evacuated = World.now();
  for (int I = 0; I < 5; ++I)
    EXPECT_EQ(serve(Entry), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Evacuated), 0U);
  EXPECT_EQ(startsIn("centre-b", Evacuated), 5U);
  EXPECT_TRUE(isReady(World.state(Entry), World.now()));
  ASSERT_TRUE(World.caller(Running).Answer);
  EXPECT_EQ(World.caller(Running).Answer->Status, AnswerStatus::Done);
  World.setEvacuated("centre-a", false);
  World.run(seconds(1));
  SteadyTime Ended = World.now();
  EXPECT_EQ(serve(Entry), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Ended), 1U);
}

// Guards against starts that go on after an outage of the store in which the
// key was written, and against ones that stop during it.
TEST_F(EvacuationTest, KeyWrittenDuringAnOutageIsObeyedAfterIt) {
  const Address &Entry = Instances["centre-a"][1];
  World.setStoreUp(false);
  World.run(seconds(1));
  World.setEvacuated("centre-a", true);
  SteadyTime Outage = World.now();
  EXPECT_EQ(serve(Entry), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Outage), 1U);
  World.setStoreUp(true);
  World.run(seconds(2));
  SteadyTime Up = World.now();
  EXPECT_EQ(serve(Entry), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Up), 0U);
}

// Guards against a successor that starts tasks because it has not read the key:
// it starts during an outage of the store and claims the sender's cells.
TEST_F(EvacuationTest, TakeOverDuringAnOutageKeepsTheEvacuation) {
  World.setEvacuated("centre-a", true);
  World.run(seconds(1));
  World.setStoreUp(false);
  for (const Address &Endpoint : Instances["centre-a"]) {
    World.kill(Endpoint);
    World.run(milliseconds(100));
    World.restart(Endpoint);
    World.run(seconds(4));
  }
  std::vector<Address> Senders = World.senders();
  EXPECT_TRUE(std::any_of(Senders.begin(), Senders.end(), [&](const auto &S) {
    return S == Instances["centre-a"][0] || S == Instances["centre-a"][1];
  }));
  SteadyTime Since = World.now();
  for (const Address &Entry : Instances["centre-a"])
    EXPECT_EQ(serve(Entry), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Since - seconds(8)), 0U);
  EXPECT_EQ(startsIn("centre-b", Since), 2U);
}

// Guards against a sender that is cut off with its upstreams while the key is
// written, and goes on starting tasks when it is back.
TEST_F(EvacuationTest, SenderThatReturnsFromACutObeysTheKey) {
  std::set<Address> Group{Instances["centre-a"][0]};
  for (const char *Name : {"centre-a-u1", "centre-a-u2"})
    Group.insert(World.record({Name}).Endpoint);
  World.cut(Group);
  World.run(seconds(3));
  World.setEvacuated("centre-a", true);
  World.run(seconds(3));
  World.heal();
  // A peer's answer or a read follows within the period of pings.
  World.run(milliseconds(300));
  SteadyTime Healed = World.now();
  EXPECT_EQ(serve(Instances["centre-a"][0]), AnswerStatus::Done);
  EXPECT_EQ(serve(Instances["centre-a"][1]), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Healed), 0U);
}

// Guards against a sender that is cut off from the store alone and does not
// learn of the evacuation from its peers.
TEST_F(EvacuationTest, SenderCutOffFromTheStoreLearnsFromPeers) {
  for (const Address &Endpoint : Instances["centre-a"])
    World.cutFromStore(Endpoint);
  World.run(seconds(1));
  World.setEvacuated("centre-a", true);
  World.run(seconds(1));
  SteadyTime Since = World.now();
  EXPECT_EQ(serve(Instances["centre-a"][0]), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Since), 0U);
}

// Guards against jobs that wait for their deadline, or tasks that are started,
// though all data centres are evacuated, and against callers that are sent to
// another instance for it.
TEST_F(EvacuationTest, AllEvacuatedRejectsAtOnce) {
  const Address &Entry = Instances["centre-a"][1];
  World.setEvacuated("centre-a", true);
  World.setEvacuated("centre-b", true);
  World.run(milliseconds(100));
  SteadyTime Evacuated = World.now();
  size_t Number = World.submit(Entry, "rejected", 1, milliseconds(50));
  World.run(milliseconds(20));
  ASSERT_TRUE(World.caller(Number).Answer);
  EXPECT_EQ(World.caller(Number).Answer->Status, AnswerStatus::NotRun);
  EXPECT_TRUE(isReady(World.state(Entry), World.now()));
  World.run(seconds(2));
  EXPECT_EQ(startsIn("centre-", Evacuated), 0U);
  World.setEvacuated("centre-b", false);
  World.run(milliseconds(100));
  EXPECT_EQ(serve(Entry), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Evacuated), 0U);
}

// Guards against a change that is missed since the store has discarded its
// history.
TEST_F(EvacuationTest, ChangesWithoutHistoryAreReadAnew) {
  const Address &Entry = Instances["centre-a"][1];
  for (bool Evacuated : {true, false}) {
    World.setEvacuated("centre-a", Evacuated);
    World.compactStore();
    World.run(milliseconds(200));
    SteadyTime Since = World.now();
    EXPECT_EQ(serve(Entry), AnswerStatus::Done);
    EXPECT_EQ(startsIn("centre-a", Since), Evacuated ? 0U : 1U);
  }
}

// Guards against jobs that keep waiting at a sender when its data centre is
// evacuated: those that have not run are served elsewhere, and the others end
// once their last run in progress has.
TEST_F(EvacuationTest, WaitingJobsMoveAndStartedOnesEnd) {
  const Address &Entry = Instances["centre-a"][0];
  // A task takes half of an upstream, so that the data centre has room for
  // four.
  auto Submit = [&](const char *Job, uint32_t Tasks, milliseconds Time) {
    size_t Number = World.submit(Entry, Job, Tasks, Time, seconds(5), 32000);
    World.run(milliseconds(20));
    return Number;
  };
  // All jobs go to centre-a while the other one is evacuated.
  World.setEvacuated("centre-b", true);
  World.run(milliseconds(200));
  Submit("full", 3, milliseconds(450));
  size_t Started = Submit("started", 2, milliseconds(600));
  size_t Waiting = Submit("waiting", 1, milliseconds(500));
  ASSERT_EQ(startsIn("centre-a", {}), 4U);
  ASSERT_EQ(World.state(Entry).Sender.Jobs.count({"waiting"}), 1U);
  World.setEvacuated("centre-b", false);
  World.run(milliseconds(100));
  World.setEvacuated("centre-a", true);
  World.run(milliseconds(50));
  SteadyTime Evacuated = World.now();
  World.run(milliseconds(300));
  EXPECT_FALSE(World.caller(Started).Answer);
  World.run(seconds(2));
  ASSERT_TRUE(World.caller(Started).Answer && World.caller(Waiting).Answer);
  EXPECT_EQ(World.caller(Started).Answer->Status, AnswerStatus::Lost);
  EXPECT_EQ(World.caller(Waiting).Answer->Status, AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Evacuated), 0U);
  for (const RunRecord &R : World.runs())
    EXPECT_TRUE(R.Done) << R.Key.Job.Value;
}

// Guards against a sender that starts tasks before it knows the key, and one
// that never does: it starts during an outage of the store, and its peers have
// no set either.
TEST_F(EvacuationTest, SenderWithoutAnyAnswerStartsAfterTheBound) {
  const Address &Sender = Instances["centre-a"][0];
  World.kill(Instances["centre-a"][1]);
  World.setEvacuationBound(std::nullopt);
  for (const Address &Endpoint : Instances["centre-b"]) {
    World.kill(Endpoint);
    World.restart(Endpoint);
  }
  World.run(seconds(3));
  World.setEvacuationBound(Bound);
  World.setStoreUp(false);
  World.kill(Sender);
  World.restart(Sender);
  SteadyTime Restarted = World.now();
  while (World.now() < Restarted + Bound - milliseconds(100)) {
    World.submit(Sender, "early-" + std::to_string(++Jobs), 1,
                 milliseconds(50));
    World.run(milliseconds(100));
  }
  EXPECT_EQ(startsIn("centre-a", Restarted), 0U);
  World.run(milliseconds(200));
  EXPECT_EQ(serve(Sender), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Restarted), 1U);
}

// Guards against a state from before a pause of the process that a sender
// relies upon, and against a read after each short one.
TEST_F(EvacuationTest, LongPauseIsFollowedByARead) {
  const Address &Sender = Instances["centre-a"][0];
  size_t Before = World.evacuationReads();
  World.freeze(Sender);
  World.run(milliseconds(600));
  World.thaw(Sender);
  World.run(seconds(1));
  EXPECT_EQ(World.evacuationReads(), Before);
  World.freeze(Sender);
  World.run(milliseconds(1200));
  World.thaw(Sender);
  World.run(seconds(1));
  EXPECT_EQ(World.evacuationReads(), Before + 1);
}

// Guards against a state from before a network cut that a sender relies upon:
// the first message of a peer after a silence of all peers shows the end of
// one.
TEST_F(EvacuationTest, SilenceOfAllPeersIsFollowedByARead) {
  const Address &Sender = Instances["centre-a"][0];
  std::vector<Address> Others = Instances["centre-b"];
  Others.push_back(Instances["centre-a"][1]);
  for (const Address &Endpoint : Others)
    World.kill(Endpoint);
  World.run(seconds(3));
  size_t Before = World.evacuationReads();
  for (const Address &Endpoint : Others)
    World.restart(Endpoint);
  World.run(seconds(2));
  EXPECT_EQ(World.evacuationReads(), Before + Others.size() + 1);
  EXPECT_FALSE(World.state(Sender).Directory.Evacuation.AwaitedSince);
}

namespace {

EvacuationState awaitingState() {
  EvacuationState State;
  setEvacuationBound(State, Bound, SteadyTime(seconds(100)));
  return State;
}

} // namespace

// Guards against a deployment that starts during an outage of the store and
// never serves, or that starts tasks before the key could be read.
TEST(EvacuationWait, EndsWithTheBoundOrAnAnswer) {
  SteadyTime Start{seconds(100)};
  InstanceEffects Out;
  EvacuationState State = awaitingState();
  EXPECT_TRUE(startsPausedSince(State, Start + Bound - milliseconds(1)));
  EXPECT_FALSE(evacuationForPeers(State));
  EXPECT_FALSE(startsPausedSince(State, Start + Bound));
  applyEvacuationRead(State, {{}, {7}}, Out);
  EXPECT_FALSE(startsPausedSince(State, Start));
  EXPECT_TRUE(evacuationForPeers(State));
  EvacuationState Told = awaitingState();
  applyPeerEvacuation(Told, {{{"a"}}, {7}}, Start, Out);
  EXPECT_FALSE(startsPausedSince(Told, Start));
}

// Guards against a peer's old answer that ends the wait after a return, and
// against returns during the wait that prolong it without end.
TEST(EvacuationWait, AfterAReturnOnlyALaterReadEndsIt) {
  SteadyTime Start{seconds(100)};
  SteadyTime Return = Start + seconds(10);
  InstanceEffects Out;
  EvacuationState State = awaitingState();
  applyEvacuationRead(State, {{}, {7}}, Out);
  awaitEvacuationRead(State, Return, Out);
  applyPeerEvacuation(State, {{}, {8}}, Return + milliseconds(1), Out);
  EXPECT_TRUE(startsPausedSince(State, Return));
  State.ReadFailed = true;
  applyPeerEvacuation(State, {{}, {8}}, Return - milliseconds(1), Out);
  EXPECT_TRUE(startsPausedSince(State, Return));
  awaitEvacuationRead(State, Return + seconds(3), Out);
  EXPECT_FALSE(startsPausedSince(State, Return + Bound));
  EXPECT_TRUE(startsPausedSince(State, Return + seconds(3)));
  State.ReadFailed = true;
  applyPeerEvacuation(State, {{}, {8}}, Return + seconds(4), Out);
  EXPECT_FALSE(startsPausedSince(State, Return + seconds(4)));
}

// Guards against an older set that undoes a newer one: from a peer, or as
// changes that a peer's set already contains.
TEST(EvacuationSets, HigherRevisionWins) {
  InstanceEffects Out;
  EvacuationState State = awaitingState();
  applyEvacuationRead(State, {{{"a"}}, {5}}, Out);
  applyPeerEvacuation(State, {{}, {4}}, {}, Out);
  EXPECT_EQ(State.Current->Centres.count({"a"}), 1U);
  applyPeerEvacuation(State, {{{"b"}}, {9}}, {}, Out);
  applyEvacuationChanges(State, {{{"a"}, true}}, {6}, Out);
  EXPECT_EQ(State.Current->Centres, (std::set<DataCentre>{{"b"}}));
  applyEvacuationChanges(State, {{{"b"}, true}, {{"a"}, false}}, {10}, Out);
  EXPECT_EQ(State.Current->Centres, (std::set<DataCentre>{{"a"}}));
}

// Guards against an entry of an evacuated data centre that sends all of its
// load to the two senders that it follows otherwise.
TEST(EvacuationEntry, FollowsAllSendersOfTheOthers) {
  SteadyTime Now{seconds(100)};
  CellState State;
  State.Self = {{"10.0.0.1:1"}, {"a"}, 1};
  for (const char *Host : {"2", "3", "4", "5"}) {
    Address Endpoint{std::string("10.0.0.") + Host + ":1"};
    addPeer(State, {Endpoint, {"b"}, 1}, Now);
    State.Peers.at(Endpoint).Claims.push_back({{{"b"}, 0}, {1}});
  }
  auto Followed = [&] {
    InstanceEffects Out;
    State.NextPingScan = Now;
    sendPings(State, Now, Out);
    return std::count_if(State.Peers.begin(), State.Peers.end(),
                         [](const auto &P) { return P.second.Followed; });
  };
  EXPECT_EQ(Followed(), 2);
  applyEvacuatedCentres(State, {{"a"}}, Now);
  EXPECT_EQ(Followed(), 4);
}

// Guards against a deployment without the setting that pays for reads of the
// evacuations, obeys a key of another meaning, or sends its peers a field that
// earlier versions reject.
TEST(EvacuationSetting, WithoutItNothingIsReadOrSent) {
  CellWorld World;
  Address Entry = World.addInstance("one", "centre-a");
  World.addInstance("two", "centre-b");
  World.addUpstream({"u1", "centre-a"});
  World.setEvacuated("centre-a", true);
  World.run(seconds(4));
  size_t Number = World.submit(Entry, "job", 1, milliseconds(50));
  World.run(seconds(1));
  ASSERT_TRUE(World.caller(Number).Answer);
  EXPECT_EQ(World.caller(Number).Answer->Status, AnswerStatus::Done);
  EXPECT_EQ(World.evacuationReads(), 0U);
  EXPECT_FALSE(World.state(Entry).Cells.WantsEvacuation);
}
