/// \file Messages between instances that are lost, delayed or duplicated.
#include "faulted_fleet.h"

namespace snipeshunt {
namespace {

struct MessageCase {
  const char *Rule; ///< Rule of the relays for messages between instances.
  bool Completes;   ///< No message is lost, so that the job must complete.
};

constexpr MessageCase MessageCases[] = {
    {R"({"path":"/rpc","action":"duplicate"})", true},
    {R"({"path":"/rpc","action":"late_copy","delay_ms":150})", true},
    {R"({"path":"/rpc","action":"late_copy","delay_ms":700})", true},
    {R"({"path":"/rpc","action":"delay","delay_ms":150})", true},
    {R"({"path":"/rpc","action":"drop_request","probability":0.5})", false},
    {R"({"path":"/rpc","action":"drop_reply","probability":0.5})", false},
};

/// Returns the number of messages that the rules of all relays have affected.
uint64_t countDisturbed(const Fleet &F) {
  uint64_t Sum = 0;
  for (size_t I = 0; I < F.instances(); ++I) {
    Result<std::string> Text = getText(F.relay(I), "/relay/counts");
    if (failed(Text))
      continue;
    Json::Value Counts = valueOf(parseJson(valueOf(Text)));
    for (const std::string &Name : Counts.getMemberNames())
      Sum += Counts[Name].asUInt64();
  }
  return Sum;
}

/// Returns the number of tasks that \p Home has handed over.
size_t countHandovers(const Fleet &F, size_t Home) {
  Result<std::string> Text = getText(F.directInstance(Home), "/v1/timeline");
  std::string Events = failed(Text) ? "" : valueOf(Text);
  size_t Count = 0;
  for (size_t At = 0;
       (At = Events.find("\"task_handed_over\"", At)) != std::string::npos;
       ++At)
    ++Count;
  return Count;
}

// Guards against a task that is started twice because its handover, report or
// revoke is duplicated, delayed or lost.
TEST(HandoverProcessTest, DisturbedMessagesStartNothingTwice) {
  FaultedFleet Fleet(fleetOptions(1, 4, 6));
  ASSERT_TRUE(Fleet.Running);
  std::vector<size_t> Owned(Fleet.F.instances() + 1);
  for (size_t U = 0; U < Fleet.F.upstreams(); ++U)
    ++Owned[Fleet.senderOf(U)];
  auto Home = static_cast<size_t>(
      std::min_element(Owned.begin(), Owned.end() - 1) - Owned.begin());
  for (const MessageCase &Case : MessageCases) {
    SCOPED_TRACE(Case.Rule);
    ASSERT_TRUE(Fleet.waitForRoster());
    uint64_t Before = countDisturbed(Fleet.F);
    size_t HandoversBefore = countHandovers(Fleet.F, Home);
    Fleet.setRules([&](size_t) { return "[" + std::string(Case.Rule) + "]"; });
    for (int Round = 0; Round < 3; ++Round) {
      std::string Ticket = Fleet.ticket(Home);
      RecordedJob Job = Fleet.Caller.makeJob(40, "run_ms=60");
      CallerAnswer Answer = Fleet.submit(Home, Ticket, Job);
      EXPECT_TRUE(Answer.Outcome == "complete" ||
                  (!Case.Completes && Answer.Outcome == "failed"))
          << Answer.Outcome << " " << writeJson(Answer.Body["error"]);
      expectStatesMatchUpstreams(Fleet, Ticket, Answer);
    }
    EXPECT_GT(countDisturbed(Fleet.F), Before);
    EXPECT_GT(countHandovers(Fleet.F, Home), HandoversBefore);
    Fleet.setRules([](size_t) { return "[]"; });
  }
}

// Guards against a cancelled job's tasks starting from a handover that arrives
// after its revoke.
TEST(HandoverProcessTest, LateHandoverOfCancelledJobStartsNothing) {
  FaultedFleet Fleet(fleetOptions(1, 4, 6));
  ASSERT_TRUE(Fleet.Running);
  for (int DelayMs : {20, 300, 1500}) {
    SCOPED_TRACE(DelayMs);
    ASSERT_TRUE(Fleet.waitForRoster());
    Fleet.setRules([&](size_t) {
      return R"([{"path":"/rpc","action":"delay","probability":0.5,)"
             R"("delay_ms":)" +
             std::to_string(DelayMs) + "}]";
    });
    std::string Ticket = Fleet.ticket(0);
    RecordedJob Job = Fleet.Caller.makeJob(200, "run_ms=100");
    std::future<CallerAnswer> First = Fleet.submitAsync(0, Ticket, Job);
    ASSERT_TRUE(Fleet.waitForStart(Ticket));
    CallerAnswer Cancelled =
        Fleet.Caller.sendJobRequest("DELETE", Fleet.F.instance(1), Ticket);
    EXPECT_EQ(First.get().Body, Cancelled.Body);
    Fleet.setRules([](size_t) { return "[]"; });
    // All delayed messages have arrived once another job has completed.
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * DelayMs));
    ASSERT_TRUE(Fleet.waitForRoster());
    EXPECT_EQ(
        Fleet.submit(0, Fleet.ticket(0), Fleet.Caller.makeJob(40, "run_ms=10"))
            .Outcome,
        "complete");
    expectStatesMatchUpstreams(Fleet, Ticket, Cancelled);
  }
}

} // namespace
} // namespace snipeshunt
