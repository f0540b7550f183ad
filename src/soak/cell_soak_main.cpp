/// \file `snipeshunt-cell-soak`: runs a fleet of cells under faults and checks
/// its guarantees.
#include "fleet/soak_options.h"
#include "soak/cell_soak_checks.h"
#include "soak/cell_soak_schedule.h"
#include "soak/hostile_clients.h"
#include "soak/resource_monitor.h"

#include <algorithm>
#include <iostream>

namespace snipeshunt {

namespace {

// Long, so that a loaded machine does not cause a violation.
constexpr Duration RecoveryLimit = std::chrono::seconds(90);

constexpr char Usage[] =
    "Usage: snipeshunt-cell-soak [--seconds N] [--seed N] [--rate X]\n"
    "         [--callers N] [--hostile N] [--instances N] [--runners N]\n"
    "         [--centres N] [--bin-dir DIR] [--keep] [--print-schedule]\n"
    "Runs instances of a fleet of cells under faults and checks their\n"
    "guarantees to callers and upstreams.\n\n"
    "  --seconds N       length of the schedule of faults (default 30)\n"
    "  --seed N          seed of the schedule and the callers (default 1)\n"
    "  --rate X          faults a second (default 2)\n"
    "  --callers N       callers (default 8)\n"
    "  --hostile N       clients that send what none should (default 0)\n"
    "  --instances N     instances (default 6)\n"
    "  --runners N       stand-in upstreams (default 9)\n"
    "  --centres N       data centres (default 3)\n"
    "  --bin-dir DIR     directory of the programs (default: this program's)\n"
    "  --keep            keep the work directory\n"
    "  --print-schedule  print the schedule and exit\n\n"
    "Exit status: 0 all guarantees hold, 1 one is violated, 2 wrong usage or\n"
    "a fleet that does not start.\n";

bool noOpenRuns(const CellFleet &F) {
  std::map<std::string, int> Open = openRuns(F.history());
  return std::all_of(Open.begin(), Open.end(),
                     [](const auto &Entry) { return Entry.second == 0; });
}

GuaranteeReport checkRecovery(const CellFleet &F) {
  GuaranteeReport Report{"g: every instance serves jobs after the faults",
                         F.instances()};
  size_t Number = 0;
  for (size_t I = 0; I < F.instances(); ++I) {
    auto Serves = [&] {
      char Id[17];
      snprintf(Id, sizeof(Id), "ffffffff%08zx", ++Number);
      return F.submit(I, Id, 2, 10).Status == 200;
    };
    if (!Fleet::waitUntil(Serves, RecoveryLimit))
      addViolation(Report, "instance " + std::to_string(I) +
                               " completed no job within the time limit");
  }
  return Report;
}

/// Checks that no process has exited since the faults were healed.
GuaranteeReport checkAlive(CellFleet &F) {
  GuaranteeReport Report{"i: no process exits by itself", F.instances()};
  for (size_t I = 0; I < F.instances(); ++I)
    if (std::optional<int> Status = F.process(I).wait(Duration::zero()))
      addViolation(Report, "instance " + std::to_string(I) +
                               " exited with status " +
                               std::to_string(*Status));
  return Report;
}

// Open descriptors of an instance, and how many of them must stay free for
// connections that it opens.
constexpr size_t DescriptorLimit = 800;
constexpr size_t FreeDescriptors = 50;

int runSoak(const SoakOptions &Options, const CellFleetOptions &Sizes,
            size_t Hostile) {
  CellFleet F(Sizes);
  CellSoakInjector Injector(F);
  Result<Ok> Started = Injector.startFleet();
  if (failed(Started)) {
    std::cerr << "soak: " << errorOf(Started).Message << "; "
              << errorOf(Started).Remedy << ".\n";
    return SoakUsage;
  }
  std::cout << "seed " << Options.Seed << ", " << Options.Seconds << " s, logs "
            << F.log("platform") << std::endl;
  CellSoakCallers Callers(F, static_cast<size_t>(Options.Callers),
                          Options.Seed);
  HostileClients Attackers(F, Hostile, Options.Seed);
  ResourceMonitor Monitor(F, DescriptorLimit - FreeDescriptors);
  Injector.OnSample = [&Monitor] { Monitor.sample(); };
  Injector.run(cellSoakSchedule({F.instances(), Sizes.Runners}, Options.Seed,
                                Options.Rate,
                                std::chrono::seconds(Options.Seconds)));
  Attackers.stop();
  Callers.stop();
  GuaranteeReport Recovery = checkRecovery(F);
  GuaranteeReport Alive = checkAlive(F);
  Monitor.sample();
  Fleet::waitUntil([&] { return noOpenRuns(F); }, RecoveryLimit);
  std::vector<GuaranteeReport> Reports =
      checkGuarantees({F.history(), Callers.attempts(), Injector.outages()});
  Reports.push_back(std::move(Recovery));
  GuaranteeReport Shutdowns{"h: a process exits with status 0 after SIGTERM",
                            Injector.shutdowns()};
  for (const std::string &Bad : Injector.shutdownFailures())
    addViolation(Shutdowns, Bad);
  Reports.push_back(std::move(Shutdowns));
  Reports.push_back(std::move(Alive));
  Reports.push_back(Monitor.report());
  std::map<int, size_t> Statuses;
  for (const SoakAttempt &A : Callers.attempts())
    ++Statuses[A.Disconnected ? -1 : A.Status];
  std::cout << Injector.report() << Monitor.summary();
  if (Hostile > 0)
    std::cout << Attackers.report();
  std::cout << "answers:";
  for (const auto &[Status, Count] : Statuses)
    std::cout << " "
              << (Status == -1  ? std::string("hung_up")
                  : Status == 0 ? std::string("none")
                                : std::to_string(Status))
              << "=" << Count;
  std::cout << "\n" << formatReports(Reports);
  return anyViolation(Reports) ? SoakViolated : SoakHolds;
}

} // namespace

} // namespace snipeshunt

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  SoakOptions Options;
  Options.Seconds = 30;
  Options.Callers = 8;
  CellFleetOptions Fleet;
  Fleet.Instances = 6;
  Fleet.Runners = 9;
  Fleet.Centres = 3;
  Fleet.DescriptorLimit = DescriptorLimit;
  size_t Hostile = 0;
  auto Set = [](size_t &Size) {
    return [&Size](int64_t Value) { Size = static_cast<size_t>(Value); };
  };
  if (!parseSoakOptions(Argc, Argv,
                        {{"hostile", 100, Set(Hostile)},
                         {"instances", 100, Set(Fleet.Instances)},
                         {"runners", 200, Set(Fleet.Runners)},
                         {"centres", 16, Set(Fleet.Centres)}},
                        Options)) {
    std::cerr << Usage;
    return SoakUsage;
  }
  Fleet.BinaryDir = Options.BinaryDir;
  Fleet.KeepWorkDir = Options.KeepWorkDir;
  if (!Options.PrintSchedule)
    return runSoak(Options, Fleet, Hostile);
  std::cout << formatSchedule(
      cellSoakSchedule({Fleet.Instances, Fleet.Runners}, Options.Seed,
                       Options.Rate, std::chrono::seconds(Options.Seconds)));
  return SoakHolds;
}
