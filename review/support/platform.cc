/// \file Stand-in for the users' platform: the store and the runners, in one
/// process. Commands on standard input change the runners, one a line:
///   drain N          runner N reports `draining`
///   crash N          runner N ends, with all that it runs
///   restart N KIND   runner N starts again under its id and address
/// Writes one line for each event to standard output, with the time in
/// milliseconds of the steady clock.
#include "standins/store_standin.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <sstream>

using namespace snipeshunt;

namespace {

// From the site's sheet: `max_hold_ms` 1,000 and `heartbeat_ms` 1,500.
constexpr int64_t MaxLeaseMs = 1000;
constexpr Duration HeartbeatPeriod = std::chrono::milliseconds(1500);
// `stop_timeout_ms` is 50.
constexpr int64_t StopTakesMs = 40;
constexpr Duration StepPeriod = std::chrono::milliseconds(2);
// Share of the real speed at which the runners' clocks run; 2 % is allowed.
constexpr double ClockSpeed = 0.99;

constexpr char Configuration[] =
    R"({"version":7,"routes":[{"name":"jobs","host":"jobs.example",)"
    R"("prefix":"/jobs/","kind":"unsafe","timeout_ms":60000,"slo_ms":60,)"
    R"("priority":0,"service":"swapdesk","max_attempts":3,"stretch":1.6}],)"
    R"("services":[{"name":"swapdesk","rejects_overload":true}],"limits":{}})";

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int64_t workMs(const std::string &Spec) {
  size_t At = Spec.find("work_ms=");
  return At == std::string::npos ? 20 : std::atoll(Spec.c_str() + At + 8);
}

struct Need {
  int64_t Cpu = 0;
  int64_t Memory = 0;
};

/// A runner of the platform's pages: it rejects what does not fit, ends runs
/// with its lease, and reports their ends until these are acknowledged.
class Runner {
public:
  Runner(EventLoop &Loop, StoreStandin &Store, std::string Id, std::string Zone,
         std::string Kind, int64_t Cpu, int64_t TaskCpu)
      : Store(Store), Id(std::move(Id)), Zone(std::move(Zone)),
        Kind(std::move(Kind)), Cpu(Cpu), TaskCpu(TaskCpu), Loop(Loop),
        Step(Loop, [this] { advance(); }),
        Heartbeat(Loop, [this] { registerSelf(); }) {}

  bool listen(const std::string &Ip) {
    Endpoint = {Ip + ":8161"};
    if (!begin())
      return false;
    Step.startPeriodic(StepPeriod);
    return true;
  }

  /// Sets the address that the runner's entry names instead of its own.
  void announce(const Address &Other) { Announced = Other; }

  void drain() {
    Draining = true;
    registerSelf();
    printf("%lld runner %s draining_acknowledged\n",
           static_cast<long long>(nowMs()), Id.c_str());
  }

  /// Ends all runs, and closes all connections as the end of a process does.
  void crash() {
    for (const auto &[Task, R] : Running)
      printf("%lld end %s %u %s crashed\n", static_cast<long long>(nowMs()),
             Task.c_str(), R.Number, Id.c_str());
    Heartbeat.stop();
    Running.clear();
    Ends.clear();
    LastEnded.clear();
    Holds.clear();
    NextEnd = 1;
    Token = 0;
    LeaseEnd = 0;
    Server.reset();
    printf("%lld runner %s crashed\n", static_cast<long long>(nowMs()),
           Id.c_str());
  }

  /// Starts a process that knows nothing of the one before.
  void restart(const std::string &NewKind) {
    Kind = NewKind;
    bool Bound = begin();
    printf("%lld runner %s restarted kind=%s listens=%d\n",
           static_cast<long long>(nowMs()), Id.c_str(), Kind.c_str(), Bound);
  }

  void advance() {
    int64_t Now = clockMs();
    bool Lapsed = Now >= LeaseEnd;
    std::vector<std::string> Over;
    for (const auto &[Task, R] : Running)
      if (Lapsed || nowMs() - R.Began >= R.Work || nowMs() >= R.StopAt)
        Over.push_back(Task);
    for (const std::string &Task : Over)
      end(Task, Lapsed                               ? "lapsed"
                : nowMs() >= Running.at(Task).StopAt ? "stopped"
                                                     : "done");
    std::vector<Held> Left;
    for (const Held &H : Holds)
      if (Ends.empty() && nowMs() < H.Until)
        Left.push_back(H);
      else
        Server->reply(H.Request, report());
    Holds = std::move(Left);
  }

private:
  struct Run {
    uint32_t Number = 0;
    int64_t Began = 0;
    int64_t Work = 0;
    int64_t StopAt = INT64_MAX; ///< When a stop takes effect.
  };
  struct Ended {
    uint64_t Number = 0;
    std::string Task;
    uint32_t Run = 0;
    std::string How;
  };
  struct Held {
    RequestId Request;
    int64_t Until = 0;
  };

