/// \file Odd entries of other writers in the store of a running fleet.
#include "core/base64_func.h"
#include "core/json_func.h"
#include "standins/cell_fleet.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

constexpr double RunnerCpu = 64000; ///< Of a stand-in runner.

std::string nested(size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

/// Text of a runner's entry.
std::string entry(const std::string &Address, const std::string &Born = "5",
                  const std::string &Cpu = "64000") {
  return R"({"service":"standin","zone":"dc1","state":"ready","labels":["a"],)"
         R"("address":")" +
         Address + R"(","capacity":{"cpu":)" + Cpu +
         R"(,"mem_mb":262144,"gpu":0},"born":)" + Born + "}";
}

/// Entries that name no runner, by key.
std::vector<std::pair<std::string, std::string>>
oddEntries(const Address &Runner) {
  return {
      {"servers/", entry(Runner.Value)},
      {"servers/deep", nested(20000)},
      {"servers/deep-field", R"({"service":)" + nested(20000) + "}"},
      {"servers/huge", entry(Runner.Value, "5", "1e400")},
      {"servers/port", entry("127.0.0.1:99999")},
      {"servers/port-0", entry("127.0.0.1:0")},
      {"servers/name", entry("no-such-host.invalid:80")},
      {"servers/empty", ""},
      {"servers/bytes", "\xff\xfe\x80{}"},
      {"servers/key-\xff", "{}"},
      {"servers/born", entry(Runner.Value, "-1")},
      // A header loses the space, so orders to it would reach runner-0.
      {"servers/runner-0 ", entry(Runner.Value)},
      {"snipeshunt/instances/", "{}"},
      {"snipeshunt/instances/nowhere", R"({"zone":"dc1","weight":1e308})"},
      {"snipeshunt/instances/127.0.0.1:0", R"({"zone":"dc1","weight":-1})"},
      {"snipeshunt/instances/10.0.0.1:99999", nested(20000)},
      {"op/config-copy", R"({"version":900,"routes":[]})"},
  };
}

/// Writes entries into the store's stand-in. Returns the status of the answer.
int writeEntries(
    const CellFleet &F,
    const std::vector<std::pair<std::string, std::string>> &Entries) {
  Json::Value Body(Json::objectValue);
  Body["expected_revision"] = Json::Value(Json::arrayValue);
  Body["remove"] = Json::Value(Json::arrayValue);
  for (const auto &[Key, Value] : Entries) {
    Json::Value Write(Json::objectValue);
    Write["key"] = Key;
    Write["value"] = encodeBase64(Value);
    Write["lease"] = 0;
    Body["writes"].append(Write);
  }
  HttpCall Call;
  Call.Target = F.store();
  Call.Method = "POST";
  Call.Path = "/snipeshunt/kv-txn";
  Call.Body = writeJson(Body);
  HttpOutcome Outcome = callOnce(std::move(Call));
  const auto *Reply = std::get_if<HttpReply>(&Outcome);
  return Reply ? Reply->Status : 0;
}

std::string jobId(int Number) {
  char Text[17];
  snprintf(Text, sizeof(Text), "%016x", Number);
  return Text;
}

/// Returns the value of a metric of instance \p I, or -1.
double metric(const CellFleet &F, size_t I, const std::string &Name) {
  std::string Text = "\n" + F.metrics(I);
  size_t At = Text.find("\nsnipeshunt_" + Name + " ");
  return At == std::string::npos
             ? -1
             : std::strtod(Text.c_str() + Text.find(' ', At), nullptr);
}

size_t occurrences(const std::string &Text, const std::string &Part) {
  size_t Count = 0;
  for (size_t At = 0; (At = Text.find(Part, At)) != std::string::npos; ++At)
    ++Count;
  return Count;
}

/// Submits jobs to all instances one after the other and expects that they are
/// done.
void expectServed(CellFleet &F, int FirstJob) {
  for (int I = 0; I < 6; ++I) {
    HttpReply Reply = F.submit(static_cast<size_t>(I) % F.instances(),
                               jobId(FirstJob + I), 3, 30);
    EXPECT_EQ(Reply.Status, 200);
    EXPECT_TRUE(reportsDone(Reply.Body)) << Reply.Body;
  }
}

/// Sum of a metric over all instances.
double sum(const CellFleet &F, const std::string &Name) {
  double Sum = 0;
  for (size_t I = 0; I < F.instances(); ++I)
    Sum += std::max(0.0, metric(F, I, Name));
  return Sum;
}

} // namespace

// Guards against one odd entry in the store that ends processes, hides the
// other entries, is used as a runner or as an instance, or floods the log.
TEST(OddEntryProcessTest, FleetServesJobsBesideOddEntries) {
  CellFleet F({BINARY_DIR, 3, 1, 2});
  ASSERT_FALSE(failed(F.startPlatform()));
  ASSERT_TRUE(Fleet::waitUntil([&] { return !F.runnerAddresses().empty(); },
                               std::chrono::seconds(30)));
  const std::vector<std::pair<std::string, std::string>> Odd =
      oddEntries(F.runnerAddresses()[0]);
  ASSERT_TRUE(Fleet::waitUntil([&] { return writeEntries(F, Odd) == 200; },
                               std::chrono::seconds(30)));
  for (size_t I = 0; I < F.instances(); ++I)
    ASSERT_FALSE(failed(F.startInstance(I)));
  ASSERT_TRUE(F.waitUntilReady()) << F.allLogs();
  expectServed(F, 100);
  EXPECT_EQ(sum(F, "upstreams"), 2) << F.allLogs();
  EXPECT_TRUE(Fleet::waitUntil(
      [&] { return sum(F, "free_cpu_millis") == 2 * RunnerCpu; },
      std::chrono::seconds(10)))
      << sum(F, "free_cpu_millis");
  for (size_t I = 0; I < F.instances(); ++I) {
    EXPECT_EQ(metric(F, I, "configuration_version"), 1) << I;
    EXPECT_EQ(metric(F, I, "peers"), 2) << I;
    EXPECT_GE(metric(F, I, "store_unreadable_records"), 4) << I;
  }
  // The odd entries are written again while the fleet works, and an upstream
  // that registers afterwards is seen.
  ASSERT_EQ(writeEntries(F, Odd), 200);
  expectServed(F, 200);
  ASSERT_EQ(writeEntries(F, {{"servers/late", entry(F.linkIp() + ":1")}}), 200);
  EXPECT_TRUE(Fleet::waitUntil([&] { return sum(F, "upstreams") == 3; },
                               std::chrono::seconds(20)))
      << F.allLogs();
  expectServed(F, 300);
  for (size_t I = 0; I < F.instances(); ++I) {
    EXPECT_FALSE(F.process(I).wait(Duration::zero())) << I;
    std::string Log = F.logText("i" + std::to_string(I));
    EXPECT_EQ(Log.find("its handler failed"), std::string::npos) << Log;
    // One line for each collection, and some for the changes of their numbers.
    EXPECT_GE(occurrences(Log, "unreadable records"), 2U) << Log;
    EXPECT_LE(occurrences(Log, "unreadable records"), 12U) << Log;
  }
  EXPECT_TRUE(F.overlaps().empty());
}

} // namespace snipeshunt
