/// \file Clock interface, which lets tests control the time.
#ifndef SNIPESHUNT_CORE_CLOCK_H
#define SNIPESHUNT_CORE_CLOCK_H

#include <chrono>

namespace snipeshunt {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Source of the current time. Steady time never goes backwards; wall time is
/// the date and may be adjusted.
class Clock {
public:
  virtual ~Clock() = default;
  virtual SteadyTime steadyNow() const = 0;
  virtual WallTime wallNow() const = 0;
};

/// Returns the time of the steady clock that goes on while the machine is
/// suspended. Leases and deadlines of other machines do not stop meanwhile.
SteadyTime bootTimeNow();

/// The clocks of the operating system.
class SystemClock final : public Clock {
public:
  SteadyTime steadyNow() const override { return bootTimeNow(); }
  WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/// Clock for tests, which moves only by `advance`.
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

/// Returns the whole milliseconds in \p D.
inline int64_t toMilliseconds(Duration D) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(D).count();
}

/// Returns \p D in seconds.
inline double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

} // namespace snipeshunt

#endif // SNIPESHUNT_CORE_CLOCK_H
