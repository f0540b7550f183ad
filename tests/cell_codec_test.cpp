/// \file Messages between instances of a fleet of cells keep every field when
/// encoded and decoded.
#include "rpc/cell_codec.h"
#include "rpc/job_codec.h"

#include "core/json_func.h"
#include "rpc/rpc_codec.h"
#include "rpc/rpc_server.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using std::chrono::milliseconds;

namespace {

template <typename T> T decoded(Result<T> R) {
  EXPECT_FALSE(failed(R)) << errorOf(R).Message;
  return std::move(valueOf(R));
}

const InstanceRecord Instance{{"10.0.0.1:7000"}, {"centre-a"}, 0.25};
const CellClaim Claim{{{"centre-a"}, 2}, {77}};

SenderLoad someLoad() {
  SenderLoad Load;
  Load.Delay = milliseconds(12);
  Load.FreeCpu = 3000;
  Load.TotalCpu = 64000;
  Load.Waiting = 5;
  return Load;
}

void expectSame(const SenderLoad &L, const SenderLoad &R) {
  EXPECT_EQ(L.Delay, R.Delay);
  EXPECT_EQ(L.FreeCpu, R.FreeCpu);
  EXPECT_EQ(L.TotalCpu, R.TotalCpu);
  EXPECT_EQ(L.Waiting, R.Waiting);
}

void expectSame(const InstanceRecord &L, const InstanceRecord &R) {
  EXPECT_EQ(L.Endpoint, R.Endpoint);
  EXPECT_EQ(L.Centre, R.Centre);
  EXPECT_EQ(L.Weight, R.Weight);
}

void expectSame(const std::vector<CellClaim> &L,
                const std::vector<CellClaim> &R) {
  ASSERT_EQ(L.size(), R.size());
  for (size_t I = 0; I < L.size(); ++I) {
    EXPECT_EQ(L[I].Cell, R[I].Cell);
    EXPECT_EQ(L[I].Token, R[I].Token);
  }
}

} // namespace

// Guards against a field missing from the encoded ping: the receiver would use
// its default instead of the sender's value.
TEST(CellCodecTest, PingKeepsItsFields) {
  PeerPing In{Instance, {9}, true, true, true, 41, {{{"job-1"}, 7}}, {Claim}};
  PeerPing Out = decoded(decodePing(encodePing(In)));
  expectSame(Out.From, In.From);
  EXPECT_EQ(Out.Incarnation, In.Incarnation);
  EXPECT_EQ(Out.Draining, In.Draining);
  EXPECT_EQ(Out.WantsKnownInstances, In.WantsKnownInstances);
  EXPECT_EQ(Out.HasUpstreamList, In.HasUpstreamList);
  EXPECT_EQ(Out.OldestAwaitedJob, In.OldestAwaitedJob);
  EXPECT_EQ(Out.CancelledJobs, In.CancelledJobs);
  expectSame(Out.Claims, In.Claims);
}

// As above, for pongs.
TEST(CellCodecTest, PongKeepsItsFields) {
  PeerPong In{Instance,   {9},        true,       true, {Claim},
              someLoad(), {{"up-1"}}, {Instance}, 13,   41};
  PeerPong Out = decoded(decodePong(encodePong(In)));
  expectSame(Out.From, In.From);
  EXPECT_EQ(Out.Incarnation, In.Incarnation);
  EXPECT_EQ(Out.Draining, In.Draining);
  EXPECT_EQ(Out.HasUpstreamList, In.HasUpstreamList);
  expectSame(Out.Claims, In.Claims);
  expectSame(Out.Load, In.Load);
  EXPECT_EQ(Out.UpstreamsInUse, In.UpstreamsInUse);
  ASSERT_EQ(Out.KnownInstances.size(), 1U);
  expectSame(Out.KnownInstances.front(), Instance);
  EXPECT_EQ(Out.ConfigurationVersion, In.ConfigurationVersion);
  EXPECT_EQ(Out.OldestAwaitedJob, In.OldestAwaitedJob);
}

