/// \file Metrics in the text form of Prometheus.
#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

namespace snipeshunt {

Metrics::Metrics() = default;

void Metrics::count(const std::string &Name, const std::string &Help,
                    uint64_t Total) {
  prometheus::Counter *&Entry = Counters[Name];
  if (!Entry)
    Entry = &prometheus::BuildCounter()
                 .Name("snipeshunt_" + Name)
                 .Help(Help)
                 .Register(Registry)
                 .Add({});
  Entry->Increment(static_cast<double>(Total) - Entry->Value());
}

void Metrics::measure(const std::string &Name, const std::string &Help,
                      double Value) {
  prometheus::Gauge *&Entry = Gauges[Name];
  if (!Entry)
    Entry = &prometheus::BuildGauge()
                 .Name("snipeshunt_" + Name)
                 .Help(Help)
                 .Register(Registry)
                 .Add({});
  Entry->Set(Value);
}

void Metrics::update(const InstanceState &State, const TimelineRing &Timeline,
                     const PeerTraffic &Traffic) {
  const struct Counters &C = State.Counts;
  count("jobs_submitted_total", "Jobs admitted by this home.", C.JobsSubmitted);
  count("jobs_refused_total", "Submissions refused as not run.", C.JobsRefused);
  count("jobs_completed_total", "Jobs answered completely.", C.JobsCompleted);
  count("jobs_failed_total", "Jobs answered with a failure.", C.JobsFailed);
  count("jobs_forwarded_total", "Requests passed on to their home.",
        C.JobsForwarded);
  count("tasks_started_total", "Tasks sent to upstreams.", C.TasksStarted);
  count("tasks_finished_total", "Tasks with a result.", C.TasksFinished);
  count("tasks_not_run_total", "Attempts that proved not to have started.",
        C.TasksNotRun);
  count("tasks_unknown_total", "Attempts whose fate is not known.",
        C.TasksUnknown);
  count("tasks_handed_over_total", "Tasks given to other instances.",
        C.TasksHandedOver);
  count("handover_messages_total", "Handover messages sent.",
        C.HandoverMessages);
  count("report_messages_total", "Report messages sent.", C.ReportMessages);
  count("retries_total", "Tasks queued again after an attempt.", C.Retries);
  count("rpc_requests_total", "Requests sent to other instances.",
        Traffic.Requests);
  count("rpc_bytes_sent_total", "Bytes of requests to other instances.",
        Traffic.BytesSent);
  count("rpc_bytes_received_total", "Bytes of replies of other instances.",
        Traffic.BytesReceived);
  count("timeline_dropped_total", "Timeline events overwritten.",
        Timeline.dropped());
  measure("jobs_running", "Jobs without an answer.",
          static_cast<double>(State.Jobs.Running));
  measure("tasks_waiting", "Tasks in the queue.",
          static_cast<double>(State.Queue.size()));
  measure("tasks_running", "Tasks on upstreams.",
          static_cast<double>(State.Upstreams.Attempts.size()));
  measure("retained_answer_bytes", "Size of the retained answers.",
          static_cast<double>(State.Jobs.RetainedBytes));
  measure("used_tickets", "Tickets that are remembered as used.",
          static_cast<double>(State.Jobs.Records.size()));
  measure("configuration_revision", "Revision of the configuration in force.",
          static_cast<double>(State.Configuration.InForceRevision.Value));
  measure("configuration_rejected_revision",
          "Newer revision that can't be read, 0 if there is none.",
          State.Configuration.LastRejected
              ? static_cast<double>(State.Configuration.RejectedRevision.Value)
              : 0.0);
  measure("configuration_watching",
          "1 if this instance watches for its centre.",
          State.Watching ? 1.0 : 0.0);
  measure("platform_reachable", "1 if the platform's service answers.",
          State.Members.PlatformReachable ? 1.0 : 0.0);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace snipeshunt
