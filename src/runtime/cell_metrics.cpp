/// \file Metrics of an instance of a fleet of cells.
#include "runtime/cell_metrics.h"

#include "daemon/log.h"
#include "directory/directory_cmd.h"
#include "sender/capacity_func.h"

namespace snipeshunt {

namespace {

// Far longer than a collector takes.
constexpr std::chrono::seconds HeaderTimeout{15};

HttpServerLimits metricsLimits() {
  HttpServerLimits Limits;
  Limits.HeaderTimeout = HeaderTimeout;
  // The table of the connections limits their number.
  Limits.DescriptorCheckPeriod = {};
  return Limits;
}

} // namespace

CellMetrics::CellMetrics(CellDaemon &Owner)
    : Owner(Owner),
      Server(Owner.loop(), metricsLimits(), Owner.clientConnections()) {
  Server.HandlerFailed.connect(sigc::ptr_fun(CellDaemon::logHandlerFailure));
  Server.RequestReceived.connect([this](const HttpRequest &Request) {
    if (Request.Path != "/metrics")
      return Server.reply(Request.Id, {404, "{}"});
    Server.reply(Request.Id, {200, text(), "text/plain; version=0.0.4", {}});
  });
  Owner.effects().on<AnswerCaller>().connect([this](const AnswerCaller &E) {
    if (E.Took > Duration::zero())
      Values.observe("job_seconds", "Time from a job's request to its answer.",
                     "answer", answerStatusName(E.Status), toSeconds(E.Took));
  });
}

Result<Ok> CellMetrics::start() {
  const Address &Endpoint = Owner.state().Settings.Metrics;
  if (Endpoint.Value.empty())
    return Ok{};
  Result<Address> Bound = Server.listen(Endpoint);
  if (failed(Bound))
    return errorOf(Bound);
  return Ok{};
}

void CellMetrics::setEvacuationMetrics() {
  const FleetInstance &State = Owner.state();
  if (!State.Directory.Evacuation.Bound)
    return;
  const std::set<DataCentre> &Evacuated = State.Cells.Evacuated;
  // Ended evacuations stay on the page as 0.
  EvacuationsShown.insert(Evacuated.begin(), Evacuated.end());
  EvacuationsShown.insert(State.Settings.Self.Centre);
  for (const DataCentre &Centre : EvacuationsShown)
    Values.setGauge("evacuated", "1 while no task is started there.",
                    "data_centre", Centre.Value,
                    Evacuated.count(Centre) ? 1 : 0);
  Values.setCounter("starts_withheld_total",
                    "Tasks not started here because of an evacuation, or "
                    "before the evacuations were known.",
                    State.Sender.Counts.StartsWithheld);
}

void CellMetrics::setShares(const QueueShares &Shares) {
  if (!Shares.Enabled)
    return;
  Values.setGauge("overload", "1 while the shares of queues are in force here.",
                  Shares.Overloaded ? 1 : 0);
  Values.setCounter("overloads_total", "Overloads of this sender.",
                    Shares.Overloads);
  for (const auto &[Name, Queue] : Shares.Queues) {
    // There are up to a thousand queues, and few of them are ever overloaded.
    if (Queue.OfferedTotal <= 0)
      continue;
    auto SetWork = [&, &Label = Name](const char *Metric, const char *Help,
                                      double Work) {
      Values.setCounter(Metric, Help, "queue", Label,
                        static_cast<uint64_t>(Work));
    };
    SetWork("overload_offered_work_total",
            "Work offered during overloads, in thousandths of core-seconds.",
            Queue.OfferedTotal);
    SetWork("overload_admitted_work_total", "Of that, admitted work.",
            Queue.AdmittedTotal);
    SetWork("overload_refused_work_total", "Of that, rejected work.",
            Queue.RejectedTotal);
    Values.setGauge("queue_share_cores",
                    "Share of the queue in this sender's capacity.", "queue",
                    Name, Queue.Share / 1000);
  }
}

std::string CellMetrics::text() {
  const FleetInstance &State = Owner.state();
  const EntryCounters &E = State.Entry.Counts;
  Values.setCounter("entry_jobs_total", "Jobs that callers submitted here.",
                    E.Submitted);
  Values.setCounter("entry_done_total", "Jobs answered as done.", E.Done);
  Values.setCounter("entry_failed_total", "Jobs answered as failed.", E.Failed);
  Values.setCounter("entry_refused_total", "Jobs rejected before any start.",
                    E.Rejected);
  Values.setCounter("entry_lost_total", "Jobs abandoned after a start.",
                    E.Lost);
  Values.setCounter("entry_expired_total",
                    "Jobs whose deadline passed after a start.", E.Expired);
  Values.setCounter("entry_cancelled_total",
                    "Submissions answered as cancelled by a caller.",
                    E.Cancelled);
  Values.setCounter("entry_hung_up_total",
                    "Callers that disconnected before the answer.",
                    E.Disconnected);
  Values.setCounter("entry_forwards_total", "Jobs forwarded to senders.",
                    E.Forwarded);
  Values.setCounter("entry_results_fetched_total",
                    "Results fetched because a sender's answer was lost.",
                    E.Fetched);
  const OpenJobState &Elsewhere = State.Entry.Elsewhere;
  Values.setCounter("entry_questions_total",
                    "Queries and cancels of jobs that were not open here.",
                    Elsewhere.Asked);
  Values.setCounter("entry_questions_unresolved_total",
                    "Of these, answered 503 because it was not known whether "
                    "the job was open.",
                    Elsewhere.Unresolved);
  const SenderCounters &S = State.Sender.Counts;
  Values.setCounter("sender_jobs_total", "Jobs admitted by this sender.",
                    S.JobsAccepted);
  Values.setCounter("sender_refused_total", "Jobs rejected by this sender.",
                    S.JobsRejected);
  Values.setCounter("sender_refused_memory_limit_total",
                    "Of these, rejected because the memory for jobs was in "
                    "use.",
                    S.JobsOutOfMemory);
  Values.setGauge("sender_job_memory_bytes",
                  "Memory of the jobs that this sender has admitted.",
                  static_cast<double>(State.Sender.JobMemory));
  Values.setCounter("sender_lost_total",
                    "Jobs abandoned by this sender after a start.", S.JobsLost);
  Values.setCounter("runs_started_total", "Runs ordered.", S.RunsStarted);
  Values.setCounter("runs_done_total", "Runs that succeeded.", S.RunsDone);
  Values.setCounter("runs_failed_total", "Runs that failed.", S.RunsFailed);
  Values.setCounter("runs_rejected_total", "Starts that were not accepted.",
                    S.RunsRejected);
  Values.setCounter("runs_stuck_total", "Runs stopped because they stalled.",
                    S.RunsStalled);
  Values.setCounter("upstream_crashes_total",
                    "Upstreams that crashed with runs of this sender.",
                    S.UpstreamCrashes);
  Values.setCounter("crashes_in_progress_total",
                    "Crashes under a task that was in progress.",
                    S.CrashesInProgress);
  Values.setCounter("crashes_possible_total",
                    "Crashes that may have been under a task.",
                    S.CrashesPossible);
  Values.setCounter("renewals_total", "Lease renewals sent.", S.Renewals);
  Values.setCounter("pings_total", "Pings sent to peers.",
                    State.Cells.Counts.PingsSent);
  Values.setCounter("log_dropped_total", "Log lines dropped.",
                    droppedLogLines() + Owner.logLimiter().omitted());
  setShares(State.Sender.Shares);
  SenderLoad Load = senderLoad(State.Sender, Owner.clock().steadyNow());
  Values.setGauge("queue_delay_seconds",
                  "Expected wait of a new job at this sender.",
                  toSeconds(Load.Delay));
  Values.setGauge("free_cpu_millis",
                  "Free CPU of its upstreams, in thousandths of a core.",
                  static_cast<double>(Load.FreeCpu));
  Values.setGauge("jobs_waiting", "Jobs with waiting tasks.", Load.Waiting);
  Values.setGauge("upstreams", "Upstreams that this instance sends to.",
                  static_cast<double>(State.Sender.Upstreams.size()));
  Values.setGauge("cells", "Cells that this instance is the sender of.",
                  static_cast<double>(State.Cells.Claims.size()));
  Values.setGauge("peers", "Other instances in the peer list.",
                  static_cast<double>(State.Cells.Peers.size()));
  Values.setGauge(
      "configuration_version", "Version of the configuration in force.",
      State.Directory.Configuration
          ? static_cast<double>(State.Directory.Configuration->Version)
          : 0);
  Values.setGauge("store_unreadable_records",
                  "Records of the store that were skipped in the last reads.",
                  static_cast<double>(unreadableRecords(State.Directory)));
  setEvacuationMetrics();
  addConnections("client_", Owner.clientConnections());
  addConnections("peer_", Owner.peerConnections());
  Values.setGauge("ready", "1 if callers should be sent here.",
                  Owner.ready() ? 1 : 0);
  return Values.text();
}

void CellMetrics::addConnections(const std::string &Prefix,
                                 const ConnectionTable &Table) {
  const ConnectionCounts &C = Table.counts();
  Values.setGauge(Prefix + "connections", "Open incoming connections.",
                  static_cast<double>(Table.connections()));
  Values.setGauge(Prefix + "buffered_bytes",
                  "Memory that their requests and responses take, estimated.",
                  static_cast<double>(Table.bytes()));
  Values.setCounter(Prefix + "closed_header_timeout_total",
                    "Connections closed because a header took too long.",
                    C.HeaderTimeouts);
  Values.setCounter(Prefix + "closed_connection_limit_total",
                    "Connections closed for newer ones at the limit.",
                    C.OutOfRoom);
  Values.setCounter(Prefix + "closed_memory_limit_total",
                    "Connections closed because they held too many bytes.",
                    C.OutOfMemory);
  Values.setCounter(Prefix + "rejected_memory_limit_total",
                    "Requests rejected because of their size.", C.Rejected);
}

} // namespace snipeshunt
