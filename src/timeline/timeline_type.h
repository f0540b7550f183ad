/// \file Events of the timeline that each process records.
#ifndef SNIPESHUNT_TIMELINE_TIMELINE_TYPE_H
#define SNIPESHUNT_TIMELINE_TIMELINE_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"

#include <string>
#include <vector>

namespace snipeshunt {

/// What happened; the names are in `timeline_table.h`, in the same order.
enum class TimelineKind {
  JobSubmitted,
  JobJoined,
  JobRefused,
  JobForwarded,
  JobCompleted,
  JobFailed,
  JobCancelled,
  TaskQueued,
  TaskStarted,
  TaskFinished,
  TaskFailed,
  TaskNotRun,
  TaskUnknown,
  TaskHandedOver,
  TaskReceived,
  TaskReturned,
  TaskRevoked,
  AnswerSent,
  MemberJoined,
  MemberSuspected,
  MemberDead,
  MemberLeft,
  UpstreamOwned,
  UpstreamReleased,
  UpstreamLeaving,
  UpstreamProbing,
  ConfigurationApplied,
  ConfigurationRejected,
  DrainStarted,
  DrainFinished,
  InstanceStarted,
};

/// One event as the recording process holds it.
struct TimelineEvent {
  WallTime Wall{};     ///< Orders events of different instances.
  SteadyTime Steady{}; ///< Measures durations within one process.
  TimelineKind Kind = TimelineKind::InstanceStarted; ///< What happened.
  std::string Job;                                   ///< Job id, or empty.
  std::string Task;                                  ///< Task id, or empty.
  std::string Detail;                                ///< Free text, or empty.
};

/// The process that recorded an event.
struct TimelineSource {
  Address Instance;            ///< Advertised address.
  IncarnationId Incarnation{}; ///< Tells apart processes at one address.
  DataCentre Centre;           ///< Where the process runs.

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
  std::vector<SourcedEvent> Events;
  uint64_t Dropped = 0;    ///< Events that no longer fitted the ring.
  uint64_t Unreadable = 0; ///< Events of a form that this version can't read.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TIMELINE_TIMELINE_TYPE_H
