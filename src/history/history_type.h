/// \file Records of a run and the reports of the checks on them.
#ifndef SNIPESHUNT_HISTORY_HISTORY_TYPE_H
#define SNIPESHUNT_HISTORY_HISTORY_TYPE_H

#include "timeline/timeline_type.h"

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace snipeshunt {

/// What an upstream recorded.
enum class HistoryUpstreamEvent { Start, Finish, Fail, Refuse };

/// One line of an upstream's history.
struct HistoryUpstreamRecord {
  int64_t WallUs = 0;
  std::string Upstream; ///< Address.
  HistoryUpstreamEvent Event = HistoryUpstreamEvent::Start;
  std::string Task;     ///< Task id.
  bool Leaving = false; ///< The upstream was leaving at that time.
};

/// One line of a caller's history.
struct HistoryCallerRecord {
  int64_t WallUs = 0;
  std::string Caller;
  bool IsAnswer = false; ///< An answer; otherwise a submission.
  std::string Ticket;
  std::string Outcome;               ///< Answers only; `none` without one.
  Json::Value Answer;                ///< Answers only.
  std::vector<std::string> Payloads; ///< Submissions only, by task index.
};

/// A `configuration_applied` event of an instance's timeline.
struct HistoryConfigurationRecord {
  TimelineSource Source;
  int64_t SteadyUs = 0;
  std::string Detail; ///< Holds `revision=N`.
};

/// Everything that was read about one run.
struct HistoryInput {
  std::vector<HistoryUpstreamRecord> Upstreams;
  std::vector<HistoryCallerRecord> Callers;
  std::vector<HistoryConfigurationRecord> Configurations;
  size_t TruncatedLastLines = 0;      ///< Files cut short by a killed process.
  uint64_t DroppedTimelineEvents = 0; ///< Events lost by full rings.
};

/// Result of checking one guarantee.
struct GuaranteeReport {
  std::string Name;
  size_t Checked = 0;                  ///< Records looked at.
  size_t Violations = 0;               ///< All violations.
  std::vector<std::string> Examples{}; ///< The first 20 of them.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HISTORY_HISTORY_TYPE_H
