/// \file Measurements of configuration and membership on processes. They check
/// no bounds and are run by hand: snipeshunt-measure --gtest_filter=NAME.
#include "configuration_fleet.h"

#include "configuration/configuration_cmd.h"
#include "http/event_loop.h"
#include "http/http_server.h"
#include "rpc/rpc_codec.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace snipeshunt {
namespace {

int64_t wallUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Returns the number of requests to the platform so far, by kind.
std::map<std::string, uint64_t> calls(const ConfigurationFleet &C) {
  std::map<std::string, uint64_t> Out;
  Json::Value V =
      valueOf(parseJson(valueOf(getText(C.F.platform(), "/v1/calls"))));
  for (const std::string &Name : V.getMemberNames())
    Out[Name] = V[Name].asUInt64();
  return Out;
}

void printCalls(const char *Phase, size_t Instances, double Seconds,
                const std::map<std::string, uint64_t> &Before,
                const std::map<std::string, uint64_t> &After) {
  printf("%zu instances, %s, %.1f s:", Instances, Phase, Seconds);
  for (const auto &[Name, Count] : After) {
    auto It = Before.find(Name);
    uint64_t Rise = Count - (It == Before.end() ? 0 : It->second);
    printf(" %s %.2f/s (%.3f per instance)", Name.c_str(), Rise / Seconds,
           Rise / Seconds / static_cast<double>(Instances));
  }
  printf("\n");
}

/// Returns wall time, in microseconds, and detail of the timeline events of
/// \p Kind at instance \p At.
std::vector<std::pair<int64_t, std::string>>
events(const ConfigurationFleet &C, size_t At, const char *Kind) {
  std::vector<std::pair<int64_t, std::string>> Out;
  const Json::Value V = C.view(At, "/v1/timeline");
  for (const Json::Value &Event : V["events"])
    if (Event["kind"] == Kind)
      Out.emplace_back(Event["wall_us"].asInt64(), Event["detail"].asString());
  return Out;
}

/// Prints minimum, median and maximum of \p Us, which are in microseconds.
void printSpread(const char *Name, std::vector<int64_t> Us) {
  std::sort(Us.begin(), Us.end());
  if (Us.empty())
    printf("%s: none\n", Name);
  else
    printf("%s: %zu values, min %.1f ms, p50 %.1f ms, max %.1f ms\n", Name,
           Us.size(), Us.front() / 1e3, Us[Us.size() / 2] / 1e3,
           Us.back() / 1e3);
}

// Requests to the platform, idle and during changes, and the time until a
// change is in force on all instances.
TEST(Measurement, Configuration) {
  constexpr int Changes = 50;
  for (uint32_t PerCentre = 1; PerCentre <= 3; ++PerCentre) {
    ConfigurationFleet C(3, PerCentre);
    uint64_t Number = C.change();
    ASSERT_TRUE(C.inForceEverywhere(Number));
    auto Before = calls(C);
    std::this_thread::sleep_for(std::chrono::seconds(30));
    printCalls("idle", C.F.instances(), 30, Before, calls(C));
    Before = calls(C);
    SteadyTime Begin = std::chrono::steady_clock::now();
    std::map<uint64_t, int64_t> Sent;
    for (int Change = 0; Change < Changes; ++Change) {
      Configuration Old =
          valueOf(parseConfiguration(C.view(0)["text"].asString()));
      Configuration New = Old;
      New.Defaults.RetryBurst = 100 + Change;
      char Id[17];
      snprintf(Id, sizeof(Id), "%016d", Change + 1);
      New.Change = {{Id}, "measurement", "2025-01-31T12:00:00Z"};
      EtcdRequest Request = swapRequest(Old, {Number}, New);
      int64_t Start = wallUs();
      Result<std::string> Reply =
          postText(C.F.platform(), Request.Path, Request.Body);
      ASSERT_FALSE(failed(Reply));
      Number = valueOf(parseSwapReply(valueOf(Reply))).StoreRevision.Value;
      Sent[Number] = Start;
      ASSERT_TRUE(C.inForceEverywhere(Number));
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    double Seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
            .count();
    printCalls("50 changes", C.F.instances(), Seconds, Before, calls(C));
    std::map<uint64_t, int64_t> Last;
    for (size_t I = 0; I < C.F.instances(); ++I)
      for (const auto &[Wall, Detail] : events(C, I, "configuration_applied")) {
        uint64_t Revision = std::stoull(Detail.substr(9));
        Last[Revision] = std::max(Last[Revision], Wall);
      }
    std::vector<int64_t> Times;
    Times.reserve(Sent.size());
    for (const auto &[Revision, Start] : Sent)
      Times.push_back(Last[Revision] - Start);
    printSpread("  from sending the change to the last instance in force",
                Times);
  }
}

// Sizes of a heartbeat and of its replies.
TEST(Measurement, HeartbeatBytes) {
  ConfigurationFleet C(3, 3);
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Result<Address> Bound = Server.listen({"127.0.0.1:0"});
  ASSERT_FALSE(failed(Bound));
  std::vector<size_t> Sizes;
  Server.RequestReceived.connect([&](const HttpRequest &Request) {
    size_t Size = Request.Method.size() + Request.Path.size() + 12;
    for (const auto &[Name, Value] : Request.Headers)
      Size += Name.size() + Value.size() + 4;
    Sizes.push_back(Size + 2 + Request.Body.size());
    if (Sizes.size() == 1)
      printf("heartbeat request: %s\n", Request.Body.c_str());
    Server.drop(Request.Id);
  });
  Json::Value List = valueOf(
      parseJson(R"({"instances":[{"address":")" + valueOf(Bound).Value +
                R"(","data_centre":"dc1","state":"live"}],"upstreams":[]})"));
  ASSERT_FALSE(failed(postText(C.F.platform(), "/v1/list", writeJson(List))));
  SteadyTime End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (std::chrono::steady_clock::now() < End)
    Loop.runFor(std::chrono::milliseconds(50));
  ASSERT_FALSE(Sizes.empty());
  printf("heartbeat request: %zu seen, %zu bytes with headers\n", Sizes.size(),
         Sizes.back());
  HttpCall Call;
  Call.Target = C.F.directInstance(0);
  Call.Method = "POST";
  Call.Path = "/rpc";
  Heartbeat Own;
  Own.Location = {valueOf(Bound), {"dc1"}};
  Own.Incarnation = {1};
  Call.Body = encodeRpcRequest("member.heartbeat", encodeHeartbeat(Own));
  // The first reply lists the members, the second does not.
  for (const char *Name : {"first", "next"}) {
    HttpOutcome Outcome = callOnce(Call);
    const auto *Reply = std::get_if<HttpReply>(&Outcome);
    ASSERT_TRUE(Reply);
    size_t Size = 17 + 2 + Reply->Body.size();
    for (const auto &[Key, Value] : Reply->Headers)
      Size += Key.size() + Value.size() + 4;
    printf("%s heartbeat reply: %zu bytes with headers\n", Name, Size);
  }
}