// As above, for forwarded jobs.
TEST(CellCodecTest, OrderKeepsItsFields) {
  JobOrder In;
  In.Id = {"job-1"};
  In.Entry = Instance.Endpoint;
  In.Incarnation = {9};
  In.Number = 44;
  In.Queue = "queue";
  In.Service = {"service"};
  In.Priority = 2;
  In.MaxAttempts = 3;
  In.Stretch = 1.6;
  In.Slack = milliseconds(60);
  In.Remaining = milliseconds(1500);
  In.Age = milliseconds(20);
  In.Spec = "spec";
  In.Step = {8, {14000, 64, 1}, milliseconds(51), "r1-1", "b", 2};
  In.Crashes = {{2, {"up-1"}, 1, CrashEvidence::InProgress}, {5, {"up-2"}, 7}};
  JobOrder Out = decoded(decodeJobOrder(encodeJobOrder(In)));
  EXPECT_EQ(Out.Id, In.Id);
  EXPECT_EQ(Out.Entry, In.Entry);
  EXPECT_EQ(Out.Incarnation, In.Incarnation);
  EXPECT_EQ(Out.Number, In.Number);
  EXPECT_EQ(Out.Queue, In.Queue);
  EXPECT_EQ(Out.Service, In.Service);
  EXPECT_EQ(Out.Priority, In.Priority);
  EXPECT_EQ(Out.MaxAttempts, In.MaxAttempts);
  EXPECT_EQ(Out.Stretch, In.Stretch);
  EXPECT_EQ(Out.Slack, In.Slack);
  EXPECT_EQ(Out.Remaining, In.Remaining);
  EXPECT_EQ(Out.Age, In.Age);
  EXPECT_EQ(Out.Spec, In.Spec);
  EXPECT_EQ(Out.Step.Count, In.Step.Count);
  EXPECT_EQ(Out.Step.PerTask.CpuMillis, In.Step.PerTask.CpuMillis);
  EXPECT_EQ(Out.Step.PerTask.MemoryMb, In.Step.PerTask.MemoryMb);
  EXPECT_EQ(Out.Step.PerTask.Accelerators, In.Step.PerTask.Accelerators);
  EXPECT_EQ(Out.Step.Estimate, In.Step.Estimate);
  EXPECT_EQ(Out.Step.Rack, In.Step.Rack);
  EXPECT_EQ(Out.Step.Requirement, In.Step.Requirement);
  EXPECT_EQ(Out.Step.MaxPerUpstream, In.Step.MaxPerUpstream);
  EXPECT_EQ(Out.Crashes, In.Crashes);
}

// As above, for the results of forwarded jobs.
TEST(CellCodecTest, ResultKeepsItsFields) {
  JobResult In{JobOutcome::NotRun,
               "reason",
               milliseconds(1200),
               true,
               true,
               someLoad(),
               {{2, {"up-1"}, 1}},
               true,
               true};
  JobResult Out = decoded(decodeJobResult(encodeJobResult(In)));
  EXPECT_EQ(Out.Outcome, In.Outcome);
  EXPECT_EQ(Out.Reason, In.Reason);
  EXPECT_EQ(Out.RetryAfter, In.RetryAfter);
  EXPECT_EQ(Out.Moved, In.Moved);
  EXPECT_EQ(Out.Leaving, In.Leaving);
  expectSame(Out.Load, In.Load);
  EXPECT_EQ(Out.Crashes, In.Crashes);
  EXPECT_EQ(Out.MayHaveRun, In.MayHaveRun);
  EXPECT_EQ(Out.Cancelled, In.Cancelled);
}

// Guards against messages that earlier versions reject for an unknown field:
// they are sent to them while a fleet is upgraded.
TEST(CellCodecTest, CrashesAndCancellationsAreLeftOutIfThereAreNone) {
  EXPECT_FALSE(encodeJobOrder({}).isMember("crash_records"));
  EXPECT_FALSE(encodeJobResult({}).isMember("crash_records"));
  EXPECT_FALSE(encodeJobResult({}).isMember("cancelled"));
}

// Guards against a job whose forward is rejected because an earlier version has
// recorded a crash with evidence that this one doesn't tell apart.
TEST(CellCodecTest, EvidenceOfEarlierVersionsIsRead) {
  JobOrder In;
  In.Id = {"job-1"};
  In.Crashes = {{2, {"up-1"}, 1, CrashEvidence::InProgress}};
  Json::Value Message = encodeJobOrder(In);
  Message["crash_records"][0]["evidence"] = 2;
  EXPECT_EQ(decoded(decodeJobOrder(Message)).Crashes, In.Crashes);
  Message["crash_records"][0]["evidence"] = 3;
  EXPECT_TRUE(failed(decodeJobOrder(Message)));
}

