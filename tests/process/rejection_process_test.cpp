/// \file Late copies of rejected submissions, and answers that are complete or
/// an error.
#include "faulted_fleet.h"

namespace snipeshunt {
namespace {

struct RejectionCase {
  const char *Kind;            ///< `error.kind` of the rejection.
  const char *BlockerTeam;     ///< Team of the jobs that fill the home first.
  size_t Blockers;             ///< Number of these jobs, of 200 tasks each.
  RecordedJob Job;             ///< Without payloads.
  bool CancelledFirst = false; ///< Sends DELETE before the submission.
};

const RejectionCase RejectionCases[] = {
    {"queue_full", "filler", 3, {{}, "other"}},
    {"quota_exceeded", "greedy", 2, {{}, "greedy"}},
    {"patience_too_short", "filler", 2, {{}, "other", 50}},
    {"never_fits", "", 0, {{}, "team", 60000, 0, 9}},
    {"not_found", "", 0, {{}, "team"}, true},
};

std::string errorKind(const CallerAnswer &Answer) {
  return Answer.Body["error"]["kind"].asString();
}

/// Returns the sender of the first upstream, which depends on the addresses. An
/// instance without an upstream would hand its tasks over to its peers.
size_t firstSender(const FaultedFleet &Fleet) {
  Result<std::string> Text =
      getText(Fleet.F.directInstance(0), "/v1/upstreams");
  EXPECT_FALSE(failed(Text));
  Result<Json::Value> Parsed = parseJson(valueOf(Text));
  std::string Sender;
  for (const Json::Value &Entry : valueOf(Parsed)["upstreams"])
    if (Entry["address"].asString() == Fleet.F.upstream(0).Value)
      Sender = Entry["sender"].asString();
  for (size_t I = 0; I < Fleet.F.instances(); ++I)
    if (Fleet.F.instance(I).Value == Sender)
      return I;
  ADD_FAILURE() << "no instance sends to the first upstream";
  return 0;
}

/// Fills instance \p Home with waiting tasks and returns the tickets.
std::vector<std::string> fill(FaultedFleet &Fleet, size_t Home,
                              const RejectionCase &Case,
                              std::vector<std::future<CallerAnswer>> &Open) {
  std::vector<std::string> Tickets;
  for (size_t I = 0; I < Case.Blockers; ++I) {
    std::string Ticket = Fleet.ticket(Home);
    RecordedJob Job = Fleet.Caller.makeJob(200, "run_ms=3000");
    // Each of these jobs has its own team, to stay below the quota, unless the
    // quota is what the case exceeds.
    Job.Team = Case.BlockerTeam == Case.Job.Team
                   ? Case.Job.Team
                   : Case.BlockerTeam + std::to_string(I);
    Job.PatienceMs = 600000;
    Job.ExpectedMs = 3000;
    Open.push_back(Fleet.submitAsync(Home, Ticket, Job));
    EXPECT_TRUE(Fleet::waitUntil(
        [&] {
          return Fleet.Caller
                     .sendJobRequest("GET", Fleet.F.instance(Home), Ticket)
                     .Status == 202;
        },
        Deadline));
    Tickets.push_back(Ticket);
  }
  return Tickets;
}

// Guards against a rejected job that runs when a copy of its submission arrives
// after the cause of the rejection has passed.
TEST(RejectionProcessTest, LateCopyOfRejectedJobIsRejectedTheSame) {
  // The quota of 4000 tasks is divided by the instances: 500 for each. Only the
  // home has slots, so that its rejections do not depend on the last reports of
  // other senders.
  FleetOptions Options = fleetOptions(1, 8, 1);
  Options.ExtraSettings = R"("limits":{"queue_limit_tasks":600})";
  FaultedFleet Fleet(Options);
  ASSERT_TRUE(Fleet.Running);
  size_t Home = firstSender(Fleet);
  size_t Other = (Home + 1) % Fleet.F.instances();
  for (const RejectionCase &Case : RejectionCases) {
    SCOPED_TRACE(Case.Kind);
    std::vector<std::future<CallerAnswer>> Open;
    std::vector<std::string> Blockers = fill(Fleet, Home, Case, Open);
    std::string Ticket = Fleet.ticket(Home);
    RecordedJob Job = Fleet.Caller.makeJob(150, "run_ms=1");
    Job.Team = Case.Job.Team;
    Job.PatienceMs = Case.Job.PatienceMs;
    Job.Accelerators = Case.Job.Accelerators;
    CallerAnswer Rejection =
        Case.CancelledFirst ? Fleet.Caller.sendJobRequest(
                                  "DELETE", Fleet.F.instance(Other), Ticket)
                            : Fleet.submit(Other, Ticket, Job);
    EXPECT_EQ(Rejection.Outcome, "not_run");
    EXPECT_EQ(errorKind(Rejection), Case.Kind);
    for (const std::string &Blocker : Blockers)
      Fleet.Caller.sendJobRequest("DELETE", Fleet.F.instance(Home), Blocker);
    for (std::future<CallerAnswer> &Answer : Open)
      Answer.wait();
    for (size_t Via = 0; Via < Fleet.F.instances(); ++Via)
      EXPECT_EQ(Fleet.submit(Via, Ticket, Job).Body, Rejection.Body);
    EXPECT_EQ(Fleet.starts(Ticket), 0U);
  }
  // The home still runs jobs, so that each rejection had its own cause.
  EXPECT_EQ(
      Fleet
          .submit(Home, Fleet.ticket(Home), Fleet.Caller.makeJob(3, "run_ms=1"))
          .Outcome,
      "complete");
}

// Guards against a job that a draining home rejected being run by its
// successor, which has its retained answers, or by the home's next process.
TEST(RejectionProcessTest, LateCopyAfterRejectionByDrainingHome) {
  FaultedFleet Fleet(fleetOptions(1, 3, 2));
  ASSERT_TRUE(Fleet.Running);
  std::string Ticket = Fleet.ticket(0);
  RecordedJob Job = Fleet.Caller.makeJob(5, "run_ms=1");
  ASSERT_EQ(
      Fleet.submit(0, Fleet.ticket(0), Fleet.Caller.makeJob(1, "run_ms=1"))
          .Outcome,
      "complete");
  // As long as `answer.keep` gets no answer, the home continues to drain.
  Fleet.setRules([&](size_t I) {
    return I == 0 ? std::string("[]")
                  : R"([{"from":")" + Fleet.F.instanceIp(0) +
                        R"(","path":"/rpc","action":"drop_request"}])";
  });
  Fleet.F.process(FleetRole::Instance, 0).signal(SIGTERM);
  auto IsRejected = [&] {
    CallerAnswer Answer = Fleet.submit(0, Ticket, Job, std::chrono::seconds(5));
    return errorKind(Answer) == "draining" && Answer.Outcome == "not_run";
  };
  // The home accepts submissions until it has chosen its successor.
  std::this_thread::sleep_for(std::chrono::milliseconds(2000));
  EXPECT_TRUE(IsRejected());
  EXPECT_FALSE(Fleet.F.process(FleetRole::Instance, 0).wait(Duration::zero()));
  Fleet.setRules([](size_t) { return "[]"; });
  EXPECT_EQ(Fleet.F.process(FleetRole::Instance, 0).wait(Deadline), 0);
  for (size_t Via : {1, 2})
    EXPECT_EQ(Fleet.submit(Via, Ticket, Job).Outcome, "not_run");
  ASSERT_FALSE(failed(Fleet.F.restart(FleetRole::Instance, 0)));
  ASSERT_TRUE(Fleet.waitForRoster());
  for (size_t Via : {0, 1, 2}) {
    std::string Outcome = Fleet.submit(Via, Ticket, Job).Outcome;
    EXPECT_TRUE(Outcome == "not_run" || Outcome == "unknown") << Outcome;
  }
  EXPECT_EQ(Fleet.starts(Ticket), 0U);
}

