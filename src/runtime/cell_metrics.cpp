/// \file Metrics of an instance of a fleet of cells.
#include "runtime/cell_metrics.h"

#include "daemon/log.h"
#include "sender/job_cmd.h"

namespace snipeshunt {

namespace {

HttpServerLimits metricsLimits() {
  HttpServerLimits Limits;
  // Only the operators' metrics collector connects here, so the number of
  // connections is not limited.
  Limits.DescriptorCheckPeriod = {};
  return Limits;
}

} // namespace

CellMetrics::CellMetrics(CellDaemon &Owner)
    : Owner(Owner), Server(Owner.loop(), metricsLimits()) {
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

std::string CellMetrics::text() {
  const FleetInstance &State = Owner.state();
  const EntryCounters &E = State.Entry.Counts;
  Values.count("entry_jobs_total", "Jobs that callers submitted here.",
               E.Submitted);
  Values.count("entry_done_total", "Jobs answered as done.", E.Done);
  Values.count("entry_failed_total", "Jobs answered as failed.", E.Failed);
  Values.count("entry_refused_total", "Jobs rejected before any start.",
               E.Rejected);
  Values.count("entry_lost_total", "Jobs abandoned after a start.", E.Lost);
  Values.count("entry_expired_total",
               "Jobs whose deadline passed after a start.", E.Expired);
  Values.count("entry_hung_up_total",
               "Callers that disconnected before the answer.", E.Disconnected);
  Values.count("entry_forwards_total", "Jobs forwarded to senders.",
               E.Forwarded);
  const SenderCounters &S = State.Sender.Counts;
  Values.count("sender_jobs_total", "Jobs admitted by this sender.",
               S.JobsAccepted);
  Values.count("sender_refused_total", "Jobs rejected by this sender.",
               S.JobsRejected);
  Values.count("sender_lost_total",
               "Jobs abandoned by this sender after a start.", S.JobsLost);
  Values.count("runs_started_total", "Runs ordered.", S.RunsStarted);
  Values.count("runs_done_total", "Runs that succeeded.", S.RunsDone);
  Values.count("runs_failed_total", "Runs that failed.", S.RunsFailed);
  Values.count("runs_rejected_total", "Starts that were not accepted.",
               S.RunsRejected);
  Values.count("runs_stuck_total", "Runs stopped because they stalled.",
               S.RunsStalled);
  Values.count("renewals_total", "Lease renewals sent.", S.Renewals);
  Values.count("log_dropped_total", "Log lines dropped.", droppedLogLines());
  SenderLoad Load = senderLoad(State.Sender, Owner.clock().steadyNow());
  Values.measure("queue_delay_seconds",
                 "Expected wait of a new job at this sender.",
                 toSeconds(Load.Delay));
  Values.measure("free_cpu_millis",
                 "Free CPU of its upstreams, in thousandths of a core.",
                 static_cast<double>(Load.FreeCpu));
  Values.measure("jobs_waiting", "Jobs with waiting tasks.", Load.Waiting);
  Values.measure("upstreams", "Upstreams that this instance sends to.",
                 static_cast<double>(State.Sender.Upstreams.size()));
  Values.measure("cells", "Cells that this instance is the sender of.",
                 static_cast<double>(State.Cells.Claims.size()));
  Values.measure("peers", "Other instances in the peer list.",
                 static_cast<double>(State.Cells.Peers.size()));
  Values.measure(
      "configuration_version", "Version of the configuration in force.",
      State.Directory.Configuration
          ? static_cast<double>(State.Directory.Configuration->Version)
          : 0);
  Values.measure("ready", "1 if callers should be sent here.",
                 Owner.ready() ? 1 : 0);
  return Values.text();
}

} // namespace snipeshunt
