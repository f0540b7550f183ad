/// \file What an instance does with odd records that it has read from the
/// store, on a fake clock.
#include "cells/cell_cmd.h"
#include "cells/cell_table.h"
#include "instance/instance_reducer.h"
#include "rpc/cell_codec.h"
#include "rpc/job_codec.h"
#include "sender/admission_cmd.h"
#include "sender/placement_cmd.h"
#include "sender/renewal_cmd.h"
#include "sender/upstream_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

size_t countLogs(const InstanceEffects &Out, const std::string &Part) {
  size_t Count = 0;
  for (const InstanceEffect &E : Out)
    if (const auto *Log = std::get_if<LogDecision>(&E))
      Count += Log->Message.find(Part) != std::string::npos ? 1 : 0;
  return Count;
}

/// A lone sender with one upstream, on which one run is running.
struct RunningSender {
  RunningSender() {
    World.addUpstream({"up-1"});
    Address Endpoint = World.addInstance("sender", "centre-a");
    World.run(seconds(2));
    World.submit(Endpoint, "job", 1, seconds(2));
    World.run(milliseconds(200));
    State = World.state(Endpoint);
    Now = World.now();
  }

  SenderUpstream &upstream() { return State.Sender.Upstreams.begin()->second; }

  /// Handles a completed read of the upstreams.
  InstanceEffects list(const std::vector<UpstreamRecord> &List) {
    Now += seconds(1);
    InstanceEffects Out;
    applyUpstreams(State.Sender, List, State.Cells.Claims, cellOf, true, Now,
                   Out);
    return Out;
  }

  /// Handles a report of the upstream's process started at \p StartedAt, with
  /// all runs.
  InstanceEffects report(int64_t StartedAt) {
    SenderUpstream &U = upstream();
    RenewalAnswered Renewal;
    Renewal.Upstream = U.Record.Id;
    Renewal.Token = U.Token;
    Renewal.Sequence = U.RenewalSequence;
    Renewal.Status = OrderStatus::Accepted;
    Renewal.Report.emplace();
    Renewal.Report->ClockMs = toMilliseconds(Now.time_since_epoch());
    Renewal.Report->StartedAt = StartedAt;
    for (const auto &[Key, Run] : U.Runs)
      Renewal.Report->Running.push_back({Key, ++Percent});
    InstanceEffects Out;
    std::optional<CellId> Fenced;
    applyRenewal(State.Sender, Renewal, Now, Fenced, Out);
    return Out;
  }

  /// Submits a job and returns how many of its tasks are started at once.
  size_t startsOf(const std::string &Job, const ServiceName &Service) {
    JobOrder Order;
    Order.Id = {Job};
    Order.Service = Service;
    Order.Step.Estimate = milliseconds(50);
    Order.Step.PerTask.CpuMillis = 1000;
    Order.Slack = Order.Remaining = seconds(2);
    InstanceEffects Out;
    acceptJob(State.Sender, Order, {{999}, /*Local=*/true}, Now, Out);
    startWaitingTasks(
        State.Sender, [](const SenderJob &) { return true; },
        [this](const SenderJob &) { return Now; }, Now, Out);
    return static_cast<size_t>(
        std::count_if(Out.begin(), Out.end(), [](const InstanceEffect &E) {
          return std::holds_alternative<StartRun>(E);
        }));
  }

  CellWorld World;
  FleetInstance State;
  SteadyTime Now;
  int32_t Percent = 0;
};

/// Record of an upstream of another data centre that states its start.
UpstreamRecord completeRecord() {
  UpstreamRecord Record;
  Record.Id = {"elsewhere"};
  Record.Centre = {"centre-z"};
  Record.StartedAt = 1700000000000;
  return Record;
}

} // namespace

// Guards against an upstream that is reset with each read of the list, because
// its record states a later start than the process itself reports.
TEST(OddRecords, LateStartTimeInARecordCountsOnce) {
  RunningSender S;
  ASSERT_EQ(S.upstream().Runs.size(), 1U);
  int64_t StartedAt = S.upstream().StartedAt;
  UpstreamRecord Record = S.upstream().Record;
  Record.StartedAt += 1000000;
  S.list({Record});
  S.report(StartedAt);
  for (int I = 0; I < 5; ++I) {
    InstanceEffects Out = S.list({Record});
    EXPECT_EQ(countLogs(Out, "was restarted or replaced"), 0U) << I;
    EXPECT_EQ(S.upstream().StartedAt, StartedAt);
    Out = S.report(StartedAt);
    EXPECT_EQ(countLogs(Out, "was restarted or replaced"), 0U) << I;
  }
  // The proper record that follows is used, and so is that of a later process.
  Record.StartedAt = StartedAt;
  S.list({Record});
  EXPECT_EQ(S.upstream().Record.StartedAt, StartedAt);
  EXPECT_EQ(S.upstream().Phase, UpstreamPhase::Ready);
  Record.StartedAt = StartedAt + 5;
  EXPECT_EQ(countLogs(S.list({Record}), "was restarted or replaced"), 1U);
  EXPECT_EQ(S.upstream().StartedAt, StartedAt + 5);
}

