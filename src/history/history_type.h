/// \file Types of the history records of a run and of the check reports.
///
/// Times in `WallUs` are microseconds since the Unix epoch.
#ifndef SNIPESHUNT_HISTORY_HISTORY_TYPE_H
#define SNIPESHUNT_HISTORY_HISTORY_TYPE_H

#include "timeline/timeline_type.h"

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace snipeshunt {

/// What happened to a task on an upstream.
enum class HistoryUpstreamEvent {
  Start,
  Finish, ///< Ended with a result.
  Fail,   ///< Ended with a failure.
  Refuse  ///< Rejected without a start.
};

/// One line of an upstream's history.
struct HistoryUpstreamRecord {
  int64_t WallUs = 0;
  std::string Upstream; ///< Address of the upstream.
  HistoryUpstreamEvent Event = HistoryUpstreamEvent::Start;
  std::string Task;     ///< Task id, `<job id>-<index>`.
  bool Leaving = false; ///< The upstream reported itself leaving at that time.
};

/// One line of a caller's history.
struct HistoryCallerRecord {
  int64_t WallUs = 0;
  std::string Caller;    ///< Name of the caller.
  bool IsAnswer = false; ///< True for an answer, false for a submission.
  std::string Ticket;    ///< Text of the job's ticket.
  /// Outcome of the job, answers only; `none` if the caller got no answer.
  std::string Outcome;
  Json::Value Answer; ///< Body of the answer, answers only.
  /// Payloads of the submitted tasks by task index, submissions only.
  std::vector<std::string> Payloads;
};

/// A `configuration_applied` event of an instance's timeline.
struct HistoryConfigurationRecord {
  TimelineSource Source; ///< Instance and incarnation.
  int64_t SteadyUs = 0;  ///< Time on the instance's steady clock, in us.
  std::string Detail;    ///< Detail of the event; contains `revision=N`.
};

/// All records of one run, from all of its history files.
struct HistoryInput {
  std::vector<HistoryUpstreamRecord> Upstreams;
  std::vector<HistoryCallerRecord> Callers;
  std::vector<HistoryConfigurationRecord> Configurations;
  size_t TruncatedLastLines = 0;      ///< Files whose last line is invalid.
  uint64_t DroppedTimelineEvents = 0; ///< Overwritten in full rings.
};

/// Result of checking one guarantee.
struct GuaranteeReport {
  std::string Name;                    ///< Its letter and a description.
  size_t Checked = 0;                  ///< Number of records checked.
  size_t Violations = 0;               ///< Number of violations.
  std::vector<std::string> Examples{}; ///< Texts of the first 20 violations.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HISTORY_HISTORY_TYPE_H