// As above, for queries of results and their answers.
TEST(CellCodecTest, ResultQueryAndReplyKeepTheirFields) {
  ResultQuery Query{Instance.Endpoint, {9}, {{{"job-1"}, 44}, {{"job-2"}, 45}}};
  ResultQuery Asked = decoded(decodeResultQuery(encodeResultQuery(Query)));
  EXPECT_EQ(Asked.Entry, Query.Entry);
  EXPECT_EQ(Asked.Incarnation, Query.Incarnation);
  ASSERT_EQ(Asked.Jobs.size(), 2U);
  EXPECT_EQ(Asked.Jobs[1].Id, Query.Jobs[1].Id);
  EXPECT_EQ(Asked.Jobs[1].Number, Query.Jobs[1].Number);
  ResultReply Reply;
  Reply.Jobs.push_back({44, std::nullopt});
  Reply.Jobs.push_back({45, JobResult{}});
  Reply.Jobs.back().Result->Outcome = JobOutcome::Failed;
  ResultReply Out = decoded(decodeResultReply(encodeResultReply(Reply)));
  ASSERT_EQ(Out.Jobs.size(), 2U);
  EXPECT_EQ(Out.Jobs[0].Number, 44U);
  EXPECT_FALSE(Out.Jobs[0].Result);
  EXPECT_EQ(Out.Jobs[1].Number, 45U);
  ASSERT_TRUE(Out.Jobs[1].Result);
  EXPECT_EQ(Out.Jobs[1].Result->Outcome, JobOutcome::Failed);
}

// Guards against a new method that breaks a fleet while it is upgraded: earlier
// versions answer it with an error, and go on serving pings.
TEST(CellCodecTest, EarlierVersionsAnswerResultQueriesWithAnError) {
  RpcServer Earlier;
  Earlier.bind("cell.ping", [](const Json::Value &) {
    return Json::Value(Json::objectValue);
  });
  std::string Query = encodeRpcRequest(
      "cell.results", encodeResultQuery({Instance.Endpoint, {9}, {}}));
  EXPECT_TRUE(failed(decodeRpcResponse(Earlier.handle(Query))));
  std::string Ping = encodeRpcRequest("cell.ping", encodePing({}));
  EXPECT_FALSE(failed(decodeRpcResponse(Earlier.handle(Ping))));
}

// As above, for the flag of rejected jobs.
TEST(CellCodecTest, FlagOfEarlierRunsIsLeftOutIfItIsNotSet) {
  EXPECT_FALSE(encodeJobResult({}).isMember("may_have_run"));
}

// As above, for queries of open jobs and their answers.
TEST(CellCodecTest, OpenJobQueryAndReplyKeepTheirFields) {
  OpenJobQuery Query{{{{"job-1"}, true}, {{"job-2"}, false}}};
  OpenJobQuery Asked = decoded(decodeOpenJobQuery(encodeOpenJobQuery(Query)));
  ASSERT_EQ(Asked.Jobs.size(), 2U);
  EXPECT_EQ(Asked.Jobs[0].Id, Query.Jobs[0].Id);
  EXPECT_TRUE(Asked.Jobs[0].Cancel);
  EXPECT_EQ(Asked.Jobs[1].Id, Query.Jobs[1].Id);
  EXPECT_FALSE(Asked.Jobs[1].Cancel);
  OpenJobReply Reply{{0, 255}};
  EXPECT_EQ(decoded(decodeOpenJobReply(encodeOpenJobReply(Reply))).Open,
            Reply.Open);
}

// Guards against a later version whose additions make its queries unreadable.
TEST(CellCodecTest, AddedFieldsOfOpenJobMessagesAreIgnored) {
  Json::Value Query = encodeOpenJobQuery({{{{"job-1"}, true}}});
  Query["added"] = 1;
  EXPECT_EQ(decoded(decodeOpenJobQuery(Query)).Jobs.size(), 1U);
  Json::Value Reply = encodeOpenJobReply({{0}});
  Reply["added"] = 1;
  EXPECT_EQ(decoded(decodeOpenJobReply(Reply)).Open.size(), 1U);
}

