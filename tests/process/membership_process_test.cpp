/// \file Membership of paused, killed, stopped and restarted processes.
#include "configuration_fleet.h"

#include <csignal>
#include <thread>

namespace snipeshunt {
namespace {

/// Returns the record of member \p Of in the roster of instance \p Asked.
Json::Value memberAt(const ConfigurationFleet &C, size_t Asked, size_t Of) {
  const Json::Value V = C.view(Asked, "/v1/instances");
  for (const Json::Value &Entry : V["instances"])
    if (Entry["address"] == C.F.instance(Of).Value)
      return Entry;
  return Json::Value(Json::objectValue);
}

/// Waits until all other instances report member \p Of in \p State; returns
/// false on time-out.
bool waitForState(const ConfigurationFleet &C, size_t Of, const char *State) {
  return C.waitForAll(
      {Of}, [&](size_t I) { return memberAt(C, I, Of)["state"] == State; });
}

/// Returns the number of timeline events of \p Kind at instance \p At.
size_t countEvents(const ConfigurationFleet &C, size_t At, const char *Kind) {
  size_t Count = 0;
  const Json::Value V = C.view(At, "/v1/timeline");
  for (const Json::Value &Event : V["events"])
    Count += Event["kind"] == Kind ? 1 : 0;
  return Count;
}

// Guards against a resumed process that declares its peers dead, and against
// peers that do not readmit it.
TEST(MembershipProcessTest, PausedInstanceRejoins) {
  ConfigurationFleet C(2, 2);
  std::string Before = memberAt(C, 1, 0)["incarnation"].asString();
  C.F.process(FleetRole::Instance, 0).signal(SIGSTOP);
  EXPECT_TRUE(waitForState(C, 0, "dead"));
  C.F.process(FleetRole::Instance, 0).signal(SIGCONT);
  EXPECT_TRUE(waitForState(C, 0, "live"));
  EXPECT_EQ(memberAt(C, 1, 0)["incarnation"].asString(), Before);
  EXPECT_EQ(countEvents(C, 0, "member_dead"), 0U);
}

// Guards against a restarted process being taken for the killed one, and
// against a graceful shutdown being reported as a death.
TEST(MembershipProcessTest, ReturnAndDepartureAreDistinguishedFromFailure) {
  ConfigurationFleet C(2, 2);
  std::string Before = memberAt(C, 1, 0)["incarnation"].asString();
  ASSERT_FALSE(failed(C.F.restart(FleetRole::Instance, 0)));
  EXPECT_TRUE(C.waitForAll({0}, [&](size_t I) {
    return memberAt(C, I, 0)["state"] == "live" &&
           memberAt(C, I, 0)["incarnation"].asString() != Before;
  }));
  C.F.process(FleetRole::Instance, 0).signal(SIGTERM);
  EXPECT_EQ(C.F.process(FleetRole::Instance, 0).wait(TestDeadline), 0);
  EXPECT_TRUE(waitForState(C, 0, "left"));
  // Longer than the time without heartbeats after which a member is dead.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  for (size_t I = 1; I < C.F.instances(); ++I) {
    EXPECT_EQ(countEvents(C, I, "member_left"), 1U);
    EXPECT_EQ(memberAt(C, I, 0)["state"], "left");
  }
}

} // namespace
} // namespace snipeshunt
