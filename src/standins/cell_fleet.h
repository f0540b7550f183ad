/// \file Real instances of a fleet of cells, with a stand-in for the platform.
#ifndef SNIPESHUNT_STANDINS_CELL_FLEET_H
#define SNIPESHUNT_STANDINS_CELL_FLEET_H

#include "fleet/child_process.h"
#include "fleet/fleet.h"
#include "http/http_type.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace snipeshunt {

struct CellFleetOptions {
  std::string BinaryDir; ///< Where the programs are.
  size_t Instances = 3;
  size_t Centres = 1; ///< Data centres `dc1`, `dc2`, ...
  size_t Runners = 4; ///< Stand-in upstreams over all data centres.
  bool KeepWorkDir = false;
};

/// A start or an end in the stand-ins' history, which is in order.
struct RunEvent {
  bool IsStart = false;
  std::string Task; ///< Job id, occurrence, step and index, joined by dots.
  std::string Run;
  std::string Runner;
  std::string How; ///< Of an end.
  SteadyTime At{};
};

/// Whether the body of an answer says that the job is done.
bool saysDone(const std::string &Body);

/// Runs of each task that have begun and not ended.
std::map<std::string, int> openRuns(const std::vector<RunEvent> &History);
/// Starts of a task while a run of it is open.
std::vector<RunEvent> overlappingStarts(const std::vector<RunEvent> &History);

/// Starts the processes on loopback addresses and ends them.
class CellFleet {
public:
  explicit CellFleet(CellFleetOptions Options);
  CellFleet(const CellFleet &) = delete;
  CellFleet &operator=(const CellFleet &) = delete;
  ~CellFleet();

  /// Has instance \p I told to reach its peers and the store by links.
  void setLinks(size_t I, const Address &PeersLink, const Address &StoreLink);
  /// Has the runners registered under other addresses, one for each.
  void setRunnerLinks(std::vector<Address> Links);

  /// Starts the stand-in and all instances.
  Result<Ok> start();
  /// Starts the stand-in alone.
  Result<Ok> startPlatform();
  Result<Ok> startInstance(size_t I);

  size_t instances() const { return Processes.size(); }
  const CellFleetOptions &options() const { return Options; }
  const Address &store() const { return Store; }
  /// Loopback address for what stands between the processes.
  std::string linkIp() const { return IpPrefix + "2"; }
  /// Where instance \p I listens for its peers.
  const Address &peers(size_t I) const { return Peers[I]; }
  const Address &front(size_t I) const { return Fronts[I]; }
  /// Where the runners listen; empty until all of them do.
  std::vector<Address> runnerAddresses() const;

  bool isReady(size_t I) const;
  bool waitUntilReady() const;

  /// Submits a job of the stand-in's route and waits for the answer. A status
  /// of 0 says that there was none.
  HttpReply submit(size_t I, const std::string &Id, int Tasks,
                   int WorkMs) const;
  HttpReply get(size_t I, const std::string &Path,
                const std::string &Host = "jobs.example") const;
  std::string metrics(size_t I) const;

  /// A submission, for callers that send it themselves.
  HttpCall submission(size_t I, const std::string &Id, int Tasks, int WorkMs,
                      std::chrono::milliseconds Patience) const;

  ChildProcess &process(size_t I) { return *Processes[I]; }
  std::string settings(size_t I) const;
  std::string log(const std::string &Name) const;
  std::string logText(const std::string &Name) const;
  /// Logs of all instances and the start of the stand-in's.
  std::string allLogs() const;

  std::vector<RunEvent> history() const;
  /// Starts of a job's tasks, by task.
  std::map<std::string, int> starts(const std::string &Job) const;
  /// Tasks of which two runs were open at the same time.
  std::vector<std::string> overlaps() const;

private:
  HttpCall makeCall(size_t I, const char *Method, const std::string &Path,
                    std::chrono::milliseconds Patience) const;

  CellFleetOptions Options;
  std::filesystem::path WorkDir;
  std::string IpPrefix;
  Address Store;
  std::vector<Address> Fronts, ReadyEndpoints, Peers, Metrics;
  std::vector<Address> PeersLinks, StoreLinks, RunnerLinks;
  std::unique_ptr<ChildProcess> Platform;
  std::vector<std::unique_ptr<ChildProcess>> Processes;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_CELL_FLEET_H
