/// \file Limit on the log lines that other processes can cause.
#ifndef SNIPESHUNT_CORE_LOG_LIMITER_H
#define SNIPESHUNT_CORE_LOG_LIMITER_H

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace snipeshunt {

/// Limits the lines of each kind. A client can send malformed requests faster
/// than anyone reads, and each line costs processor time.
class LogLimiter {
public:
  /// \p TimeSource must outlive this object.
  explicit LogLimiter(const Clock &TimeSource) : TimeSource(TimeSource) {}

  /// Returns what to append to a line of \p Kind if it may be logged now, and
  /// nothing if it is to be left out. The text is empty or states how many
  /// lines of the kind were left out before.
  std::optional<std::string> admit(std::string_view Kind);

  /// Lines left out since the start.
  uint64_t omitted() const { return Omitted; }

private:
  struct Period {
    SteadyTime Begin{};
    uint32_t Lines = 0;   ///< Logged in this period.
    uint64_t Omitted = 0; ///< Since the last line.
  };

  const Clock &TimeSource;
  std::map<std::string, Period, std::less<>> Kinds;
  uint64_t Omitted = 0;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_LOG_LIMITER_H
