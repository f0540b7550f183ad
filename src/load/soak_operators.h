/// \file Operators that change the configuration during a soak test.
#ifndef SNIPESHUNT_LOAD_SOAK_OPERATORS_H
#define SNIPESHUNT_LOAD_SOAK_OPERATORS_H

#include "fleet/fleet.h"

#include <random>

namespace snipeshunt {

/// Plays two operators that race with conflicting changes; used by one thread.
class SoakOperators {
public:
  SoakOperators(Fleet &Target, uint64_t Seed) : F(Target), Random(Seed) {}

  /// Both operators read the document, then both try to replace it. Returns
  /// false if the document could not be read.
  bool race();

  /// Number of races.
  size_t races() const { return Races; }
  /// Number of races in which both changes were accepted.
  size_t bothAccepted() const { return BothAccepted; }
  /// Returns the number of instances on which the last accepted revision did
  /// not come into force within \p Limit.
  size_t countOutdated(Duration Limit) const;

private:
  /// Returns true if the service confirmed the change. It may have been
  /// accepted otherwise too, if the answer was lost.
  bool tryChange(const std::string &OldText, Revision Old, int64_t Quota);

  Fleet &F;
  std::mt19937_64 Random;
  Revision HighestRevision;
  size_t Races = 0;
  size_t BothAccepted = 0;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_OPERATORS_H
