/// \file Upstreams that cut or close connections, are killed or leave.
#include "faulted_fleet.h"

namespace snipeshunt {
namespace {

int64_t wallUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

struct UpstreamCase {
  const char *Name;
  const char *First;  ///< Mode of upstream 0, or "kill".
  const char *Second; ///< Mode of upstream 1, or "kill".
};

constexpr UpstreamCase UpstreamCases[] = {
    {"cut before the start", "cut_before_start", "normal"},
    {"cut after the start", "cut_after_start", "normal"},
    {"dies", "kill", "normal"},
    {"both cuts", "cut_before_start", "cut_after_start"},
    {"cut and death", "cut_after_start", "kill"},
    {"both die", "kill", "kill"},
};

/// Returns true if a job completes and uses both upstreams. Probes make a
/// failed upstream usable again after some time.
bool bothUsed(FaultedFleet &Fleet) {
  std::string Ticket = Fleet.ticket(0);
  bool Complete =
      Fleet.submit(0, Ticket, Fleet.Caller.makeJob(24, "run_ms=20")).Outcome ==
      "complete";
  std::set<std::string> Used;
  for (const HistoryUpstreamRecord &Record : Fleet.records(Ticket))
    Used.insert(Record.Upstream);
  return Complete && Used.size() == 2;
}

// Guards against a task that is sent again although its upstream may have
// started it, and against task states that contradict the upstreams' records.
TEST(UpstreamProcessTest, LostConnectionsStartNothingTwice) {
  FaultedFleet Fleet(fleetOptions(1, 2, 2));
  ASSERT_TRUE(Fleet.Running);
  for (const UpstreamCase &Case : UpstreamCases) {
    SCOPED_TRACE(Case.Name);
    std::string Ticket = Fleet.ticket(0);
    RecordedJob Job = Fleet.Caller.makeJob(60, "run_ms=60");
    const char *Actions[] = {Case.First, Case.Second};
    for (size_t U : {0, 1})
      if (std::string(Actions[U]) != "kill")
        Fleet.setMode(U, Actions[U]);
    std::future<CallerAnswer> Open = Fleet.submitAsync(1, Ticket, Job);
    // After this the job runs or has ended, whichever upstream it uses.
    Fleet::waitUntil([&] { return Fleet.starts(Ticket) > 8; },
                     std::chrono::seconds(1));
    for (size_t U : {0, 1})
      if (std::string(Actions[U]) == "kill")
        Fleet.F.process(FleetRole::Upstream, U).kill();
    CallerAnswer Answer = Open.get();
    EXPECT_EQ(Answer.Outcome, "failed") << Answer.Failure;
    EXPECT_EQ(Answer.Body["error"]["kind"].asString(), "task_lost");
    EXPECT_EQ(Answer.Body["tasks"].size(), Job.Payloads.size());
    expectStatesMatchUpstreams(Fleet, Ticket, Answer);
    for (size_t U : {0, 1}) {
      if (std::string(Actions[U]) == "kill")
        EXPECT_FALSE(failed(Fleet.F.restart(FleetRole::Upstream, U)));
      else
        Fleet.setMode(U, "normal");
    }
    EXPECT_TRUE(Fleet::waitUntil([&] { return bothUsed(Fleet); }, Deadline));
    EXPECT_EQ(Fleet.submit(0, Ticket, Job).Body, Answer.Body);
  }
}

// Guards against a start that is sent again because the upstream closes an idle
// connection at the moment of its reuse.
TEST(UpstreamProcessTest, ConnectionClosedAtReuseStartsNothingTwice) {
  FleetOptions Options = fleetOptions(1, 1, 1);
  // Whole seconds, and less than the 4 s after which the client's pool closes
  // idle connections.
  Options.UpstreamArguments = {"--idle-timeout-ms", "1000"};
  Options.ExtraSettings =
      R"("limits":{"status_poll_ms":50000,"status_fresh_ms":60000})";
  FaultedFleet Fleet(Options);
  ASSERT_TRUE(Fleet.Running);
  for (int Round = 0; Round < 12; ++Round) {
    std::string Ticket = Fleet.ticket(0);
    RecordedJob Job = Fleet.Caller.makeJob(8, "run_ms=1");
    CallerAnswer Answer = Fleet.submit(0, Ticket, Job);
    EXPECT_TRUE(Answer.Outcome == "complete" || Answer.Outcome == "failed")
        << Answer.Failure;
    expectStatesMatchUpstreams(Fleet, Ticket, Answer);
    std::this_thread::sleep_for(std::chrono::milliseconds(994 + Round));
  }
}

/// Submits small jobs from a thread until destruction.
class BackgroundLoad {
public:
  explicit BackgroundLoad(FaultedFleet &Fleet)
      : Thread([this, &Fleet] {
          for (size_t Round = 0; !Stopping; ++Round) {
            Address Home = Fleet.F.instance(Round % Fleet.F.instances());
            std::string Ticket = RecordedCaller::takeTicket(Home);
            if (!Ticket.empty())
              Fleet.Caller.submit(Home, Ticket,
                                  Fleet.Caller.makeJob(30, "run_ms=10"));
          }
        }) {}
  BackgroundLoad(const BackgroundLoad &) = delete;
  BackgroundLoad &operator=(const BackgroundLoad &) = delete;
  ~BackgroundLoad() {
    Stopping = true;
    Thread.join();
  }

private:
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// Returns the number of starts that reached \p Upstream later than 5 s after
/// \p SinceUs. Rejected ones count too, since the sender should send none.
size_t lateRequests(const FaultedFleet &Fleet, size_t Upstream,
                    int64_t SinceUs) {
  size_t Count = 0;
  for (const HistoryUpstreamRecord &Record : Fleet.records())
    if (Record.Upstream == Fleet.F.upstream(Upstream).Value &&
        Record.WallUs > SinceUs + 5000000 &&
        (Record.Event == HistoryUpstreamEvent::Start ||
         Record.Event == HistoryUpstreamEvent::Refuse))
      ++Count;
  return Count;
}

/// A way in which a sender receives that its upstream is leaving.
struct LeavingCase {
  const char *Name;
  std::function<void(FaultedFleet &)> Announce; ///< Makes upstream 0 leave.
  const char *Settings;
};

const LeavingCase LeavingCases[] = {
    {"list",
     [](FaultedFleet &Fleet) {
       EXPECT_FALSE(failed(Fleet.F.publishList({"leaving"})));
     },
     ""},
    {"status", [](FaultedFleet &Fleet) { Fleet.setMode(0, "leaving"); }, ""},
    // The status is polled only at the start, so that only replies to starts
    // report it.
    {"reply", [](FaultedFleet &Fleet) { Fleet.setMode(0, "leaving"); },
     R"("limits":{"status_poll_ms":50000,"status_fresh_ms":60000})"},
    {"during a platform outage",
     [](FaultedFleet &Fleet) {
       EXPECT_FALSE(failed(
           postText(Fleet.F.platform(), "/v1/faults", R"({"outage":true})")));
       Fleet.setMode(0, "leaving");
     },
     ""},
    {"after the sender was killed",
     [](FaultedFleet &Fleet) {
       size_t Sender = Fleet.senderOf(0);
       ASSERT_LT(Sender, Fleet.F.instances());
       Fleet.setMode(0, "leaving");
       Fleet.F.process(FleetRole::Instance, Sender).kill();
     },
     ""},
    {"by the list, after the sender was killed",
     [](FaultedFleet &Fleet) {
       size_t Sender = Fleet.senderOf(0);
       ASSERT_LT(Sender, Fleet.F.instances());
       EXPECT_FALSE(failed(Fleet.F.publishList({"leaving"})));
       Fleet.F.process(FleetRole::Instance, Sender).kill();
     },
     ""},
};

class LeavingTest : public testing::TestWithParam<size_t> {};

// Guards against starts on an upstream that is leaving, for each way in which
// its sender can receive that.
TEST_P(LeavingTest, NoRequestAfterFiveSeconds) {
  const LeavingCase &Case = LeavingCases[GetParam()];
  SCOPED_TRACE(Case.Name);
  FleetOptions Options = fleetOptions(1, 3, 4);
  Options.ExtraSettings = Case.Settings;
  FaultedFleet Fleet(Options);
  ASSERT_TRUE(Fleet.Running);
  size_t Before = 0;
  {
    BackgroundLoad Load(Fleet);
    ASSERT_TRUE(Fleet::waitUntil(
        [&] { return lateRequests(Fleet, 0, -5000000) > 0; }, Deadline));
    int64_t SinceUs = wallUs();
    Case.Announce(Fleet);
    std::this_thread::sleep_for(std::chrono::milliseconds(7500));
    EXPECT_EQ(lateRequests(Fleet, 0, SinceUs), 0U);
    for (size_t U = 1; U < Fleet.F.upstreams(); ++U)
      Before += lateRequests(Fleet, U, SinceUs);
  }
  EXPECT_GT(Before, 0U) << "no starts on the other upstreams";
}

INSTANTIATE_TEST_SUITE_P(Ways, LeavingTest,
                         testing::Range<size_t>(0, std::size(LeavingCases)));

} // namespace
} // namespace snipeshunt
