/// \file A short soak of a fleet of cells with a fixed schedule.
#include "soak_run.h"

namespace snipeshunt {
namespace {

constexpr const char *Program = "snipeshunt-cell-soak";

// Guards against a broken promise under faults of all kinds at once.
TEST(CellSoakProcessTest, ShortSoakKeepsAllPromises) {
  SoakRun Run = runSoak(Program, {"--seconds", "8", "--seed", "20261204",
                                  "--rate", "4", "--callers", "6"});
  EXPECT_EQ(Run.Status, 0) << Run.Output;
}

// Guards against a schedule that depends on anything but its seed, so that a
// failure could not be run again.
TEST(CellSoakProcessTest, ScheduleFollowsFromSeed) {
  expectScheduleFollowsFromSeed(Program);
}

} // namespace
} // namespace snipeshunt
