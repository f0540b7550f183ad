/// \file The caller and operator interfaces of a fleet of cells, on processes.
#include "core/scope_guard.h"
#include "http/http_address.h"
#include "soak/link_proxy.h"
#include "standins/cell_fleet.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

namespace snipeshunt {
namespace {

CellFleetOptions cellOptions(size_t Instances, size_t Centres, size_t Runners) {
  return {BINARY_DIR, Instances, Centres, Runners};
}

std::string jobId(int Number) {
  char Text[17];
  snprintf(Text, sizeof(Text), "%016x", Number);
  return Text;
}

// Guards against an instance that can't listen, because two of its servers were
// given the same port.
TEST(CellFleetTest, PortsOfOneAddressDiffer) {
  std::set<std::string> Different;
  for (const Address &Found : freeAddresses("127.0.0.1", 1000))
    Different.insert(Found.Value);
  EXPECT_EQ(Different.size(), 1000U);
}

// Returns the number of descriptors that instance \p I has open.
size_t openDescriptors(CellFleet &F, size_t I) {
  std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(F.process(I).id()) + "/fd");
  return static_cast<size_t>(
      std::distance(begin(Entries), std::filesystem::directory_iterator()));
}

// Guards against connections between instances that stay open for long after a
// peak of jobs, and slow the instances down that have little processor time.
TEST(CellProcessTest, ConnectionsOfALoadPeakAreClosed) {
  constexpr size_t PeakJobs = 60;
  // The pings and the calls to the store keep a connection or two each.
  constexpr size_t LastingConnections = 10;
  // The upstreams have room for two tasks each. With fewer of them, most jobs
  // are rejected at once, and the peak of connections never comes.
  CellFleet F(cellOptions(2, 1, PeakJobs / 2));
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  size_t Before = openDescriptors(F, 1);
  std::vector<std::thread> Callers;
  for (size_t C = 0; C < PeakJobs; ++C)
    Callers.emplace_back(
        [&F, C] { F.submit(1, jobId(static_cast<int>(700 + C)), 1, 1500); });
  // The first instance is the sender, so each job has a connection to it.
  EXPECT_TRUE(Fleet::waitUntil(
      [&] { return openDescriptors(F, 1) > Before + PeakJobs; },
      std::chrono::seconds(30)))
      << F.allLogs();
  for (std::thread &T : Callers)
    T.join();
  std::this_thread::sleep_for(std::chrono::seconds(4));
  EXPECT_LE(openDescriptors(F, 1), Before + LastingConnections);
}

// Guards against a fault anywhere between a caller's request and its answer:
// codec, store, cells, orders and reports of ended runs.
TEST(CellProcessTest, EachInstanceServesJobsWhole) {
  CellFleet F(cellOptions(4, 2, 6));
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  for (size_t I = 0; I < 4; ++I) {
    std::string Id = jobId(static_cast<int>(I));
    HttpReply Reply = F.submit(I, Id, 3, 40);
    EXPECT_EQ(Reply.Status, 200) << F.logText("i" + std::to_string(I));
    EXPECT_EQ(Reply.Body, "{\"state\":\"done\"}");
    EXPECT_EQ(F.starts(Id).size(), 3U);
  }
}

// Guards against wrong statuses of requests that do not submit a job.
TEST(CellProcessTest, RequestsOutsideJobsAreAnswered) {
  CellFleet F(cellOptions(2, 1, 2));
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  EXPECT_EQ(F.get(0, "/jobs/").Status, 200);
  EXPECT_EQ(F.get(0, "/jobs/").Body, "{\"pending\":0}");
  EXPECT_EQ(F.get(0, "/jobs/" + jobId(1)).Status, 410);
  EXPECT_EQ(F.get(0, "/other/").Status, 404);
  EXPECT_EQ(F.get(0, "/jobs/", "other.example").Status, 404);
}

namespace {

/// Returns a socket that listens at \p Endpoint.
int listenAt(const Address &Endpoint) {
  HostPort Parts = valueOf(parseAddress(Endpoint));
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Parts.Port);
  inet_pton(AF_INET, Parts.Host.c_str(), &At.sin_addr);
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  EXPECT_EQ(bind(Socket, reinterpret_cast<sockaddr *>(&At), sizeof(At)), 0);
  EXPECT_EQ(listen(Socket, 8), 0);
  return Socket;
}

} // namespace

