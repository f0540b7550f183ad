/// \file A short soak test with a fixed schedule.
#include "soak_run.h"

namespace snipeshunt {
namespace {

constexpr const char *Program = "snipeshunt-soak";

// Guards against a violated guarantee under overlapping faults of all kinds.
TEST(SoakProcessTest, ShortSoakKeepsAllPromises) {
  SoakRun Run =
      runSoak(Program, {"--seconds", "8", "--seed", "20261204", "--rate", "4",
                        "--callers", "6", "--upstreams", "4"});
  EXPECT_EQ(Run.Status, 0) << Run.Output;
}

// Guards against a schedule that does not depend on its seed alone, so that a
// failed run could not be repeated.
TEST(SoakProcessTest, ScheduleFollowsFromSeed) {
  expectScheduleFollowsFromSeed(Program);
}

} // namespace
} // namespace snipeshunt
