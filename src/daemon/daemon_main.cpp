/// \file `snipeshuntd`, the daemon of an instance.
#include "daemon/daemon.h"
#include "daemon/log.h"
#include "settings/settings_func.h"

#include <getopt.h>
#include <sys/resource.h>

#include <iostream>

namespace {

constexpr int UsageError = 2;

void printUsage(std::ostream &Out) {
  Out << "Usage: snipeshuntd --settings FILE [--check-settings]\n"
         "  --settings FILE   JSON with comments, see docs/configuration.md\n"
         "  --check-settings  check the file and exit\n"
         "  --help            print this text\n";
}

struct Arguments {
  std::string SettingsFile;
  bool CheckOnly = false;
};

/// Callers, peers and upstreams need more descriptors than the usual default.
void raiseDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

} // namespace

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  const option Options[] = {{"settings", required_argument, nullptr, 's'},
                            {"check-settings", no_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  Arguments Args;
  for (int Option;
       (Option = getopt_long(Argc, Argv, "s:ch", Options, nullptr)) != -1;) {
    if (Option == 's') {
      Args.SettingsFile = optarg;
    } else if (Option == 'c') {
      Args.CheckOnly = true;
    } else {
      printUsage(Option == 'h' ? std::cout : std::cerr);
      return Option == 'h' ? 0 : UsageError;
    }
  }
  if (Args.SettingsFile.empty() || optind != Argc) {
    printUsage(std::cerr);
    return UsageError;
  }
  Result<DaemonSettings> Settings = loadSettings(Args.SettingsFile);
  if (failed(Settings)) {
    std::cerr << "settings: " << errorOf(Settings).Message << "; "
              << errorOf(Settings).Remedy << ".\n";
    return UsageError;
  }
  if (Args.CheckOnly)
    return 0;

  raiseDescriptorLimit();
  configureLog(valueOf(Settings).Level);
  EventLoop Loop;
  SystemClock Time;
  Daemon Instance(Loop, Time, std::move(valueOf(Settings)));
  Result<Ok> Started = Instance.start();
  if (failed(Started)) {
    std::cerr << "daemon: " << errorOf(Started).Message << "; "
              << errorOf(Started).Remedy << ".\n";
    return 1;
  }
  Loop.run();
  return 0;
}
