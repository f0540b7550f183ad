/// \file Main program of `snipeshuntd`, the daemon of an instance.
#include "daemon/daemon.h"
#include "daemon/log.h"
#include "platform/platform_adapter.h"
#include "runtime/cell_daemon.h"
#include "runtime/cell_metrics.h"
#include "runtime/settings_watch.h"
#include "settings/fleet_settings_func.h"
#include "settings/settings_func.h"

#include <getopt.h>
#include <sys/resource.h>

#include <iostream>
#include <optional>

namespace {

constexpr int UsageError = 2;

void printUsage(std::ostream &Out) {
  Out << "Usage: snipeshuntd --settings FILE [--cells] [--check-settings]\n"
         "  --settings FILE   JSON with comments, see docs/configuration.md\n"
         "  --cells           run in a fleet of cells on the platform, see\n"
         "                    docs/platform.md\n"
         "  --check-settings  check the file and exit\n"
         "  --help            print this text\n";
}

struct Arguments {
  std::string SettingsFile;
  bool CheckOnly = false;
  bool Cells = false;
};

/// Raises the soft limit of file descriptors to the hard limit, because the
/// connections to callers, peers and upstreams exceed the usual default.
void raiseDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

int reportError(const char *Part, const snipeshunt::Error &E, int Code) {
  std::cerr << Part << ": " << E.Message << "; " << E.Remedy << ".\n";
  return Code;
}

/// Configures the process. Returns its exit status if it must not go on:
/// invalid settings, or only a check was requested.
template <typename T>
std::optional<int> prepare(const snipeshunt::Result<T> &Settings,
                           const Arguments &Args,
                           snipeshunt::LogStream Stream) {
  if (failed(Settings))
    return reportError("settings", errorOf(Settings), UsageError);
  if (Args.CheckOnly)
    return 0;
  raiseDescriptorLimit();
  configureLog(valueOf(Settings).Level, Stream);
  return std::nullopt;
}

/// Runs an instance of the ticket mode until it has drained.
int runTickets(const Arguments &Args) {
  using namespace snipeshunt;
  Result<DaemonSettings> Settings = loadSettings(Args.SettingsFile);
  if (std::optional<int> Status =
          prepare(Settings, Args, LogStream::StandardError))
    return *Status;
  EventLoop Loop;
  SystemClock TimeSource;
  Daemon Instance(Loop, TimeSource, std::move(valueOf(Settings)));
  Result<Ok> Started = Instance.start();
  if (failed(Started))
    return reportError("daemon", errorOf(Started), 1);
  Loop.run();
  return 0;
}

/// Runs an instance of a fleet of cells.
int runCells(const Arguments &Args) {
  using namespace snipeshunt;
  Result<FleetSettings> Settings = loadFleetSettings(Args.SettingsFile);
  if (std::optional<int> Status =
          prepare(Settings, Args, LogStream::StandardOutput))
    return *Status;
  EventLoop Loop;
  SystemClock TimeSource;
  CellDaemon Instance(Loop, TimeSource, std::move(valueOf(Settings)));
  SettingsWatch Watch(Instance, Args.SettingsFile);
  CellMetrics InstanceMetrics(Instance);
  platform::PlatformAdapter Adapter(Instance);
  // The instance makes calls as it starts. The system could give one of them a
  // port that is still to be listened on as its local port.
  Result<Ok> Started = Adapter.Callers.start();
  if (!failed(Started))
    Started = InstanceMetrics.start();
  if (!failed(Started))
    Started = Instance.start();
  if (failed(Started))
    return reportError("instance", errorOf(Started), 1);
  Loop.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  const option Options[] = {{"settings", required_argument, nullptr, 's'},
                            {"cells", no_argument, nullptr, 'C'},
                            {"check-settings", no_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  Arguments Args;
  for (int Option;
       (Option = getopt_long(Argc, Argv, "s:cCh", Options, nullptr)) != -1;) {
    if (Option == 's') {
      Args.SettingsFile = optarg;
    } else if (Option == 'C') {
      Args.Cells = true;
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
  return Args.Cells ? runCells(Args) : runTickets(Args);
}
