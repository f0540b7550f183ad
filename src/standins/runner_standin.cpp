/// \file Stand-in for a runner of the users' platform, an upstream of a cell.
#include "standins/runner_standin.h"

#include <algorithm>
#include <cstdio>

namespace snipeshunt {

namespace {

constexpr Duration StepPeriod = std::chrono::milliseconds(2);
constexpr int64_t MaxLeaseMs = 1000;
constexpr int64_t DefaultWorkMs = 20;
// The clocks of the platform's runners may run up to 2 % slow.
constexpr double ClockSpeed = 0.98;

int64_t workMs(const std::string &Spec) {
  size_t At = Spec.find("work_ms=");
  return At == std::string::npos ? DefaultWorkMs
                                 : std::atoll(Spec.c_str() + At + 8);
}

/// Returns the time of the steady clock, which all processes of the machine
/// share.
long long steadyMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

} // namespace

RunnerStandin::RunnerStandin(EventLoop &Loop, std::string Id,
                             std::string Centre)
    : Id(std::move(Id)), Centre(std::move(Centre)), Server(Loop, {}),
      AdvanceTimer(Loop, [this] { advance(); }),
      ClockStart(std::chrono::steady_clock::now()),
      StartedAt(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count()) {
  Server.RequestReceived.connect(
      [this](const HttpRequest &Request) { receive(Request); });
}

bool RunnerStandin::listen(const std::string &Ip) {
  Result<Address> Bound = Server.listen({Ip + ":0"});
  if (failed(Bound))
    return false;
  Endpoint = valueOf(Bound);
  AdvanceTimer.startPeriodic(StepPeriod);
  return true;
}

std::string RunnerStandin::registration(uint64_t Sequence) const {
  Json::Value Record(Json::objectValue);
  Record["service"] = "standin";
  Record["address"] = (Announced.Value.empty() ? Endpoint : Announced).Value;
  Record["zone"] = Centre;
  Record["version"] = "v1";
  Record["slots"] = 8;
  Record["state"] = "ready";
  Record["cold_remaining_ms"] = 0;
  Record["capacity"]["cpu"] = 64000;
  Record["capacity"]["mem_mb"] = 262144;
  Record["capacity"]["gpu"] = 0;
  Record["labels"].append("a");
  Record["labels"].append("r1-1");
  Record["born"] = Json::Int64(StartedAt);
  Record["sequence"] = Json::UInt64(Sequence);
  return writeJson(Record);
}

int64_t RunnerStandin::clockMs() const {
  auto Elapsed = std::chrono::duration_cast<Duration>(
      (std::chrono::steady_clock::now() - ClockStart) * ClockSpeed);
  return toMilliseconds(Elapsed);
}

void RunnerStandin::receive(const HttpRequest &Request) {
  BeforeRequest.emit();
  Result<Json::Value> Parsed = parseJson(Request.Body);
  if (failed(Parsed) || !valueOf(Parsed).isObject())
    return Server.reply(Request.Id, {400, "{}"});
  if (Request.header("X-Snipeshunt-Expect-Instance") != Id)
    return Server.reply(Request.Id, {421, "{}"});
  const Json::Value &Body = valueOf(Parsed);
  if (isFenced(Body)) {
    Json::Value Rejection(Json::objectValue);
    Rejection["clock_ms"] = Json::Int64(clockMs());
    Rejection["reason"] = "fence";
    return Server.reply(Request.Id, jsonReply(409, Rejection));
  }
  if (Request.Path == "/snipeshunt/run-start")
    Server.reply(Request.Id, start(Body));
  else if (Request.Path == "/snipeshunt/run-stop")
    Server.reply(Request.Id, stop(Body));
  else if (Request.Path == "/snipeshunt/hold")
    hold(Request.Id, Body);
  else
    Server.reply(Request.Id, unknownPath());
}

bool RunnerStandin::isFenced(const Json::Value &Body) {
  uint64_t Received = Body["fencing_token"].asUInt64();
  if (Received < FencingToken)
    return true;
  FencingToken = Received;
  return false;
}

void RunnerStandin::extendLease(const Json::Value &Body) {
  if (Body.isMember("deadline_ms"))
    LeaseEnd =
        std::max(LeaseEnd, std::min<int64_t>(Body["deadline_ms"].asInt64(),
                                             clockMs() + MaxLeaseMs));
}

HttpReply RunnerStandin::start(const Json::Value &Body) {
  std::string Task = Body["task"].asString();
  uint32_t Number = Body["run"].asUInt();
  Json::Value Reply(Json::objectValue);
  Reply["clock_ms"] = Json::Int64(clockMs());
  auto Last = LastEnded.find(Task);
  if (Body["deadline_ms"].asInt64() <= clockMs()) {
    Reply["reason"] = "late";
    return jsonReply(409, Reply);
  }
  if (Last != LastEnded.end() && Number <= Last->second) {
    Reply["reason"] = "old";
    return jsonReply(409, Reply);
  }
  extendLease(Body);
  if (Running.count(Task))
    return jsonReply(200, Reply);
  Running[Task] = {Number, std::chrono::steady_clock::now(),
                   std::chrono::milliseconds(workMs(Body["spec"].asString()))};
  printf("start %s %u %s at=%lld\n", Task.c_str(), Number, Id.c_str(),
         steadyMicroseconds());
  return jsonReply(200, Reply);
}

HttpReply RunnerStandin::stop(const Json::Value &Body) {
  std::string Task = Body["task"].asString();
  uint32_t &Last = LastEnded[Task];
  Last = std::max(Last, Body["run"].asUInt());
  auto It = Running.find(Task);
  if (It != Running.end() && It->second.Number <= Last)
    end(Task, "stopped");
  Json::Value Reply(Json::objectValue);
  Reply["clock_ms"] = Json::Int64(clockMs());
  return jsonReply(200, Reply);
}

void RunnerStandin::hold(RequestId Request, const Json::Value &Body) {
  extendLease(Body);
  uint64_t LastSeen = Body["last_seen"].asUInt64();
  Ends.erase(
      std::remove_if(Ends.begin(), Ends.end(),
                     [LastSeen](const End &E) { return E.Number <= LastSeen; }),
      Ends.end());
  int64_t Wait = Body["wait_ms"].asInt64();
  if (Wait == 0 || !Ends.empty()) {
    Server.reply(Request, reportRuns());
    return;
  }
  PendingHolds.push_back({Request, std::chrono::steady_clock::now() +
                                       std::chrono::milliseconds(Wait)});
}

void RunnerStandin::end(const std::string &Task, const char *Outcome) {
  auto It = Running.find(Task);
  uint32_t Number = It->second.Number;
  Running.erase(It);
  uint32_t &Last = LastEnded[Task];
  Last = std::max(Last, Number);
  Ends.push_back({NextEnd++, Task, Number, Outcome});
  printf("end %s %u %s %s at=%lld\n", Task.c_str(), Number, Id.c_str(), Outcome,
         steadyMicroseconds());
}

void RunnerStandin::advance() {
  SteadyTime Now = std::chrono::steady_clock::now();
  bool LeaseExpired = clockMs() >= LeaseEnd;
  std::vector<std::string> Ended;
  for (const auto &[Task, R] : Running)
    if (LeaseExpired || Now - R.StartTime >= R.Work)
      Ended.push_back(Task);
  for (const std::string &Task : Ended)
    end(Task, LeaseExpired ? "lapsed" : "done");
  if (!Ended.empty())
    fflush(stdout);
  std::vector<PendingHold> Remaining;
  for (const PendingHold &H : PendingHolds) {
    if (Ends.empty() && Now < H.Deadline)
      Remaining.push_back(H);
    else
      Server.reply(H.Request, reportRuns());
  }
  PendingHolds = std::move(Remaining);
}

HttpReply RunnerStandin::reportRuns() const {
  Json::Value Reply(Json::objectValue);
  Reply["clock_ms"] = Json::Int64(clockMs());
  Reply["born"] = Json::Int64(StartedAt);
  Reply["running"] = Json::Value(Json::arrayValue);
  Reply["finished"] = Json::Value(Json::arrayValue);
  SteadyTime Now = std::chrono::steady_clock::now();
  for (const auto &[Task, R] : Running) {
    Json::Value Row(Json::arrayValue);
    Row.append(Task);
    Row.append(R.Number);
    Row.append("");
    Row.append(static_cast<int>(100 * toSeconds(Now - R.StartTime) /
                                std::max(1e-3, toSeconds(R.Work))));
    Reply["running"].append(Row);
  }
  for (const End &E : Ends) {
    Json::Value Row(Json::arrayValue);
    Row.append(Json::UInt64(E.Number));
    Row.append(E.Task);
    Row.append(E.Run);
    Row.append(E.Outcome);
    Row.append("");
    Reply["finished"].append(Row);
  }
  return jsonReply(200, Reply);
}

} // namespace snipeshunt