/// Pauses instance 0 repeatedly, or kills it if \p Pause is zero, and prints
/// how long after the fault the others suspect it and consider it dead.
void measureFault(ConfigurationFleet &C, const char *Name, int Trials,
                  Duration Pause) {
  std::vector<int64_t> Suspected;
  std::vector<int64_t> Dead;
  for (int Trial = 0; Trial < Trials; ++Trial) {
    int64_t Begin = wallUs();
    if (Pause == Duration::zero()) {
      C.F.process(FleetRole::Instance, 0).kill();
      std::this_thread::sleep_for(std::chrono::seconds(5));
    } else {
      C.F.process(FleetRole::Instance, 0).signal(SIGSTOP);
      std::this_thread::sleep_for(Pause);
      C.F.process(FleetRole::Instance, 0).signal(SIGCONT);
      std::this_thread::sleep_for(std::chrono::seconds(2));
    }
    for (size_t I = 1; I < C.F.instances(); ++I) {
      for (const auto &Event : events(C, I, "member_suspected"))
        if (Event.first >= Begin)
          Suspected.push_back(Event.first - Begin);
      for (const auto &Event : events(C, I, "member_dead"))
        if (Event.first >= Begin)
          Dead.push_back(Event.first - Begin);
    }
    if (Pause == Duration::zero()) {
      (void)C.F.restart(FleetRole::Instance, 0);
      std::this_thread::sleep_for(std::chrono::seconds(2));
    }
  }
  printf("%s, %d trials, 8 observers\n", Name, Trials);
  printSpread("  suspected after", Suspected);
  printSpread("  dead after", Dead);
  size_t OwnSuspicions = events(C, 0, "member_suspected").size() +
                         events(C, 0, "member_dead").size();
  printf("  suspicions of the faulted instance about its peers: %zu\n",
         OwnSuspicions);
}

// Time until a paused or killed instance is suspected and considered dead.
TEST(Measurement, Detection) {
  ConfigurationFleet C(3, 3);
  measureFault(C, "paused 1 s", 10, std::chrono::seconds(1));
  measureFault(C, "paused 2 s", 10, std::chrono::seconds(2));
  measureFault(C, "killed", 10, Duration::zero());
}

} // namespace
} // namespace snipeshunt
