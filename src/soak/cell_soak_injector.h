/// \file Injects faults into a fleet of cells and heals them.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_INJECTOR_H
#define SNIPESHUNT_SOAK_CELL_SOAK_INJECTOR_H

#include "soak/cell_soak_type.h"
#include "soak/link_proxy.h"
#include "standins/cell_fleet.h"

#include <functional>
#include <map>

namespace snipeshunt {

/// A time in which a process may fail to answer because of an injected fault.
struct Outage {
  size_t Instance = 0;
  FaultAction Cause = FaultAction::Kill; ///< Kill, pause or end.
  SteadyTime Begin{};                    ///< Injection of the fault.
  /// Shortly after the restart or resumption; max() until then.
  SteadyTime End = SteadyTime::max();
};

/// Owns the links between the processes and injects the faults of a schedule.
class CellSoakInjector {
public:
  /// \p Target must not have been started and must outlive this object.
  explicit CellSoakInjector(CellFleet &Target) : F(Target) {}
  /// Starts the fleet with all its connections passing through links.
  Result<Ok> startFleet();

  /// Injects \p Steps in real time; returns after all of them are healed.
  void run(const std::vector<FaultStep> &Steps);
  /// Called several times a second by `run`, in its thread.
  std::function<void()> OnSample;

  /// Returns the faults of processes that were injected, in order.
  const std::vector<Outage> &outages() const { return Outages; }
  /// Returns the number of shutdowns by SIGTERM.
  size_t shutdowns() const { return Shutdowns; }
  /// Returns an error message for each shutdown that did not end with status 0
  /// and for each process that could not be started again.
  const std::vector<std::string> &shutdownFailures() const {
    return ShutdownFailures;
  }
  /// Returns one line with the number of injections by kind of fault.
  std::string report() const;

private:
  void inject(const FaultStep &Step);
  /// Returns false while a process that got SIGTERM still runs; to be called
  /// again then.
  bool heal(const FaultStep &Step, SteadyTime Now);
  void injectProcessFault(FaultAction Action, size_t I);
  bool healProcess(FaultAction Action, size_t I, SteadyTime Now);
  /// Returns the outage of instance \p I that has not ended, or nullptr.
  Outage *openOutage(size_t I);
  void injectLinkFault(FaultAction Action, size_t Link);
  /// Returns the numbers of the links that \p Step affects.
  std::vector<size_t> linksOf(const FaultStep &Step) const;
  void healDueFaults(SteadyTime Now);

  CellFleet &F;
  LinkProxy Proxy;
  /// Links of each instance to its peers and to the store, and of each runner.
  std::vector<size_t> PeersLinks, StoreLinks, RunnerLinks;
  std::multimap<SteadyTime, FaultStep> Pending; ///< By time of healing.
  std::vector<Outage> Outages;
  std::map<size_t, size_t> Counts; ///< Injections by row of `CellFaults`.
  size_t Shutdowns = 0;
  std::vector<std::string> ShutdownFailures;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_INJECTOR_H
