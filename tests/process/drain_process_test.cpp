/// \file Graceful shutdown under load, and many cancellations at once.
#include "faulted_fleet.h"

#include "http/event_loop.h"
#include "http/http_client.h"

#include <thread>

namespace snipeshunt {
namespace {

/// Callers that submit each job twice, to different instances, and record
/// outcomes that a drain must not cause.
class LoadDuringDrain {
public:
  explicit LoadDuringDrain(FaultedFleet &Fleet) : Fleet(Fleet) {
    for (size_t I = 0; I < 6; ++I)
      Threads.emplace_back([this, I] { run(I); });
  }
  LoadDuringDrain(const LoadDuringDrain &) = delete;
  LoadDuringDrain &operator=(const LoadDuringDrain &) = delete;
  ~LoadDuringDrain() { stop(); }

  void stop() {
    Stopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
  }

  /// Returns one message for each answer that is neither complete nor not run.
  std::vector<std::string> problems() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Problems;
  }
  std::atomic<size_t> Completed{0};
  /// Returns the tickets of completed jobs with their jobs and answers.
  std::vector<std::tuple<std::string, RecordedJob, Json::Value>> answered() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Answered;
  }

private:
  void run(size_t Number) {
    size_t Next = Number;
    while (!Stopping) {
      std::string Ticket = RecordedCaller::takeTicket(
          Fleet.F.instance(Next++ % Fleet.F.instances()));
      // Without a ticket or a connection, the next instance is tried.
      if (Ticket.empty())
        continue;
      RecordedJob Job = Fleet.Caller.makeJob(5, Number % 3 == 0 ? "run_ms=1200"
                                                                : "run_ms=30");
      CallerAnswer First;
      size_t Via = Next++;
      do
        First = Fleet.submit(Via++ % Fleet.F.instances(), Ticket, Job);
      while (First.NothingSent);
      recordProblem(Ticket, First);
      CallerAnswer Second;
      do
        Second = Fleet.submit(Via++ % Fleet.F.instances(), Ticket, Job);
      while (Second.NothingSent);
      recordProblem(Ticket, Second);
      if (First.Outcome != "complete")
        continue;
      ++Completed;
      std::lock_guard<std::mutex> Lock(Mutex);
      Answered.emplace_back(Ticket, Job, First.Body);
    }
  }

  void recordProblem(const std::string &Ticket, const CallerAnswer &Answer) {
    if (Answer.Outcome == "complete" || Answer.Outcome == "not_run")
      return;
    std::lock_guard<std::mutex> Lock(Mutex);
    Problems.push_back(Ticket + ": " + std::to_string(Answer.Status) + " " +
                       Answer.Outcome + " " + Answer.Failure +
                       writeJson(Answer.Body["error"]));
  }

  FaultedFleet &Fleet;
  std::mutex Mutex;
  std::vector<std::string> Problems;
  std::vector<std::tuple<std::string, RecordedJob, Json::Value>> Answered;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopping{false};
};

// Guards against a shutdown that closes connections of callers, or loses
// running jobs or retained answers.
TEST(DrainProcessTest, RollingRestartInterruptsNoCaller) {
  // Callers connect to the instances directly, as through the platform's load
  // balancer.
  FleetOptions Options = fleetOptions(1, 3, 4);
  Options.Relays = false;
  FaultedFleet Fleet(Options);
  ASSERT_TRUE(Fleet.Running);
  LoadDuringDrain Load(Fleet);
  for (size_t I = 0; I < Fleet.F.instances(); ++I) {
    SCOPED_TRACE(I);
    size_t Before = Load.Completed;
    ASSERT_TRUE(Fleet::waitUntil([&] { return Load.Completed > Before + 10; },
                                 Deadline));
    Fleet.F.process(FleetRole::Instance, I).signal(SIGTERM);
    EXPECT_EQ(Fleet.F.process(FleetRole::Instance, I).wait(Deadline), 0);
    size_t Elsewhere = (I + 1) % Fleet.F.instances();
    for (const auto &[Ticket, Job, Body] : Load.answered())
      EXPECT_EQ(Fleet.submit(Elsewhere, Ticket, Job).Body, Body) << Ticket;
    ASSERT_FALSE(failed(Fleet.F.restart(FleetRole::Instance, I)));
    ASSERT_TRUE(Fleet.waitForRoster());
  }
  Load.stop();
  std::vector<std::string> Problems = Load.problems();
  EXPECT_TRUE(Problems.empty())
      << Problems.size() << " problems, the first: " << Problems.front();
}

