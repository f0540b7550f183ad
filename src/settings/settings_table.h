/// \file Keys and ranges of the object `limits` in a settings file, and names
/// of log levels.
#ifndef SNIPESHUNT_SETTINGS_SETTINGS_TABLE_H
#define SNIPESHUNT_SETTINGS_SETTINGS_TABLE_H

#include "settings/settings_type.h"

#include <variant>

namespace snipeshunt {

/// One key of the object `limits`.
struct LimitRow {
  using Count = int64_t DaemonLimits::*;
  using Time = std::chrono::milliseconds DaemonLimits::*;

  const char *Name;                 ///< Key in the file.
  std::variant<Count, Time> Member; ///< Member that receives the value.
  int64_t Min;                      ///< Lowest value accepted.
  int64_t Max;                      ///< Highest value accepted.
};

constexpr int64_t Mebibyte = 1024 * 1024;
constexpr int64_t HourMs = 3600 * 1000;

inline constexpr LimitRow LimitTable[] = {
    {"queue_limit_tasks", &DaemonLimits::QueueLimitTasks, 1, 10000000},
    {"ticket_lifetime_ms", &DaemonLimits::TicketLifetime, 1000, 24 * HourMs},
    {"max_used_tickets", &DaemonLimits::MaxUsedTickets, 100, 100000000},
    {"max_tasks_per_job", &DaemonLimits::MaxTasksPerJob, 1, 200},
    {"max_body_bytes", &DaemonLimits::MaxBodyBytes, 1024, 64 * Mebibyte},
    {"max_payload_bytes", &DaemonLimits::MaxPayloadBytes, 1024,
     4096 * Mebibyte},
    {"max_answer_bytes", &DaemonLimits::MaxAnswerBytes, 1024, 256 * Mebibyte},
    {"kept_answer_bytes", &DaemonLimits::RetainedAnswerBytes, 0,
     4096 * Mebibyte},
    {"heartbeat_ms", &DaemonLimits::HeartbeatInterval, 10, 60000},
    {"suspect_ms", &DaemonLimits::SuspectAfter, 20, 300000},
    {"dead_ms", &DaemonLimits::DeadAfter, 30, 600000},
    {"status_poll_ms", &DaemonLimits::StatusPollInterval, 10, 60000},
    {"status_fresh_ms", &DaemonLimits::StatusMaxAge, 20, 300000},
    {"drain_quiet_ms", &DaemonLimits::DrainIdleTime, 0, HourMs},
    {"drain_limit_ms", &DaemonLimits::DrainLimit, 0, HourMs},
    {"timeline_events", &DaemonLimits::TimelineEvents, 16, 16777216},
};

/// Name of a log level in a settings file.
struct LogLevelRow {
  const char *Name;
  LogLevel Level;
};

inline constexpr LogLevelRow LogLevelTable[] = {
    {"error", LogLevel::Error},
    {"warning", LogLevel::Warning},
    {"info", LogLevel::Info},
    {"debug", LogLevel::Debug},
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_SETTINGS_TABLE_H
