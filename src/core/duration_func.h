/// \file Arithmetic with durations that does not overflow.
#ifndef SNIPESHUNT_CORE_DURATION_FUNC_H
#define SNIPESHUNT_CORE_DURATION_FUNC_H

#include "core/clock.h"

#include <algorithm>

namespace snipeshunt {

/// Longest duration that the functions below return, a year. Its sum with a
/// time doesn't overflow.
constexpr Duration LongestDuration = std::chrono::hours(24 * 365);

/// Returns \p D times \p Factor, at most `LongestDuration` in either direction.
inline Duration scaled(Duration D, double Factor) {
  constexpr auto Limit = static_cast<double>(LongestDuration.count());
  return Duration(static_cast<Duration::rep>(
      std::clamp(static_cast<double>(D.count()) * Factor, -Limit, Limit)));
}

/// Returns \p Seconds, at most `LongestDuration` in either direction.
inline Duration fromSeconds(double Seconds) {
  return scaled(std::chrono::seconds(1), Seconds);
}

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_DURATION_FUNC_H