/// Sends \p Calls concurrently and passes each outcome to \p Done; returns
/// after the last one.
void sendAll(std::vector<HttpCall> Calls,
             const std::function<void(const HttpOutcome &)> &Done) {
  EventLoop Loop;
  HttpClientOptions Options;
  Options.MaxWaitingPerTarget = Calls.size();
  HttpClient Client(Loop, Options);
  size_t Open = Calls.size();
  for (HttpCall &Call : Calls)
    Client.send(std::move(Call), [&](const HttpOutcome &Outcome) {
      Done(Outcome);
      if (--Open == 0)
        Loop.stop();
    });
  Loop.run();
}

HttpCall makeCall(const Address &Endpoint, const std::string &Method,
                  const std::string &Ticket, const std::string &Body = "") {
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Method = Method;
  Call.Path = "/v1/jobs/" + Ticket + "?wait=false";
  Call.Body = Body;
  Call.Timeout = Deadline;
  return Call;
}

// Guards against many cancellations at once that end other jobs or keep the
// process from answering.
TEST(CancellationProcessTest, TenThousandCancellationsDisturbNoOtherJob) {
  constexpr size_t Wave = 10000;
  FleetOptions Options = fleetOptions(1, 2, 2);
  Options.Relays = false;
  FaultedFleet Fleet(Options);
  ASSERT_TRUE(Fleet.Running);
  Address Home = Fleet.F.instance(0);
  std::vector<std::string> Tickets;
  while (Tickets.size() < Wave) {
    Result<std::string> Text = postText(Home, "/v1/tickets?count=100", "");
    ASSERT_FALSE(failed(Text));
    Json::Value List = valueOf(parseJson(valueOf(Text)))["tickets"];
    for (const Json::Value &Ticket : List)
      Tickets.push_back(Ticket.asString());
  }
  std::vector<HttpCall> Submissions;
  std::vector<HttpCall> Cancellations;
  for (size_t I = 0; I < Wave; ++I) {
    // Several teams, because the quota of one is smaller than the wave.
    std::string Body = R"({"team":"t)" + std::to_string(I % 20) +
                       R"(","patience_ms":600000,"tasks":[{"kind":"wave",)"
                       R"("expected_ms":100,"payload":"run_ms=100"}]})";
    Submissions.push_back(makeCall(Home, "PUT", Tickets[I], Body));
    Cancellations.push_back(makeCall(Home, "DELETE", Tickets[I]));
  }
  std::map<std::string, size_t> Seen;
  auto Count = [&](const HttpOutcome &Outcome) {
    auto *Reply = std::get_if<HttpReply>(&Outcome);
    Result<Json::Value> Body = parseJson(Reply ? Reply->Body : "{}");
    ++Seen[failed(Body) ? "unreadable" : valueOf(Body)["outcome"].asString()];
  };
  sendAll(std::move(Submissions), Count);
  EXPECT_EQ(Seen["running"], Wave);
  Seen.clear();
  RecordedJob Job = Fleet.Caller.makeJob(100, "run_ms=20");
  Job.PatienceMs = 600000;
  std::future<CallerAnswer> Other = Fleet.submitAsync(0, Fleet.ticket(0), Job);
  std::thread Cancelling([&] { sendAll(std::move(Cancellations), Count); });
  bool Done = false;
  while (!Done) {
    EXPECT_FALSE(failed(getText(Home, "/healthz")));
    Done = Other.wait_for(std::chrono::milliseconds(20)) ==
           std::future_status::ready;
  }
  Cancelling.join();
  EXPECT_EQ(Other.get().Outcome, "complete");
  EXPECT_EQ(Seen["failed"] + Seen["complete"], Wave);
  EXPECT_GT(Seen["failed"], Wave / 2);
  EXPECT_EQ(
      Fleet.submit(1, Fleet.ticket(0), Fleet.Caller.makeJob(10, "run_ms=1"))
          .Outcome,
      "complete");
}

} // namespace
} // namespace snipeshunt