  bool begin() {
    Server = std::make_unique<HttpServer>(Loop, HttpServerLimits{});
    Server->RequestReceived.connect(
        [this](const HttpRequest &R) { receive(R); });
    Result<Address> Bound = Server->listen(Endpoint);
    if (failed(Bound))
      return false;
    Endpoint = valueOf(Bound);
    Born = wallMs();
    ClockZero = nowMs();
    Sequence = 0;
    registerSelf();
    Heartbeat.startPeriodic(HeartbeatPeriod);
    return true;
  }

  int64_t clockMs() const {
    return static_cast<int64_t>(static_cast<double>(nowMs() - ClockZero) *
                                ClockSpeed) +
           1;
  }

  void registerSelf() {
    Json::Value R(Json::objectValue);
    R["service"] = "swapdesk";
    R["address"] = (Announced.Value.empty() ? Endpoint : Announced).Value;
    R["zone"] = Zone;
    R["version"] = "v1";
    R["slots"] = 8;
    R["state"] = Draining ? "draining" : "ready";
    R["cold_remaining_ms"] = 0;
    R["sequence"] = Json::UInt64(++Sequence);
    R["born"] = Json::Int64(Born);
    R["capacity"]["cpu"] = Json::Int64(Cpu);
    R["capacity"]["mem_mb"] = 262144;
    R["capacity"]["gpu"] = 0;
    R["labels"].append(Kind);
    R["labels"].append("r1-" + Id.substr(Id.size() - 1));
    if (Draining)
      R["drain_remaining_ms"] = 20000;
    Store.put("servers/" + Id, writeJson(R));
  }

  void receive(const HttpRequest &Request) {
    advance();
    Result<Json::Value> Parsed = parseJson(Request.Body);
    if (failed(Parsed) || !valueOf(Parsed).isObject())
      return Server->reply(Request.Id, {400, "{}"});
    if (Request.header("X-Snipeshunt-Expect-Instance") != Id)
      return Server->reply(Request.Id, answer(421, nullptr));
    const Json::Value &Body = valueOf(Parsed);
    uint64_t Received = Body["fencing_token"].asUInt64();
    if (Received < Token)
      return Server->reply(Request.Id, answer(409, "fence"));
    Token = Received;
    if (Request.Path == "/snipeshunt/run-start")
      Server->reply(Request.Id, start(Body));
    else if (Request.Path == "/snipeshunt/run-stop")
      Server->reply(Request.Id, stop(Body));
    else if (Request.Path == "/snipeshunt/hold")
      hold(Request.Id, Body);
    else
      Server->reply(Request.Id, {404, "{}"});
  }

  HttpReply answer(int Status, const char *Reason) const {
    Json::Value Body(Json::objectValue);
    Body["clock_ms"] = Json::Int64(clockMs());
    if (Reason)
      Body["reason"] = Reason;
    return jsonReply(Status, Body);
  }

  void prolong(const Json::Value &Body) {
    if (Body.isMember("deadline_ms"))
      LeaseEnd =
          std::max(LeaseEnd, std::min<int64_t>(Body["deadline_ms"].asInt64(),
                                               clockMs() + MaxLeaseMs));
  }

  HttpReply start(const Json::Value &Body) {
    std::string Task = Body["task"].asString();
    uint32_t Number = Body["run"].asUInt();
    if (Body["deadline_ms"].asInt64() <= clockMs())
      return answer(409, "late");
    auto Present = Running.find(Task);
    if (Present != Running.end() && Present->second.Number == Number) {
      prolong(Body);
      return answer(200, nullptr);
    }
    auto Last = LastEnded.find(Task);
    prolong(Body);
    if (Present != Running.end() ||
        (Last != LastEnded.end() && Number <= Last->second))
      return answer(409, "old");
    if (static_cast<int64_t>(Running.size() + 1) * TaskCpu > Cpu)
      return answer(409, "room");
    Running[Task] = {Number, nowMs(), workMs(Body["spec"].asString()),
                     INT64_MAX};
    printf("%lld start %s %u %s kind=%s state=%s spec=%s\n",
           static_cast<long long>(nowMs()), Task.c_str(), Number, Id.c_str(),
           Kind.c_str(), Draining ? "draining" : "ready",
           Body["spec"].asCString());
    return answer(200, nullptr);
  }

  HttpReply stop(const Json::Value &Body) {
    std::string Task = Body["task"].asString();
    uint32_t &Last = LastEnded[Task];
    Last = std::max(Last, Body["run"].asUInt());
    auto It = Running.find(Task);
    if (It != Running.end() && It->second.Number <= Last)
      It->second.StopAt = std::min(It->second.StopAt, nowMs() + StopTakesMs);
    return answer(200, nullptr);
  }

  void hold(RequestId Request, const Json::Value &Body) {
    prolong(Body);
    uint64_t Seen = Body["last_seen"].asUInt64();
    Ends.erase(
        std::remove_if(Ends.begin(), Ends.end(),
                       [Seen](const Ended &E) { return E.Number <= Seen; }),
        Ends.end());
    int64_t Wait = std::min<int64_t>(2000, Body["wait_ms"].asInt64());
    if (Wait <= 0 || !Ends.empty())
      return Server->reply(Request, report());
    Holds.push_back({Request, nowMs() + Wait});
  }

