/// \file A fleet of real processes on loopback addresses, for tests and the
/// load tools.
#ifndef SNIPESHUNT_FLEET_FLEET_H
#define SNIPESHUNT_FLEET_FLEET_H

#include "core/id_type.h"
#include "fleet/child_process.h"
#include "http/http_type.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipeshunt {

/// Size and settings of a fleet.
struct FleetOptions {
  std::string BinaryDir; ///< Directory of the programs.
  uint32_t Centres = 1;  ///< Number of data centres `dc1`, `dc2`, ...
  uint32_t InstancesPerCentre = 3;
  uint32_t UpstreamsPerCentre = 2;
  uint32_t SlotsPerUpstream = 8;
  /// Returns the speed of upstream N of a data centre: 2 runs a task in half
  /// of its time. All speeds are 1 if it is empty.
  std::function<double(uint32_t)> Speed;
  bool Relays = false;        ///< A relay in front of each instance.
  bool PlatformRelay = false; ///< One between the instances and the platform.
  uint64_t Seed = 1;          ///< Of the stand-ins and relays.
  std::string ExtraSettings;  ///< JSON members added to each settings file,
                              ///< such as `"limits":{...}`.
  /// Further arguments of each stand-in upstream.
  std::vector<std::string> UpstreamArguments;
  bool KeepWorkDir = false; ///< Keep histories and logs after destruction.
  /// Open descriptors that each instance may have; 0: as this process.
  size_t DescriptorLimit = 0;
};

/// Kinds of processes in a fleet.
enum class FleetRole { Platform, Upstream, Instance, Relay, PlatformRelay };

/// Starts processes, injects faults and stops the processes.
///
/// Each fleet has its own loopback addresses: the first ones that no other
/// fleet uses, so that fleets of concurrent runs do not interfere. If there are
/// relays, instance I listens behind relay I and advertises the relay's
/// address.
class Fleet {
public:
  /// Chooses addresses and creates the work directory; starts nothing.
  explicit Fleet(FleetOptions Options);
  /// Kills all processes and deletes the work directory unless it is kept.
  ~Fleet();

  /// Starts all processes, publishes the platform's list and waits until
  /// isReady().
  Result<Ok> start();
  /// Returns true if every instance reports all instances as live.
  bool rosterComplete() const;
  /// Returns true if the roster is complete, every instance lists all upstreams
  /// and each upstream is usable by its sender.
  bool isReady() const;

  /// Numbers of processes in all data centres together.
  size_t instances() const;
  size_t upstreams() const;
  /// Address for callers: the relay's, if there is one.
  Address instance(size_t I) const;
  /// Address of the instance itself, behind its relay.
  Address directInstance(size_t I) const;
  Address upstream(size_t I) const;
  Address platform() const;
  Address relay(size_t I) const;
  /// Address at which the instances reach the platform: the relay's, if there
  /// is one.
  Address platformRelay() const;
  /// IP address from which instance \p I connects to others.
  std::string instanceIp(size_t I) const;
  /// Name of the data centre of an instance or upstream.
  std::string centreOf(FleetRole Role, size_t I) const;

  /// Process \p I of \p Role; must have been started.
  ChildProcess &process(FleetRole Role, size_t I = 0);
  /// Kills the process if it runs and starts it again on the same address.
  Result<Ok> restart(FleetRole Role, size_t I = 0);
  /// Replaces all rules of relay \p I by the JSON array \p RulesJson; see
  /// `standin-relay`.
  Result<Ok> setRelayRules(size_t I, const std::string &RulesJson);
  /// Replaces all rules between the instances and the platform.
  Result<Ok> setPlatformRules(const std::string &RulesJson);
  /// Replaces the platform's list of instances and upstreams. \p UpstreamStates
  /// are by index of the upstream; upstreams beyond its end are "live".
  Result<Ok> publishList(const std::vector<std::string> &UpstreamStates = {});

  /// Paths in the work directory.
  std::string historyFile(size_t Upstream) const;
  std::vector<std::string> historyFiles() const;
  std::string logFile(FleetRole Role, size_t I) const;
  const std::string &workDir() const { return WorkDir; }

  /// Polls \p Condition every 20 ms until it holds; returns false on time-out.
  static bool waitUntil(const std::function<bool()> &Condition,
                        Duration Timeout);

private:
  std::string ip(FleetRole Role, size_t I) const;
  std::vector<std::string> command(FleetRole Role, size_t I) const;
  Result<Ok> startOne(FleetRole Role, size_t I);
  void writeSettings(size_t I) const;
  size_t count(FleetRole Role) const;

  FleetOptions Options;
  std::string WorkDir;
  std::string IpPrefix;
  /// By role and index; empty until started.
  std::vector<std::vector<std::unique_ptr<ChildProcess>>> Processes;
};

/// Sends one request on a new connection and blocks until its outcome.
HttpOutcome callOnce(HttpCall Call);
/// Send GET or POST to \p Path at \p Endpoint. Return the body of a 2xx reply,
/// otherwise an error.
Result<std::string> getText(const Address &Endpoint, const std::string &Path);
Result<std::string> postText(const Address &Endpoint, const std::string &Path,
                             const std::string &Body);

} // namespace snipeshunt

#endif // SNIPESHUNT_FLEET_FLEET_H
