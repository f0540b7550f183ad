/// \file Tests of the messages between instances: malformed ones, and numbers
/// that overflow or exhaust the memory.
#include "rpc/cell_codec.h"
#include "rpc/job_codec.h"
#include "rpc/rpc_codec.h"
#include "rpc/rpc_server.h"

#include "cells/cell_cmd.h"
#include "cells/cell_table.h"
#include "core/json_func.h"
#include "instance/instance_reducer.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <random>

namespace snipeshunt {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const InstanceRecord Sender{{"10.0.0.1:7000"}, {"centre-a"}, 0.25};
const CellClaim Claim{{{"centre-a"}, 2}, {77}};

JobOrder someOrder() {
  JobOrder Order;
  Order.Id = {"job-1"};
  Order.Entry = Sender.Endpoint;
  Order.Incarnation = {9};
  Order.Number = 44;
  Order.Queue = "queue";
  Order.Service = {"service"};
  Order.MaxAttempts = 3;
  Order.Stretch = 1.6;
  Order.Slack = milliseconds(60);
  Order.Remaining = milliseconds(1500);
  Order.Age = milliseconds(20);
  Order.Spec = "spec";
  Order.Step = {8, {14000, 64, 1}, milliseconds(51), "r1-1", "b", 2};
  return Order;
}

UpstreamRecord someUpstream() {
  UpstreamRecord U;
  U.Id = {"up-1"};
  U.Endpoint = {"10.1.0.1:8000"};
  U.Centre = {"centre-a"};
  U.Service = {"service"};
  U.Kind = "plain";
  U.Rack = "r1";
  U.Capacity = {64000, 262144, 1};
  U.StartedAt = 1700000000000;
  return U;
}

/// Returns a message of each kind that instances exchange.
std::vector<std::string> validMessages() {
  PeerPing Ping{Sender, {9}, true, true, true, 41, {{{"job-1"}, 7}}, {Claim}};
  PeerPong Pong;
  Pong.From = Sender;
  Pong.Claims = {Claim};
  Pong.Load = {milliseconds(12), 3000, 64000, 5};
  Pong.UpstreamsInUse = {{"up-1"}};
  Pong.KnownInstances = {Sender};
  Pong.CancelledJobs = {{{"job-2"}, 8}};
  Pong.Evacuation = EvacuationSet{{{"a"}, {"b"}}, {12}};
  SnapshotFetched Snapshot;
  Snapshot.Configuration.emplace();
  Snapshot.Configuration->Version = 3;
  Snapshot.Configuration->Routes.push_back(
      {"q", "h", "/p/", {"service"}, 1, 3, 1.6, milliseconds(60)});
  Snapshot.Upstreams = {someUpstream()};
  Snapshot.Evacuation = Pong.Evacuation;
  JobResult Result{
      JobOutcome::NotRun,         "reason", milliseconds(1200), true, true,
      {milliseconds(12), 1, 2, 3}};
  ResultQuery Query{Sender.Endpoint, {9}, {{{"job-1"}, 44}}};
  ResultReply Reply;
  Reply.Jobs = {{44, std::nullopt}, {45, Result}};
  HandoverMessage Handover;
  Handover.Tasks.emplace_back();
  Handover.Tasks.back().Spec = std::make_shared<TaskSpec>();
  ReportMessage Report;
  Report.Reports.emplace_back();
  RevokeMessage Revoke;
  Revoke.Tasks.emplace_back();
  Heartbeat Beat;
  Beat.Successor = IncarnationId{4};
  Beat.KnownInstances.emplace_back();
  Beat.Departed.emplace_back();
  SendAnswers Answers;
  Answers.Answers.emplace_back();
  std::vector<std::string> Texts;
  for (const Json::Value &V :
       {encodePing(Ping), encodePong(Pong), encodeSnapshot(Snapshot),
        encodeJobOrder(someOrder()), encodeJobResult(Result),
        encodeResultQuery(Query), encodeResultReply(Reply),
        encodeOpenJobQuery({{{{"job-1"}, true}, {{"job-2"}, false}}}),
        encodeOpenJobReply({{0, 1}}), encodeHandover(Handover),
        encodeHandoverReply({}), encodeReport(Report), encodeReportReply({}),
        encodeRevoke(Revoke), encodeRevokeReply({}), encodeHeartbeat(Beat),
        encodeConfiguration({}), encodeAnswers({1}, Answers)})
    Texts.push_back(writeJson(V));
  return Texts;
}

// Values that replace parts of a message.
const char *const Values[] = {
    "null", "[]",          "{}",       "\"\"",
    "-1",   "1e300",       "[1]",      "18446744073709551615",
    "true", "\"\\u0000\"", "0",        "9223372036854775808",
    "[{}]", "[[\"a\"]]",   "\"\xff\"", "4294967296"};

/// Counts the decoders that accept \p Message.
size_t decodeAll(const Json::Value &Message) {
  size_t Accepted = 0;
  auto Count = [&Accepted](const auto &Decoded) {
    Accepted += failed(Decoded) ? 0 : 1;
  };
  Count(decodePing(Message));
  Count(decodePong(Message));
  Count(decodeSnapshot(Message));
  Count(decodeJobOrder(Message));
  Count(decodeJobResult(Message));
  Count(decodeResultQuery(Message));
  Count(decodeResultReply(Message));
  Count(decodeOpenJobQuery(Message));
  Count(decodeOpenJobReply(Message));
  Count(decodeHandover(Message));
  Count(decodeHandoverReply(Message));
  Count(decodeReport(Message));
  Count(decodeReportReply(Message));
  Count(decodeRevoke(Message));
  Count(decodeRevokeReply(Message));
  Count(decodeHeartbeat(Message));
  Count(decodeConfiguration(Message));
  Count(decodeAnswers(Message));
  return Accepted;
}

/// Changes \p Text in one place: a value, a byte, a deeply nested value, or the
/// end.
std::string mutated(std::string Text, std::mt19937 &Random) {
  size_t At = Random() % Text.size();
  switch (Random() % 8) {
  case 0:
    return Text.substr(0, At);
  case 1:
    Text[At] = static_cast<char>(Random() % 256);
    return Text;
  case 2:
    return Text.substr(0, At) + std::string(2000, "[{"[Random() % 2]) +
           Text.substr(At);
  default: {
    size_t Begin = Text.find(':', At);
    if (Begin == std::string::npos)
      return Text + Values[Random() % std::size(Values)];
    size_t End = Text.find_first_of(",}", Begin);
    return Text.substr(0, Begin + 1) + Values[Random() % std::size(Values)] +
           Text.substr(std::min(End, Text.size()));
  }
  }
}

} // namespace

