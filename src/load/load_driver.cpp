/// \file Open-loop load generator on one event loop.
#include "load/load_driver.h"

#include "core/json_func.h"
#include "load/load_func.h"

#include <unistd.h>

#include <algorithm>

namespace snipeshunt {

namespace {

constexpr size_t TicketBatch = 100;
// More are requested below this number, so that jobs do not wait for tickets.
constexpr size_t TicketReserve = 300;

HttpClientOptions callerOptions() {
  HttpClientOptions Options;
  // Requests of an open loop must not wait for a free connection.
  Options.MaxConnectionsPerTarget = 20000;
  Options.MaxWaitingPerTarget = 1 << 20;
  return Options;
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double toMs(Duration D) {
  return std::chrono::duration<double, std::milli>(D).count();
}

} // namespace

LoadDriver::LoadDriver(const LoadOptions &Options, std::vector<Address> Targets,
                       std::vector<pid_t> InstanceIds)
    : Options(Options), InstanceIds(std::move(InstanceIds)),
      Client(Loop, callerOptions()), Random(Options.Seed),
      SendTimer(Loop, [this] { sendDue(); }),
      BeforeTimer(Loop, [this] { takeSnapshot(Measurements.Before); }),
      AfterTimer(Loop, [this] { endSending(); }),
      GraceTimer(Loop, [this] { Loop.stop(); }) {
  for (Address &Target : Targets)
    Homes.push_back({std::move(Target), {}, {}, false});
}

LoadResult LoadDriver::run() {
  Start = std::chrono::steady_clock::now();
  NextDue = Start;
  double End = Options.WarmUpSeconds + Options.Seconds;
  BeforeTimer.startOnce(toDuration(Options.WarmUpSeconds));
  AfterTimer.startOnce(toDuration(End));
  GraceTimer.startOnce(toDuration(End + Options.GraceSeconds + 1));
  if (Options.JobsPerSecond > 0)
    schedule();
  Loop.run();
  Measurements.Counts.NoAnswer += OpenMeasured;
  return std::move(Measurements);
}

void LoadDriver::schedule() {
  std::exponential_distribution<double> Gap(Options.JobsPerSecond);
  NextDue += toDuration(Gap(Random));
  SendTimer.startOnce(NextDue - std::chrono::steady_clock::now());
}

void LoadDriver::sendDue() {
  while (Sending && JobsCreated < Options.JobLimit &&
         NextDue <= std::chrono::steady_clock::now()) {
    size_t HomeIndex = JobsCreated++ % Homes.size();
    DueJob Job = makeJob(NextDue);
    Home &H = Homes[HomeIndex];
    ++Open;
    if (Job.Measured) {
      ++OpenMeasured;
      ++Measurements.Counts.Sent;
      // Measured before the wait for a ticket, which is a delay of the
      // instance.
      Measurements.Counts.LateMs.push_back(
          toMs(std::chrono::steady_clock::now() - Job.Due));
    }
    if (H.Tickets.empty())
      H.Waiting.push_back(std::move(Job));
    else
      submit(HomeIndex, std::move(Job));
    requestTickets(HomeIndex);
    std::exponential_distribution<double> Gap(Options.JobsPerSecond);
    NextDue += toDuration(Gap(Random));
  }
  if (Sending && JobsCreated < Options.JobLimit)
    SendTimer.startOnce(NextDue - std::chrono::steady_clock::now());
}

double LoadDriver::drawRunMs() {
  const RunTimes &R = Options.Run;
  switch (R.Form) {
  case RunTimes::Shape::Constant:
    return R.First;
  case RunTimes::Shape::Uniform:
    return std::uniform_real_distribution<>(R.First, R.Second)(Random);
  case RunTimes::Shape::Exponential:
    return std::exponential_distribution<>(1 / R.First)(Random);
  }
  return R.First;
}

LoadDriver::DueJob LoadDriver::makeJob(SteadyTime Due) {
  DueJob Job;
  Job.Due = Due;
  Job.Measured = Due >= Start + toDuration(Options.WarmUpSeconds);
  std::string &Body = Job.Body;
  Body = "{\"team\":\"team" + std::to_string(JobsCreated % Options.Teams) +
         "\",\"patience_ms\":" + std::to_string(Options.PatienceMs) +
         ",\"tasks\":[";
  for (uint32_t I = 0; I < Options.TasksPerJob; ++I) {
    double RunMs = drawRunMs();
    double Speed =
        Options.Speeds.empty()
            ? 1.0
            : *std::max_element(Options.Speeds.begin(), Options.Speeds.end());
    Job.LongestMs = std::max(Job.LongestMs, RunMs / Speed);
    std::string Payload = "run_ms=" + std::to_string(RunMs) + " ";
    if (Payload.size() < Options.PayloadBytes)
      Payload.resize(Options.PayloadBytes, 'x');
    Body += (I ? "," : "") + std::string("{\"kind\":\"load\",\"payload\":\"") +
            Payload + "\"";
    if (Options.ExpectedMs > 0)
      Body += ",\"expected_ms\":" + std::to_string(Options.ExpectedMs);
    Body += "}";
  }
  Body += "]}";
  return Job;
}

void LoadDriver::requestTickets(size_t HomeIndex) {
  Home &H = Homes[HomeIndex];
  if (H.TicketsRequested || H.Tickets.size() >= TicketReserve)
    return;
  H.TicketsRequested = true;
  HttpCall Call;
  Call.Target = H.Endpoint;
  Call.Method = "POST";
  Call.Path = "/v1/tickets?count=" + std::to_string(TicketBatch);
  Client.send(std::move(Call), [this, HomeIndex](const HttpOutcome &Outcome) {
    Home &H = Homes[HomeIndex];
    H.TicketsRequested = false;
    if (auto *Reply = std::get_if<HttpReply>(&Outcome);
        Reply && Reply->Status == 200) {
      Result<Json::Value> Parsed = parseJson(Reply->Body);
      if (!failed(Parsed))
        for (const Json::Value &Ticket : valueOf(Parsed)["tickets"])
          H.Tickets.push_back(Ticket.asString());
    }
    while (!H.Waiting.empty() && !H.Tickets.empty()) {
      DueJob Job = std::move(H.Waiting.front());
      H.Waiting.pop_front();
      submit(HomeIndex, std::move(Job));
    }
    if (!H.Waiting.empty())
      requestTickets(HomeIndex);
  });
}

void LoadDriver::submit(size_t HomeIndex, DueJob Job) {
  Home &H = Homes[HomeIndex];
  size_t EntryIndex = HomeIndex;
  if (Options.ForwardShare > 0 && Homes.size() > 1 &&
      std::uniform_real_distribution<>()(Random) < Options.ForwardShare)
    EntryIndex = (HomeIndex + 1) % Homes.size();
  HttpCall Call;
  Call.Target = Homes[EntryIndex].Endpoint;
  Call.Method = "PUT";
  Call.Path = "/v1/jobs/" + H.Tickets.front();
  H.Tickets.pop_front();
  Call.Body = std::move(Job.Body);
  Call.Timeout = std::chrono::milliseconds(Options.PatienceMs + 5000);
  SteadyTime Sent = std::chrono::steady_clock::now();
  Client.send(std::move(Call), [this, Job, Sent](const HttpOutcome &Outcome) {
    finish(Outcome, Job, Sent);
  });
}

void LoadDriver::finish(const HttpOutcome &Outcome, const DueJob &Job,
                        SteadyTime Sent) {
  --Open;
  if (Job.Measured) {
    --OpenMeasured;
    CallerCounts &C = Measurements.Counts;
    SteadyTime Now = std::chrono::steady_clock::now();
    auto *Reply = std::get_if<HttpReply>(&Outcome);
    if (!Reply) {
      ++C.NoAnswer;
    } else if (Reply->Status == 200) {
      ++C.Completed;
      C.ResponseMs.push_back(toMs(Now - Job.Due));
      C.AddedMs.push_back(toMs(Now - Sent) - Job.LongestMs);
    } else {
      ++(Reply->Status == 429 || Reply->Status == 503 ? C.Rejected : C.Failed);
    }
  }
  stopIfIdle();
}

void LoadDriver::takeSnapshot(Snapshot &Out) {
  Out.At = std::chrono::steady_clock::now();
  for (pid_t Id : InstanceIds)
    Out.Instances.push_back(readProcessUse(Id).value_or(ProcessUse{}));
  Out.Caller = readProcessUse(getpid()).value_or(ProcessUse{});
  Out.Metrics.resize(Homes.size());
  for (size_t I = 0; I < Homes.size(); ++I) {
    ++SnapshotsOpen;
    HttpCall Call;
    Call.Target = Homes[I].Endpoint;
    Call.Path = "/metrics";
    Client.send(std::move(Call), [this, &Out, I](const HttpOutcome &Outcome) {
      if (auto *Reply = std::get_if<HttpReply>(&Outcome))
        Out.Metrics[I] = parseMetrics(Reply->Body);
      --SnapshotsOpen;
      stopIfIdle();
    });
  }
}

void LoadDriver::endSending() {
  Sending = false;
  takeSnapshot(Measurements.After);
  if (Options.GraceSeconds == 0)
    Open = 0;
}

void LoadDriver::stopIfIdle() {
  if (!Sending && SnapshotsOpen == 0 && (Open == 0 || !Options.GraceSeconds))
    Loop.stop();
}

} // namespace snipeshunt
