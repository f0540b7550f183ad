/// \file Resubmissions while the home runs, is unreachable or was replaced, and
/// many copies at once.
#include "faulted_fleet.h"

namespace snipeshunt {
namespace {

using Fault = std::function<void(FaultedFleet &)>;

/// A fault of the home of a job.
struct HomeCase {
  const char *Name;
  Fault Break;
  Fault Heal;
  std::set<std::string> During; ///< Outcomes allowed during the fault.
  std::set<std::string> After;  ///< Outcomes allowed after it is healed.
};

void signalHome(FaultedFleet &Fleet, int Signal) {
  Fleet.F.process(FleetRole::Instance, 0).signal(Signal);
}

void restartHome(FaultedFleet &Fleet) {
  EXPECT_FALSE(failed(Fleet.F.restart(FleetRole::Instance, 0)));
}

const HomeCase HomeCases[] = {
    {"runs",
     [](FaultedFleet &) {},
     [](FaultedFleet &) {},
     {"complete"},
     {"complete"}},
    {"cut off",
     [](FaultedFleet &Fleet) {
       EXPECT_FALSE(failed(Fleet.F.setRelayRules(0, R"([{"action":"cut"}])")));
     },
     [](FaultedFleet &Fleet) {
       EXPECT_FALSE(failed(Fleet.F.setRelayRules(0, "[]")));
     },
     {"unknown"},
     {"complete", "failed"}},
    {"frozen",
     [](FaultedFleet &Fleet) { signalHome(Fleet, SIGSTOP); },
     [](FaultedFleet &Fleet) { signalHome(Fleet, SIGCONT); },
     {"unknown"},
     {"complete", "failed"}},
    {"killed",
     [](FaultedFleet &Fleet) { signalHome(Fleet, SIGKILL); },
     restartHome,
     {"unknown"},
     {"unknown"}},
    {"replaced",
     [](FaultedFleet &Fleet) {
       restartHome(Fleet);
       EXPECT_TRUE(Fleet.waitForRoster());
     },
     [](FaultedFleet &) {},
     {"unknown"},
     {"unknown"}},
};

// Guards against a second run of a resubmitted job, by another instance or by
// the next process of its home.
TEST(ResubmissionTest, AnyStateOfTheHomeRunsTheJobOnce) {
  FaultedFleet Fleet(fleetOptions(2, 2, 2));
  ASSERT_TRUE(Fleet.Running);
  for (const HomeCase &Case : HomeCases) {
    SCOPED_TRACE(Case.Name);
    ASSERT_TRUE(Fleet.waitForRoster());
    std::string Ticket = Fleet.ticket(0);
    RecordedJob Job = Fleet.Caller.makeJob(24, "run_ms=250");
    std::future<CallerAnswer> First = Fleet.submitAsync(0, Ticket, Job);
    ASSERT_TRUE(Fleet.waitForStart(Ticket));
    Case.Break(Fleet);
    std::vector<std::future<CallerAnswer>> During;
    for (size_t Via = 1; Via < Fleet.F.instances(); ++Via)
      During.push_back(Fleet.submitAsync(Via, Ticket, Job));
    for (std::future<CallerAnswer> &Answer : During) {
      CallerAnswer Received = Answer.get();
      EXPECT_TRUE(Case.During.count(Received.Outcome))
          << Received.Outcome << Received.Failure;
    }
    Case.Heal(Fleet);
    ASSERT_TRUE(Fleet.waitForRoster());
    First.get();
    for (size_t Via = 0; Via < Fleet.F.instances(); ++Via) {
      CallerAnswer Received = Fleet.submit(Via, Ticket, Job);
      EXPECT_TRUE(Case.After.count(Received.Outcome))
          << Received.Outcome << " from instance " << Via;
    }
    EXPECT_LE(Fleet.starts(Ticket), Job.Payloads.size());
  }
}

// Guards against a fleet that is reported ready while an instance has not read
// the list of upstreams: such an instance rejects jobs.
TEST(ResubmissionTest, FleetIsSettledOnceAllInstancesKnowTheUpstreams) {
  FleetOptions Options = fleetOptions(3, 3, 2);
  Options.PlatformRelay = true;
  FaultedFleet Fleet(Options);
  ASSERT_TRUE(Fleet.Running);
  std::set<size_t> Senders;
  for (size_t U = 0; U < Fleet.F.upstreams(); ++U)
    Senders.insert(Fleet.senderOf(U));
  size_t Spare = 0;
  while (Senders.count(Spare))
    ++Spare;
  ASSERT_LT(Spare, Fleet.F.instances());
  EXPECT_FALSE(failed(Fleet.F.setPlatformRules(R"([{"action":"cut"}])")));
  EXPECT_FALSE(failed(Fleet.F.restart(FleetRole::Instance, Spare)));
  ASSERT_TRUE(Fleet.waitForRoster());
  RecordedJob Job = Fleet.Caller.makeJob(4, "run_ms=20");
  CallerAnswer Rejected = Fleet.submit(Spare, Fleet.ticket(Spare), Job);
  EXPECT_EQ(Rejected.Outcome, "not_run") << Rejected.Body.toStyledString();
  EXPECT_FALSE(Fleet.F.isReady());
  EXPECT_FALSE(failed(Fleet.F.setPlatformRules("[]")));
  ASSERT_TRUE(Fleet::waitUntil([&] { return Fleet.F.isReady(); }, Deadline));
  CallerAnswer Served = Fleet.submit(Spare, Fleet.ticket(Spare), Job);
  EXPECT_EQ(Served.Outcome, "complete") << Served.Body.toStyledString();
}

// Guards against concurrent copies of a submission that start the job twice or
// get different answers.
TEST(ResubmissionTest, WaveOfCopiesGetsOneAnswer) {
  FaultedFleet Fleet(fleetOptions(3, 3, 2));
  ASSERT_TRUE(Fleet.Running);
  for (size_t Home : {0, 4, 8}) {
    std::string Ticket = Fleet.ticket(Home);
    RecordedJob Job = Fleet.Caller.makeJob(40, "run_ms=20");
    std::vector<std::future<CallerAnswer>> Wave;
    for (size_t Copy = 0; Copy < 3 * Fleet.F.instances(); ++Copy)
      Wave.push_back(
          Fleet.submitAsync(Copy % Fleet.F.instances(), Ticket, Job));
    CallerAnswer First = Wave.front().get();
    EXPECT_EQ(First.Outcome, "complete")
        << First.Failure << First.Body.toStyledString();
    for (size_t Copy = 1; Copy < Wave.size(); ++Copy)
      EXPECT_EQ(Wave[Copy].get().Body, First.Body);
    EXPECT_EQ(Fleet.starts(Ticket), Job.Payloads.size());
  }
}

} // namespace
} // namespace snipeshunt
