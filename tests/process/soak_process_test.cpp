/// \file A short soak with a fixed schedule.
#include "soak_run.h"

namespace snipeshunt {
namespace {

constexpr const char *Program = "snipeshunt-soak";

// Guards against a broken promise under faults of all kinds at once.
TEST(SoakProcessTest, ShortSoakKeepsAllPromises) {
  SoakRun Run =
      runSoak(Program, {"--seconds", "8", "--seed", "20261204", "--rate", "4",
                        "--callers", "6", "--upstreams", "4"});
  EXPECT_EQ(Run.Status, 0) << Run.Output;
}

// Guards against a schedule that depends on anything but its seed, so that a
// failure could not be run again.
TEST(SoakProcessTest, ScheduleFollowsFromSeed) {
  expectScheduleFollowsFromSeed(Program);
}

} // namespace
} // namespace snipeshunt
