/// \file Clients that send what no well-behaved client sends, against one
/// instance of the ticket mode. Checked are only facts that don't depend on the
/// machine's speed.
#include "core/json_func.h"
#include "crowd.h"
#include "fleet/fleet.h"
#include "http/http_client.h"

namespace snipeshunt {
namespace {

// Long, so that a loaded machine does not fail a test.
constexpr Duration ServeLimit = std::chrono::seconds(60);
// Jobs that nobody awaits, of 250 KB. Together they are more than the memory of
// the smallest machine.
constexpr size_t UnawaitedJobs = 600;

/// Returns the tickets of \p Count jobs, or fewer if the instance gives none.
std::vector<std::string> takeTickets(const Address &Endpoint, size_t Count) {
  std::vector<std::string> Tickets;
  while (Tickets.size() < Count) {
    Result<std::string> Text = postText(Endpoint, "/v1/tickets?count=100", "");
    if (failed(Text))
      break;
    Result<Json::Value> Parsed = parseJson(valueOf(Text));
    if (failed(Parsed))
      break;
    for (const Json::Value &Ticket : valueOf(Parsed)["tickets"])
      Tickets.push_back(Ticket.asString());
  }
  if (Tickets.size() > Count)
    Tickets.resize(Count);
  return Tickets;
}

/// Returns true if a job of one task is completed.
bool serves(const Address &Endpoint) {
  std::vector<std::string> Tickets = takeTickets(Endpoint, 1);
  if (Tickets.empty())
    return false;
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Method = "PUT";
  Call.Path = "/v1/jobs/" + Tickets[0];
  Call.Body = R"({"team":"t","tasks":[{"kind":"k","payload":"work_ms=5"}]})";
  Call.Timeout = ServeLimit;
  HttpOutcome Outcome = callOnce(std::move(Call));
  const auto *Reply = std::get_if<HttpReply>(&Outcome);
  return Reply && Reply->Status == 200;
}

/// One instance, two upstreams and the clients of a test.
class TicketLimitsProcessTest : public ::testing::Test {
protected:
  void start(size_t Descriptors = 0) {
    raiseDescriptorLimit();
    FleetOptions Options;
    Options.BinaryDir = BINARY_DIR;
    Options.InstancesPerCentre = 1;
    Options.DescriptorLimit = Descriptors;
    Instance = std::make_unique<Fleet>(Options);
    Result<Ok> Started = Instance->start();
    ASSERT_FALSE(failed(Started)) << errorOf(Started).Message;
    ASSERT_TRUE(serves(endpoint()));
  }

  Address endpoint() const { return Instance->instance(0); }
  ChildProcess &process() { return Instance->process(FleetRole::Instance); }

  void expectInstanceServes() {
    EXPECT_TRUE(
        Fleet::waitUntil([&] { return serves(endpoint()); }, ServeLimit));
    expectWithinMemory(process());
  }

  std::unique_ptr<Fleet> Instance;
};

std::string putHeader(const std::string &Ticket, size_t BodySize) {
  return "PUT /v1/jobs/" + Ticket +
         "?wait=false HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(BodySize) + "\r\n\r\n";
}

// Guards against bodies within the size limit that together exceed the memory.
TEST_F(TicketLimitsProcessTest, LargeBodiesOnManyConnections) {
  start();
  Crowd Clients(endpoint(), ManyClients);
  std::string Header = putHeader("none", 1 << 20);
  Clients.send(Header, Header.size());
  Clients.send("x", 900'000);
  expectInstanceServes();
}

// Guards against headers within the size limit whose many short lines take
// twenty times their size in memory.
TEST_F(TicketLimitsProcessTest, ManyShortHeaderLines) {
  start();
  Crowd Clients(endpoint(), ManyClients);
  Clients.send("GET / HTTP/1.1\r\n", 16);
  Clients.send("a:b\r\n", 16000);
  expectInstanceServes();
}

// Guards against idle connections that take all descriptors.
TEST_F(TicketLimitsProcessTest, IdleConnections) {
  start(DescriptorLimit);
  Crowd Clients(endpoint(), ManyClients);
  expectDescriptorsFree(process());
  expectInstanceServes();
}

// Guards against unlimited read-ahead while a response can't be written.
TEST_F(TicketLimitsProcessTest, UnreadResponses) {
  start();
  Crowd Clients(endpoint(), PipeliningClients);
  Clients.send(get("/nowhere"), PipelinedBytes);
  expectInstanceServes();
}

// Guards against the payloads of jobs whose connections are free again, so that
// no limit on connections counts them.
TEST_F(TicketLimitsProcessTest, LargeJobsThatNobodyAwaits) {
  start();
  std::string Body =
      R"({"team":"t","patience_ms":60000,"tasks":[{"kind":"k","payload":"work_ms=200 )" +
      std::string(250'000, 'x') + R"("}]})";
  std::vector<std::string> Jobs;
  for (const std::string &Ticket : takeTickets(endpoint(), UnawaitedJobs))
    Jobs.push_back(putHeader(Ticket, Body.size()) + Body);
  ASSERT_EQ(Jobs.size(), UnawaitedJobs);
  // One connection each, of which few are open at a time.
  for (size_t I = 0; I < UnawaitedJobs; I += 100)
    Crowd(endpoint(), 100).sendEach({Jobs.begin() + I, Jobs.begin() + I + 100});
  expectInstanceServes();
}

// Guards against a timeline that takes several times its text in memory, and
// against readers that together leave no processor time to callers.
TEST_F(TicketLimitsProcessTest, ReadersOfAFullTimeline) {
  start();
  // As many as the default of timeline_events.
  constexpr size_t Events = 65536;
  EventLoop Loop;
  HttpClientOptions Options;
  Options.MaxWaitingPerTarget = Events;
  HttpClient Client(Loop, Options);
  size_t Ended = 0;
  for (size_t Taken = 0; Taken < Events; Taken += 1024) {
    size_t Count = Taken + 1024;
    for (const std::string &Ticket : takeTickets(endpoint(), 1024)) {
      HttpCall Call;
      Call.Target = endpoint();
      Call.Method = "PUT";
      Call.Path = "/v1/jobs/" + Ticket;
      // It fits no upstream, so that it is rejected and leaves one event.
      Call.Body = R"({"team":"t","tasks":[{"kind":"k","accelerators":64}]})";
      Call.Timeout = ServeLimit;
      Client.send(std::move(Call), [&](const HttpOutcome &) { ++Ended; });
    }
    while (Ended < Count)
      Loop.runFor(std::chrono::milliseconds(20));
  }
  Crowd Clients(endpoint(), PipeliningClients);
  std::string Request = get("/v1/timeline");
  Clients.send(Request, Request.size() * 100);
  expectInstanceServes();
}

} // namespace
} // namespace snipeshunt
