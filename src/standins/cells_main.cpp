/// \file `standin-cells`: stand-ins for the store and the runners of the users'
/// platform, in one process.
#include "standins/runner_standin.h"
#include "standins/store_standin.h"

#include <getopt.h>

#include <cstdio>
#include <memory>

namespace {

constexpr int UsageError = 2;
constexpr snipeshunt::Duration RegistrationPeriod =
    std::chrono::milliseconds(500);
// One route, `jobs.example/jobs/`, whose tasks may fail twice: `max_attempts`
// is 3.
constexpr char Configuration[] =
    R"({"version":1,"routes":[{"name":"jobs","host":"jobs.example",)"
    R"("prefix":"/jobs/","kind":"unsafe","timeout_ms":5000,"slo_ms":60,)"
    R"("priority":0,"service":"standin","max_attempts":3,"stretch":1.6}],)"
    R"("services":[],"limits":{}})";

void printUsage() {
  fprintf(stderr, "Usage: standin-cells --listen IP:PORT --runners N "
                  "[--centres N] [--announce IP:PORT]...\n"
                  "With --announce, which is given for each runner, the "
                  "runners register these addresses.\n");
}

} // namespace

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  const option Options[] = {{"listen", required_argument, nullptr, 'l'},
                            {"runners", required_argument, nullptr, 'r'},
                            {"centres", required_argument, nullptr, 'c'},
                            {"announce", required_argument, nullptr, 'a'},
                            {nullptr, 0, nullptr, 0}};
  std::string Listen;
  std::optional<int64_t> Runners;
  std::optional<int64_t> Centres = 1;
  std::vector<Address> Announced;
  for (int Option; (Option = getopt_long(Argc, Argv, "l:r:c:a:", Options,
                                         nullptr)) != -1;) {
    if (Option == 'l')
      Listen = optarg;
    else if (Option == 'r')
      Runners = parseInteger(optarg, 1, 500);
    else if (Option == 'c')
      Centres = parseInteger(optarg, 1, 16);
    else if (Option == 'a')
      Announced.push_back({optarg});
    else
      return printUsage(), UsageError;
  }
  if (Listen.empty() || !Runners || !Centres ||
      (!Announced.empty() && Announced.size() != static_cast<size_t>(*Runners)))
    return printUsage(), UsageError;
  EventLoop Loop;
  StoreStandin Store(Loop);
  Store.put("op/config", Configuration);
  std::vector<std::unique_ptr<RunnerStandin>> Standins;
  std::string Ip = Listen.substr(0, Listen.find(':'));
  for (int64_t I = 0; I < *Runners; ++I) {
    Standins.push_back(std::make_unique<RunnerStandin>(
        Loop, "runner-" + std::to_string(I),
        "dc" + std::to_string(1 + I % *Centres)));
    if (!Standins.back()->listen(Ip))
      return 1;
    if (!Announced.empty())
      Standins.back()->announce(Announced[static_cast<size_t>(I)]);
    // A lease ends at its time even if this process is delayed: expired runs of
    // all runners are ended before any request is handled.
    Standins.back()->BeforeRequest.connect([&Standins] {
      for (const auto &R : Standins)
        R->advance();
    });
    printf("runner %lld %s\n", static_cast<long long>(I),
           Standins.back()->endpoint().Value.c_str());
  }
  fflush(stdout);
  uint64_t Sequence = 0;
  auto RegisterRunners = [&] {
    ++Sequence;
    for (const auto &R : Standins)
      Store.put("servers/" + R->id(), R->registration(Sequence));
  };
  RegisterRunners();
  // A record of another writer, which describes no runner.
  Store.put("servers/stray", "not an entry");
  Timer RegistrationTimer(Loop, RegisterRunners);
  RegistrationTimer.startPeriodic(RegistrationPeriod);
  if (!Store.listen({Listen}))
    return 1;
  runUntilSignal(Loop);
  return 0;
}
