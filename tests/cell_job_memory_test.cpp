/// \file Loads of very many small tasks, on a fake clock: the limits on the
/// memory of a sender's jobs, on the runs of an upstream and on unanswered
/// starts.
#include "sender/job_memory_func.h"
#include "sender/sender_table.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// One instance and two upstreams of 64 cores.
class CellJobMemoryTest : public ::testing::Test {
protected:
  void SetUp() override {
    World.addUpstream({"up-1"});
    World.addUpstream({"up-2"});
    Only = World.addInstance("only", "centre-a");
    World.run(seconds(2));
  }

  size_t submitSmallTasks(const std::string &Name, uint32_t Tasks) {
    return World.submit(Only, Name, Tasks, milliseconds(200), seconds(20),
                        /*CpuMillis=*/1);
  }
  AnswerStatus answer(size_t Job) const {
    const auto &Answer = World.caller(Job).Answer;
    return Answer ? Answer->Status : AnswerStatus::Running;
  }
  const SenderState &sender() { return World.state(Only).Sender; }
  /// Most runs on one upstream that \p Chosen holds for.
  template <typename F> size_t mostRuns(F Chosen) {
    size_t Most = 0;
    for (const auto &[Id, U] : sender().Upstreams)
      Most = std::max(Most, static_cast<size_t>(std::count_if(
                                U.Runs.begin(), U.Runs.end(),
                                [&](auto &E) { return Chosen(E.second); })));
    return Most;
  }

  CellWorld World;
  Address Only;
};

} // namespace

// Guards against jobs whose states exhaust the memory though their requests are
// small, and against a few of them that keep all other jobs out.
TEST_F(CellJobMemoryTest, LargeJobsLeaveMemoryToOthers) {
  std::vector<size_t> Large;
  Large.reserve(10);
  for (int I = 0; I < 10; ++I)
    Large.push_back(submitSmallTasks("large-" + std::to_string(I), MaxTasks));
  World.run(milliseconds(20));
  EXPECT_LE(sender().JobMemory, sender().MaxJobMemory / 2);
  EXPECT_GT(sender().Counts.JobsOutOfMemory, 0u);
  EXPECT_EQ(answer(Large[0]), AnswerStatus::Running);
  EXPECT_EQ(answer(Large[9]), AnswerStatus::NotRun);
  EXPECT_GE(World.caller(Large[9]).Answer->RetryAfter, seconds(1));
  size_t Usual = submitSmallTasks("usual", 200);
  World.run(milliseconds(20));
  EXPECT_EQ(answer(Usual), AnswerStatus::Running);
  World.disconnectCaller(Large[0]);
  World.disconnectCaller(Usual);
  World.run(seconds(5));
  EXPECT_EQ(sender().JobMemory, 0u);
}

// Guards against upstreams with so many runs that their lists, which each
// renewal reads, take all processor time. The tasks that wait must all run.
TEST_F(CellJobMemoryTest, RunsOfAnUpstreamAreLimited) {
  size_t Job = submitSmallTasks("job", 2000);
  size_t Most = 0;
  for (int I = 0; I < 500; ++I) {
    World.run(milliseconds(10));
    Most = std::max(Most, mostRuns([](const SenderRun &) { return true; }));
  }
  EXPECT_EQ(Most, MaxRunsPerUpstream);
  EXPECT_EQ(answer(Job), AnswerStatus::Done);
}

// Guards against orders that pile up for upstreams which don't answer them.
TEST_F(CellJobMemoryTest, UnansweredStartsAreLimited) {
  for (const char *Name : {"up-1", "up-2"})
    World.faults(UpstreamId{Name}).StartDelay = milliseconds(100);
  submitSmallTasks("job", 2000);
  size_t Most = 0;
  for (int I = 0; I < 50; ++I) {
    World.run(milliseconds(2));
    Most = std::max(Most, mostRuns([](const SenderRun &Run) {
                      return Run.Phase == RunPhase::Starting;
                    }));
  }
  EXPECT_EQ(Most, MaxUnansweredStarts);
}
