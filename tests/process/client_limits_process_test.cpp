/// \file Clients that send what no well-behaved client sends, against one
/// instance. Checked are only facts that don't depend on the machine's speed.
#include "core/base64_func.h"
#include "crowd.h"
#include "standins/cell_fleet.h"

namespace snipeshunt {
namespace {

// Jobs of 250 KB. An instance needs three times their size.
constexpr size_t LargeJobs = 300;

/// One instance, two runners and the clients of a test.
class ClientLimitsProcessTest : public ::testing::Test {
protected:
  void start(size_t Descriptors = 0) {
    raiseDescriptorLimit();
    CellFleetOptions Options;
    Options.BinaryDir = BINARY_DIR;
    Options.Instances = 1;
    Options.Runners = 2;
    Options.DescriptorLimit = Descriptors;
    Fleet = std::make_unique<CellFleet>(Options);
    ASSERT_FALSE(failed(Fleet->start()));
    ASSERT_TRUE(Fleet->waitUntilReady()) << Fleet->allLogs();
    HttpReply Reply = Fleet->submit(0, "00000000000000a1", 1, 5);
    ASSERT_EQ(Reply.Status, 200) << Reply.Body << Fleet->allLogs();
  }

  /// Checks the instance while the clients are still connected.
  void expectInstanceServes() {
    expectWithinMemory(Fleet->process(0));
    HttpReply Reply = Fleet->submit(0, "00000000000000a2", 1, 5);
    EXPECT_EQ(Reply.Status, 200) << Reply.Body;
    EXPECT_FALSE(Fleet->process(0).wait(Duration::zero())) << "has ended";
  }

