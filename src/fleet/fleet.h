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

/// What to start.
struct FleetOptions {
  std::string BinaryDir; ///< Where the programs are.
  uint32_t Centres = 1;  ///< Data centres `dc1`, `dc2`, ...
  uint32_t InstancesPerCentre = 3;
  uint32_t UpstreamsPerCentre = 2;
  uint32_t SlotsPerUpstream = 8;
  /// Speed of upstream N of a data centre; all 1 when empty.
  std::function<double(uint32_t)> Speed;
  bool Relays = false;        ///< A relay in front of each instance.
  bool PlatformRelay = false; ///< One between the instances and the platform.
  uint64_t Seed = 1;
  std::string ExtraSettings; ///< Members added to each settings file, for
                             ///< instance `"limits":{...}`.
  /// Further arguments of each stand-in upstream.
  std::vector<std::string> UpstreamArguments;
  bool KeepWorkDir = false; ///< Leave histories and logs for a later look.
};

/// Kinds of processes in a fleet.
enum class FleetRole { Platform, Upstream, Instance, Relay, PlatformRelay };

/// Starts, faults and stops the processes.
///
/// Each fleet has its own loopback addresses: the first ones that no other
/// fleet uses, so that fleets of concurrent runs do not meet. Instance I
/// listens behind relay I, if there are relays; its advertised address is the
/// relay's.
class Fleet {
public:
  explicit Fleet(FleetOptions Options);
  ~Fleet();

  /// Starts all processes and waits until every instance knows all others and
  /// every upstream has a sender that has read its status.
  Result<Ok> start();
  /// Whether every instance counts all others as live.
  bool rosterComplete() const;
  /// Whether the roster is complete, every instance knows the upstreams and
  /// every upstream has a sender that has read its status.
  bool isReady() const;

  size_t instances() const;
  size_t upstreams() const;
  /// Address for callers: the relay's, if there is one.
  Address instance(size_t I) const;
  /// The instance's own address, behind the relay.
  Address directInstance(size_t I) const;
  Address upstream(size_t I) const;
  Address platform() const;
  Address relay(size_t I) const;
  /// The platform as the instances reach it.
  Address platformRelay() const;
  /// IP number from which instance \p I connects to others.
  std::string instanceIp(size_t I) const;
  std::string centreOf(FleetRole Role, size_t I) const;

  ChildProcess &process(FleetRole Role, size_t I = 0);
  /// Starts a killed or ended process again on its addresses.
  Result<Ok> restart(FleetRole Role, size_t I = 0);
  /// Replaces all rules of relay \p I; see `standin-relay`.
  Result<Ok> setRelayRules(size_t I, const std::string &RulesJson);
  /// Replaces all rules between the instances and the platform.
  Result<Ok> setPlatformRules(const std::string &RulesJson);
  /// Replaces the platform's list; states are by upstream, "live" when absent.
  Result<Ok> publishList(const std::vector<std::string> &UpstreamStates = {});

  std::string historyFile(size_t Upstream) const;
  std::vector<std::string> historyFiles() const;
  std::string logFile(FleetRole Role, size_t I) const;
  const std::string &workDir() const { return WorkDir; }

  /// Waits until \p Condition holds; false on time-out.
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
  std::vector<std::vector<std::unique_ptr<ChildProcess>>> Processes;
};

/// Sends one request and waits for its outcome.
HttpOutcome callOnce(HttpCall Call);
/// GET or POST of \p Path at \p Endpoint; the body of a 2xx reply, else an
/// error.
Result<std::string> getText(const Address &Endpoint, const std::string &Path);
Result<std::string> postText(const Address &Endpoint, const std::string &Path,
                             const std::string &Body);

} // namespace snipeshunt

#endif // SNIPESHUNT_FLEET_FLEET_H