// Guards against runs that are stopped or lost because the record of their
// upstream can't be read for a time, and against starts on it meanwhile.
TEST(OddRecords, RunsContinueWhileTheRecordIsUnreadable) {
  RunningSender S;
  UpstreamRecord Record = S.upstream().Record;
  int64_t StartedAt = S.upstream().StartedAt;
  for (int I = 0; I < 8; ++I) {
    InstanceEffects Out = S.list({});
    S.report(StartedAt);
    ASSERT_EQ(S.State.Sender.Upstreams.size(), 1U);
    EXPECT_EQ(S.upstream().Runs.size(), 1U);
    EXPECT_NE(S.upstream().UnlistedSince, SteadyTime{});
    EXPECT_FALSE(S.upstream().Runs.begin()->second.StopRequested);
    EXPECT_TRUE(Out.empty());
  }
  S.list({Record});
  EXPECT_EQ(S.upstream().UnlistedSince, SteadyTime{});
  EXPECT_EQ(S.upstream().Phase, UpstreamPhase::Ready);
}

// Guards against an instance that gives up its cells, again and again, because
// another entry of the list has its own address in another form: it would
// regard its own claim as that of another sender.
TEST(OddRecords, OwnProcessUnderAnotherAddressIsNoPeer) {
  CellWorld World;
  World.addUpstream({"up-1"});
  Address Endpoint = World.addInstance("sender", "centre-a");
  World.run(seconds(2));
  FleetInstance State = World.state(Endpoint);
  ASSERT_FALSE(State.Cells.Claims.empty());
  size_t Claims = State.Cells.Claims.size();
  WallTime Wall = WallTime{} + seconds(1000000);
  Address Alias{"10.99.99.99:7000"};
  CollectionReadAnswered Read;
  Read.Collection = StoreCollection::Instances;
  addPeer(State.Cells, {Alias, {"centre-a"}, 1}, World.now());
  PeerPong Pong;
  Pong.From = State.Cells.Self;
  Pong.Incarnation = State.Cells.Incarnation;
  Pong.HasUpstreamList = true;
  for (const auto &[Cell, Claim] : State.Cells.Claims)
    Pong.Claims.push_back({Cell, Claim.Token});
  State.Cells.Peers[Alias].PingSent = World.now();
  reduce(State, {World.now(), Wall, PingAnswered{Alias, Pong}});
  reduce(State, {World.now() + milliseconds(20), Wall, InstanceTick{}});
  EXPECT_EQ(State.Cells.Claims.size(), Claims);
  EXPECT_EQ(availableSenders(State.Cells, World.now()),
            std::vector<Address>{Endpoint});
}

// Guards against a sender that its peers regard as unreachable, because they
// reject the load in its messages: a few records with the largest capacity
// exceed the limit of a load.
TEST(OddRecords, LoadOfHugeUpstreamsIsBoundedBeforeItIsSent) {
  PeerPong Pong;
  for (int64_t Cpu : {INT64_MAX, INT64_MIN, int64_t{1} << 41}) {
    Pong.Load.TotalCpu = Pong.Load.FreeCpu = Cpu;
    EXPECT_FALSE(failed(decodePong(encodePong(Pong)))) << Cpu;
  }
}

// Guards against a log that is flooded by unreadable records, one line for each
// read, and against unreadable records that are nowhere shown.
TEST(OddRecords, UnreadableRecordsAreLoggedWhenTheirNumberChanges) {
  RunningSender S;
  uint64_t Revision = 1000000;
  auto Read = [&](size_t Unreadable) {
    S.Now += seconds(3);
    WallTime Wall = WallTime{} + seconds(1000000);
    CollectionReadAnswered Event;
    Event.Collection = StoreCollection::Upstreams;
    for (const InstanceEffect &E :
         reduce(S.State, {S.Now, Wall, InstanceTick{}}))
      if (const auto *Call = std::get_if<ReadCollection>(&E);
          Call && Call->Collection == Event.Collection)
        Event.Sequence = Call->Sequence;
    EXPECT_NE(Event.Sequence, 0U);
    Event.Status = StoreStatus::Done;
    Event.Revision = {++Revision};
    Event.UnreadableRecords = Unreadable;
    return countLogs(reduce(S.State, {S.Now, Wall, Event}), "unreadable");
  };
  EXPECT_EQ(Read(0), 0U);
  for (size_t I = 0; I < 10; ++I)
    EXPECT_EQ(Read(3), I == 0 ? 1U : 0U);
  EXPECT_EQ(Read(4), 1U);
  for (size_t I = 0; I < 10; ++I)
    EXPECT_EQ(Read(0), I == 0 ? 1U : 0U);
}