// Guards against an instance that makes calls before it listens on all of its
// ports: a call may get one of them as its local port, and after the process
// has ended its connection keeps the port from the next one for a minute.
TEST(CellProcessTest, InstanceThatCannotListenMakesNoCalls) {
  CellFleet F(cellOptions(1, 1, 1));
  int Taken = listenAt(F.front(0));
  int Store = listenAt(F.store());
  ScopeGuard Close([&] {
    close(Taken);
    close(Store);
  });
  ASSERT_FALSE(failed(F.startInstance(0)));
  EXPECT_EQ(F.process(0).wait(std::chrono::seconds(30)), std::optional<int>(1));
  EXPECT_EQ(accept(Store, nullptr, nullptr), -1) << F.logText("i0");
}

// Guards against a time-out with empty logs, which do not show the cause, after
// another program has deleted the working directory of a fleet that starts.
TEST(CellProcessTest, DeletedWorkingDirectoryIsReportedAtOnce) {
  CellFleet F(cellOptions(3, 1, 6));
  ASSERT_FALSE(failed(F.start()));
  std::filesystem::path WorkDir =
      std::filesystem::path(F.settings(0)).parent_path();
  std::filesystem::remove_all(WorkDir);
  SteadyTime Begin = std::chrono::steady_clock::now();
  EXPECT_FALSE(F.waitUntilReady());
  EXPECT_LT(std::chrono::steady_clock::now() - Begin, std::chrono::seconds(15));
  EXPECT_NE(F.allLogs().find("deleted " + WorkDir.string()), std::string::npos)
      << F.allLogs();
  EXPECT_TRUE(failed(F.startInstance(0)));
}

// Guards against metrics of jobs and runs that are missing or not counted.
TEST(CellProcessTest, MetricsTellOfJobs) {
  CellFleet F(cellOptions(1, 1, 2));
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  EXPECT_EQ(F.submit(0, jobId(1), 2, 20).Status, 200);
  std::string Text = F.metrics(0);
  EXPECT_NE(Text.find("snipeshunt_entry_done_total 1"), std::string::npos)
      << Text;
  EXPECT_NE(Text.find("snipeshunt_runs_done_total 2"), std::string::npos);
  EXPECT_NE(Text.find("snipeshunt_job_seconds_count{answer=\"done\"} 1"),
            std::string::npos);
}

// Guards against two concurrent runs of a task when the sender's process is
// killed and the caller submits the job to another instance.
TEST(CellProcessTest, JobsSurviveTheEndOfTheSenderOnASecondTry) {
  CellFleet F(cellOptions(3, 1, 4));
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  std::atomic<int> Lost{0};
  std::vector<std::thread> Callers;
  Callers.reserve(6);
  for (int C = 0; C < 6; ++C)
    Callers.emplace_back([&, C] {
      std::string Id = jobId(100 + C);
      HttpReply Reply = F.submit(1 + C % 2, Id, 1, 1500);
      if (Reply.Status == 200)
        return;
      ++Lost;
      std::this_thread::sleep_for(std::chrono::milliseconds(1300));
      for (int Try = 0; Try < 20 && Reply.Status != 200; ++Try) {
        Reply = F.submit(1 + C % 2, Id, 1, 100);
        if (Reply.Status != 200)
          std::this_thread::sleep_for(std::chrono::seconds(1));
      }
      EXPECT_EQ(Reply.Status, 200);
    });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  // The first instance has the highest weight and is the sender.
  F.process(0).kill();
  for (std::thread &T : Callers)
    T.join();
  EXPECT_GT(Lost, 0);
  EXPECT_TRUE(F.overlaps().empty()) << F.overlaps().front();
}