  std::unique_ptr<CellFleet> Fleet;
};

std::string postHeader(size_t BodySize) {
  return "POST /jobs/00000000000000b1 HTTP/1.1\r\nHost: jobs.example\r\n"
         "Content-Length: " +
         std::to_string(BodySize) + "\r\n\r\n";
}

// Guards against unlimited read-ahead while a response can't be written, on
// the readiness path.
TEST_F(ClientLimitsProcessTest, UnreadResponsesOfReadinessChecks) {
  start();
  Crowd Clients(Fleet->readiness(0), PipeliningClients);
  Clients.send(get("/snipeshunt/ready"), PipelinedBytes);
  expectInstanceServes();
  EXPECT_TRUE(Fleet->isReady(0));
}

// As above, on the callers' port and a path without a route.
TEST_F(ClientLimitsProcessTest, UnreadResponsesOfPathsWithoutRoute) {
  start();
  Crowd Clients(Fleet->front(0), PipeliningClients);
  Clients.send(get("/nowhere"), PipelinedBytes);
  expectInstanceServes();
}

// As above, on the metrics port, whose responses are larger.
TEST_F(ClientLimitsProcessTest, UnreadResponsesOfMetrics) {
  start();
  Crowd Clients(Fleet->metricsAddress(0), PipeliningClients);
  Clients.send(get("/metrics"), PipelinedBytes);
  expectInstanceServes();
}

// As above, on the peers' port.
TEST_F(ClientLimitsProcessTest, UnreadResponsesOfPeers) {
  start();
  Crowd Clients(Fleet->peers(0), PipeliningClients);
  Clients.send(get("/nowhere"), PipelinedBytes);
  expectInstanceServes();
}

// Guards against headers within the size limit whose many short lines take
// twenty times their size in memory, on many connections at once.
TEST_F(ClientLimitsProcessTest, ManyShortHeaderLines) {
  start();
  Crowd Clients(Fleet->front(0), ManyClients);
  Clients.send("GET / HTTP/1.1\r\n", 16);
  Clients.send("a:b\r\n", 16000);
  expectInstanceServes();
}

// Guards against a header that arrives byte by byte and never ends, and so
// keeps its connection for ever.
TEST_F(ClientLimitsProcessTest, HeadersThatNeverEnd) {
  start();
  Crowd Clients(Fleet->front(0), 20);
  Clients.send("GET / HTTP/1.1\r\nHost: ", 22);
  EXPECT_TRUE(Clients.trickleUntilClosed('a', 30));
  expectInstanceServes();
}

// Guards against bodies within the size limit that together exceed the memory.
TEST_F(ClientLimitsProcessTest, LargeBodiesOnManyConnections) {
  start();
  Crowd Clients(Fleet->front(0), ManyClients);
  std::string Header = postHeader(262144);
  Clients.send(Header, Header.size());
  Clients.send("x", 262000);
  expectInstanceServes();
}

// Guards against jobs within all limits whose bodies together exceed the memory
// while they are served.
TEST_F(ClientLimitsProcessTest, LargeJobsOnManyConnections) {
  start();
  Crowd Clients(Fleet->front(0), LargeJobs);
  std::vector<std::string> Jobs;
  for (size_t I = 0; I < LargeJobs; ++I) {
    std::string Body = R"({"spec":"work_ms=3000 )" + std::string(250000, 'x') +
                       R"(","best_effort":true,"steps":[{"count":1,"cpu":100,)"
                       R"("mem_mb":1,"estimate_ms":3000}]})";
    Jobs.push_back("POST /jobs/0000000000000" + std::to_string(100 + I) +
                   " HTTP/1.1\r\nHost: jobs.example\r\n"
                   "X-Snipeshunt-Deadline-Ms: 20000\r\nContent-Length: " +
                   std::to_string(Body.size()) + "\r\n\r\n" + Body);
  }
  Clients.sendEach(Jobs);
  expectInstanceServes();
}

// Guards against unfinished bodies on the peers' port, whose size limit is 1
// MiB.
TEST_F(ClientLimitsProcessTest, LargeBodiesOfPeers) {
  start();
  Crowd Clients(Fleet->peers(0), ManyClients / 4);
  std::string Header = postHeader(1 << 20);
  Clients.send(Header, Header.size());
  Clients.send("x", 1'048'000);
  expectInstanceServes();
}

// Guards against idle connections that take all descriptors: then neither
// callers nor upstreams can be connected.
TEST_F(ClientLimitsProcessTest, IdleConnectionsOfCallers) {
  start(DescriptorLimit);
  Crowd Clients(Fleet->front(0), ManyClients);
  expectDescriptorsFree(Fleet->process(0));
  expectInstanceServes();
}

// As above, with the first bytes of a request on each connection.
TEST_F(ClientLimitsProcessTest, BodiesThatNeverEnd) {
  start(DescriptorLimit);
  Crowd Clients(Fleet->front(0), ManyClients);
  std::string Header = postHeader(10);
  Clients.send(Header, Header.size());
  expectDescriptorsFree(Fleet->process(0));
  expectInstanceServes();
}

// As above, on all ports at once.
TEST_F(ClientLimitsProcessTest, IdleConnectionsOnAllPorts) {
  start(DescriptorLimit);
  Crowd OfReadiness(Fleet->readiness(0), ManyClients);
  Crowd OfPeers(Fleet->peers(0), ManyClients);
  Crowd OfMetrics(Fleet->metricsAddress(0), ManyClients);
  Crowd OfCallers(Fleet->front(0), ManyClients);
  expectDescriptorsFree(Fleet->process(0));
  expectInstanceServes();
  EXPECT_TRUE(Fleet->isReady(0));
}

/// Replaces the configuration by one with the stand-in's route and \p Limits.
void configure(const CellFleet &Fleet, int Version, const std::string &Limits) {
  HttpCall Call;
  Call.Target = Fleet.store();
  Call.Method = "POST";
  Call.Path = "/snipeshunt/kv-txn";
  Call.Body =
      R"({"expected_revision":[],"remove":[],"writes":[{"key":"op/config",)"
      R"("lease":0,"value":")" +
      encodeBase64(R"({"version":)" + std::to_string(Version) +
                   R"(,"routes":[{"name":"jobs","host":"jobs.example",)"
                   R"("prefix":"/jobs/","service":"standin",)"
                   R"("max_attempts":3,"stretch":1.6,"slo_ms":60}],)"
                   R"("limits":)" +
                   Limits + "}") +
      R"("}]})";
  EXPECT_TRUE(std::holds_alternative<HttpReply>(callOnce(std::move(Call))));
}

// Guards against limits of the configuration that are ignored, both lower and
// higher ones than the defaults.
TEST_F(ClientLimitsProcessTest, ConfigurationSetsTheLargestBody) {
  start();
  auto StatusOf = [&](size_t Padding) {
    HttpCall Call = Fleet->submission(0, "00000000000000a3", 1, 5,
                                      std::chrono::seconds(20));
    Call.Body.insert(1, Padding, ' ');
    HttpOutcome Outcome = callOnce(std::move(Call));
    const auto *Reply = std::get_if<HttpReply>(&Outcome);
    return Reply ? Reply->Status : 0;
  };
  EXPECT_EQ(StatusOf(200000), 200);
  configure(*Fleet, 2, R"({"max_body_bytes":100000})");
  EXPECT_TRUE(snipeshunt::Fleet::waitUntil(
      [&] { return StatusOf(200000) == 413; }, std::chrono::seconds(30)));
  configure(*Fleet, 3, R"({"max_body_bytes":400000})");
  EXPECT_TRUE(snipeshunt::Fleet::waitUntil(
      [&] { return StatusOf(300000) == 200; }, std::chrono::seconds(30)));
}

} // namespace
} // namespace snipeshunt
