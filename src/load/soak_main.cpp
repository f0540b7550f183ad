/// \file `snipeshunt-soak`: runs a fleet under faults and checks its promises.
#include "core/json_func.h"
#include "fleet/recorded_caller.h"
#include "history/history_func.h"
#include "load/soak_callers.h"
#include "load/soak_injector.h"
#include "load/soak_schedule.h"

#include <getopt.h>

#include <cstdlib>
#include <iostream>

namespace snipeshunt {

namespace {

// Scripts rely on these exit statuses.
constexpr int ExitHolds = 0;
constexpr int ExitViolated = 1;
constexpr int ExitUsage = 2;

// Generous, so that a loaded machine does not decide the verdict.
constexpr Duration RecoveryLimit = std::chrono::seconds(90);

constexpr char Usage[] =
    "Usage: snipeshunt-soak [--seconds N] [--seed N] [--rate X]\n"
    "         [--callers N] [--centres N] [--instances N] [--upstreams N]\n"
    "         [--bin-dir DIR] [--keep] [--print-schedule]\n"
    "Runs a fleet of real processes under faults and checks its promises.\n\n"
    "  --seconds N       length of the schedule of faults (default 60)\n"
    "  --seed N          seed of the schedule and the callers (default 1)\n"
    "  --rate X          faults a second (default 2)\n"
    "  --callers N       callers (default 12)\n"
    "  --centres N       data centres (default 3)\n"
    "  --instances N     instances of each data centre (default 3)\n"
    "  --upstreams N     upstreams of each data centre (default 17)\n"
    "  --bin-dir DIR     the programs (default: where this one is)\n"
    "  --keep            keep the work directory\n"
    "  --print-schedule  print the schedule and exit\n\n"
    "Exit status: 0 all promises hold, 1 a violation, 2 wrong usage or a\n"
    "fleet that does not start.\n";

struct SoakArguments {
  FleetOptions Fleet;
  int64_t Seconds = 60;
  double Rate = 2;
  int64_t Callers = 12;
  bool PrintSchedule = false;
};

bool readWhole(const char *Text, int64_t Min, int64_t Max, int64_t &Out) {
  char *End = nullptr;
  Out = strtoll(Text, &End, 10);
  return End != Text && *End == '\0' && Out >= Min && Out <= Max;
}

bool readSize(const char *Text, int64_t Max, uint32_t &Out) {
  int64_t Value = 0;
  bool Valid = readWhole(Text, 1, Max, Value);
  Out = static_cast<uint32_t>(Value);
  return Valid;
}

bool readOption(int Code, SoakArguments &Out) {
  switch (Code) {
  case 's':
    return readWhole(optarg, 1, 86400, Out.Seconds);
  case 'e': {
    int64_t Seed = 0;
    bool Valid = readWhole(optarg, 0, INT32_MAX, Seed);
    Out.Fleet.Seed = static_cast<uint64_t>(Seed);
    return Valid;
  }
  case 'r':
    Out.Rate = strtod(optarg, nullptr);
    return Out.Rate > 0 && Out.Rate <= 100;
  case 'c':
    return readWhole(optarg, 1, 100, Out.Callers);
  case 'd':
    return readSize(optarg, 8, Out.Fleet.Centres);
  case 'i':
    return readSize(optarg, 8, Out.Fleet.InstancesPerCentre);
  case 'u':
    return readSize(optarg, 20, Out.Fleet.UpstreamsPerCentre);
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

bool parseArguments(int Argc, char **Argv, SoakArguments &Out) {
  static const option Names[] = {{"seconds", required_argument, nullptr, 's'},
                                 {"seed", required_argument, nullptr, 'e'},
                                 {"rate", required_argument, nullptr, 'r'},
                                 {"callers", required_argument, nullptr, 'c'},
                                 {"centres", required_argument, nullptr, 'd'},
                                 {"instances", required_argument, nullptr, 'i'},
                                 {"upstreams", required_argument, nullptr, 'u'},
                                 {"bin-dir", required_argument, nullptr, 'b'},
                                 {"keep", no_argument, nullptr, 'k'},
                                 {"print-schedule", no_argument, nullptr, 'p'},
                                 {nullptr, 0, nullptr, 0}};
  std::string Program = Argv[0];
  size_t Slash = Program.rfind('/');
  Out.Fleet.BinaryDir =
      Slash == std::string::npos ? "." : Program.substr(0, Slash);
  Out.Fleet.Centres = 3;
  Out.Fleet.UpstreamsPerCentre = 17;
  Out.Fleet.Relays = true;
  for (int Code; (Code = getopt_long(Argc, Argv, "", Names, nullptr)) != -1;)
    if (!readOption(Code, Out))
      return false;
  return optind == Argc;
}

/// Each instance must serve a job again; gives the number of those that do
/// not. Upstreams may still be probed, so a job is tried several times.
size_t unrecovered(const Fleet &F, const std::string &HistoryFile) {
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
    std::cout << "  instance " << I << " does not complete a job\n";
  }
  return Failed;
}

int runSoak(const SoakArguments &Arguments) {
  Fleet F(Arguments.Fleet);
  Result<Ok> Started = F.start();
  if (failed(Started)) {
    std::cerr << "soak: " << errorOf(Started).Message << "; "
              << errorOf(Started).Remedy << ".\n";
    return ExitUsage;
  }
  std::cout << "seed " << Arguments.Fleet.Seed << ", " << Arguments.Seconds
            << " s, work directory " << F.workDir() << std::endl;
  std::vector<SoakStep> Steps =
      soakSchedule({Arguments.Fleet.Centres, F.instances(), F.upstreams()},
                   Arguments.Fleet.Seed, Arguments.Rate,
                   std::chrono::seconds(Arguments.Seconds));
  SoakOperators Operators(F, Arguments.Fleet.Seed);
  SoakInjector Injector(F, Operators);
  SoakCallers Callers(F, static_cast<size_t>(Arguments.Callers),
                      Arguments.Fleet.Seed);
  Injector.run(Steps);
  Callers.stop();
  bool Joined =
      Fleet::waitUntil([&] { return F.rosterComplete(); }, RecoveryLimit);
  std::vector<std::string> Files = Callers.files();
  Files.push_back(F.workDir() + "/recovery.history");
  size_t Unrecovered = unrecovered(F, Files.back());
  Callers.audit();
  size_t Behind = Operators.behind(RecoveryLimit);
  Result<std::vector<GuaranteeReport>> Reports = checkFleet(F, Files);
  if (failed(Reports)) {
    std::cerr << "soak: " << errorOf(Reports).Message << "; "
              << errorOf(Reports).Remedy << ".\n";
    return ExitUsage;
  }
  std::vector<GuaranteeReport> All = valueOf(Reports);
  All.push_back({"h: all instances know each other after the faults",
                 F.instances(), Joined ? 0U : 1U});
  All.push_back({"i: every instance serves jobs after the faults",
                 F.instances(), Unrecovered});
  All.push_back({"j: of two racing changes at most one is accepted",
                 Operators.races(), Operators.bothAccepted()});
  All.push_back({"k: the last accepted revision is in force everywhere",
                 F.instances(), Behind});
  std::cout << Injector.report() << Callers.report() << formatReports(All);
  return anyViolation(All) ? ExitViolated : ExitHolds;
}

} // namespace

} // namespace snipeshunt

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  SoakArguments Arguments;
  if (!parseArguments(Argc, Argv, Arguments)) {
    std::cerr << Usage;
    return ExitUsage;
  }
  if (Arguments.PrintSchedule) {
    const FleetOptions &O = Arguments.Fleet;
    std::cout << formatSchedule(soakSchedule(
        {O.Centres, size_t{O.Centres} * O.InstancesPerCentre,
         size_t{O.Centres} * O.UpstreamsPerCentre},
        O.Seed, Arguments.Rate, std::chrono::seconds(Arguments.Seconds)));
    return ExitHolds;
  }
  return runSoak(Arguments);
}
