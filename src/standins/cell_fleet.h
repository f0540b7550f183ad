/// \file Test fleet of cells: real instances and stand-ins for the platform.
#ifndef SNIPESHUNT_STANDINS_CELL_FLEET_H
#define SNIPESHUNT_STANDINS_CELL_FLEET_H

#include "fleet/child_process.h"
#include "fleet/fleet.h"
#include "http/http_type.h"

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Size and location of a fleet.
struct CellFleetOptions {
  std::string BinaryDir; ///< Directory of the programs that are started.
  size_t Instances = 3;  ///< Number of instances over all data centres.
  size_t Centres = 1;    ///< Number of data centres, `dc1`, `dc2`, ...
  size_t Runners = 4;    ///< Number of stand-in runners over all data centres.
  bool KeepWorkDir = false; ///< Keep settings and logs on destruction.
  /// Open descriptors that each instance may have; 0: as this process.
  size_t DescriptorLimit = 0;
  /// `bounds.evacuate_ms` of the instances; absent: not set.
  std::optional<std::chrono::milliseconds> Evacuate;
};

/// One start or end of a run, as printed by the stand-in runners. All runners
/// are in one process, so its output has the events in their order.
struct RunEvent {
  bool IsStart = false; ///< True for a start, false for an end.
  std::string Task;     ///< Job id, occurrence, step and index, joined by dots.
  std::string Run;      ///< Number of the run.
  std::string Runner;   ///< Id of the runner.
  std::string Outcome;  ///< Ends only: `done`, `stopped` or `lapsed`.
  SteadyTime At{};      ///< Time on the machine's steady clock.
};

/// Returns \p Count different addresses of \p Ip whose ports were free at the
/// time of the call; port 0 on failure.
std::vector<Address> freeAddresses(const std::string &Ip, size_t Count);

/// Returns true if the body of an answer reports that the job is done.
bool reportsDone(const std::string &Body);

/// Returns the number of runs of each task that have started and not ended.
std::map<std::string, int> openRuns(const std::vector<RunEvent> &History);
/// Returns the starts of tasks that had another run open at that time.
std::vector<RunEvent> overlappingStarts(const std::vector<RunEvent> &History);

/// Starts the processes of a fleet on loopback addresses. The destructor ends
/// them and, unless `KeepWorkDir` is set, removes their settings and logs.
class CellFleet {
public:
  /// Creates the working directory and chooses free ports; starts nothing.
  explicit CellFleet(CellFleetOptions Options);
  CellFleet(const CellFleet &) = delete;
  CellFleet &operator=(const CellFleet &) = delete;
  ~CellFleet();

  /// Makes instance \p I advertise \p PeersLink to its peers, and use
  /// \p StoreLink as the store. Called before the instance is started.
  void setLinks(size_t I, const Address &PeersLink, const Address &StoreLink);
  /// Makes the runners register these addresses, one for each, instead of those
  /// on which they listen. Called before the platform is started.
  void setRunnerLinks(std::vector<Address> Links);

  /// Starts the platform's stand-in, then all instances.
  Result<Ok> start();
  /// Starts the platform's stand-in only.
  Result<Ok> startPlatform();
  /// Writes the settings of instance \p I and starts it.
  Result<Ok> startInstance(size_t I);

  /// Number of instances, started or not.
  size_t instances() const { return Processes.size(); }
  const CellFleetOptions &options() const { return Options; }
  /// Address of the store's stand-in.
  const Address &store() const { return Store; }
  /// Loopback IP for proxies between the processes of this fleet.
  std::string linkIp() const { return IpPrefix + "2"; }
  /// Address on which instance \p I listens for its peers.
  const Address &peers(size_t I) const { return Peers[I]; }
  /// Address on which instance \p I listens for callers.
  const Address &front(size_t I) const { return Fronts[I]; }
  /// Address on which instance \p I is asked whether it is ready.
  const Address &readiness(size_t I) const { return ReadyEndpoints[I]; }
  /// Address on which instance \p I serves its metrics.
  const Address &metricsAddress(size_t I) const { return Metrics[I]; }
  /// Returns the addresses on which the runners listen; empty until all have
  /// printed theirs.
  std::vector<Address> runnerAddresses() const;

  /// Returns true if the ready endpoint of instance \p I answers 200.
  bool isReady(size_t I) const;
  /// Waits up to 30 s until all instances are ready. Returns false at once if
  /// the working directory has been deleted.
  bool waitUntilReady() const;

  /// Submits a job with \p Tasks tasks of \p WorkMs milliseconds to instance
  /// \p I, on the stand-in's route, and waits for the answer. Without an
  /// answer, the status is 0 and the body is the error message.
  HttpReply submit(size_t I, const std::string &Id, int Tasks,
                   int WorkMs) const;
  /// Sends a `GET` request to the caller endpoint of instance \p I.
  HttpReply get(size_t I, const std::string &Path,
                const std::string &Host = "jobs.example") const;
  /// Writes or removes the key that requests the evacuation of \p Centre.
  /// Returns true if the store acknowledges it.
  bool setEvacuated(const std::string &Centre, bool Evacuated) const;
  /// Returns the metrics page of instance \p I, or the error message.
  std::string metrics(size_t I) const;

  /// Returns the request of a submission without sending it. \p Patience is the
  /// job's time limit.
  HttpCall submission(size_t I, const std::string &Id, int Tasks, int WorkMs,
                      std::chrono::milliseconds Patience) const;

  /// Process of instance \p I, which must have been started.
  ChildProcess &process(size_t I) { return *Processes[I]; }
  /// Path of the settings file of instance \p I.
  std::string settings(size_t I) const;
  /// Path of the log of process \p Name: `i0`, `i1`, ... or `platform`.
  std::string log(const std::string &Name) const;
  /// Text of that log.
  std::string logText(const std::string &Name) const;
  /// Returns the logs of all instances and the first 2,000 characters of the
  /// stand-in's log, or a message that the working directory was deleted.
  std::string allLogs() const;

  /// Returns all starts and ends so far, in their order.
  std::vector<RunEvent> history() const;
  /// Returns the number of starts of each task of a job.
  std::map<std::string, int> starts(const std::string &Job) const;
  /// Returns the tasks that had two runs open at the same time.
  std::vector<std::string> overlaps() const;

private:
  /// Returns a request to the caller endpoint of instance \p I.
  HttpCall makeCall(size_t I, const char *Method, const std::string &Path,
                    std::chrono::milliseconds Patience) const;

  CellFleetOptions Options;
  std::filesystem::path WorkDir; ///< Settings and logs of the processes.
  std::string IpPrefix;          ///< First three bytes of the loopback IPs.
  Address Store;
  /// Listening addresses, by instance.
  std::vector<Address> Fronts, ReadyEndpoints, Peers, Metrics;
  /// Addresses used instead, see `setLinks` and `setRunnerLinks`.
  std::vector<Address> PeersLinks, StoreLinks, RunnerLinks;
  std::unique_ptr<ChildProcess> Platform; ///< Null before its start.
  /// By instance; null before its start.
  std::vector<std::unique_ptr<ChildProcess>> Processes;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_CELL_FLEET_H