// Guards against calls in a tight loop to an instance of the list that never
// answers, for as long as its entry stays.
TEST(OddRecords, InstanceThatNeverAnswersIsPingedAtTheUsualPeriod) {
  CellWorld World;
  World.addUpstream({"up-1"});
  Address Endpoint = World.addInstance("sender", "centre-a");
  World.run(seconds(4));
  FleetInstance State = World.state(Endpoint);
  SteadyTime Start = World.now();
  for (const char *Centre : {"centre-a", "centre-b"}) {
    Address Dead{std::string("10.99.99.99:70-") + Centre};
    addPeer(State.Cells, {Dead, {Centre}, 1}, Start);
    size_t Pings = 0;
    // A peer that is new may be starting, and is tried more often at first.
    SteadyTime CountFrom = Start + DiscoveryTime + PingTimeout;
    for (SteadyTime Now = Start; Now < CountFrom + seconds(10);
         Now += milliseconds(20)) {
      InstanceEffects Out;
      sendPings(State.Cells, Now, Out);
      for (const InstanceEffect &E : Out) {
        const auto *Ping = std::get_if<SendPing>(&E);
        if (!Ping || Ping->Endpoint != Dead)
          continue;
        Pings += Now >= CountFrom ? 1 : 0;
        applyPong(State.Cells, {Dead, std::nullopt, Pings % 2 == 0}, Now, Out);
      }
    }
    // The shortest period of pings is 250 ms.
    EXPECT_LE(Pings, 41U) << Centre;
    EXPECT_GE(Pings, 1U) << Centre;
  }
}

// Guards against starts on an upstream of another service: another writer left
// an entry under its id that names the service of a route and lacks the start
// of the process, which the upstream itself reports.
TEST(OddRecords, RecordThatLacksTheReportedStartIsNotUsed) {
  RunningSender S;
  UpstreamRecord Proper = S.upstream().Record;
  UpstreamRecord Odd = Proper;
  Odd.StartedAt = 0;
  Odd.Service = {"another"};
  Odd.Endpoint = {"10.8.8.8:80"};
  S.list({Odd, completeRecord()});
  EXPECT_EQ(S.startsOf("b", Odd.Service), 0U);
  EXPECT_EQ(S.startsOf("c", Proper.Service), 0U);
  // The run goes on, and is renewed at the upstream's own address.
  EXPECT_EQ(S.upstream().Runs.size(), 1U);
  EXPECT_EQ(S.upstream().Record.Endpoint, Proper.Endpoint);
  // The job that has waited is started with the next one.
  S.list({Proper, completeRecord()});
  EXPECT_EQ(S.startsOf("d", Proper.Service), 2U);
}

// As above, with an upstream that the sender knows from that entry only.
TEST(OddRecords, NewUpstreamIsNotUsedByARecordThatLacksTheReportedStart) {
  RunningSender S;
  int64_t StartedAt = S.upstream().StartedAt;
  UpstreamRecord Odd = S.upstream().Record;
  Odd.StartedAt = 0;
  S.State.Sender.Upstreams.clear();
  S.list({Odd, completeRecord()});
  S.upstream().RenewalPending = true;
  S.report(StartedAt);
  ASSERT_EQ(S.upstream().Phase, UpstreamPhase::Ready);
  EXPECT_EQ(S.startsOf("b", Odd.Service), 0U);
}

// Guards against a deployment that is not served, because its upstreams don't
// state the start of their process in their records.
TEST(OddRecords, UpstreamsThatStateNoStartAreUsed) {
  RunningSender Without;
  UpstreamRecord Record = Without.upstream().Record;
  Record.StartedAt = 0;
  Without.list({Record});
  EXPECT_EQ(Without.startsOf("b", Record.Service), 1U);
  // One that doesn't report it either, beside others that state it.
  RunningSender Beside;
  Beside.upstream().StartedAt = 0;
  Beside.upstream().Record.StartedAt = 0;
  Beside.list({Record, completeRecord()});
  EXPECT_EQ(Beside.startsOf("b", Record.Service), 1U);
}
