/// \file Names, ranges and scopes of the settings of the configuration.
#ifndef SNIPESHUNT_CONFIGURATION_CONFIGURATION_TABLE_H
#define SNIPESHUNT_CONFIGURATION_CONFIGURATION_TABLE_H

#include "configuration/configuration_type.h"

#include <variant>

namespace snipeshunt {

/// One key of the object `defaults`.
struct DefaultRow {
  using Count = int64_t PolicyDefaults::*;
  using Time = std::chrono::milliseconds PolicyDefaults::*;
  using Number = double PolicyDefaults::*;

  const char *Name;                         ///< Key in the document.
  std::variant<Count, Time, Number> Member; ///< Where the value is stored.
  double Min;                               ///< Lowest value accepted.
  double Max;                               ///< Highest value accepted.
};

/// One day, the upper bound of all durations.
constexpr double MaxDurationMs = 24 * 3600 * 1000;
constexpr double MaxQuotaTasks = 10000000;

/// All keys of `defaults`. Durations are in milliseconds.
inline constexpr DefaultRow DefaultTable[] = {
    {"long_threshold_ms", &PolicyDefaults::LongThreshold, 1, MaxDurationMs},
    {"long_share", &PolicyDefaults::LongShare, 0.01, 1},
    {"default_patience_ms", &PolicyDefaults::DefaultPatience, 1, MaxDurationMs},
    {"max_patience_ms", &PolicyDefaults::MaxPatience, 1, MaxDurationMs},
    {"default_team_quota_tasks", &PolicyDefaults::DefaultTeamQuotaTasks, 0,
     MaxQuotaTasks},
    {"team_weight", &PolicyDefaults::TeamWeight, 0.01, 1000},
    {"retry_share", &PolicyDefaults::RetryShare, 0, 1},
    {"retry_burst", &PolicyDefaults::RetryBurst, 0, 100000},
    {"failures_before_probing", &PolicyDefaults::FailuresBeforeProbing, 1,
     1000},
    {"probe_pause_ms", &PolicyDefaults::ProbePause, 10, MaxDurationMs},
    {"probe_pause_max_ms", &PolicyDefaults::ProbePauseMax, 10, MaxDurationMs},
    {"default_task_timeout_ms", &PolicyDefaults::DefaultTaskTimeout, 1,
     MaxDurationMs},
};

/// Name of a scope in the document.
struct ScopeRow {
  const char *Name;     ///< Value of the field `scope`.
  ExceptionScope Scope; ///< Its typed form.
};

inline constexpr ScopeRow ScopeTable[] = {
    {"team", ExceptionScope::Team},
    {"task_kind", ExceptionScope::TaskKind},
    {"upstream", ExceptionScope::Upstream},
    {"data_centre", ExceptionScope::DataCentre},
};

/// A setting that an exception may override, and the scope that it belongs to.
struct SettingRow {
  const char *Name;         ///< Value of the field `setting`.
  ExceptionSetting Setting; ///< Its typed form.
  ExceptionScope Scope;     ///< The scope it is allowed for.
  double Min;               ///< Lowest value accepted.
  double Max;               ///< Highest value accepted.
  bool Whole;               ///< Only whole numbers are accepted.
};

inline constexpr SettingRow SettingTable[] = {
    {"team_quota_tasks", ExceptionSetting::TeamQuotaTasks, ExceptionScope::Team,
     0, MaxQuotaTasks, true},
    {"team_weight", ExceptionSetting::TeamWeight, ExceptionScope::Team, 0.01,
     1000, false},
    {"expected_ms", ExceptionSetting::ExpectedMs, ExceptionScope::TaskKind, 1,
     MaxDurationMs, true},
    {"task_timeout_ms", ExceptionSetting::TaskTimeoutMs,
     ExceptionScope::TaskKind, 1, MaxDurationMs, true},
    {"leaving", ExceptionSetting::Leaving, ExceptionScope::Upstream, 0, 1,
     true},
    {"slots", ExceptionSetting::Slots, ExceptionScope::Upstream, 1, 1024, true},
    {"accept_foreign_work", ExceptionSetting::AcceptForeignWork,
     ExceptionScope::DataCentre, 0, 1, true},
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_CONFIGURATION_TABLE_H
