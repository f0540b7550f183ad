/// \file `snipeshunt-cell-soak`: runs a fleet of cells under faults and checks
/// its promises.
#include "soak/cell_soak_checks.h"
#include "soak/cell_soak_schedule.h"

#include <getopt.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace snipeshunt {

namespace {

// Scripts rely on these exit statuses.
constexpr int ExitHolds = 0;
constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;

// Generous, so that a loaded machine does not decide the verdict.
constexpr Duration RecoveryLimit = std::chrono::seconds(90);

constexpr char Usage[] =
    "Usage: snipeshunt-cell-soak [--seconds N] [--seed N] [--rate X]\n"
    "         [--callers N] [--instances N] [--runners N] [--centres N]\n"
    "         [--bin-dir DIR] [--keep] [--print-schedule]\n"
    "Runs instances of a fleet of cells under faults and checks what they\n"
    "promise to callers and upstreams.\n\n"
    "  --seconds N       length of the schedule of faults (default 30)\n"
    "  --seed N          seed of the schedule and the callers (default 1)\n"
    "  --rate X          faults a second (default 2)\n"
    "  --callers N       callers (default 8)\n"
    "  --instances N     instances (default 6)\n"
    "  --runners N       stand-in upstreams (default 9)\n"
    "  --centres N       data centres (default 3)\n"
    "  --bin-dir DIR     the programs (default: where this one is)\n"
    "  --keep            keep the work directory\n"
    "  --print-schedule  print the schedule and exit\n\n"
    "Exit status: 0 all promises hold, 1 one is broken, 2 wrong usage or a\n"
    "fleet that does not start.\n";

struct Arguments {
  CellFleetOptions Fleet;
  size_t Seconds = 30;
  size_t Seed = 1;
  double Rate = 2;
  size_t Callers = 8;
  bool PrintSchedule = false;
};

bool readWhole(size_t Min, size_t Max, size_t &Out) {
  char *End = nullptr;
  Out = strtoull(optarg, &End, 10);
  return End != optarg && *End == '\0' && Out >= Min && Out <= Max;
}

bool readOption(int Code, Arguments &Out) {
  switch (Code) {
  case 's':
    return readWhole(1, 86400, Out.Seconds);
  case 'e':
    return readWhole(0, INT32_MAX, Out.Seed);
  case 'r':
    Out.Rate = strtod(optarg, nullptr);
    return Out.Rate > 0 && Out.Rate <= 100;
  case 'c':
    return readWhole(1, 100, Out.Callers);
  case 'i':
    return readWhole(1, 100, Out.Fleet.Instances);
  case 'u':
    return readWhole(1, 200, Out.Fleet.Runners);
  case 'd':
    return readWhole(1, 16, Out.Fleet.Centres);
  case 'b':
    Out.Fleet.BinaryDir = optarg;
    return true;
  case 'k':
    Out.Fleet.KeepWorkDir = true;
    return true;
  case 'p':
    Out.PrintSchedule = true;
    return true;
  default:
    return false;
  }
}

bool parseArguments(int Argc, char **Argv, Arguments &Out) {
  static const option Names[] = {{"seconds", required_argument, nullptr, 's'},
                                 {"seed", required_argument, nullptr, 'e'},
                                 {"rate", required_argument, nullptr, 'r'},
                                 {"callers", required_argument, nullptr, 'c'},
                                 {"instances", required_argument, nullptr, 'i'},
                                 {"runners", required_argument, nullptr, 'u'},
                                 {"centres", required_argument, nullptr, 'd'},
                                 {"bin-dir", required_argument, nullptr, 'b'},
                                 {"keep", no_argument, nullptr, 'k'},
                                 {"print-schedule", no_argument, nullptr, 'p'},
                                 {nullptr, 0, nullptr, 0}};
  Out.Fleet.BinaryDir =
      std::filesystem::absolute(Argv[0]).parent_path().string();
  Out.Fleet.Instances = 6;
  Out.Fleet.Centres = 3;
  Out.Fleet.Runners = 9;
  for (int Code; (Code = getopt_long(Argc, Argv, "", Names, nullptr)) != -1;)
    if (!readOption(Code, Out))
      return false;
  return optind == Argc;
}

/// Whether the last event of each task in the history is an end.
bool nothingRuns(const CellFleet &F) {
  std::map<std::string, int> Open;
  for (const RunEvent &E : F.history())
    Open[E.Task] += E.IsStart ? 1 : -1;
  return std::all_of(Open.begin(), Open.end(),
                     [](const auto &Entry) { return Entry.second == 0; });
}

PromiseReport checkRecovery(const CellFleet &F) {
  PromiseReport Report{
      "g: every instance serves jobs after the faults", F.instances(), {}};
  size_t Number = 0;
  for (size_t I = 0; I < F.instances(); ++I) {
    auto Serves = [&] {
      char Id[17];
      snprintf(Id, sizeof(Id), "ffffffff%08zx", ++Number);
      return F.submit(I, Id, 2, 10).Status == 200;
    };
    if (!Fleet::waitUntil(Serves, RecoveryLimit))
      Report.Broken.push_back("instance " + std::to_string(I));
  }
  return Report;
}

/// No process may end that was not told to.
PromiseReport checkAlive(CellFleet &F) {
  PromiseReport Report{"i: no process ends by itself", F.instances(), {}};
  for (size_t I = 0; I < F.instances(); ++I)
    if (std::optional<int> Status = F.process(I).wait(Duration::zero()))
      Report.Broken.push_back("instance " + std::to_string(I) + " ended with " +
                              std::to_string(*Status));
  return Report;
}

int runSoak(const Arguments &Given) {
  CellFleet F(Given.Fleet);
  CellSoakInjector Injector(F);
  Result<Ok> Started = Injector.startFleet();
  if (failed(Started)) {
    std::cerr << "soak: " << errorOf(Started).Message << "; "
              << errorOf(Started).Remedy << ".\n";
    return ExitUsage;
  }
  std::cout << "seed " << Given.Seed << ", " << Given.Seconds << " s, logs "
            << F.log("platform") << std::endl;
  CellSoakCallers Callers(F, Given.Callers, Given.Seed);
  Injector.run(cellSoakSchedule({F.instances(), Given.Fleet.Runners},
                                Given.Seed, Given.Rate,
                                std::chrono::seconds(Given.Seconds)));
  Callers.stop();
  PromiseReport Recovery = checkRecovery(F);
  PromiseReport Alive = checkAlive(F);
  Fleet::waitUntil([&] { return nothingRuns(F); }, RecoveryLimit);
  std::vector<PromiseReport> Reports =
      checkPromises({F.history(), Callers.attempts(), Injector.outages()});
  Reports.push_back(std::move(Recovery));
  Reports.push_back({"h: a process that is told to end does so with status 0",
                     Injector.endings(), Injector.badEndings()});
  Reports.push_back(std::move(Alive));
  std::map<int, size_t> Statuses;
  for (const SoakAttempt &A : Callers.attempts())
    ++Statuses[A.HungUp ? -1 : A.Status];
  std::cout << Injector.report() << "answers:";
  for (const auto &[Status, Count] : Statuses)
    std::cout << " "
              << (Status == -1  ? std::string("hung_up")
                  : Status == 0 ? std::string("none")
                                : std::to_string(Status))
              << "=" << Count;
  std::cout << "\n" << formatPromises(Reports);
  return anyBroken(Reports) ? ExitBroken : ExitHolds;
}

} // namespace

} // namespace snipeshunt

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  Arguments Given;
  if (!parseArguments(Argc, Argv, Given)) {
    std::cerr << Usage;
    return ExitUsage;
  }
  if (Given.PrintSchedule) {
    std::cout << formatSchedule(cellSoakSchedule(
        {Given.Fleet.Instances, Given.Fleet.Runners}, Given.Seed, Given.Rate,
        std::chrono::seconds(Given.Seconds)));
    return ExitHolds;
  }
  return runSoak(Given);
}
