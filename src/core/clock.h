/// \file Clock interface, so that tests and the reducer's drivers choose time.
#ifndef SNIPESHUNT_CORE_CLOCK_H
#define SNIPESHUNT_CORE_CLOCK_H

#include <chrono>

namespace snipeshunt {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Source of steady and wall time.
class Clock {
public:
  virtual ~Clock() = default;
  virtual SteadyTime steadyNow() const = 0;
  virtual WallTime wallNow() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock {
public:
  SteadyTime steadyNow() const override {
    return std::chrono::steady_clock::now();
  }
  WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/// A clock that moves only when told to.
class FakeClock final : public Clock {
public:
  SteadyTime steadyNow() const override { return Steady; }
  WallTime wallNow() const override { return Wall; }
  void advance(Duration By) {
    Steady += By;
    Wall += std::chrono::duration_cast<WallTime::duration>(By);
  }

private:
  SteadyTime Steady{std::chrono::hours(1)};
  WallTime Wall{std::chrono::hours(24 * 365 * 50)};
};

/// Whole milliseconds of \p D, for messages.
inline int64_t toMilliseconds(Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

/// \p D in seconds, for estimates.
inline double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_CLOCK_H
