/// \file Configuration of a fleet under faults: each accepted revision comes
/// into force on every reachable instance, and no instance goes back to an
/// earlier one.
#include "configuration_fleet.h"

#include <csignal>
#include <future>
#include <thread>

namespace snipeshunt {
namespace {

std::string cutRule(const std::string &Ip) {
  return R"({"from":")" + Ip + R"(","action":"cut"})";
}

/// Cuts data centre \p Centre off from the platform and, unless \p Peers is
/// false, from the other data centres in both directions.
void cutCentre(ConfigurationFleet &C, const std::string &Centre, bool Peers) {
  std::string Inside;
  std::string Outside;
  for (size_t I = 0; I < C.F.instances(); ++I) {
    bool In = C.F.centreOf(FleetRole::Instance, I) == Centre;
    std::string &List = In ? Inside : Outside;
    List += (List.empty() ? "" : ",") + cutRule(C.F.instanceIp(I));
  }
  ASSERT_FALSE(failed(C.F.setPlatformRules("[" + Inside + "]")));
  for (size_t I = 0; Peers && I < C.F.instances(); ++I) {
    bool In = C.F.centreOf(FleetRole::Instance, I) == Centre;
    ASSERT_FALSE(
        failed(C.F.setRelayRules(I, "[" + (In ? Outside : Inside) + "]")));
  }
}

void healCuts(ConfigurationFleet &C, bool Peers) {
  ASSERT_FALSE(failed(C.F.setPlatformRules("[]")));
  for (size_t I = 0; Peers && I < C.F.instances(); ++I)
    ASSERT_FALSE(failed(C.F.setRelayRules(I, "[]")));
}

/// A fault of the instance that watches the configuration.
struct WatcherFault {
  const char *Name;
  bool Unreachable; ///< The instance does not answer during the fault.
  std::function<void(ConfigurationFleet &, size_t)> Begin;
  std::function<void(ConfigurationFleet &, size_t)> End;
};

const WatcherFault WatcherFaults[] = {
    {"cut from the platform", false,
     [](ConfigurationFleet &C, size_t I) {
       (void)C.F.setPlatformRules("[" + cutRule(C.F.instanceIp(I)) + "]");
     },
     [](ConfigurationFleet &C, size_t) { (void)C.F.setPlatformRules("[]"); }},
    {"frozen", true,
     [](ConfigurationFleet &C, size_t I) {
       C.F.process(FleetRole::Instance, I).signal(SIGSTOP);
     },
     [](ConfigurationFleet &C, size_t I) {
       C.F.process(FleetRole::Instance, I).signal(SIGCONT);
     }},
    {"killed", true,
     [](ConfigurationFleet &C, size_t I) {
       C.F.process(FleetRole::Instance, I).kill();
     },
     [](ConfigurationFleet &C, size_t I) {
       (void)C.F.restart(FleetRole::Instance, I);
     }},
};

// Guards against a data centre without a watcher. With a single data centre,
// the revision can't arrive from another one.
TEST(ConfigurationProcessTest, AnotherInstanceWatchesWhenWatcherFails) {
  ConfigurationFleet C(1, 3);
  EXPECT_TRUE(C.inForceEverywhere(C.change()));
  for (const WatcherFault &Fault : WatcherFaults) {
    SCOPED_TRACE(Fault.Name);
    size_t Faulty = C.watcher("dc1");
    C.collect(Faulty);
    Fault.Begin(C, Faulty);
    ConfigurationFleet::Excluded Unreachable;
    if (Fault.Unreachable)
      Unreachable = {Faulty};
    for (int Change = 0; Change < 2; ++Change)
      EXPECT_TRUE(C.inForceEverywhere(C.change(), Unreachable));
    EXPECT_NE(C.watcher("dc1", {Faulty}), Faulty);
    Fault.End(C, Faulty);
    EXPECT_TRUE(C.inForceEverywhere(C.change()));
  }
  C.checkNoRollback();
}

// Guards against a frozen instance that keeps an old revision or spreads it
// after it resumes.
TEST(ConfigurationProcessTest, FrozenInstanceCatchesUp) {
  ConfigurationFleet C(1, 3);
  EXPECT_TRUE(C.inForceEverywhere(C.change()));
  size_t Frozen = (C.watcher("dc1") + 1) % 3;
  C.F.process(FleetRole::Instance, Frozen).signal(SIGSTOP);
  EXPECT_TRUE(C.inForceEverywhere(C.change(), {Frozen}));
  uint64_t Last = C.change();
  std::this_thread::sleep_for(std::chrono::seconds(5));
  C.F.process(FleetRole::Instance, Frozen).signal(SIGCONT);
  EXPECT_TRUE(C.inForceEverywhere(Last));
  C.checkNoRollback();
}

// Guards against instances that lose the configuration or can't start while the
// service is unreachable, and against changes lost to a slow service.
TEST(ConfigurationProcessTest, SurvivesOutageAndSlowService) {
  ConfigurationFleet C(2, 2);
  uint64_t Before = C.change();
  EXPECT_TRUE(C.inForceEverywhere(Before));
  C.platformFaults(R"({"outage":true})");
  EXPECT_EQ(C.tool("get").Exit, 3);
  C.collect(1);
  ASSERT_FALSE(failed(C.F.restart(FleetRole::Instance, 1)));
  EXPECT_TRUE(C.inForceEverywhere(Before))
      << "fetched from peers after the restart";
  std::this_thread::sleep_for(std::chrono::seconds(6));
  EXPECT_TRUE(C.inForceEverywhere(Before));
  C.platformFaults(R"({"delay_ms":3000})");
  EXPECT_TRUE(C.inForceEverywhere(C.change()));
  C.platformFaults("{}");
  EXPECT_TRUE(C.inForceEverywhere(C.change()));
  C.checkNoRollback();
}

// Guards against a change whose answer is lost being applied twice or reported
// as failed although it was applied.
TEST(ConfigurationProcessTest, LostAnswerIsLookedUp) {
  ConfigurationFleet C(1, 2);
  EXPECT_TRUE(C.inForceEverywhere(C.change()));
  C.platformFaults(R"({"lose_answers":true})");
  uint64_t Number = C.change();
  EXPECT_TRUE(C.inForceEverywhere(Number));
  C.platformFaults("{}");
  std::string History = C.tool("history").Output;
  size_t Entries = 0;
  for (size_t At = History.find("  change "); At != std::string::npos;
       At = History.find("  change ", At + 1))
    ++Entries;
  EXPECT_EQ(Entries, 2U) << History;
  EXPECT_EQ(C.tool("status").Exit, 0);
  C.checkNoRollback();
}

// Guards against one operator's change silently overwriting another's.
TEST(ConfigurationProcessTest, OneOfTwoRacingOperatorsGetsAConflict) {
  ConfigurationFleet C(1, 2);
  EXPECT_TRUE(C.inForceEverywhere(C.change()));
  std::string File = C.F.workDir() + "/base.json";
  // Slow answers let both read the document before either changes it.
  C.platformFaults(R"({"delay_ms":300})");
  for (int Round = 0; Round < 5; ++Round) {
    std::ofstream(File) << C.tool("get").Output;
    auto Set = [&](const char *Author) {
      return C.tool("set " + File + " --author " + Author);
    };
    auto Other = std::async(std::launch::async, Set, "ana");
    ToolRun First = Set("ben");
    ToolRun Second = Other.get();
    EXPECT_EQ(First.Exit + Second.Exit, 1) << First.Output << Second.Output;
    const ToolRun &Winner = First.Exit == 0 ? First : Second;
    const ToolRun &Loser = First.Exit == 0 ? Second : First;
    std::string Id = Winner.Output.substr(Winner.Output.find("change "), 23);
    EXPECT_NE(Loser.Output.find(Id + " by "), std::string::npos)
        << Winner.Output << Loser.Output;
    EXPECT_NE(Loser.Output.find("snipeshunt config get"), std::string::npos);
    EXPECT_TRUE(C.inForceEverywhere(Winner.revision()));
  }
  C.checkNoRollback();
}

// Guards against a data centre that keeps an old revision after a partition,
// and against one that can't reach only the platform not fetching from its
// peers.
TEST(ConfigurationProcessTest, CutDataCentreCatchesUp) {
  ConfigurationFleet C(2, 2, /*Relays=*/true);
  uint64_t Before = C.change();
  EXPECT_TRUE(C.inForceEverywhere(Before));
  cutCentre(C, "dc1", /*Peers=*/false);
  // A watch that is already open at the relay may still deliver one change.
  EXPECT_TRUE(
      C.waitForAll({2, 3}, [&](size_t I) { return !C.platformReachable(I); }));
  uint64_t ByPeers = C.change();
  EXPECT_TRUE(C.inForceEverywhere(ByPeers))
      << "fetched from the other data centre";
  cutCentre(C, "dc1", /*Peers=*/true);
  uint64_t Outside = C.change();
  EXPECT_TRUE(C.inForceEverywhere(Outside, {0, 1}));
  C.collect(0);
  ASSERT_FALSE(failed(C.F.restart(FleetRole::Instance, 0)));
  EXPECT_TRUE(C.inForceEverywhere(ByPeers, {2, 3}))
      << "fetched after a restart during the cut";
  healCuts(C, /*Peers=*/true);
  EXPECT_TRUE(C.inForceEverywhere(Outside));
  EXPECT_TRUE(C.inForceEverywhere(C.change()));
  C.checkNoRollback();
}

// Guards against an unreadable document coming into force or being rejected
// without a report.
TEST(ConfigurationProcessTest, UnreadableDocumentIsReported) {
  ConfigurationFleet C(2, 2);
  uint64_t Good = C.change();
  EXPECT_TRUE(C.inForceEverywhere(Good));
  std::string Base = C.F.workDir() + "/good.json";
  std::ofstream(Base) << C.tool("get").Output;
  C.putRaw("{\"defaults\":");
  for (const char *Centre : {"dc1", "dc2"}) {
    size_t I = C.watcher(Centre);
    ASSERT_TRUE(Fleet::waitUntil([&] { return C.rejected(I) == Good + 1; },
                                 TestDeadline));
    EXPECT_NE(C.logText(I).find("configuration: rejected"), std::string::npos);
    Result<std::string> Metrics = getText(C.F.directInstance(I), "/metrics");
    ASSERT_FALSE(failed(Metrics));
    EXPECT_NE(valueOf(Metrics).find("configuration_rejected_revision " +
                                    std::to_string(Good + 1)),
              std::string::npos);
  }
  EXPECT_TRUE(C.inForceEverywhere(Good));
  ToolRun Status = C.tool("status");
  EXPECT_EQ(Status.Exit, 1) << Status.Output;
  EXPECT_NE(Status.Output.find("rejected revision"), std::string::npos);
  EXPECT_NE(C.tool("exceptions remove team1").Exit, 0);
  EXPECT_TRUE(C.inForceEverywhere(C.tool("set " + Base).revision()));
  Status = C.tool("status");
  EXPECT_EQ(Status.Exit, 0) << Status.Output;
  C.checkNoRollback();
}

// Guards against a deleted key or a service that lost its data causing a return
// to an older revision or to the built-in defaults.
TEST(ConfigurationProcessTest, ServiceThatLostItsDataChangesNothing) {
  ConfigurationFleet C(1, 2);
  C.change();
  C.change();
  uint64_t Last = C.change();
  EXPECT_TRUE(C.inForceEverywhere(Last));
  size_t Watcher = C.watcher("dc1");
  Json::Value Key;
  Key["key"] = encodeBase64(ConfigurationKey);
  ASSERT_FALSE(
      failed(postText(C.F.platform(), "/v3/kv/deleterange", writeJson(Key))));
  auto Logs = [&](const char *Text) {
    return Fleet::waitUntil(
        [&] { return C.logText(Watcher).find(Text) != std::string::npos; },
        TestDeadline);
  };
  EXPECT_TRUE(Logs("the configuration was deleted"));
  EXPECT_TRUE(C.inForceEverywhere(Last));
  std::string Old = C.view(0)["text"].asString();
  ASSERT_FALSE(failed(C.F.restart(FleetRole::Platform)));
  EXPECT_TRUE(Fleet::waitUntil(
      [&] { return !failed(getText(C.F.platform(), "/v1/calls")); },
      TestDeadline));
  C.putRaw(Old);
  Watcher = C.watcher("dc1");
  EXPECT_TRUE(Logs("the service has configuration revision"));
  EXPECT_TRUE(C.inForceEverywhere(Last));
  C.checkNoRollback();
}

} // namespace
} // namespace snipeshunt
