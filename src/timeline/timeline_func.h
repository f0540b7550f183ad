/// \file JSON form, merging and trace export of timelines.
#ifndef SNIPESHUNT_TIMELINE_TIMELINE_FUNC_H
#define SNIPESHUNT_TIMELINE_TIMELINE_FUNC_H

#include "core/error_type.h"
#include "timeline/timeline_ring.h"
#include "timeline/timeline_type.h"

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

std::string_view timelineKindName(TimelineKind Kind);
std::optional<TimelineKind> findTimelineKind(std::string_view Name);

/// JSON form of one event.
Json::Value encodeTimelineEvent(const TimelineSource &Source,
                                const TimelineEvent &Event);
Result<SourcedEvent> decodeTimelineEvent(const Json::Value &Value);

/// Answer of `GET /v1/timeline`.
Json::Value encodeTimeline(const TimelineSource &Source,
                           const TimelineRing &Ring);
/// Reads that answer; events that can't be read are counted, not fatal.
Result<TimelineAnswer> decodeTimeline(const Json::Value &Value);

/// Orders the events of several instances by wall time. Events of equal time
/// keep their order, so one instance's events are never swapped.
std::vector<SourcedEvent>
mergeTimelines(std::vector<std::vector<SourcedEvent>> Timelines);

/// Trace-event JSON of merged events: one process per instance, one thread
/// per job and per lane of its tasks.
std::string exportTrace(const std::vector<SourcedEvent> &Merged);

} // namespace snipeshunt

#endif // SNIPESHUNT_TIMELINE_TIMELINE_FUNC_H
