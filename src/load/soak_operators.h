/// \file Operators that change the configuration during a soak.
#ifndef SNIPESHUNT_LOAD_SOAK_OPERATORS_H
#define SNIPESHUNT_LOAD_SOAK_OPERATORS_H

#include "fleet/fleet.h"

#include <random>

namespace snipeshunt {

/// Makes two operators race with conflicting changes; used by one thread.
class SoakOperators {
public:
  SoakOperators(Fleet &Target, uint64_t Seed) : F(Target), Random(Seed) {}

  /// Both operators read the document, then both try to replace it. False
  /// when the service does not let them read.
  bool race();

  size_t races() const { return Races; }
  /// Races in which both changes were accepted.
  size_t bothAccepted() const { return BothAccepted; }
  /// Instances on which the last accepted revision is not in force in time.
  size_t countOutdated(Duration Limit) const;

private:
  /// Whether the change was accepted, as far as the service has said.
  bool tryChange(const std::string &OldText, Revision Old, int64_t Quota);

  Fleet &F;
  std::mt19937_64 Random;
  Revision HighestRevision;
  size_t Races = 0;
  size_t BothAccepted = 0;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_OPERATORS_H
