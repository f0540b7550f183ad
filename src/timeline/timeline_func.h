/// \file JSON encoding, merging and trace export of timelines.
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

/// Name of \p Kind in JSON.
std::string_view timelineKindName(TimelineKind Kind);
/// Kind with this name in JSON, if this version has it.
std::optional<TimelineKind> findTimelineKind(std::string_view Name);

/// Encodes one event with its source as a JSON object.
Json::Value encodeTimelineEvent(const TimelineSource &Source,
                                const TimelineEvent &Event);
/// Decodes an object of `encodeTimelineEvent`.
Result<SourcedEvent> decodeTimelineEvent(const Json::Value &Value);

/// Returns the answer of `GET /v1/timeline` as JSON text, with events from
/// oldest to newest.
std::string encodeTimeline(const TimelineSource &Source,
                           const TimelineRing &Ring);
/// Decodes that answer. Events that can't be decoded, for instance those of a
/// newer version, are counted and skipped.
Result<TimelineAnswer> decodeTimeline(const Json::Value &Value);

/// Merges the timelines of several instances, ordered by wall time. The sort is
/// stable, so events of equal time keep the order in which they were recorded.
std::vector<SourcedEvent>
mergeTimelines(std::vector<std::vector<SourcedEvent>> Timelines);

/// Returns merged events in the trace-event JSON format, one event per line.
/// Each incarnation of an instance is a process. Each job has one thread for
/// its instant events and one thread per track of its tasks; tasks of one track
/// do not overlap.
std::string exportTrace(const std::vector<SourcedEvent> &Merged);

} // namespace snipeshunt

#endif // SNIPESHUNT_TIMELINE_TIMELINE_FUNC_H
