/// \file `snipeshunt-soak`: runs a fleet under faults and checks its
/// guarantees.
#include "core/json_func.h"
#include "fleet/recorded_caller.h"
#include "fleet/soak_options.h"
#include "history/history_func.h"
#include "load/soak_callers.h"
#include "load/soak_injector.h"
#include "load/soak_schedule.h"

#include <iostream>

namespace snipeshunt {

namespace {

// Long, so that a loaded machine does not cause a violation.
constexpr Duration RecoveryLimit = std::chrono::seconds(90);

constexpr char Usage[] =
    "Usage: snipeshunt-soak [--seconds N] [--seed N] [--rate X]\n"
    "         [--callers N] [--centres N] [--instances N] [--upstreams N]\n"
    "         [--bin-dir DIR] [--keep] [--print-schedule]\n"
    "Runs a fleet of real processes under faults and checks its guarantees.\n\n"
    "  --seconds N       length of the schedule of faults (default 60)\n"
    "  --seed N          seed of the schedule and the callers (default 1)\n"
    "  --rate X          faults a second (default 2)\n"
    "  --callers N       callers (default 12)\n"
    "  --centres N       data centres (default 3)\n"
    "  --instances N     instances of each data centre (default 3)\n"
    "  --upstreams N     upstreams of each data centre (default 17)\n"
    "  --bin-dir DIR     directory of the programs (default: this program's)\n"
    "  --keep            keep the work directory\n"
    "  --print-schedule  print the schedule and exit\n\n"
    "Exit status: 0 all guarantees hold, 1 one is violated, 2 wrong usage or\n"
    "a fleet that does not start.\n";

/// Returns the number of instances that complete no job after the faults.
/// Upstreams may still be probed, so jobs are submitted until one completes or
/// the time limit ends.
size_t countUnrecovered(const Fleet &F, const std::string &HistoryFile) {
  RecordedCaller Caller("recovery", HistoryFile);
  size_t Failed = 0;
  for (size_t I = 0; I < F.instances(); ++I) {
    auto Serves = [&] {
      std::string Ticket = RecordedCaller::takeTicket(F.instance(I));
      RecordedJob Job = Caller.makeJob(5, "run_ms=5");
      return !Ticket.empty() &&
             Caller.submit(F.instance(I), Ticket, Job).Outcome == "complete";
    };
    if (Fleet::waitUntil(Serves, RecoveryLimit))
      continue;
    ++Failed;
    std::cout << "  instance " << I
              << " completed no job within the time limit\n";
  }
  return Failed;
}

int runSoak(const SoakOptions &CommandLine, const FleetOptions &Options) {
  Fleet F(Options);
  Result<Ok> Started = F.start();
  if (failed(Started)) {
    std::cerr << "soak: " << errorOf(Started).Message << "; "
              << errorOf(Started).Remedy << ".\n";
    return SoakUsage;
  }
  std::cout << "seed " << CommandLine.Seed << ", " << CommandLine.Seconds
            << " s, work directory " << F.workDir() << std::endl;
  std::vector<SoakStep> Steps = soakSchedule(
      {Options.Centres, F.instances(), F.upstreams()}, CommandLine.Seed,
      CommandLine.Rate, std::chrono::seconds(CommandLine.Seconds));
  SoakOperators Operators(F, CommandLine.Seed);
  SoakInjector Injector(F, Operators);
  SoakCallers Callers(F, static_cast<size_t>(CommandLine.Callers),
                      CommandLine.Seed);
  Injector.run(Steps);
  Callers.stop();
  bool RosterComplete =
      Fleet::waitUntil([&] { return F.rosterComplete(); }, RecoveryLimit);
  std::vector<std::string> Files = Callers.files();
  Files.push_back(F.workDir() + "/recovery.history");
  size_t Unrecovered = countUnrecovered(F, Files.back());
  Callers.audit();
  size_t Outdated = Operators.countOutdated(RecoveryLimit);
  Result<std::vector<GuaranteeReport>> Reports = checkFleet(F, Files);
  if (failed(Reports)) {
    std::cerr << "soak: " << errorOf(Reports).Message << "; "
              << errorOf(Reports).Remedy << ".\n";
    return SoakUsage;
  }
  std::vector<GuaranteeReport> All = valueOf(Reports);
  All.push_back({"h: every instance reports all others live after the faults",
                 F.instances(), RosterComplete ? 0U : 1U});
  All.push_back({"i: every instance serves jobs after the faults",
                 F.instances(), Unrecovered});
  All.push_back({"j: of two racing changes at most one is accepted",
                 Operators.races(), Operators.bothAccepted()});
  All.push_back({"k: the last accepted revision is in force everywhere",
                 F.instances(), Outdated});
  std::cout << Injector.report() << Callers.report() << formatReports(All);
  return anyViolation(All) ? SoakViolated : SoakHolds;
}

} // namespace

} // namespace snipeshunt

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  SoakOptions CommandLine;
  CommandLine.Seconds = 60;
  CommandLine.Callers = 12;
  FleetOptions Options;
  Options.Centres = 3;
  Options.UpstreamsPerCentre = 17;
  Options.Relays = true;
  auto Set = [](uint32_t &Size) {
    return [&Size](int64_t Value) { Size = static_cast<uint32_t>(Value); };
  };
  if (!parseSoakOptions(Argc, Argv,
                        {{"centres", 8, Set(Options.Centres)},
                         {"instances", 8, Set(Options.InstancesPerCentre)},
                         {"upstreams", 20, Set(Options.UpstreamsPerCentre)}},
                        CommandLine)) {
    std::cerr << Usage;
    return SoakUsage;
  }
  Options.Seed = CommandLine.Seed;
  Options.BinaryDir = CommandLine.BinaryDir;
  Options.KeepWorkDir = CommandLine.KeepWorkDir;
  if (!CommandLine.PrintSchedule)
    return runSoak(CommandLine, Options);
  std::cout << formatSchedule(soakSchedule(
      {Options.Centres, size_t{Options.Centres} * Options.InstancesPerCentre,
       size_t{Options.Centres} * Options.UpstreamsPerCentre},
      CommandLine.Seed, CommandLine.Rate,
      std::chrono::seconds(CommandLine.Seconds)));
  return SoakHolds;
}
