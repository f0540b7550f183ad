/// \file Sums whose earlier parts count less and less.
#ifndef SNIPESHUNT_CORE_DECAYING_SUM_FUNC_H
#define SNIPESHUNT_CORE_DECAYING_SUM_FUNC_H

#include "core/clock.h"

#include <cmath>

namespace snipeshunt {

/// Exponentially decaying sum. In a steady state it is the rate times the time
/// constant.
struct DecayingSum {
  double Value = 0; ///< At `Updated`.
  SteadyTime Updated{};
};

/// Returns the sum decayed to \p Now, with \p DecaySeconds as time constant.
inline double decayedValue(const DecayingSum &Sum, SteadyTime Now,
                           double DecaySeconds) {
  return Sum.Value * std::exp(-toSeconds(Now - Sum.Updated) / DecaySeconds);
}

inline void addDecaying(DecayingSum &Sum, double Amount, SteadyTime Now,
                        double DecaySeconds) {
  Sum.Value = decayedValue(Sum, Now, DecaySeconds) + Amount;
  Sum.Updated = Now;
}

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_DECAYING_SUM_FUNC_H
