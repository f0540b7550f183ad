/// \file JSON encoding, decoding and merging of timelines.
#include "timeline/timeline_func.h"

#include "core/json_func.h"
#include "timeline/timeline_table.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace snipeshunt {

namespace {

// Exceeds the length of every id and detail that an instance records.
constexpr size_t MaxTextBytes = 4096;

template <typename Time> int64_t microseconds(Time T) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             T.time_since_epoch())
      .count();
}

template <typename Time> Time fromMicroseconds(int64_t Count) {
  return Time(std::chrono::duration_cast<typename Time::duration>(
      std::chrono::microseconds(Count)));
}

std::string incarnationText(IncarnationId Id) {
  char Text[17];
  snprintf(Text, sizeof(Text), "%016llx",
           static_cast<unsigned long long>(Id.Value));
  return Text;
}

bool parseIncarnation(const std::string &Text, IncarnationId &Out) {
  const char *End = Text.data() + Text.size();
  auto [Rest, Problem] = std::from_chars(Text.data(), End, Out.Value, 16);
  return Problem == std::errc() && Rest == End;
}

} // namespace

std::string_view timelineKindName(TimelineKind Kind) {
  return TimelineKindNames[static_cast<size_t>(Kind)];
}

std::optional<TimelineKind> findTimelineKind(std::string_view Name) {
  const auto *Found =
      std::find(TimelineKindNames.begin(), TimelineKindNames.end(), Name);
  if (Found == TimelineKindNames.end())
    return std::nullopt;
  return static_cast<TimelineKind>(Found - TimelineKindNames.begin());
}

Json::Value encodeTimelineEvent(const TimelineSource &Source,
                                const TimelineEvent &Event) {
  Json::Value Out(Json::objectValue);
  Out["wall_us"] = Json::Int64(microseconds(Event.Wall));
  Out["steady_us"] = Json::Int64(microseconds(Event.Steady));
  Out["instance"] = Source.Instance.Value;
  Out["incarnation"] = incarnationText(Source.Incarnation);
  Out["data_centre"] = Source.Centre.Value;
  Out["kind"] = std::string(timelineKindName(Event.Kind));
  Out["job"] = Event.Job;
  Out["task"] = Event.Task;
  Out["detail"] = Event.Detail;
  return Out;
}

Result<SourcedEvent> decodeTimelineEvent(const Json::Value &Value) {
  SourcedEvent Out;
  // A larger count of microseconds would overflow 64 bits in nanoseconds.
  constexpr int64_t Max = INT64_MAX / 1000;
  int64_t Wall = 0;
  int64_t Steady = 0;
  std::string Incarnation;
  std::string Kind;
  ObjectReader Reader(Value, "event");
  Reader.integer("wall_us", Wall, 0, Max)
      .integer("steady_us", Steady, 0, Max)
      .string("instance", Out.Source.Instance.Value, MaxTextBytes)
      .string("incarnation", Incarnation, 16)
      .string("data_centre", Out.Source.Centre.Value, MaxTextBytes)
      .string("kind", Kind, MaxTextBytes)
      .optionalString("job", Out.Event.Job, MaxTextBytes)
      .optionalString("task", Out.Event.Task, MaxTextBytes)
      .optionalString("detail", Out.Event.Detail, MaxTextBytes);
  std::optional<TimelineKind> ParsedKind = findTimelineKind(Kind);
  if (!ParsedKind)
    Reader.fail("kind", "a kind of event that this version supports");
  if (!parseIncarnation(Incarnation, Out.Source.Incarnation))
    Reader.fail("incarnation", "up to 16 hexadecimal digits");
  if (std::optional<Error> Problem = Reader.finish())
    return *Problem;
  Out.Event.Wall = fromMicroseconds<WallTime>(Wall);
  Out.Event.Steady = fromMicroseconds<SteadyTime>(Steady);
  Out.Event.Kind = *ParsedKind;
  return Out;
}

std::string encodeTimeline(const TimelineSource &Source,
                           const TimelineRing &Ring) {
  // As one value, a full ring would take ten times the text's memory.
  std::string Out =
      R"({"dropped":)" + std::to_string(Ring.dropped()) + R"(,"events":[)";
  for (size_t I = 0; I < Ring.size(); ++I) {
    if (I > 0)
      Out += ',';
    Out += writeJson(encodeTimelineEvent(Source, Ring.event(I)));
  }
  Out += "]}";
  return Out;
}

Result<TimelineAnswer> decodeTimeline(const Json::Value &Value) {
  TimelineAnswer Out;
  ObjectReader Reader(Value, "");
  const Json::Value *Events = Reader.array("events", SIZE_MAX);
  Reader.unsignedId("dropped", Out.Dropped);
  if (std::optional<Error> Problem = Reader.finish())
    return *Problem;
  for (const Json::Value &Item : *Events) {
    Result<SourcedEvent> Event = decodeTimelineEvent(Item);
    if (failed(Event))
      ++Out.Unreadable;
    else
      Out.Events.push_back(std::move(valueOf(Event)));
  }
  return Out;
}

std::vector<SourcedEvent>
mergeTimelines(std::vector<std::vector<SourcedEvent>> Timelines) {
  std::vector<SourcedEvent> Out;
  for (std::vector<SourcedEvent> &Timeline : Timelines)
    std::move(Timeline.begin(), Timeline.end(), std::back_inserter(Out));
  std::stable_sort(Out.begin(), Out.end(),
                   [](const SourcedEvent &L, const SourcedEvent &R) {
                     return L.Event.Wall < R.Event.Wall;
                   });
  return Out;
}

} // namespace snipeshunt