// Guards against a peer's malformed message that ends the process: jsoncpp
// throws an exception where a value has another type than the caller assumes,
// and on deep nesting.
TEST(CellCodecMalformed, MalformedMessagesAreErrorsNotExceptions) {
  std::mt19937 Random(20261204);
  const std::vector<std::string> Valid = validMessages();
  for (const std::string &Text : Valid)
    EXPECT_EQ(decodeAll(valueOf(parseJson(Text))), 1U) << Text;
  size_t Accepted = 0;
  for (int Case = 0; Case < 20000; ++Case) {
    std::string Text = Valid[Random() % Valid.size()];
    for (uint32_t I = 0, Count = 1 + Random() % 3; I < Count && !Text.empty();
         ++I)
      Text = mutated(Text, Random);
    ASSERT_NO_THROW({
      Result<Json::Value> Parsed = parseJson(Text);
      if (!failed(Parsed))
        Accepted += decodeAll(valueOf(Parsed));
      decodeRpcResponse(Text);
    }) << Text;
  }
  // Mutations that leave a message valid show that the decoders are reached.
  EXPECT_GT(Accepted, 100U);
}

// Guards against the same in the JSON-RPC envelope, and against a request
// without an answer, whose connection would stay open.
TEST(CellCodecMalformed, MalformedRequestsGetAnErrorResponse) {
  RpcServer Server;
  size_t Handled = 0;
  Server.bind("cell.ping", [&Handled](const Json::Value &Message) {
    Result<PeerPing> Decoded = decodePing(Message);
    if (failed(Decoded))
      return encodeRpcError(errorOf(Decoded));
    ++Handled;
    return Json::Value(Json::objectValue);
  });
  std::string Valid = encodeRpcRequest(
      "cell.ping", valueOf(parseJson(validMessages().front())));
  EXPECT_FALSE(failed(decodeRpcResponse(Server.handle(Valid))));
  std::mt19937 Random(20261204);
  for (int Case = 0; Case < 5000; ++Case) {
    std::string Text = Valid;
    for (uint32_t I = 0, Count = 1 + Random() % 3; I < Count && !Text.empty();
         ++I)
      Text = mutated(Text, Random);
    std::string Response;
    ASSERT_NO_THROW(Response = Server.handle(Text)) << Text;
    // A request without an id is a notification, which JSON-RPC does not
    // answer.
    if (Text.find("\"id\":1") != std::string::npos) {
      EXPECT_FALSE(Response.empty()) << Text;
    }
    ASSERT_NO_THROW(decodeRpcResponse(Response)) << Text;
  }
  EXPECT_GT(Handled, 100U);
}

// Guards against a job of a peer that exhausts the memory by the number of its
// tasks, and against one without tasks, which never ends.
TEST(CellCodecMalformed, JobsWithTooManyOrNoTasksAreRejected) {
  for (int64_t Count : {int64_t{0}, int64_t{10001}, int64_t{4000000000}}) {
    Json::Value Order = encodeJobOrder(someOrder());
    Order["step"]["count"] = Json::Int64(Count);
    EXPECT_TRUE(failed(decodeJobOrder(Order))) << Count;
  }
  Json::Value Largest = encodeJobOrder(someOrder());
  Largest["step"]["count"] = 10000;
  EXPECT_FALSE(failed(decodeJobOrder(Largest)));
}

