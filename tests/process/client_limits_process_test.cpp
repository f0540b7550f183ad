/// \file Clients that send what no well-behaved client sends, against one
/// instance. Checked are only facts that don't depend on the machine's speed.
#include "core/base64_func.h"
#include "http/http_address.h"
#include "standins/cell_fleet.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <iterator>

namespace snipeshunt {
namespace {

// Memory of the smallest machine, which an instance must not exceed.
constexpr size_t MaxResidentKb = 120 * 1024;
// Descriptors that an instance has in the tests of the descriptor limit, and
// those that have to stay free for peers, upstreams and the store.
constexpr size_t DescriptorLimit = 400;
constexpr size_t FreeDescriptors = 50;
// More connections than the instance has descriptors.
constexpr size_t ManyClients = 600;
// Jobs of 250 KB. An instance needs three times their size.
constexpr size_t LargeJobs = 300;
// Clients that pipeline requests, and what each sends. Together it is more than
// twice the memory of the smallest machine.
constexpr size_t PipeliningClients = 8;
constexpr size_t PipelinedBytes = 32 << 20;
// Nothing more can be sent once no socket has taken a byte for this time.
constexpr int StalledMs = 1000;
// Longest pause after each new connection.
constexpr int ConnectMs = 20;

/// A number of clients of one address, which send and don't read.
class Crowd {
public:
  Crowd(const Address &Target, size_t Count) {
    HostPort Parts = valueOf(parseAddress(Target));
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Parts.Port);
    inet_pton(AF_INET, Parts.Host.c_str(), &To.sin_addr);
    for (size_t I = 0; I < Count; ++I) {
      int Socket =
          socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      pollfd Client{Socket, POLLOUT, 0};
      // A connection that can't be accepted yet goes on by itself. Without a
      // pause, the system would drop those beyond the backlog for a second.
      if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0)
        poll(&Client, 1, ConnectMs);
      Clients.push_back(Client);
    }
    Sent.assign(Count, 0);
  }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;
  ~Crowd() {
    for (const pollfd &C : Clients)
      close(C.fd);
  }

  /// Has each client send \p Total bytes, which repeat \p Text. Returns when
  /// all have sent them or no client can send any more.
  void send(const std::string &Text, size_t Total) {
    std::string Block;
    while (Block.size() < std::min<size_t>(Total, 256 << 10))
      Block += Text;
    send(std::vector<std::string>(1, Block), Text.size(), Total);
  }

  /// Has each client send one of \p Texts.
  void sendEach(const std::vector<std::string> &Texts) {
    send(Texts, Texts[0].size(), Texts[0].size());
  }

  /// Returns true once the instance has closed all connections. Each client
  /// sends \p Byte, and \p Seconds limits the wait.
  bool trickleUntilClosed(char Byte, int Seconds) {
    size_t Open = Clients.size();
    for (int Round = 0; Open > 0 && Round < Seconds * 10; ++Round) {
      usleep(100'000);
      Open = 0;
      for (const pollfd &C : Clients)
        Open += ::send(C.fd, &Byte, 1, MSG_NOSIGNAL) == 1 ? 1 : 0;
    }
    return Open == 0;
  }

private:
  void send(const std::vector<std::string> &Blocks, size_t Period,
            size_t Total) {
    std::fill(Sent.begin(), Sent.end(), 0);
    std::vector<pollfd> Waiting = Clients;
    while (poll(Waiting.data(), Waiting.size(), StalledMs) > 0)
      for (size_t I = 0; I < Waiting.size(); ++I)
        if (Waiting[I].revents &&
            !sendSome(I, Blocks[I % Blocks.size()], Period, Total))
          Waiting[I].fd = -1;
  }

  /// Sends what the socket of client \p I takes. Returns false once there is
  /// nothing left or the connection has ended.
  bool sendSome(size_t I, const std::string &Block, size_t Period,
                size_t Total) {
    size_t Begin = Sent[I] % Period;
    size_t Size = std::min(Block.size() - Begin, Total - Sent[I]);
    ssize_t Count =
        ::send(Clients[I].fd, Block.data() + Begin, Size, MSG_NOSIGNAL);
    if (Count < 0)
      return errno == EAGAIN;
    Sent[I] += static_cast<size_t>(Count);
    return Sent[I] < Total;
  }

  std::vector<pollfd> Clients;
  std::vector<size_t> Sent; ///< Bytes, by client.
};

/// One instance, two runners and the clients of a test.
class ClientLimitsProcessTest : public ::testing::Test {
protected:
  void start(size_t Descriptors = 0) {
    // The clients need more descriptors than a process usually has.
    rlimit Own{};
    getrlimit(RLIMIT_NOFILE, &Own);
    Own.rlim_cur = std::min<rlim_t>(Own.rlim_max, 4096);
    setrlimit(RLIMIT_NOFILE, &Own);
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

  /// Highest resident memory of the instance since its start, in KB.
  size_t peakResidentKb() {
    std::ifstream File("/proc/" + std::to_string(Fleet->process(0).id()) +
                       "/status");
    for (std::string Word; File >> Word;)
      if (size_t Kb = 0; Word == "VmHWM:" && File >> Kb)
        return Kb;
    return SIZE_MAX;
  }

  /// Descriptors that the instance has open.
  size_t openDescriptors() {
    std::error_code Ignored;
    std::filesystem::directory_iterator Entries(
        "/proc/" + std::to_string(Fleet->process(0).id()) + "/fd", Ignored);
    return static_cast<size_t>(
        std::distance(begin(Entries), std::filesystem::directory_iterator()));
  }

  /// Checks the instance while the clients are still connected.
  void expectInstanceServes() {
    EXPECT_FALSE(Fleet->process(0).wait(Duration::zero())) << "has ended";
    size_t Resident = peakResidentKb();
    RecordProperty("peak_resident_kb", static_cast<int>(Resident));
    EXPECT_LE(Resident, MaxResidentKb);
    HttpReply Reply = Fleet->submit(0, "00000000000000a2", 1, 5);
    EXPECT_EQ(Reply.Status, 200) << Reply.Body;
    EXPECT_FALSE(Fleet->process(0).wait(Duration::zero())) << "has ended";
  }

  /// Checks that descriptors are left for connections that the instance opens,
  /// while it accepts those of the clients.
  void expectDescriptorsFree() {
    size_t Most = 0;
    for (int I = 0; I < 20; ++I) {
      Most = std::max(Most, openDescriptors());
      usleep(50'000);
    }
    RecordProperty("open_descriptors", static_cast<int>(Most));
    EXPECT_LE(Most, DescriptorLimit - FreeDescriptors);
  }

  std::unique_ptr<CellFleet> Fleet;
};

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
}

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
  expectDescriptorsFree();
  expectInstanceServes();
}

// As above, with the first bytes of a request on each connection.
TEST_F(ClientLimitsProcessTest, BodiesThatNeverEnd) {
  start(DescriptorLimit);
  Crowd Clients(Fleet->front(0), ManyClients);
  std::string Header = postHeader(10);
  Clients.send(Header, Header.size());
  expectDescriptorsFree();
  expectInstanceServes();
}

// As above, on all ports at once.
TEST_F(ClientLimitsProcessTest, IdleConnectionsOnAllPorts) {
  start(DescriptorLimit);
  Crowd OfReadiness(Fleet->readiness(0), ManyClients);
  Crowd OfPeers(Fleet->peers(0), ManyClients);
  Crowd OfMetrics(Fleet->metricsAddress(0), ManyClients);
  Crowd OfCallers(Fleet->front(0), ManyClients);
  expectDescriptorsFree();
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
