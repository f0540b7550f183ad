/// \file Tests of the assignment of waiting tasks to free slots.
#include "scheduling/dispatch_cmd.h"

#include "scheduling/queue_cmd.h"
#include "upstreams/upstream_cmd.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

const Address Self{"10.0.0.1:7070"};

/// Returns an instance that sends to \p Upstreams of \p Slots slots each.
InstanceState stateWithUpstreams(const std::vector<Address> &Upstreams,
                                 uint32_t Slots, SteadyTime Now) {
  InstanceState State;
  State.Settings.Advertise = Self;
  State.Settings.Centre = {"dc1"};
  State.Incarnation = {7};
  for (const Address &Endpoint : Upstreams) {
    Upstream &U = State.Upstreams.All[Endpoint];
    U.Listed = {Endpoint, {"dc1"}, Slots, 0, false};
    U.Owned = true;
    U.Sender = Self;
    U.StatusReadAt = Now;
  }
  return State;
}

/// Queues the only task of job \p Job with the declared run time \p ExpectedMs.
void queueOneTask(InstanceState &State, uint64_t Job, int ExpectedMs,
                  SteadyTime Now) {
  auto Spec = std::make_shared<TaskSpec>();
  Spec->Kind = {"k" + std::to_string(ExpectedMs)};
  Spec->ExpectedTime = std::chrono::milliseconds(ExpectedMs);
  WaitingTask Task;
  Task.Key = {State.Incarnation, {Job}, {0}};
  Task.Spec = Spec;
  Task.Owner = {"team"};
  Task.Enqueued = Now;
  Task.StartBefore = Now + std::chrono::minutes(10);
  queueTask(State, std::move(Task), 1, Now);
}

// Guards against memory use that grows with every start while nothing is
// retried: the times of starts must expire on starts too.
TEST(DispatchTest, RecordedStartsStayWithinTheBudgetWindow) {
  SteadyTime Now = FakeClock().steadyNow();
  Address Endpoint{"10.0.1.1:7070"};
  InstanceState State = stateWithUpstreams({Endpoint}, 1, Now);
  EffectList Out;
  for (uint64_t Job = 1; Job <= 100; ++Job) {
    Now += std::chrono::seconds(1);
    State.Upstreams.All[Endpoint].StatusReadAt = Now;
    queueOneTask(State, Job, 10, Now);
    startTasks(State, Now, Job, Out);
    ASSERT_EQ(State.Counts.TasksStarted, Job);
    endAttempt(State, {AttemptId{Job}, {AttemptEnd::Finished, ""}}, Now, Job,
               Out);
  }
  EXPECT_LE(State.Upstreams.RecentStarts.size(), 12U);
}

// Guards against several starts for one event that exceed an upstream's slots
// or let long tasks use the slots reserved for short ones.
TEST(DispatchTest, OneRoundRespectsSlotsAndTheShareOfLongTasks) {
  SteadyTime Now = FakeClock().steadyNow();
  std::vector<Address> Endpoints;
  Endpoints.reserve(5);
  for (int I = 0; I < 5; ++I)
    Endpoints.push_back({"10.0.1." + std::to_string(I) + ":7070"});
  InstanceState State = stateWithUpstreams(Endpoints, 4, Now);
  for (uint64_t Job = 1; Job <= 40; ++Job)
    queueOneTask(State, Job, 5000, Now);
  EffectList Out;
  startTasks(State, Now, 1, Out);
  uint32_t Long = 0;
  for (const auto &[Name, U] : State.Upstreams.All) {
    EXPECT_LE(U.SlotsInUse, 4U);
    Long += U.LongSlotsInUse;
  }
  EXPECT_EQ(Long, 14U); // 0.7 of 20 slots
  for (uint64_t Job = 41; Job <= 60; ++Job)
    queueOneTask(State, Job, 10, Now);
  startTasks(State, Now, 2, Out);
  uint32_t Busy = 0;
  for (const auto &[Name, U] : State.Upstreams.All) {
    EXPECT_LE(U.SlotsInUse, 4U);
    Busy += U.SlotsInUse;
  }
  EXPECT_EQ(Busy, 20U);
}

} // namespace
} // namespace snipeshunt
