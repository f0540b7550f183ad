/// \file Runs a soak test program to its end.
#ifndef SNIPESHUNT_TESTS_PROCESS_SOAK_RUN_H
#define SNIPESHUNT_TESTS_PROCESS_SOAK_RUN_H

#include "fleet/child_process.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include <unistd.h>

namespace snipeshunt {

/// Result of one execution of the program.
struct SoakRun {
  std::optional<int> Status; ///< Exit status; empty on time-out.
  std::string Output;        ///< Standard output and standard error.
};

/// Runs \p Program of the build directory for at most 280 s.
inline SoakRun runSoak(const std::string &Program,
                       std::vector<std::string> Arguments) {
  std::string Log = testing::TempDir() + "/" + Program + "-" +
                    std::to_string(getpid()) + ".log";
  std::remove(Log.c_str());
  Arguments.insert(Arguments.begin(), BINARY_DIR "/" + Program);
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

/// Expects equal schedules for equal seeds and different ones otherwise.
inline void expectScheduleFollowsFromSeed(const std::string &Program) {
  SoakRun First = runSoak(Program, {"--seed", "7", "--print-schedule"});
  EXPECT_EQ(First.Status, 0);
  EXPECT_GT(First.Output.size(), 1000U);
  EXPECT_EQ(runSoak(Program, {"--seed", "7", "--print-schedule"}).Output,
            First.Output);
  EXPECT_NE(runSoak(Program, {"--seed", "8", "--print-schedule"}).Output,
            First.Output);
}

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_PROCESS_SOAK_RUN_H
