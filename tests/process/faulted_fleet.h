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

/// Long, so that a loaded machine does not fail a test.
inline constexpr Duration Deadline = std::chrono::seconds(60);

/// Options of a fleet with relays; sizes are per data centre.
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

/// Starts a fleet and checks its histories on destruction. Tests must return
/// if `Running` is false.
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

  /// Checks the histories recorded so far.
  void expectGuarantees() {
    if (!Running)
      return;
    Result<std::vector<GuaranteeReport>> Reports =
        checkFleet(F, {F.workDir() + "/caller"});
    ASSERT_FALSE(failed(Reports)) << errorOf(Reports).Message;
    EXPECT_FALSE(anyViolation(valueOf(Reports)))
        << formatReports(valueOf(Reports));
  }

  /// Requests a ticket from instance \p Home, which becomes the job's home.
  std::string ticket(size_t Home) {
    std::string Ticket = RecordedCaller::takeTicket(F.instance(Home));
    EXPECT_NE(Ticket, "") << "from instance " << Home;
    return Ticket;
  }

  /// Submits to instance \p Via and blocks until the answer.
  CallerAnswer submit(size_t Via, const std::string &Ticket,
                      const RecordedJob &Job, Duration Limit = Deadline) {
    return Caller.submit(F.instance(Via), Ticket, Job, Limit);
  }

  /// Submits to instance \p Via in another thread.
  std::future<CallerAnswer> submitAsync(size_t Via, const std::string &Ticket,
                                        const RecordedJob &Job) {
    return std::async(std::launch::async,
                      [=] { return submit(Via, Ticket, Job); });
  }

  /// Returns the records of all upstreams; of one job if \p Ticket is given.
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

  /// Returns the number of records of \p Event of one job.
  size_t count(const std::string &Ticket, HistoryUpstreamEvent Event) const {
    std::vector<HistoryUpstreamRecord> All = records(Ticket);
    return static_cast<size_t>(
        std::count_if(All.begin(), All.end(),
                      [&](const auto &R) { return R.Event == Event; }));
  }

  /// Returns the number of task starts of one job.
  size_t starts(const std::string &Ticket) const {
    return count(Ticket, HistoryUpstreamEvent::Start);
  }

  /// Waits for the first task start of a job; returns false on time-out.
  bool waitForStart(const std::string &Ticket) const {
    return Fleet::waitUntil([&] { return starts(Ticket) > 0; }, Deadline);
  }

  /// Waits until every instance reports all as live; returns false on time-out.
  bool waitForRoster() const {
    return Fleet::waitUntil([&] { return F.rosterComplete(); }, Deadline);
  }

  /// Sets the mode of a stand-in upstream, such as `leaving`. \p Rate is the
  /// share of requests that it affects.
  void setMode(size_t Upstream, const std::string &Mode, double Rate = 1) {
    EXPECT_FALSE(failed(postText(
        F.upstream(Upstream), "/v1/mode",
        "{\"mode\":\"" + Mode + "\",\"rate\":" + std::to_string(Rate) + "}")));
  }

  /// Replaces the rules of each relay I by the JSON array \p RulesOf(I).
  void setRules(const std::function<std::string(size_t)> &RulesOf) {
    for (size_t I = 0; I < F.instances(); ++I)
      EXPECT_FALSE(failed(F.setRelayRules(I, RulesOf(I))));
  }

  /// Returns the index of the sender of \p Upstream; the number of instances if
  /// there is none.
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

/// Expects each task state in a failed answer to agree with the records of the
/// upstreams.
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
