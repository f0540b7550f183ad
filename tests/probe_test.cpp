/// \file Tests of the pauses between probes of a failing upstream and of the
/// retry budget.
#include "reducer/reducer.h"
#include "upstreams/health_cmd.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace snipeshunt {
namespace {

// Guards against counting the tasks that fail together with their connection as
// that many failed probes, which kept the upstream out of use for half a
// minute.
TEST(ProbeTest, OnlyFailedProbesLengthenThePause) {
  const Address Endpoint{"10.0.0.9:1"};
  DaemonSettings Settings;
  Settings.Upstreams.push_back({Endpoint, DataCentre{"dc1"}, 8, 0});
  InstanceState State = initialState(Settings, IncarnationId{7});
  EffectList Effects;
  FakeClock Time;
  Attempt Running{WaitingTask{}, Endpoint, Time.steadyNow()};
  Time.advance(std::chrono::milliseconds(50));
  for (int I = 0; I < 8; ++I)
    recordAttemptEnd(State, Running, AttemptEnd::Unknown, Time.steadyNow(), 0,
                     Effects);
  const Upstream &U = State.Upstreams.All.at(Endpoint);
  EXPECT_TRUE(U.Probing);
  EXPECT_EQ(U.ProbePause, std::chrono::seconds(1));

  Time.advance(std::chrono::seconds(2));
  Attempt Probe{WaitingTask{}, Endpoint, Time.steadyNow()};
  recordAttemptEnd(State, Probe, AttemptEnd::Unknown, Time.steadyNow(), 0,
                   Effects);
  EXPECT_EQ(U.ProbePause, std::chrono::seconds(2));
}

// Guards against jobs that fail because many of their tasks get busy replies at
// once, and against more retries within the window than the budget allows.
TEST(ProbeTest, RetriesBeyondTheBudgetAreDelayed) {
  InstanceState State = initialState({}, IncarnationId{7});
  FakeClock Time;
  WaitingTask Task;
  Task.Spec = std::make_shared<TaskSpec>();
  Task.StartBefore = Time.steadyNow() + std::chrono::seconds(25);
  std::vector<SteadyTime> Starts;
  size_t Accepted = 0;
  for (uint32_t I = 0; I < 40; ++I) {
    Task.Key.Index.Value = I;
    Accepted += retryTask(State, Task, Time.steadyNow(), 0) ? 1 : 0;
  }
  State.Queue.visit(false, [&](const WaitingTask &Waiting) {
    Starts.push_back(Waiting.NotBefore);
    return true;
  });
  // Ten at once, ten after each window of 10 s, and none beyond the start
  // deadline of 25 s.
  EXPECT_EQ(Accepted, 30U);
  std::sort(Starts.begin(), Starts.end());
  ASSERT_EQ(Starts.size(), 30U);
  for (size_t I = 10; I < Starts.size(); ++I)
    EXPECT_GE(Starts[I] - Starts[I - 10], std::chrono::seconds(10));
}

} // namespace
} // namespace snipeshunt
