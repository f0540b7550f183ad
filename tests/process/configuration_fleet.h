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

// Long, so that a loaded machine does not fail a test.
constexpr Duration TestDeadline = std::chrono::seconds(60);

/// Result of one execution of the command-line tool.
struct ToolRun {
  int Exit = -1;      ///< Exit status; -1 if a signal ended it.
  std::string Output; ///< Standard output and standard error.

  /// Returns the number after `revision ` in the output; 0 if there is none.
  uint64_t revision() const {
    size_t Place = Output.find("revision ");
    return Place == std::string::npos ? 0
                                      : std::stoull(Output.substr(Place + 9));
  }
};

/// Starts a fleet and changes its configuration with the command-line tool.
class ConfigurationFleet {
public:
  using Excluded = std::set<size_t>; ///< Instances that are not checked.

  ConfigurationFleet(uint32_t Centres, uint32_t InstancesPerCentre,
                     bool Relays = false)
      : F(options(Centres, InstancesPerCentre, Relays)) {
    Result<Ok> Started = F.start();
    EXPECT_FALSE(failed(Started)) << errorOf(Started).Message;
  }

  /// Runs `snipeshunt config` with \p Arguments.
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

  /// Adds an exception and returns the accepted revision.
  uint64_t change() {
    ToolRun Run = tool("exceptions add --scope team --setting team_weight "
                       "--name team" +
                       std::to_string(++Changes) +
                       " --value 2 --reason 'test of propagation'");
    EXPECT_EQ(Run.Exit, 0) << Run.Output;
    return Run.revision();
  }

  /// Returns what instance \p I answers at \p Path; an empty object on failure.
  Json::Value view(size_t I, const char *Path = "/v1/configuration") const {
    Result<std::string> Text = getText(F.directInstance(I), Path);
    if (failed(Text))
      return Json::Value(Json::objectValue);
    return valueOf(parseJson(valueOf(Text)));
  }
  /// Returns the revision in force on instance \p I.
  uint64_t revision(size_t I) const { return view(I)["revision"].asUInt64(); }

  /// Returns the revision that instance \p I last rejected; 0 if there is none.
  uint64_t rejected(size_t I) const {
    return view(I)["rejected"]["revision"].asUInt64();
  }

  bool platformReachable(size_t I) const {
    return view(I)["platform_reachable"].asBool();
  }

  /// Waits until revision \p Number is in force on all instances but \p Except;
  /// returns false on time-out.
  bool inForceEverywhere(uint64_t Number, const Excluded &Except = {}) const {
    return Number > 0 &&
           waitForAll(Except, [&](size_t I) { return revision(I) == Number; });
  }
  /// Waits until \p Condition holds for all instances but \p Except; returns
  /// false on time-out.
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

  /// Waits for an instance of data centre \p Centre, not in \p Except, that
  /// watches the configuration, and returns its index.
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
        << "no instance watches the configuration in " << Centre;
    return Found;
  }

  /// Replaces the faults of the platform's stand-in.
  void platformFaults(const std::string &Body) const {
    EXPECT_FALSE(failed(postText(F.platform(), "/v1/faults", Body)));
  }
  /// Writes \p Text as the configuration without validating it.
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

  /// Adds the timeline of instance \p I to the records; to be called before its
  /// process is replaced.
  void collect(size_t I) {
    Result<std::string> Text = getText(F.directInstance(I), "/v1/timeline");
    ASSERT_FALSE(failed(Text)) << errorOf(Text).Message;
    std::istringstream In(valueOf(Text) + "\n");
    std::optional<Error> Problem = readTimelineHistory(In, "timeline", Records);
    ASSERT_FALSE(Problem) << Problem->Message;
  }
  /// Expects that no instance went back to an earlier revision.
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
  HistoryInput Records; ///< Timelines collected so far.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_CONFIGURATION_FLEET_H
