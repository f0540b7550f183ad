/// \file Metrics of an instance in the Prometheus text format.
#include "daemon/metrics.h"

namespace snipeshunt {

void Metrics::update(const InstanceState &State, const TimelineRing &Timeline,
                     const PeerTraffic &Traffic) {
  const struct Counters &C = State.Counts;
  Values.setCounter("jobs_submitted_total", "Jobs admitted by this home.",
                    C.JobsSubmitted);
  Values.setCounter("jobs_refused_total", "Submissions rejected as not run.",
                    C.JobsRejected);
  Values.setCounter("jobs_completed_total", "Jobs answered with all results.",
                    C.JobsCompleted);
  Values.setCounter("jobs_failed_total", "Jobs answered with a failure.",
                    C.JobsFailed);
  Values.setCounter("jobs_forwarded_total", "Requests forwarded to their home.",
                    C.JobsForwarded);
  Values.setCounter("tasks_started_total", "Tasks sent to upstreams.",
                    C.TasksStarted);
  Values.setCounter("tasks_finished_total", "Tasks with a result.",
                    C.TasksFinished);
  Values.setCounter("tasks_not_run_total",
                    "Attempts known not to have started the task.",
                    C.TasksNotRun);
  Values.setCounter("tasks_unknown_total", "Attempts with an unknown outcome.",
                    C.TasksUnknown);
  Values.setCounter("tasks_handed_over_total",
                    "Tasks handed over to other instances.", C.TasksHandedOver);
  Values.setCounter("handover_messages_total", "Handover messages sent.",
                    C.HandoverMessages);
  Values.setCounter("report_messages_total", "Report messages sent.",
                    C.ReportMessages);
  Values.setCounter("retries_total", "Tasks queued again after an attempt.",
                    C.Retries);
  Values.setCounter("rpc_requests_total", "Requests sent to other instances.",
                    Traffic.Requests);
  Values.setCounter("rpc_bytes_sent_total",
                    "Bytes of requests to other instances.", Traffic.BytesSent);
  Values.setCounter("rpc_bytes_received_total",
                    "Bytes of replies of other instances.",
                    Traffic.BytesReceived);
  Values.setCounter("timeline_dropped_total", "Timeline events overwritten.",
                    Timeline.dropped());
  Values.setGauge("jobs_running", "Jobs without an answer.",
                  static_cast<double>(State.Jobs.Running));
  Values.setGauge("tasks_waiting", "Tasks in the queue.",
                  static_cast<double>(State.Queue.size()));
  Values.setGauge("tasks_running", "Tasks on upstreams.",
                  static_cast<double>(State.Upstreams.Attempts.size()));
  Values.setGauge("retained_answer_bytes", "Size of the retained answers.",
                  static_cast<double>(State.Jobs.RetainedBytes));
  Values.setGauge("used_tickets", "Used tickets that have a record.",
                  static_cast<double>(State.Jobs.Records.size()));
  Values.setGauge(
      "configuration_revision", "Revision of the configuration in force.",
      static_cast<double>(State.Configuration.InForceRevision.Value));
  Values.setGauge(
      "configuration_rejected_revision",
      "Newer revision that was rejected, 0 if there is none.",
      State.Configuration.LastRejected
          ? static_cast<double>(State.Configuration.RejectedRevision.Value)
          : 0.0);
  Values.setGauge("configuration_watching",
                  "1 if this instance watches for its data centre.",
                  State.WatchesConfiguration ? 1.0 : 0.0);
  Values.setGauge("platform_reachable", "1 if the platform's service answers.",
                  State.Members.PlatformReachable ? 1.0 : 0.0);
}

} // namespace snipeshunt
