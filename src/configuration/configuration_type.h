/// \file The operators' configuration document.
#ifndef SNIPESHUNT_CONFIGURATION_CONFIGURATION_TYPE_H
#define SNIPESHUNT_CONFIGURATION_CONFIGURATION_TYPE_H

#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeshunt {

/// Name of an exception, chosen by the operator.
using ExceptionId = StrongId<struct ExceptionTag, std::string>;
/// 16 lower-case hexadecimal digits drawn at random for each change.
using ChangeId = StrongId<struct ChangeTag, std::string>;

/// Values that apply throughout the fleet where no exception overrides them.
struct PolicyDefaults {
  using Milliseconds = std::chrono::milliseconds;

  /// Estimated run time above which a task is long.
  Milliseconds LongThreshold{1000};
  double LongShare = 0.7;              ///< Share of slots for long tasks, 0..1.
  Milliseconds DefaultPatience{30000}; ///< Time limit of jobs that set none.
  Milliseconds MaxPatience{600000};    ///< Longest time limit of a job.
  int64_t DefaultTeamQuotaTasks = 4000; ///< Tasks running or waiting per team.
  double TeamWeight = 1.0;              ///< Weight of a team in fair sharing.
  double RetryShare = 0.1; ///< Retries allowed per start of the last 10 s.
  int64_t RetryBurst = 10; ///< Retries allowed in addition to that share.
  int64_t FailuresBeforeProbing = 3; ///< Consecutive failures before probing.
  Milliseconds ProbePause{1000};     ///< First pause between probes.
  Milliseconds ProbePauseMax{30000}; ///< Longest pause between probes.
  Milliseconds DefaultTaskTimeout{60000}; ///< Longest run time of one task.
};

/// What an exception applies to.
enum class ExceptionScope { Team, TaskKind, Upstream, DataCentre };

/// What an exception sets.
enum class ExceptionSetting {
  TeamQuotaTasks,    ///< Tasks of the team running or waiting.
  TeamWeight,        ///< Weight of the team in fair sharing.
  ExpectedMs,        ///< Run time assumed before any is measured.
  TaskTimeoutMs,     ///< Longest run time of one task.
  Leaving,           ///< 1 if the upstream receives no new task.
  Slots,             ///< Tasks that the upstream runs at the same time.
  AcceptForeignWork, ///< 0 if no task of another data centre is accepted.
};

/// Overrides one setting for one object.
struct PolicyException {
  ExceptionId Id;                              ///< Unique in the document.
  ExceptionScope Scope = ExceptionScope::Team; ///< Kind of object.
  std::string Name; ///< Name or address of the object.
  ExceptionSetting Setting = ExceptionSetting::TeamQuotaTasks; ///< What is set.
  double Value = 0;   ///< Value of the setting; see `SettingTable` for ranges.
  std::string Reason; ///< Free text of the author, required.
  std::string Author; ///< Name of the operator who added it.
  std::string Time;   ///< When it was added, as RFC 3339 text.
};

/// The change that produced a document.
struct ConfigurationChange {
  ChangeId Id; ///< Differs from that of the previous change, so that a repeated
               ///< request shows whether the change has taken effect.
  std::string Author; ///< Name of the operator who made it.
  std::string Time;   ///< When it was made, as RFC 3339 text.
};

/// The configuration document.
struct Configuration {
  ConfigurationChange Change;              ///< Empty before the first document.
  PolicyDefaults Defaults;                 ///< Fleet-wide values.
  std::vector<PolicyException> Exceptions; ///< Overrides, in order of addition.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_CONFIGURATION_TYPE_H
