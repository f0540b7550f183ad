/// \file Names of timeline event kinds in JSON.
#ifndef SNIPESHUNT_TIMELINE_TIMELINE_TABLE_H
#define SNIPESHUNT_TIMELINE_TIMELINE_TABLE_H

#include "timeline/timeline_type.h"

#include <array>
#include <string_view>

namespace snipeshunt {

/// Indexed by `TimelineKind`.
inline constexpr std::array<std::string_view, 31> TimelineKindNames = {
    "job_submitted",         "job_joined",
    "job_refused",           "job_forwarded",
    "job_completed",         "job_failed",
    "job_cancelled",         "task_queued",
    "task_started",          "task_finished",
    "task_failed",           "task_not_run",
    "task_unknown",          "task_handed_over",
    "task_received",         "task_returned",
    "task_revoked",          "answer_sent",
    "member_joined",         "member_suspected",
    "member_dead",           "member_left",
    "upstream_owned",        "upstream_released",
    "upstream_leaving",      "upstream_probing",
    "configuration_applied", "configuration_rejected",
    "drain_started",         "drain_finished",
    "instance_started",
};
static_assert(TimelineKindNames.size() ==
              static_cast<size_t>(TimelineKind::InstanceStarted) + 1);

} // namespace snipeshunt

#endif // SNIPESHUNT_TIMELINE_TIMELINE_TABLE_H
