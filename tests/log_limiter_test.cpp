/// \file Tests of the limit on log lines that other processes cause.
#include "core/log_limiter.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

// Guards against a log whose size follows the rate of malformed requests, and
// against one kind of line that keeps others out.
TEST(LogLimiterTest, LimitsEachKindAndStatesWhatWasOmitted) {
  FakeClock Now;
  LogLimiter Limiter(Now);
  int Lines = 0;
  for (int I = 0; I < 1000; ++I)
    Lines += Limiter.admit("a") ? 1 : 0;
  EXPECT_EQ(Lines, 10);
  EXPECT_EQ(Limiter.omitted(), 990u);
  EXPECT_EQ(Limiter.admit("b"), "");
  Now.advance(std::chrono::seconds(1));
  EXPECT_EQ(Limiter.admit("a"), " omitted_before=990");
  EXPECT_EQ(Limiter.admit("a"), "");
}

} // namespace
} // namespace snipeshunt
