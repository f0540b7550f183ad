/// \file Tests of the effect of the operators' exceptions in the reducer.
#include "configuration/configuration_func.h"
#include "jobs/job_type.h"
#include "reducer/policy_func.h"
#include "reducer/reducer.h"
#include "scheduling/queue_cmd.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

PolicyException exceptionFor(ExceptionScope Scope, const std::string &Name,
                             ExceptionSetting Setting, double Value) {
  return {ExceptionId{"e-" + Name},
          Scope,
          Name,
          Setting,
          Value,
          "needed by the test",
          "tester",
          "2026-12-04T00:00:00Z"};
}

// Guards against exceptions that are accepted but have no effect.
TEST(ExceptionTest, EachSettingTakesEffect) {
  DaemonSettings Settings;
  Settings.Listen = Settings.Advertise = Address{"10.0.0.1:1"};
  Settings.Centre = DataCentre{"dc1"};
  Settings.FleetKey = "a key of sixteen bytes or more";
  Address Endpoint{"10.0.0.9:1"};
  Settings.Upstreams.push_back({Endpoint, Settings.Centre, 8, 0});
  InstanceState State = initialState(Settings, IncarnationId{1});
  State.Configuration.InForce.Exceptions = {
      exceptionFor(ExceptionScope::TaskKind, "render",
                   ExceptionSetting::ExpectedMs, 5000),
      exceptionFor(ExceptionScope::TaskKind, "slow",
                   ExceptionSetting::TaskTimeoutMs, 90000),
      exceptionFor(ExceptionScope::Upstream, Endpoint.Value,
                   ExceptionSetting::Slots, 3),
      exceptionFor(ExceptionScope::Team, "rawahel",
                   ExceptionSetting::TeamQuotaTasks, 10)};
  SteadyTime Now{std::chrono::hours(1)};
  auto Send = [&](EventBody Body) {
    return reduce(State, {Now, 1, std::move(Body)});
  };
  Send(Tick{});
  Send(StatusRead{Endpoint, UpstreamStatus{8, 0, false}});
  EXPECT_EQ(State.Upstreams.All[Endpoint].Listed.Slots, 3U);

  auto Spec = std::make_shared<TaskSpec>();
  Spec->Kind.Value = "render";
  WaitingTask Task;
  Task.Spec = Spec;
  Task.StartBefore = Now + std::chrono::hours(1);
  queueTask(State, Task, 1, Now);
  EXPECT_EQ(State.Queue.work(), std::chrono::seconds(5));

  EXPECT_EQ(taskTimeoutOf(State, TaskKind{"slow"}), std::chrono::seconds(90));
  EXPECT_EQ(localTeamQuota(State, Team{"rawahel"}), 10U);
}

// Guards against tasks handed over to a data centre that takes none of other
// data centres (accept_foreign_work is 0).
TEST(ExceptionTest, ClosedDataCentreGetsNoTasksOfOtherDataCentres) {
  DaemonSettings Settings;
  Settings.Listen = Settings.Advertise = Address{"10.0.0.1:1"};
  Settings.Centre = DataCentre{"dc1"};
  Settings.FleetKey = "a key of sixteen bytes or more";
  for (bool Closed : {false, true}) {
    InstanceState State = initialState(Settings, IncarnationId{1});
    if (Closed)
      State.Configuration.InForce.Exceptions = {
          exceptionFor(ExceptionScope::DataCentre, "dc2",
                       ExceptionSetting::AcceptForeignWork, 0)};
    SteadyTime Now{std::chrono::hours(1)};
    Heartbeat Message;
    Message.Location = {Address{"10.0.0.2:1"}, DataCentre{"dc2"}};
    Message.Incarnation = IncarnationId{2};
    Message.State = MemberState::Live;
    Message.Load.FreeSlots = Message.Load.TotalSlots = 8;
    reduce(State, {Now, 1, Tick{}});
    reduce(State, {Now, 1, HeartbeatReceived{RequestId{1}, Message}});
    WaitingTask Task;
    Task.Key.Home = IncarnationId{1};
    Task.Spec = std::make_shared<TaskSpec>();
    Task.StartBefore = Now + std::chrono::hours(1);
    queueTask(State, Task, 1, Now);
    reduce(State, {Now, 1, Tick{}});
    EXPECT_EQ(State.Queue.size(), Closed ? 1U : 0U);
  }
}

} // namespace
} // namespace snipeshunt