  void end(const std::string &Task, const char *How) {
    uint32_t Number = Running.at(Task).Number;
    Running.erase(Task);
    uint32_t &Last = LastEnded[Task];
    Last = std::max(Last, Number);
    Ends.push_back({NextEnd++, Task, Number, How});
    printf("%lld end %s %u %s %s\n", static_cast<long long>(nowMs()),
           Task.c_str(), Number, Id.c_str(), How);
  }

  HttpReply report() const {
    Json::Value Body(Json::objectValue);
    Body["clock_ms"] = Json::Int64(clockMs());
    Body["born"] = Json::Int64(Born);
    Body["running"] = Json::Value(Json::arrayValue);
    Body["finished"] = Json::Value(Json::arrayValue);
    for (const auto &[Task, R] : Running) {
      Json::Value Row(Json::arrayValue);
      Row.append(Task);
      Row.append(R.Number);
      Row.append("");
      Row.append(static_cast<int>(100 * (nowMs() - R.Began) /
                                  std::max<int64_t>(1, R.Work)));
      Row.append(Json::Int64(TaskCpu));
      Body["running"].append(Row);
    }
    for (const Ended &E : Ends) {
      if (Body["finished"].size() == 500)
        break;
      Json::Value Row(Json::arrayValue);
      Row.append(Json::UInt64(E.Number));
      Row.append(E.Task);
      Row.append(E.Run);
      Row.append(E.How);
      Row.append("");
      Body["finished"].append(Row);
    }
    return jsonReply(200, Body);
  }

  StoreStandin &Store;
  std::string Id;
  std::string Zone;
  std::string Kind;
  int64_t Cpu;     ///< Thousandths of a core.
  int64_t TaskCpu; ///< Need of each task, the same for all in a case.
  EventLoop &Loop;
  std::unique_ptr<HttpServer> Server; ///< Absent after a crash.
  Timer Step;
  Timer Heartbeat;
  Address Endpoint;
  Address Announced; ///< Empty: `Endpoint`.
  bool Draining = false;
  int64_t Born = 0;
  int64_t ClockZero = 0;
  uint64_t Sequence = 0;
  uint64_t Token = 0;
  int64_t LeaseEnd = 0;
  std::map<std::string, Run> Running;
  std::map<std::string, uint32_t> LastEnded;
  std::vector<Ended> Ends;
  uint64_t NextEnd = 1;
  std::vector<Held> Holds;
};

} // namespace

int main(int Argc, char **Argv) {
  bool Relayed = Argc > 1 && std::string(Argv[1]) == "--relayed";
  Argv += Relayed;
  Argc -= Relayed;
  if (Argc < 5) {
    fprintf(stderr,
            "Usage: platform [--relayed] IP:PORT ZONES TASK_CPU KIND...\n"
            "One runner of 64 cores for each KIND; their zones take "
            "turns. With --relayed, the runners' entries name the "
            "addresses of a relay.\n");
    return 2;
  }
  setvbuf(stdout, nullptr, _IOLBF, 0);
  std::string Listen = Argv[1];
  int Zones = std::atoi(Argv[2]);
  EventLoop Loop;
  StoreStandin Store(Loop);
  Store.put("op/config", Configuration);
  std::vector<std::unique_ptr<Runner>> Runners;
  for (int I = 4; I < Argc; ++I) {
    int N = I - 4;
    Runners.push_back(
        std::make_unique<Runner>(Loop, Store, "runner-" + std::to_string(N),
                                 "zone" + std::to_string(1 + N % Zones),
                                 Argv[I], 64000, std::atoll(Argv[3])));
    // Each runner has an address of its own, next to that of the store; that
    // of its relay follows 50 later.
    std::string Prefix = Listen.substr(0, Listen.rfind('.') + 1);
    if (Relayed)
      Runners.back()->announce({Prefix + std::to_string(150 + N) + ":8161"});
    if (!Runners.back()->listen(Prefix + std::to_string(100 + N)))
      return 2;
  }
  if (!Store.listen({Listen}))
    return 2;
  fcntl(STDIN_FILENO, F_SETFL, fcntl(STDIN_FILENO, F_GETFL) | O_NONBLOCK);
  std::string Input;
  Timer Commands(Loop, [&] {
    char Buffer[512];
    ssize_t Size = read(STDIN_FILENO, Buffer, sizeof(Buffer));
    if (Size > 0)
      Input.append(Buffer, static_cast<size_t>(Size));
    for (size_t At; (At = Input.find('\n')) != std::string::npos;) {
      std::istringstream Words(Input.substr(0, At));
      Input.erase(0, At + 1);
      std::string Verb;
      std::string Kind;
      size_t N = 0;
      Words >> Verb >> N;
      if (N >= Runners.size())
        continue;
      if (Verb == "drain")
        Runners[N]->drain();
      else if (Verb == "crash")
        Runners[N]->crash();
      else if (Verb == "restart" && Words >> Kind)
        Runners[N]->restart(Kind);
    }
  });
  Commands.startPeriodic(std::chrono::milliseconds(2));
  runUntilSignal(Loop);
  return 0;
}