// Guards against a cell that is not served while its sender is frozen, and
// against concurrent runs of a task after the sender resumes.
TEST(CellProcessTest, FrozenSenderIsReplaced) {
  CellFleet F(cellOptions(3, 1, 4));
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  F.process(0).signal(SIGSTOP);
  bool Served = Fleet::waitUntil(
      [&, Number = 200]() mutable {
        return F.submit(1, jobId(Number++), 2, 50).Status == 200;
      },
      std::chrono::seconds(30));
  EXPECT_TRUE(Served);
  F.process(0).signal(SIGCONT);
  EXPECT_TRUE(Fleet::waitUntil(
      [&, Number = 300]() mutable {
        return F.submit(0, jobId(Number++), 2, 50).Status == 200;
      },
      std::chrono::seconds(30)));
  EXPECT_TRUE(F.overlaps().empty());
}

// Guards against a shutdown that aborts jobs or exceeds the grace period.
TEST(CellProcessTest, ShutdownUnderLoadBreaksNoJob) {
  CellFleet F(cellOptions(3, 1, 6));
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  std::atomic<bool> Stop{false};
  std::atomic<int> Bad{0};
  std::atomic<int> Good{0};
  std::vector<std::thread> Callers;
  Callers.reserve(4);
  for (int C = 0; C < 4; ++C)
    Callers.emplace_back([&, C] {
      for (int N = 0; !Stop; ++N) {
        HttpReply Reply =
            F.submit(1 + C % 2, jobId(1000 + C * 1000 + N), 2, 60);
        ++(Reply.Status == 200 ? Good : Bad);
      }
    });
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  F.process(0).signal(SIGTERM);
  std::optional<int> Ended = F.process(0).wait(std::chrono::seconds(20));
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  Stop = true;
  for (std::thread &T : Callers)
    T.join();
  EXPECT_EQ(Ended, std::optional<int>(0));
  EXPECT_GT(Good, 0);
  EXPECT_EQ(Bad, 0) << F.allLogs();
}

// Guards against a caller without an answer while its job has ended: the
// connection on which the sender answers falls silent, and new ones work. On a
// slow machine the sender may count as unresponsive, which is a clear failure.
TEST(CellProcessTest, AnswerOnASilentConnectionIsFetched) {
  CellFleet F(cellOptions(2, 1, 4));
  LinkProxy Proxy;
  std::vector<size_t> Links;
  for (size_t I = 0; I < 2; ++I) {
    Result<size_t> Link = Proxy.open(F.linkIp());
    ASSERT_FALSE(failed(Link));
    Links.push_back(valueOf(Link));
    F.setLinks(I, Proxy.address(Links[I]), F.store());
    Proxy.setTarget(Links[I], F.peers(I));
  }
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  std::vector<int> Statuses;
  bool Fetched = false;
  for (int Try = 0; Try < 10 && !Fetched; ++Try) {
    std::string Id = jobId(400 + Try);
    std::thread Fault([&] {
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      Proxy.silence(Links[0]);
    });
    Statuses.push_back(F.submit(1, Id, 2, 1200).Status);
    Fault.join();
    for (const auto &[Task, Starts] : F.starts(Id))
      EXPECT_EQ(Starts, 1) << Task;
    Fetched =
        F.metrics(1).find("entry_results_fetched_total 1") != std::string::npos;
  }
  EXPECT_TRUE(Fetched) << F.allLogs();
  EXPECT_EQ(Statuses.back(), 200);
  EXPECT_EQ(std::count(Statuses.begin(), Statuses.end(), 504), 0);
}

// Guards against SIGHUP ending the process instead of reloading its settings.
TEST(CellProcessTest, HangUpSignalReloadsTheSettings) {
  CellFleet F(cellOptions(1, 1, 2));
  ASSERT_FALSE(failed(F.start()));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  F.process(0).signal(SIGHUP);
  EXPECT_TRUE(Fleet::waitUntil(
      [&] {
        return F.logText("i0").find("settings read again") != std::string::npos;
      },
      std::chrono::seconds(20)));
  EXPECT_EQ(F.submit(0, jobId(1), 2, 20).Status, 200);
}

