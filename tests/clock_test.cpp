/// \file Tests of the system's clock.
#include "core/clock.h"

#include <gtest/gtest.h>

#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

namespace {

/// How long the machine seems to have been suspended, in seconds.
time_t SuspendedFor = 0;

} // namespace

/// Replaces the function of the C library in this program: the clocks that
/// count the time of suspension are ahead by `SuspendedFor`.
extern "C" int clock_gettime(clockid_t Id, timespec *Out) {
  int Status = static_cast<int>(syscall(SYS_clock_gettime, Id, Out));
  if (Status == 0 && (Id == CLOCK_BOOTTIME || Id == CLOCK_REALTIME))
    Out->tv_sec += SuspendedFor;
  return Status;
}

// Guards against an instance that acts on a lease, a claim or a job that has
// run out while its machine was suspended (TWICE): its steady clock has to show
// that time.
TEST(SystemClockTest, CountsTheTimeOfSuspension) {
  snipeshunt::SystemClock Clock;
  snipeshunt::SteadyTime Before = Clock.steadyNow();
  SuspendedFor = 3;
  EXPECT_GE(Clock.steadyNow() - Before, std::chrono::seconds(3));
  SuspendedFor = 0;
}
