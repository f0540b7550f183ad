/// \file A fleet whose configuration is changed by the real tool.
#ifndef SNIPESHUNT_TESTS_CONFIGURATION_FLEET_H
#define SNIPESHUNT_TESTS_CONFIGURATION_FLEET_H

#include "configuration/configuration_func.h"
#include "configuration/etcd_func.h"
#include "core/json_func.h"
#include "fleet/fleet.h"
#include "history/history_func.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

#include <sys/wait.h>

namespace snipeshunt {

// Generous, so that a loaded machine does not decide a test.
constexpr Duration TestDeadline = std::chrono::seconds(60);

/// What the tool did.
struct ToolRun {
  int Exit = -1;
  std::string Output; ///< Standard output and standard error.

  /// Number behind `revision ` in the output; 0 if there is none.
  uint64_t revision() const {
    size_t Place = Output.find("revision ");
    return Place == std::string::npos ? 0
                                      : std::stoull(Output.substr(Place + 9));
  }
};

class ConfigurationFleet {
public:
  using Excluded = std::set<size_t>; ///< Instances that can't be asked.

  ConfigurationFleet(uint32_t Centres, uint32_t InstancesPerCentre,
                     bool Relays = false)
      : F(options(Centres, InstancesPerCentre, Relays)) {
    Result<Ok> Started = F.start();
    EXPECT_FALSE(failed(Started)) << errorOf(Started).Message;
  }

  /// Runs the tool with \p Arguments behind `config`.
  ToolRun tool(const std::string &Arguments) const {
    std::string Line = "USER=tester timeout 100 " BINARY_DIR
                       "/snipeshunt config " +
                       Arguments + " --platform " + F.platform().Value +
                       " --instance " + F.directInstance(0).Value + " 2>&1";
    ToolRun Run;
    FILE *Pipe = popen(Line.c_str(), "r"); // NOLINT
    char Part[4096];
    for (size_t N; (N = fread(Part, 1, sizeof(Part), Pipe)) > 0;)
      Run.Output.append(Part, N);
    int Code = pclose(Pipe);
    Run.Exit = WIFEXITED(Code) ? WEXITSTATUS(Code) : -1;
    return Run;
  }

  /// Adds an exception and gives the accepted revision.
  uint64_t change() {
    ToolRun Run = tool("exceptions add --scope team --setting team_weight "
                       "--name team" +
                       std::to_string(++Changes) +
                       " --value 2 --reason 'test of propagation'");
    EXPECT_EQ(Run.Exit, 0) << Run.Output;
    return Run.revision();
  }

  Json::Value view(size_t I, const char *Path = "/v1/configuration") const {
    Result<std::string> Text = getText(F.directInstance(I), Path);
    if (failed(Text))
      return Json::Value(Json::objectValue);
    return valueOf(parseJson(valueOf(Text)));
  }
  uint64_t revision(size_t I) const { return view(I)["revision"].asUInt64(); }

  uint64_t rejected(size_t I) const {
    return view(I)["rejected"]["revision"].asUInt64();
  }

  bool platformReachable(size_t I) const {
    return view(I)["platform_reachable"].asBool();
  }

  /// Waits until \p Number is in force on all instances but \p Except.
  bool inForceEverywhere(uint64_t Number, const Excluded &Except = {}) const {
    return Number > 0 &&
           waitForAll(Except, [&](size_t I) { return revision(I) == Number; });
  }
  bool waitForAll(const Excluded &Except,
                  const std::function<bool(size_t)> &Condition) const {
    return Fleet::waitUntil(
        [&] {
          for (size_t I = 0; I < F.instances(); ++I)
            if (!Except.count(I) && !Condition(I))
              return false;
          return true;
        },
        TestDeadline);
  }

  /// An instance that watches in data centre \p Centre, not in \p Except.
  size_t watcher(const std::string &Centre, const Excluded &Except = {}) const {
    size_t Found = F.instances();
    EXPECT_TRUE(Fleet::waitUntil(
        [&] {
          for (size_t I = 0; I < F.instances(); ++I)
            if (!Except.count(I) &&
                F.centreOf(FleetRole::Instance, I) == Centre &&
                view(I)["watching"].asBool())
              Found = I;
          return Found < F.instances();
        },
        TestDeadline))
        << "nobody watches in " << Centre;
    return Found;
  }

  void platformFaults(const std::string &Body) const {
    EXPECT_FALSE(failed(postText(F.platform(), "/v1/faults", Body)));
  }
  void putRaw(const std::string &Text) const {
    Json::Value Body;
    Body["key"] = encodeBase64(ConfigurationKey);
    Body["value"] = encodeBase64(Text);
    EXPECT_FALSE(failed(postText(F.platform(), "/v3/kv/put", writeJson(Body))));
  }

  std::string logText(size_t I) const {
    std::ifstream In(F.logFile(FleetRole::Instance, I));
    return {std::istreambuf_iterator<char>(In), {}};
  }

  /// Keeps what instance \p I has recorded, before the process is replaced.
  void collect(size_t I) {
    Result<std::string> Text = getText(F.directInstance(I), "/v1/timeline");
    ASSERT_FALSE(failed(Text)) << errorOf(Text).Message;
    std::istringstream In(valueOf(Text) + "\n");
    std::optional<Error> Problem = readTimelineHistory(In, "timeline", Records);
    ASSERT_FALSE(Problem) << Problem->Message;
  }
  /// Applies the checker's rule on configurations to all instances.
  void checkNoRollback() {
    for (size_t I = 0; I < F.instances(); ++I)
      collect(I);
    for (const GuaranteeReport &Report :
         checkHistories(Records, std::chrono::seconds(5)))
      if (Report.Name.find("configuration") != std::string::npos) {
        EXPECT_GT(Report.Checked, 0U);
        EXPECT_EQ(Report.Violations, 0U) << formatReports({Report});
      }
  }

  Fleet F;

private:
  static FleetOptions options(uint32_t Centres, uint32_t InstancesPerCentre,
                              bool Relays) {
    FleetOptions Out;
    Out.BinaryDir = BINARY_DIR;
    Out.Centres = Centres;
    Out.InstancesPerCentre = InstancesPerCentre;
    Out.UpstreamsPerCentre = 1;
    Out.Relays = Relays;
    Out.PlatformRelay = true;
    return Out;
  }

  uint32_t Changes = 0;
  HistoryInput Records;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_CONFIGURATION_FLEET_H
