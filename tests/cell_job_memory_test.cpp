/// \file Loads of very many small tasks, on a fake clock: the limits on the
/// memory of a sender's jobs, on the runs of an upstream and on unanswered
/// starts.
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
