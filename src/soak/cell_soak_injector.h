/// \file Injects faults into a fleet of cells and heals them.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_INJECTOR_H
#define SNIPESHUNT_SOAK_CELL_SOAK_INJECTOR_H

#include "soak/cell_soak_type.h"
#include "soak/link_proxy.h"
#include "standins/cell_fleet.h"

#include <map>

namespace snipeshunt {

/// A fault of a process, until the next one runs or the pause is over.
struct Outage {
  size_t Instance = 0;
  FaultAction Cause = FaultAction::Kill;
  SteadyTime Begin{};
  SteadyTime End = SteadyTime::max();
};

/// Owns the links and plays a schedule.
class CellSoakInjector {
public:
  /// Starts the fleet behind links.
  explicit CellSoakInjector(CellFleet &Target) : F(Target) {}
  Result<Ok> startFleet();

  void run(const std::vector<FaultStep> &Steps);

  const std::vector<Outage> &outages() const { return Outages; }
  /// Processes that were asked to end, and what was wrong with their ends.
  size_t shutdowns() const { return Shutdowns; }
  const std::vector<std::string> &shutdownFailures() const {
    return ShutdownFailures;
  }
  std::string report() const;

private:
  void inject(const FaultStep &Step);
  /// False while a process that was asked to end still runs.
  bool heal(const FaultStep &Step, SteadyTime Now);
  void injectProcessFault(FaultAction Action, size_t I);
  bool healProcess(FaultAction Action, size_t I, SteadyTime Now);
  Outage *openOutage(size_t I);
  void injectLinkFault(FaultAction Action, size_t Link);
  std::vector<size_t> linksOf(const FaultStep &Step) const;
  void healDueFaults(SteadyTime Now);

  CellFleet &F;
  LinkProxy Proxy;
  std::vector<size_t> PeersLinks, StoreLinks, RunnerLinks;
  std::multimap<SteadyTime, FaultStep> Pending;
  std::vector<Outage> Outages;
  std::map<size_t, size_t> Counts; ///< By row of the table.
  size_t Shutdowns = 0;
  std::vector<std::string> ShutdownFailures;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_INJECTOR_H