// Guards against needs of tasks whose sum over a job and its queue overflows:
// the sender would count a full queue as free capacity.
TEST(CellCodecMalformed, NeedsOfTasksAreBounded) {
  Json::Value Order = encodeJobOrder(someOrder());
  for (const char *Name : {"cpu", "memory_mb", "accelerators"}) {
    Json::Value Huge = Order;
    Huge["step"][Name] = Json::Int64(int64_t{1} << 40);
    EXPECT_TRUE(failed(decodeJobOrder(Huge))) << Name;
  }
}

// Guards against the start time of an upstream that becomes negative by a
// cast: each later record of the upstream would count as a new process.
TEST(CellCodecMalformed, StartTimesOfUpstreamsAreBounded) {
  SnapshotFetched Message;
  Message.Upstreams = {someUpstream()};
  Json::Value Snapshot = encodeSnapshot(Message);
  Snapshot["upstreams"][0]["born"] = Json::UInt64(UINT64_MAX);
  EXPECT_TRUE(failed(decodeSnapshot(Snapshot)));
}

// Guards against ids of any length, which a peer would make this instance keep.
TEST(CellCodecMalformed, IdsInListsAreBounded) {
  PeerPong Pong;
  Pong.UpstreamsInUse = {{std::string(100000, 'x')}};
  EXPECT_TRUE(failed(decodePong(encodePong(Pong))));
  Json::Value Ping = encodePing({});
  Ping["cancelled"].append(std::string(100000, 'x'));
  EXPECT_TRUE(failed(decodePing(Ping)));
}

// Guards against an instance that its peers regard as unreachable, because they
// reject a duration in its messages as too long.
TEST(CellCodecMalformed, LongDurationsAreShortenedBeforeTheyAreSent) {
  JobResult Result;
  Result.RetryAfter = Result.Load.Delay = std::chrono::hours(24 * 365);
  EXPECT_FALSE(failed(decodeJobResult(encodeJobResult(Result))));
  PeerPong Pong;
  Pong.Load.Delay = std::chrono::hours(24 * 365);
  EXPECT_FALSE(failed(decodePong(encodePong(Pong))));
}

// Guards against an objective that overflows and lies in the past: a job with a
// long estimate, or of a queue with a large factor, would be rejected as late
// by an idle sender. The same limits apply to callers' jobs.
TEST(CellCodecNumbers, LongObjectivesDoNotOverflow) {
  testing::CellWorld World;
  World.addUpstream({"u"});
  Address Endpoint = World.addInstance("sender", "centre-a");
  World.run(seconds(2));
  FleetInstance State = World.state(Endpoint);
  JobOrder Order = someOrder();
  Order.Step = {1, {1000, 64, 0}, std::chrono::hours(24 * 20), "", "", 0};
  Order.Stretch = 1e6;
  Order.Remaining = std::chrono::hours(24 * 30);
  ASSERT_FALSE(failed(decodeJobOrder(encodeJobOrder(Order))));
  PingArrived Ping;
  Ping.Message.From = {Order.Entry, {"centre-a"}, 0.1};
  Ping.Message.Incarnation = Order.Incarnation;
  WallTime Wall = WallTime{} + seconds(1000000);
  reduce(State, {World.now(), Wall, Ping});
  reduce(State, {World.now(), Wall, JobArrived{RequestId{1}, Order}});
  EXPECT_EQ(State.Sender.Jobs.count(Order.Id), 1U);
  for (const auto &[Id, J] : State.Sender.Jobs)
    EXPECT_GT(J.Objective, World.now());
}

// Guards against a cell that no instance can claim any more: after a claim with
// the highest token, the next token overflowed to the lowest one.
TEST(CellCodecNumbers, HighestTokenOfAClaimDoesNotOverflow) {
  Json::Value Ping = encodePing({});
  Ping["claims"].append(Json::Value(Json::objectValue));
  Ping["claims"][0]["data_centre"] = "centre-a";
  Ping["claims"][0]["index"] = 0;
  for (uint64_t Token : {UINT64_MAX, uint64_t{1} << 63}) {
    Ping["claims"][0]["token"] = Json::UInt64(Token);
    EXPECT_TRUE(failed(decodePing(Ping))) << Token;
  }
}

// Guards against claims to cells that don't exist, which each receiver would
// remember for as long as it runs.
TEST(CellCodecNumbers, ClaimsToUnknownCellsAreNotRemembered) {
  CellState State;
  State.Self = {{"10.0.0.2:7000"}, {"centre-a"}, 0.5};
  SteadyTime Now{seconds(100)};
  InstanceEffects Out;
  for (uint32_t I = 0; I < 100; ++I) {
    PingArrived Ping;
    Ping.Message.From = Sender;
    Ping.Message.Claims = {{{{"centre-a"}, CellsPerCentre + I}, {77}},
                           {{{"centre-" + std::to_string(I)}, 1}, {77}},
                           {{{"centre-a"}, 1}, {77}}};
    applyPing(State, Ping, {}, Now, Out);
  }
  EXPECT_EQ(State.HighestToken.size(), 1U);
}

} // namespace snipeshunt
