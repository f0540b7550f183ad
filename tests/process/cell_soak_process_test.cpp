/// \file A short soak of a fleet of cells with a fixed schedule.
#include "fleet/child_process.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include <unistd.h>

namespace snipeshunt {
namespace {

struct SoakRun {
  std::optional<int> Status;
  std::string Output;
};

SoakRun runSoak(std::vector<std::string> Arguments) {
  std::string Log = testing::TempDir() + "/snipeshunt-cell-soak-" +
                    std::to_string(getpid()) + ".log";
  std::remove(Log.c_str());
  Arguments.insert(Arguments.begin(), BINARY_DIR "/snipeshunt-cell-soak");
  Result<ChildProcess> Started = ChildProcess::start(Arguments, Log);
  SoakRun Run;
  if (failed(Started))
    return Run;
  Run.Status = valueOf(Started).wait(std::chrono::seconds(280));
  std::ostringstream Text;
  Text << std::ifstream(Log).rdbuf();
  Run.Output = Text.str();
  std::remove(Log.c_str());
  return Run;
}

// Guards against a broken promise under faults of all kinds at once.
TEST(CellSoakProcessTest, ShortSoakKeepsAllPromises) {
  SoakRun Run = runSoak({"--seconds", "8", "--seed", "20261204", "--rate", "4",
                         "--callers", "6"});
  EXPECT_EQ(Run.Status, 0) << Run.Output;
}

// Guards against a schedule that depends on anything but its seed, so that a
// failure could not be run again.
TEST(CellSoakProcessTest, ScheduleFollowsFromSeed) {
  SoakRun First = runSoak({"--seed", "7", "--print-schedule"});
  EXPECT_EQ(First.Status, 0);
  EXPECT_GT(First.Output.size(), 1000U);
  EXPECT_EQ(runSoak({"--seed", "7", "--print-schedule"}).Output, First.Output);
  EXPECT_NE(runSoak({"--seed", "8", "--print-schedule"}).Output, First.Output);
}

} // namespace
} // namespace snipeshunt
