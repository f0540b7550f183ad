/// \file Jobs that take more memory or processor time than their requests show,
/// against one instance. Checked are only facts that don't depend on the
/// machine's speed.
#include "crowd.h"
#include "fleet/fleet.h"
#include "http/http_client.h"
#include "standins/cell_fleet.h"

#include <optional>
#include <sstream>

namespace snipeshunt {
namespace {

// Long, so that a loaded machine does not fail a test.
constexpr std::chrono::seconds ServeLimit{60};

/// Returns a submission of a job with one step.
std::string submission(const std::string &Id, const std::string &Spec,
                       int Tasks, int CpuMillis) {
  std::string Body = R"({"spec":")" + Spec +
                     R"(","best_effort":true,"steps":[{"count":)" +
                     std::to_string(Tasks) + R"(,"cpu":)" +
                     std::to_string(CpuMillis) + R"(,"estimate_ms":500}]})";
  return "POST /jobs/" + Id +
         " HTTP/1.1\r\nHost: jobs.example\r\nX-Snipeshunt-Deadline-Ms: "
         "20000\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Returns an id of sixteen digits that contains \p Number.
std::string idOf(size_t Number) {
  std::string Digits = std::to_string(Number);
  return std::string(16 - Digits.size(), 'b') + Digits;
}

/// One instance and ten runners.
class JobLimitsProcessTest : public ::testing::Test {
protected:
  void SetUp() override {
    raiseDescriptorLimit();
    CellFleetOptions Options;
    Options.BinaryDir = BINARY_DIR;
    Options.Instances = 1;
    Options.Runners = 10;
    Cells = std::make_unique<CellFleet>(Options);
    ASSERT_FALSE(failed(Cells->start()));
    ASSERT_TRUE(Cells->waitUntilReady()) << Cells->allLogs();
  }

  /// Has \p Clients clients send one submission each and await its answer.
  void submitAll(size_t Clients, const std::string &Spec, int Tasks,
                 int CpuMillis) {
    std::vector<std::string> Jobs;
    for (size_t I = 0; I < Clients; ++I)
      Jobs.push_back(submission(idOf(I), Spec, Tasks, CpuMillis));
    Waiting.emplace(Cells->front(0), Clients);
    Waiting->sendEach(Jobs);
  }

  /// Expects that an ordinary job is answered while the clients wait, and that
  /// one is done once they have left.
  void expectInstanceServes() {
    EXPECT_NE(Cells->submit(0, idOf(99999), 1, 5).Status, 0);
    Waiting.reset();
    size_t Number = 100000;
    EXPECT_TRUE(Fleet::waitUntil(
        [&] {
          HttpReply Reply = Cells->submit(0, idOf(++Number), 1, 5);
          return Reply.Status == 200 && reportsDone(Reply.Body);
        },
        ServeLimit));
    expectWithinMemory(Cells->process(0));
  }

  std::optional<Crowd> Waiting;
  std::unique_ptr<CellFleet> Cells;
};

// Guards against ids as long as a request line, which are retained for seconds
// in each of the tables of jobs that have ended.
TEST_F(JobLimitsProcessTest, LongIds) {
  constexpr size_t Jobs = 5000;
  EventLoop Loop;
  HttpClientOptions Options;
  Options.MaxWaitingPerTarget = Jobs;
  HttpClient Client(Loop, Options);
  size_t Ended = 0;
  for (size_t I = 0; I < Jobs; ++I)
    Client.send(Cells->submission(0, std::string(15000, 'f') + idOf(I), 1, 1,
                                  ServeLimit),
                [&](const HttpOutcome &) { ++Ended; });
  while (Ended < Jobs)
    Loop.runFor(std::chrono::milliseconds(100));
  expectInstanceServes();
}

// Guards against a copy of the spec for each task.
TEST_F(JobLimitsProcessTest, LargeSpecsOfManyTasks) {
  submitAll(6, "work_ms=500 " + std::string(250000, 'x'), 200, 10);
  expectInstanceServes();
}

// Guards against jobs of a hundred bytes with thousands of tasks, which all
// start at once since they need no processor.
TEST_F(JobLimitsProcessTest, JobsOfManyTasks) {
  submitAll(40, "work_ms=500", 10000, 0);
  expectInstanceServes();
}

// Guards against a placement whose time grows with the cube of the runs, which
// jobs inside the limits reach if their tasks are small.
TEST_F(JobLimitsProcessTest, JobsOfSmallTasks) {
  submitAll(100, "work_ms=500 " + std::string(3900, 'x'), 200, 10);
  expectInstanceServes();
}

// Guards against a log line for each malformed job.
TEST_F(JobLimitsProcessTest, LogLinesOfMalformedJobs) {
  constexpr size_t Clients = 8;
  constexpr size_t JobsPerClient = 5000;
  constexpr size_t MaxLines = Clients * JobsPerClient / 20;
  std::string Job = "POST /jobs/" + idOf(1) +
                    " HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: "
                    "2\r\n\r\n{}";
  Crowd(Cells->front(0), Clients).send(Job, Job.size() * JobsPerClient);
  expectInstanceServes();
  std::istringstream Log(Cells->logText("i0"));
  size_t Lines = 0;
  for (std::string Line; std::getline(Log, Line);)
    ++Lines;
  RecordProperty("log_lines", static_cast<int>(Lines));
  EXPECT_LE(Lines, MaxLines);
}

} // namespace
} // namespace snipeshunt
