/// \file Events of the timeline that each instance records in memory.
#ifndef SNIPESHUNT_TIMELINE_TIMELINE_TYPE_H
#define SNIPESHUNT_TIMELINE_TIMELINE_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"

#include <string>
#include <vector>

namespace snipeshunt {

/// Kind of an event. `timeline_table.h` has the names in JSON, in this order.
enum class TimelineKind {
  JobSubmitted,          ///< The home has admitted a job.
  JobJoined,             ///< A further request waits for a running job.
  JobRefused,            ///< The home has rejected a job.
  JobForwarded,          ///< A request was forwarded to the job's home.
  JobCompleted,          ///< A job ended with all results.
  JobFailed,             ///< A job ended with an error.
  JobCancelled,          ///< The caller has cancelled a job.
  TaskQueued,            ///< Not recorded at present.
  TaskStarted,           ///< An attempt was sent to an upstream.
  TaskFinished,          ///< The attempt ended with a result.
  TaskFailed,            ///< The upstream reported a failure of the task.
  TaskNotRun,            ///< The attempt has not started the task.
  TaskUnknown,           ///< It is unknown whether the attempt ran the task.
  TaskHandedOver,        ///< The home has handed a task to a receiver.
  TaskReceived,          ///< The receiver has accepted it.
  TaskReturned,          ///< The receiver returns it without starting it.
  TaskRevoked,           ///< The receiver released it on the home's request.
  AnswerSent,            ///< Not recorded at present.
  MemberJoined,          ///< Another instance is alive.
  MemberSuspected,       ///< The failure detector suspects it.
  MemberDead,            ///< It counts as failed.
  MemberLeft,            ///< It has left after a drain.
  UpstreamOwned,         ///< This instance became an upstream's sender.
  UpstreamReleased,      ///< It no longer is the sender.
  UpstreamLeaving,       ///< An upstream accepts no new task.
  UpstreamProbing,       ///< Consecutive failures; only probes are sent.
  ConfigurationApplied,  ///< A document came into force.
  ConfigurationRejected, ///< A newer document is invalid.
  DrainStarted,          ///< This instance admits no new job.
  DrainFinished,         ///< It has announced to its peers that it left.
  InstanceStarted,       ///< The process is listening.
};

/// An event in the memory of the process that recorded it.
struct TimelineEvent {
  WallTime Wall{};     ///< Orders the events of different instances.
  SteadyTime Steady{}; ///< Measures durations within one process.
  TimelineKind Kind = TimelineKind::InstanceStarted; ///< What happened.
  std::string Job;                                   ///< Job id, or empty.
  std::string Task;                                  ///< Task id, or empty.
  /// Further information, such as `upstream=ADDRESS`, or empty.
  std::string Detail;
};

/// The process that recorded an event.
struct TimelineSource {
  Address Instance;            ///< Advertised address.
  IncarnationId Incarnation{}; ///< Distinguishes processes at one address.
  DataCentre Centre;           ///< Data centre of the instance.

  friend bool operator==(const TimelineSource &L, const TimelineSource &R) {
    return L.Instance == R.Instance && L.Incarnation == R.Incarnation &&
           L.Centre == R.Centre;
  }
  friend bool operator<(const TimelineSource &L, const TimelineSource &R) {
    return std::tie(L.Instance, L.Incarnation, L.Centre) <
           std::tie(R.Instance, R.Incarnation, R.Centre);
  }
};

/// An event together with the process that recorded it.
struct SourcedEvent {
  TimelineSource Source;
  TimelineEvent Event;
};

/// Answer of `GET /v1/timeline`.
struct TimelineAnswer {
  std::vector<SourcedEvent> Events; ///< From oldest to newest.
  uint64_t Dropped = 0;             ///< Number of events overwritten.
  uint64_t Unreadable = 0; ///< Number of events that could not be decoded.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TIMELINE_TIMELINE_TYPE_H