// Guards against partial answers, and against answers that are lost when the
// first caller disconnects.
TEST(RejectionProcessTest, AnswersAreCompleteOrFailed) {
  FleetOptions Options = fleetOptions(1, 3, 2);
  Options.ExtraSettings = R"("limits":{"max_answer_bytes":4096})";
  FaultedFleet Fleet(Options);
  ASSERT_TRUE(Fleet.Running);

  RecordedJob Failing = Fleet.Caller.makeJob(20, "run_ms=30");
  Failing.Payloads[7] += " fail=1";
  RecordedJob Large = Fleet.Caller.makeJob(10, "run_ms=5");
  for (std::string &Payload : Large.Payloads)
    Payload += std::string(1000, 'x');
  for (const auto &[Job, Kind] : {std::make_pair(Failing, "task_failed"),
                                  std::make_pair(Large, "answer_too_large")}) {
    std::string Ticket = Fleet.ticket(0);
    CallerAnswer Answer = Fleet.submit(1, Ticket, Job);
    EXPECT_EQ(Answer.Status, 500);
    EXPECT_EQ(Answer.Outcome, "failed");
    EXPECT_EQ(errorKind(Answer), Kind);
    EXPECT_FALSE(Answer.Body.isMember("results"));
    EXPECT_EQ(Answer.Body["tasks"].size(), Job.Payloads.size());
    expectStatesMatchUpstreams(Fleet, Ticket, Answer);
    EXPECT_EQ(Fleet.submit(2, Ticket, Job).Body, Answer.Body);
  }

  std::string Ticket = Fleet.ticket(0);
  RecordedJob Job = Fleet.Caller.makeJob(4, "run_ms=700");
  CallerAnswer Disconnected =
      Fleet.submit(1, Ticket, Job, std::chrono::milliseconds(300));
  EXPECT_EQ(Disconnected.Outcome, "none");
  CallerAnswer Again = Fleet.submit(2, Ticket, Job);
  EXPECT_EQ(Again.Outcome, "complete");
  EXPECT_EQ(
      Fleet.Caller.sendJobRequest("GET", Fleet.F.instance(0), Ticket).Body,
      Again.Body);
  EXPECT_EQ(Fleet.starts(Ticket), Job.Payloads.size());
}

} // namespace
} // namespace snipeshunt
