/// \file Limit on the log lines that other processes can cause.
#include "core/log_limiter.h"

#include <utility>

namespace snipeshunt {

namespace {

// Enough to see what arrives and from whom. A line costs about 10 us, so that a
// kind of line uses at most 0.02 % of a core.
constexpr Duration PeriodLength = std::chrono::seconds(1);
constexpr uint32_t MaxLines = 10;

} // namespace

std::optional<std::string> LogLimiter::admit(std::string_view Kind) {
  auto It = Kinds.find(Kind);
  if (It == Kinds.end())
    It = Kinds.emplace(std::string(Kind), Period{}).first;
  Period &P = It->second;
  SteadyTime Now = TimeSource.steadyNow();
  if (Now - P.Begin >= PeriodLength) {
    P.Begin = Now;
    P.Lines = 0;
  }
  if (P.Lines >= MaxLines) {
    ++P.Omitted;
    ++Omitted;
    return std::nullopt;
  }
  ++P.Lines;
  uint64_t Before = std::exchange(P.Omitted, 0);
  return Before == 0 ? std::string()
                     : " omitted_before=" + std::to_string(Before);
}

} // namespace snipeshunt