// Guards against a malformed message that is taken for an answer that no job is
// open, or for a query of other jobs.
TEST(CellCodecTest, MalformedOpenJobMessagesAreErrors) {
  auto Query = [](const char *Text) {
    return decodeOpenJobQuery(valueOf(parseJson(Text)));
  };
  for (const char *Text : {"{}", R"({"jobs": {}})", R"({"jobs": ["job-1"]})",
                           R"({"jobs": [{"cancel": true}]})",
                           R"({"jobs": [{"id": "a", "cancel": 1}]})",
                           R"({"jobs": [{"id": "a", "state": "x"}]})"}) {
    Result<OpenJobQuery> Decoded = Query(Text);
    ASSERT_TRUE(failed(Decoded)) << Text;
    EXPECT_FALSE(errorOf(Decoded).Message.empty());
  }
  EXPECT_TRUE(failed(
      decodeOpenJobQuery(encodeOpenJobQuery({{{{std::string(257, 'a')}}}}))));
  EXPECT_TRUE(failed(decodeOpenJobQuery(
      encodeOpenJobQuery({std::vector<QueriedJob>(257, {{"a"}, true})}))));
  for (const char *Text :
       {"{}", R"({"open": 0})", R"({"open": [-1]})", R"({"open": [256]})",
        R"({"open": ["0"]})", R"({"open": [0.5]})"})
    EXPECT_TRUE(failed(decodeOpenJobReply(valueOf(parseJson(Text))))) << Text;
}

// Guards against queries that break a fleet while it is upgraded, as for
// queries of results.
TEST(CellCodecTest, EarlierVersionsAnswerOpenJobQueriesWithAnError) {
  RpcServer Earlier;
  Earlier.bind("cell.ping", [](const Json::Value &) {
    return Json::Value(Json::objectValue);
  });
  std::string Query =
      encodeRpcRequest("cell.open_jobs", encodeOpenJobQuery({{{{"job-1"}}}}));
  EXPECT_TRUE(failed(decodeRpcResponse(Earlier.handle(Query))));
  std::string Ping = encodeRpcRequest("cell.ping", encodePing({}));
  EXPECT_FALSE(failed(decodeRpcResponse(Earlier.handle(Ping))));
}

// Guards against instances that don't learn of an evacuation from their peers.
TEST(CellCodecTest, PongAndSnapshotKeepTheEvacuations) {
  PeerPong Pong;
  Pong.From = Instance;
  EXPECT_FALSE(encodePong(Pong).isMember("evacuation"));
  EXPECT_FALSE(encodeSnapshot({}).isMember("evacuation"));
  Pong.Evacuation = EvacuationSet{{{"a"}, {"b"}}, {12}};
  SnapshotFetched Snapshot;
  Snapshot.Evacuation = Pong.Evacuation;
  for (const auto &Received :
       {decoded(decodePong(encodePong(Pong))).Evacuation,
        decoded(decodeSnapshot(encodeSnapshot(Snapshot))).Evacuation}) {
    ASSERT_TRUE(Received);
    EXPECT_EQ(Received->Centres, Pong.Evacuation->Centres);
    EXPECT_EQ(Received->Revision, Pong.Evacuation->Revision);
  }
  // Another writer's thousands of keys must not cost an instance its peers.
  for (int I = 0; I < 300; ++I)
    Pong.Evacuation->Centres.insert({"c" + std::to_string(I)});
  EXPECT_FALSE(decoded(decodePong(encodePong(Pong))).Evacuation);
}

// Guards against a request for the evacuations that earlier versions reject,
// and against an answer with them to an instance that has not asked.
TEST(CellCodecTest, EvacuationsAreAskedForBesideTheMessage) {
  RpcServer Earlier;
  bool Decoded = false;
  Earlier.bind("cell.ping", [&Decoded](const Json::Value &Message) {
    Decoded = !failed(decodePing(Message));
    return Json::Value(Json::objectValue);
  });
  RpcServer Later;
  bool Wanted = false;
  Later.bind("cell.ping",
             [&Wanted](const Json::Value &, const Json::Value &Parameters) {
               Wanted = wantsEvacuation(Parameters);
               return Json::Value(Json::objectValue);
             });
  PeerPing Ping;
  Ping.From = Instance;
  for (bool Wants : {true, false}) {
    std::string Request =
        encodeRpcRequest("cell.ping", encodePing(Ping), Wants);
    Decoded = false;
    EXPECT_FALSE(failed(decodeRpcResponse(Earlier.handle(Request))));
    EXPECT_TRUE(Decoded);
    Later.handle(Request);
    EXPECT_EQ(Wanted, Wants);
  }
}