/// Renders the section \p Name of \p Text once if \p Present, and not at all
/// otherwise.
void renderSection(std::string &Text, const std::string &Name, bool Present) {
  std::string Begin = "{{#" + Name + "}}";
  std::string End = "{{/" + Name + "}}";
  size_t From = Text.find(Begin);
  size_t To = Text.find(End);
  ASSERT_NE(From, std::string::npos);
  ASSERT_NE(To, std::string::npos);
  if (!Present)
    Text.erase(From, To + End.size() - From);
  else
    Text.erase(To, End.size()).erase(From, Begin.size());
}

/// Returns the settings template with all placeholders replaced as the platform
/// replaces them, with or without its optional fields.
std::string renderTemplate(bool HasOptionalFields) {
  std::ifstream File(std::string(SOURCE_DIR) +
                     "/deploy/settings.json.template");
  std::stringstream Text;
  Text << File.rdbuf();
  std::string Rendered = Text.str();
  const std::pair<const char *, const char *> Fields[] = {
      {"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}",
       "\"10.1.0.13:8166\",\"10.2.0.30:8166\""},
      {"{{node_name|json}}", "\"edge-1\""},
      {"{{zone|json}}", "\"zone-1\""},
      {"{{limits.cpu_share|json}}", "0.19"},
      {"{{listen.front|json}}", "\"10.1.0.13:8161\""},
      {"{{listen.ready|json}}", "\"10.1.0.13:8167\""},
      {"{{listen.control|json}}", "\"10.1.0.13:8166\""},
      {"{{ip}}", "10.1.0.13"},
      {"{{platform.address|json}}", "\"10.200.1.7:8169\""},
      {"{{bounds.max_hold_ms|json}}", "1000"},
      {"{{bounds.stop_timeout_ms|json}}", "50"},
      {"{{bounds.drain_ms|json}}", "2000"},
      {"{{bounds.grace_s|json}}", "6"},
      {"{{bounds.evacuate_ms|json}}", "5000"},
      {"{{limits.memory_mb|json}}", "195"}};
  renderSection(Rendered, "bounds.evacuate_ms", HasOptionalFields);
  renderSection(Rendered, "limits.memory_mb", HasOptionalFields);
  for (const auto &[Name, Value] : Fields)
    for (size_t At; (At = Rendered.find(Name)) != std::string::npos;)
      Rendered.replace(At, strlen(Name), Value);
  return Rendered;
}

/// Returns the exit status of `--check-settings` for the first instance.
std::optional<int> checkSettings(const CellFleet &F) {
  Result<ChildProcess> Started =
      ChildProcess::start({std::string(BINARY_DIR) + "/snipeshuntd", "--cells",
                           "--check-settings", "--settings", F.settings(0)},
                          F.log("check"));
  if (failed(Started))
    return std::nullopt;
  return valueOf(Started).wait(std::chrono::seconds(20));
}

// Guards against a template that yields settings which the daemon rejects.
TEST(CellProcessTest, TemplateOfTheDeployFileGivesValidSettings) {
  CellFleet F(cellOptions(1, 1, 0));
  for (bool HasOptionalFields : {false, true}) {
    std::string Text = renderTemplate(HasOptionalFields);
    EXPECT_EQ(Text.find("{{"), std::string::npos) << Text;
    EXPECT_EQ(Text.find("evacuate_ms") != std::string::npos, HasOptionalFields);
    EXPECT_EQ(Text.find("memory_mb") != std::string::npos, HasOptionalFields);
    std::ofstream(F.settings(0)) << Text;
    EXPECT_EQ(checkSettings(F), std::optional<int>(0)) << F.logText("check");
  }
}

// Guards against invalid settings being accepted.
TEST(CellProcessTest, InvalidSettingsAreRejected) {
  CellFleet F(cellOptions(1, 1, 0));
  std::ofstream(F.settings(0)) << R"({"name":"x","data_centre":"a"})";
  EXPECT_EQ(checkSettings(F), std::optional<int>(2));
  EXPECT_NE(F.logText("check").find("front"), std::string::npos);
}

} // namespace
} // namespace snipeshunt
