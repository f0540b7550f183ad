/// \file Reads the history files of a run.
#include "core/json_func.h"
#include "history/history_func.h"
#include "timeline/timeline_func.h"

#include <functional>
#include <initializer_list>

namespace snipeshunt {

namespace {

// Longer than any id or name that the protocols allow.
constexpr size_t MaxTextBytes = 16 << 20;

using LineReader = std::function<std::optional<Error>(const Json::Value &)>;

/// Parses each line of \p In as JSON and passes it to \p Read. An error is
/// returned unless it is on the last line that is not empty.
std::optional<Error> readLines(std::istream &In, const std::string &Name,
                               HistoryInput &Out, const LineReader &Read) {
  size_t Number = 0;
  std::optional<Error> Malformed;
  for (std::string Line; std::getline(In, Line);) {
    ++Number;
    if (Line.empty())
      continue;
    if (Malformed)
      return Malformed;
    Result<Json::Value> Parsed = parseJson(Line);
    std::optional<Error> Problem;
    if (failed(Parsed))
      Malformed = Problem = errorOf(Parsed);
    else
      Problem = Read(valueOf(Parsed));
    if (!Problem)
      continue;
    Problem->Message =
        Name + " line " + std::to_string(Number) + ": " + Problem->Message;
    Problem->Remedy = "give a file in the history format of the design page";
    if (!Malformed)
      return Problem;
    Malformed = Problem;
  }
  if (In.bad())
    return Error{ErrorKind::Unavailable, "can't read " + Name,
                 "check the file and its permissions"};
  if (Malformed)
    ++Out.TruncatedLastLines;
  return std::nullopt;
}

/// Returns a copy of \p Object with only the fields \p Names, because
/// `ObjectReader` rejects unknown fields and histories may have more fields
/// than the checks need.
Json::Value selectFields(const Json::Value &Object,
                         std::initializer_list<const char *> Names) {
  if (!Object.isObject())
    return Object;
  Json::Value Out(Json::objectValue);
  for (const char *Name : Names)
    if (Object.isMember(Name))
      Out[Name] = Object[Name];
  return Out;
}

std::optional<Error> readUpstreamLine(const Json::Value &Line,
                                      HistoryInput &Out) {
  Json::Value Selected =
      selectFields(Line, {"wall_us", "upstream", "event", "task", "leaving"});
  HistoryUpstreamRecord Record;
  std::string Event;
  ObjectReader Reader(Selected, "");
  Reader.integer("wall_us", Record.WallUs, 0, INT64_MAX)
      .string("upstream", Record.Upstream, MaxTextBytes)
      .string("event", Event, MaxTextBytes)
      .string("task", Record.Task, MaxTextBytes)
      .boolean("leaving", Record.Leaving);
  if (Event == "start")
    Record.Event = HistoryUpstreamEvent::Start;
  else if (Event == "finish")
    Record.Event = HistoryUpstreamEvent::Finish;
  else if (Event == "fail")
    Record.Event = HistoryUpstreamEvent::Fail;
  else if (Event == "refuse")
    Record.Event = HistoryUpstreamEvent::Refuse;
  else
    Reader.fail("event", "start, finish, fail or refuse");
  if (std::optional<Error> Problem = Reader.finish())
    return Problem;
  Out.Upstreams.push_back(std::move(Record));
  return std::nullopt;
}

void readPayloads(ObjectReader &Reader, HistoryCallerRecord &Record) {
  const Json::Value *Payloads = Reader.array("payloads", SIZE_MAX);
  if (!Payloads)
    return;
  for (const Json::Value &Item : *Payloads) {
    if (!Item.isString()) {
      Reader.fail("payloads", "an array of strings");
      return;
    }
    Record.Payloads.push_back(Item.asString());
  }
}

std::optional<Error> readCallerLine(const Json::Value &Line,
                                    HistoryInput &Out) {
  Json::Value Selected =
      selectFields(Line, {"wall_us", "caller", "event", "ticket"});
  HistoryCallerRecord Record;
  std::string Event;
  ObjectReader Common(Selected, "");
  Common.integer("wall_us", Record.WallUs, 0, INT64_MAX)
      .string("caller", Record.Caller, MaxTextBytes)
      .string("event", Event, MaxTextBytes)
      .string("ticket", Record.Ticket, MaxTextBytes);
  if (Event != "submit" && Event != "answer")
    Common.fail("event", "submit or answer");
  if (std::optional<Error> Problem = Common.finish())
    return Problem;
  Record.IsAnswer = Event == "answer";
  Json::Value EventFields = Record.IsAnswer ? selectFields(Line, {"outcome"})
                                            : selectFields(Line, {"payloads"});
  ObjectReader Reader(EventFields, "");
  if (Record.IsAnswer) {
    Reader.string("outcome", Record.Outcome, MaxTextBytes);
    Record.Answer = Line["answer"];
  } else {
    readPayloads(Reader, Record);
  }
  if (std::optional<Error> Problem = Reader.finish())
    return Problem;
  Out.Callers.push_back(std::move(Record));
  return std::nullopt;
}

void addTimelineEvent(const SourcedEvent &Item, HistoryInput &Out) {
  if (Item.Event.Kind != TimelineKind::ConfigurationApplied)
    return;
  int64_t SteadyUs = std::chrono::duration_cast<std::chrono::microseconds>(
                         Item.Event.Steady.time_since_epoch())
                         .count();
  Out.Configurations.push_back({Item.Source, SteadyUs, Item.Event.Detail});
}

std::optional<Error> readTimelineLine(const Json::Value &Line,
                                      HistoryInput &Out) {
  if (!Line.isObject() || !Line.isMember("events")) {
    Result<SourcedEvent> Event = decodeTimelineEvent(Line);
    if (failed(Event))
      return errorOf(Event);
    addTimelineEvent(valueOf(Event), Out);
    return std::nullopt;
  }
  Result<TimelineAnswer> Answer = decodeTimeline(Line);
  if (failed(Answer))
    return errorOf(Answer);
  // An event that can't be decoded may be the one that violates a guarantee.
  if (valueOf(Answer).Unreadable)
    return Error{ErrorKind::InvalidField,
                 std::to_string(valueOf(Answer).Unreadable) +
                     " events can't be decoded",
                 ""};
  Out.DroppedTimelineEvents += valueOf(Answer).Dropped;
  for (const SourcedEvent &Item : valueOf(Answer).Events)
    addTimelineEvent(Item, Out);
  return std::nullopt;
}

} // namespace

std::optional<Error> readUpstreamHistory(std::istream &In,
                                         const std::string &Name,
                                         HistoryInput &Out) {
  return readLines(In, Name, Out, [&](const Json::Value &Line) {
    return readUpstreamLine(Line, Out);
  });
}

std::optional<Error> readCallerHistory(std::istream &In,
                                       const std::string &Name,
                                       HistoryInput &Out) {
  return readLines(In, Name, Out, [&](const Json::Value &Line) {
    return readCallerLine(Line, Out);
  });
}

std::optional<Error> readTimelineHistory(std::istream &In,
                                         const std::string &Name,
                                         HistoryInput &Out) {
  return readLines(In, Name, Out, [&](const Json::Value &Line) {
    return readTimelineLine(Line, Out);
  });
}

} // namespace snipeshunt
