/// \file The load program with a small fleet.
#include "core/json_func.h"
#include "fleet/child_process.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <iterator>

namespace snipeshunt {
namespace {

// Guards against jobs that the load program does not count, and against metrics
// of the instances that it no longer finds.
TEST(LoadProcessTest, CountsEveryJobAndMessage) {
  std::string Log = testing::TempDir() + "load_report.json";
  remove(Log.c_str());
  Result<ChildProcess> Started = ChildProcess::start(
      {std::string(BINARY_DIR) + "/snipeshunt-load", "--json", "--rate", "50",
       "--tasks", "3", "--warm-up", "0", "--seconds", "2", "--seed", "7"},
      Log);
  ASSERT_FALSE(failed(Started));
  ASSERT_EQ(valueOf(Started).wait(std::chrono::seconds(120)), 0);
  std::ifstream File(Log);
  std::string Text{std::istreambuf_iterator<char>(File),
                   std::istreambuf_iterator<char>()};
  Result<Json::Value> Parsed = parseJson(Text);
  ASSERT_FALSE(failed(Parsed)) << Text;
  const Json::Value &Report = valueOf(Parsed);
  double Sum = 0;
  for (const char *Name : {"completed", "refused", "failed", "no_answer"})
    Sum += Report["jobs_per_second"][Name].asDouble();
  EXPECT_GT(Sum, 0);
  EXPECT_NEAR(Sum, Report["jobs_per_second"]["sent"].asDouble(), 0.01) << Text;
  EXPECT_GT(Report["rpc_requests"].asDouble(), 0) << Text;
  EXPECT_GT(Report["rpc_bytes_per_second_per_instance"].asDouble(), 0) << Text;
  EXPECT_GT(Report["tasks_started"].asDouble(), 0) << Text;
}

} // namespace
} // namespace snipeshunt
