/// \file Clock that counts the time of suspension.
#include "core/clock.h"

#include <ctime>

namespace snipeshunt {

SteadyTime bootTimeNow() {
  // std::chrono::steady_clock is CLOCK_MONOTONIC, which stands still while the
  // machine is suspended.
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return SteadyTime(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace snipeshunt
