/// \file A fleet under faults with one recorded caller, for process tests.
#ifndef SNIPESHUNT_TESTS_PROCESS_FAULTED_FLEET_H
#define SNIPESHUNT_TESTS_PROCESS_FAULTED_FLEET_H

#include "core/json_func.h"
#include "fleet/recorded_caller.h"
#include "history/history_func.h"
#include "history/ticket_text.h"

#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <future>
#include <thread>

namespace snipeshunt {

/// Long enough that the speed of the machine decides nothing.
inline constexpr Duration Deadline = std::chrono::seconds(60);

inline FleetOptions fleetOptions(uint32_t Centres, uint32_t Instances,
                                 uint32_t Upstreams) {
  FleetOptions Options;
  Options.BinaryDir = BINARY_DIR;
  Options.Centres = Centres;
  Options.InstancesPerCentre = Instances;
  Options.UpstreamsPerCentre = Upstreams;
  Options.Relays = true;
  return Options;
}

/// Starts the fleet; its histories are checked at the end of the scope.
class FaultedFleet {
public:
  explicit FaultedFleet(FleetOptions Options)
      : F(std::move(Options)), Caller("caller", F.workDir() + "/caller") {
    Result<Ok> Started = F.start();
    Running = !failed(Started);
    EXPECT_TRUE(Running) << errorOf(Started).Message;
  }
  FaultedFleet(const FaultedFleet &) = delete;
  FaultedFleet &operator=(const FaultedFleet &) = delete;
  ~FaultedFleet() { expectGuarantees(); }

  void expectGuarantees() {
    if (!Running)
      return;
    Result<std::vector<GuaranteeReport>> Reports =
        checkFleet(F, {F.workDir() + "/caller"});
    ASSERT_FALSE(failed(Reports)) << errorOf(Reports).Message;
    EXPECT_FALSE(anyViolation(valueOf(Reports)))
        << formatReports(valueOf(Reports));
  }

  std::string ticket(size_t Home) {
    std::string Ticket = RecordedCaller::takeTicket(F.instance(Home));
    EXPECT_NE(Ticket, "") << "from instance " << Home;
    return Ticket;
  }

  CallerAnswer submit(size_t Via, const std::string &Ticket,
                      const RecordedJob &Job, Duration Limit = Deadline) {
    return Caller.submit(F.instance(Via), Ticket, Job, Limit);
  }

  std::future<CallerAnswer> submitAsync(size_t Via, const std::string &Ticket,
                                        const RecordedJob &Job) {
    return std::async(std::launch::async,
                      [=] { return submit(Via, Ticket, Job); });
  }

  /// What the upstreams recorded, of one job if \p Ticket is given.
  std::vector<HistoryUpstreamRecord>
  records(const std::string &Ticket = "") const {
    HistoryInput Input;
    for (const std::string &File : F.historyFiles()) {
      std::ifstream In(File);
      if (In)
        readUpstreamHistory(In, File, Input);
    }
    if (Ticket.empty())
      return Input.Upstreams;
    std::string Prefix = jobIdFromTicketText(Ticket).value_or("?") + "-";
    std::vector<HistoryUpstreamRecord> Out;
    for (const HistoryUpstreamRecord &Record : Input.Upstreams)
      if (Record.Task.compare(0, Prefix.size(), Prefix) == 0)
        Out.push_back(Record);
    return Out;
  }

  size_t count(const std::string &Ticket, HistoryUpstreamEvent Event) const {
    std::vector<HistoryUpstreamRecord> All = records(Ticket);
    return static_cast<size_t>(
        std::count_if(All.begin(), All.end(),
                      [&](const auto &R) { return R.Event == Event; }));
  }

  size_t starts(const std::string &Ticket) const {
    return count(Ticket, HistoryUpstreamEvent::Start);
  }

  bool waitForStart(const std::string &Ticket) const {
    return Fleet::waitUntil([&] { return starts(Ticket) > 0; }, Deadline);
  }

  bool waitForRoster() const {
    return Fleet::waitUntil([&] { return F.rosterComplete(); }, Deadline);
  }

  void setMode(size_t Upstream, const std::string &Mode, double Rate = 1) {
    EXPECT_FALSE(failed(postText(
        F.upstream(Upstream), "/v1/mode",
        "{\"mode\":\"" + Mode + "\",\"rate\":" + std::to_string(Rate) + "}")));
  }

  /// Gives every relay the rules that \p RulesOf says.
  void setRules(const std::function<std::string(size_t)> &RulesOf) {
    for (size_t I = 0; I < F.instances(); ++I)
      EXPECT_FALSE(failed(F.setRelayRules(I, RulesOf(I))));
  }

  /// Instance in charge of sending to \p Upstream.
  size_t senderOf(size_t Upstream) const {
    Result<std::string> Text = getText(F.directInstance(0), "/v1/upstreams");
    Json::Value List =
        failed(Text) ? Json::Value() : valueOf(parseJson(valueOf(Text)));
    for (const Json::Value &Entry : List["upstreams"])
      for (size_t I = 0; I < F.instances(); ++I)
        if (Entry["address"].asString() == F.upstream(Upstream).Value &&
            Entry["sender"].asString() == F.instance(I).Value)
          return I;
    return F.instances();
  }

  Fleet F;
  RecordedCaller Caller;
  bool Running = false;
};

/// Every task state that a failed answer gives must agree with the upstreams.
inline void expectStatesMatchUpstreams(const FaultedFleet &Fleet,
                                       const std::string &Ticket,
                                       const CallerAnswer &Answer) {
  std::map<std::string, std::set<HistoryUpstreamEvent>> Seen;
  for (const HistoryUpstreamRecord &Record : Fleet.records(Ticket))
    Seen[Record.Task].insert(Record.Event);
  std::string Prefix = jobIdFromTicketText(Ticket).value_or("?") + "-";
  for (const Json::Value &Task : Answer.Body["tasks"]) {
    std::string Key = Prefix;
    Key += Task["index"].asString();
    std::string State = Task["state"].asString();
    SCOPED_TRACE(testing::Message() << Key << " " << State);
    if (State == "not_started")
      EXPECT_EQ(Seen[Key].count(HistoryUpstreamEvent::Start), 0U);
    else if (State == "finished")
      EXPECT_EQ(Seen[Key].count(HistoryUpstreamEvent::Finish), 1U);
    else if (State == "failed")
      EXPECT_EQ(Seen[Key].count(HistoryUpstreamEvent::Fail), 1U);
    else
      EXPECT_EQ(State, "unknown");
  }
}

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_PROCESS_FAULTED_FLEET_H
