/// \file Injects faults into a fleet and heals them.
#ifndef SNIPESHUNT_LOAD_SOAK_INJECTOR_H
#define SNIPESHUNT_LOAD_SOAK_INJECTOR_H

#include "load/soak_operators.h"
#include "load/soak_type.h"

#include <atomic>
#include <map>

namespace snipeshunt {

/// Carries out a schedule; used by one thread.
class SoakInjector {
public:
  SoakInjector(Fleet &Target, SoakOperators &Operators);

  /// Carries out \p Steps in real time and heals everything at the end.
  void run(const std::vector<SoakStep> &Steps);
  /// Injections by name of the fault, and those that could not be carried out.
  std::string report() const;

private:
  struct Healing {
    SoakStep Step;
    SteadyTime KillAt; ///< A process that still drains is killed then.
  };
  struct Count {
    size_t Injected = 0;
    size_t Failed = 0;
  };

  bool inject(const SoakStep &Step);
  /// False when the step can't be healed yet.
  bool heal(const Healing &Due);
  bool healProcess(const Healing &Due, FleetRole Role);
  void healDueFaults(SteadyTime Now);
  void waitUntil(SteadyTime When);
  bool setMode(const SoakStep &Step, const std::string &Mode);
  bool setCut(const SoakStep &Step, bool On);
  bool setRule(size_t Relay, const std::string &Rule, bool On);

  Fleet &F;
  SoakOperators &Operators;
  std::multimap<SteadyTime, Healing> Pending;
  std::map<size_t, std::vector<std::string>> Rules; ///< By relay.
  std::vector<Count> Counts;                        ///< By row of the table.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_INJECTOR_H
