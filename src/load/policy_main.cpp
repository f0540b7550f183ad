/// \file `snipeshunt-policy`: measures a scheduling policy on generated
/// workloads by running the reducers of a fleet on a fake clock.
#include "load/policy_run.h"

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace snipeshunt {

namespace {

struct PolicyRow {
  std::string_view Name;
  PolicyOptions Options;
};

PolicyOptions changed(void (*Change)(PolicyOptions &)) {
  PolicyOptions Options;
  Change(Options);
  return Options;
}

/// Returns the policies by name: two baselines, the current rules, and the
/// current rules with one mechanism disabled each.
const std::vector<PolicyRow> &policyTable() {
  using O = PolicyOptions;
  static const std::vector<PolicyRow> Table = {
      {"random-fifo",
       {OrderRule::FirstInFirstOut, PlacementRule::Random, false, false, 3,
        false, false}},
      {"least-fifo",
       {OrderRule::FirstInFirstOut, PlacementRule::LeastOutstanding, false,
        false, 3, false, false, false}},
      {"current", {}},
      {"no-order", changed([](O &P) { P.Order = OrderRule::FirstInFirstOut; })},
      {"no-speed",
       changed([](O &P) { P.Placement = PlacementRule::LeastOutstanding; })},
      {"no-lanes", changed([](O &P) { P.Lanes = false; })},
      {"shortest-remaining",
       changed([](O &P) { P.Order = OrderRule::ShortestRemaining; })},
      {"no-refusal", changed([](O &P) { P.RejectLate = false; })},
      {"no-wait", changed([](O &P) { P.WaitForFaster = false; })},
      {"no-return", changed([](O &P) { P.ReturnExcess = false; })},
      {"no-probes", changed([](O &P) { P.Probes = false; })},
  };
  return Table;
}

struct Options {
  std::string Workload = "rawahel";
  std::string Policy = "current";
  double Load = 0.8;
  uint64_t Seeds = 5;
  double Seconds = 45;
};

constexpr const char *Usage =
    "usage: snipeshunt-policy [--workload NAME] [--policy NAME] [--load X]\n"
    "                         [--seeds N] [--seconds S]\n"
    "workloads: rawahel otjomuise cancel sizes declared failing\n";

bool readOptions(int Argc, char **Argv, Options &O) {
  static const option LongOptions[] = {
      {"workload", required_argument, nullptr, 'w'},
      {"policy", required_argument, nullptr, 'p'},
      {"load", required_argument, nullptr, 'l'},
      {"seeds", required_argument, nullptr, 's'},
      {"seconds", required_argument, nullptr, 't'},
      {nullptr, 0, nullptr, 0}};
  int Code = 0;
  while ((Code = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1) {
    switch (Code) {
    case 'w':
      O.Workload = optarg;
      break;
    case 'p':
      O.Policy = optarg;
      break;
    case 'l':
      O.Load = std::strtod(optarg, nullptr);
      break;
    case 's':
      O.Seeds = std::strtoull(optarg, nullptr, 10);
      break;
    case 't':
      O.Seconds = std::strtod(optarg, nullptr);
      break;
    default:
      return false;
    }
  }
  return optind == Argc && O.Load > 0 && O.Seeds > 0 &&
         O.Seconds > PolicyWarmUp;
}

const PolicyRow *findPolicy(const std::string &Name) {
  for (const PolicyRow &Row : policyTable())
    if (Row.Name == Name)
      return &Row;
  return nullptr;
}

void print(const std::vector<PolicyFigures> &Runs) {
  printf("%-30s %10s %10s %10s\n", "", "mean", "least", "most");
  for (size_t I = 0; I < Runs[0].size(); ++I) {
    double Sum = 0;
    double Least = Runs[0][I].second;
    double Most = Least;
    for (const PolicyFigures &F : Runs) {
      Sum += F[I].second;
      Least = std::min(Least, F[I].second);
      Most = std::max(Most, F[I].second);
    }
    printf("%-30s %10.3f %10.3f %10.3f\n", Runs[0][I].first.c_str(),
           Sum / static_cast<double>(Runs.size()), Least, Most);
  }
}

int comparePolicies(int Argc, char **Argv) {
  Options O;
  const PolicyRow *Policy = nullptr;
  if (readOptions(Argc, Argv, O))
    Policy = findPolicy(O.Policy);
  if (!Policy || !makeWorkload(O.Workload, O.Load, 1, 1)) {
    fputs(Usage, stderr);
    fputs("policies:", stderr);
    for (const PolicyRow &Row : policyTable())
      fprintf(stderr, " %.*s", static_cast<int>(Row.Name.size()),
              Row.Name.data());
    fputs("\n", stderr);
    return 2;
  }
  std::vector<PolicyFigures> Runs;
  for (uint64_t Seed = 1; Seed <= O.Seeds; ++Seed) {
    PolicyWorkload W = *makeWorkload(O.Workload, O.Load, O.Seconds, Seed);
    PolicyRecord Record = PolicyRun(W, Policy->Options, Seed).run(O.Seconds);
    Runs.push_back(figuresOf(W, Record, O.Seconds));
  }
  printf("workload %s, policy %s, load %g, %zu seeds, %g s\n",
         O.Workload.c_str(), O.Policy.c_str(), O.Load, Runs.size(), O.Seconds);
  print(Runs);
  return 0;
}

} // namespace

} // namespace snipeshunt

int main(int Argc, char **Argv) {
  return snipeshunt::comparePolicies(Argc, Argv);
}
