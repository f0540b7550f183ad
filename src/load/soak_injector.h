/// \file Injects faults into a fleet and heals them.
#ifndef SNIPESHUNT_LOAD_SOAK_INJECTOR_H
#define SNIPESHUNT_LOAD_SOAK_INJECTOR_H

#include "load/soak_operators.h"
#include "load/soak_type.h"

#include <atomic>
#include <map>

namespace snipeshunt {

/// Injects the faults of a schedule; used by one thread.
class SoakInjector {
public:
  SoakInjector(Fleet &Target, SoakOperators &Operators);

  /// Injects \p Steps in real time; returns after all of them are healed.
  void run(const std::vector<SoakStep> &Steps);
  /// Returns one line for each kind of fault with the number of injections and
  /// of injections that failed.
  std::string report() const;

private:
  /// An injected fault that has to be healed.
  struct Healing {
    SoakStep Step;
    SteadyTime KillAt; ///< When a process that still drains is killed.
  };
  /// Injections of one kind of fault.
  struct Count {
    size_t Injected = 0;
    size_t Failed = 0;
  };

  /// Returns false if the fault could not be injected.
  bool inject(const SoakStep &Step);
  /// Returns false if the fault can't be healed yet; to be called again then.
  bool heal(const Healing &Due);
  bool healProcess(const Healing &Due, FleetRole Role);
  void healDueFaults(SteadyTime Now);
  /// Heals faults as they become due until \p When.
  void waitUntil(SteadyTime When);
  bool setMode(const SoakStep &Step, const std::string &Mode);
  bool setCut(const SoakStep &Step, bool On);
  bool setRule(size_t Relay, const std::string &Rule, bool On);

  Fleet &F;
  SoakOperators &Operators;
  std::multimap<SteadyTime, Healing> Pending;       ///< By time of healing.
  std::map<size_t, std::vector<std::string>> Rules; ///< In force, by relay.
  std::vector<Count> Counts;                        ///< By row of the table.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_INJECTOR_H
