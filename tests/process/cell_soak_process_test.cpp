/// \file A short soak test of a fleet of cells with a fixed schedule.
#include "soak_run.h"

namespace snipeshunt {
namespace {

constexpr const char *Program = "snipeshunt-cell-soak";

// Guards against a violated guarantee under overlapping faults of all kinds.
TEST(CellSoakProcessTest, ShortSoakKeepsAllPromises) {
  SoakRun Run = runSoak(Program, {"--seconds", "8", "--seed", "20261204",
                                  "--rate", "4", "--callers", "6"});
  EXPECT_EQ(Run.Status, 0) << Run.Output;
}

// Guards against clients that exhaust an instance while faults overlap, and
// against faults that let such clients pass a limit.
TEST(CellSoakProcessTest, ShortSoakBesideHostileClients) {
  SoakRun Run = runSoak(Program, {"--seconds", "40", "--seed", "20261207",
                                  "--rate", "2", "--callers", "4", "--hostile",
                                  "6", "--instances", "4", "--centres", "2"});
  EXPECT_EQ(Run.Status, 0) << Run.Output;
}

// Guards against a schedule that does not depend on its seed alone, so that a
// failed run could not be repeated.
TEST(CellSoakProcessTest, ScheduleFollowsFromSeed) {
  expectScheduleFollowsFromSeed(Program);
}

} // namespace
} // namespace snipeshunt
