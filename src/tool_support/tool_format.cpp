/// \file Formats answers as text for the terminal.
#include "history/ticket_text.h"
#include "timeline/timeline_func.h"
#include "tool_support/tool_answer.h"

#include <algorithm>
#include <ctime>

namespace snipeshunt {

namespace {

/// Returns the text of one table cell; `-` if the field is absent or empty.
std::string cellText(const Json::Value &Object, const std::string &Name) {
  if (!Object.isObject() || !Object.isMember(Name))
    return "-";
  const Json::Value &Found = Object[Name];
  if (Found.isString())
    return Found.asString().empty() ? "-" : Found.asString();
  if (Found.type() == Json::realValue) {
    char Text[32];
    snprintf(Text, sizeof(Text), "%.2f", Found.asDouble());
    return Text;
  }
  if (Found.isNumeric() || Found.isBool())
    return Found.asString();
  return "-";
}

/// Formats the objects in the array `Body[Name]` as an aligned table with one
/// column per field.
std::string formatTable(const Json::Value &Body, const char *Name,
                        const std::vector<std::string> &Fields) {
  std::vector<std::vector<std::string>> Rows = {Fields};
  if (Body.isObject() && Body[Name].isArray())
    for (const Json::Value &Record : Body[Name]) {
      Rows.emplace_back();
      for (const std::string &Field : Fields)
        Rows.back().push_back(cellText(Record, Field));
    }
  std::vector<size_t> Widths(Fields.size(), 0);
  for (const auto &Row : Rows)
    for (size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::string Out;
  for (const auto &Row : Rows) {
    for (size_t I = 0; I + 1 < Row.size(); ++I)
      Out += Row[I] + std::string(Widths[I] - Row[I].size() + 2, ' ');
    Out += Row.back() + "\n";
  }
  return Out;
}

/// Formats a wall time as RFC 3339 in UTC, with microseconds.
std::string wallText(WallTime Wall) {
  int64_t Us = std::chrono::duration_cast<std::chrono::microseconds>(
                   Wall.time_since_epoch())
                   .count();
  time_t Seconds = Us / 1000000;
  tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[64];
  size_t Size = strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%S", &Parts);
  snprintf(Text + Size, sizeof(Text) - Size, ".%06dZ",
           static_cast<int>(Us % 1000000));
  return Text;
}

} // namespace

std::string formatError(std::string_view Message, std::string_view Remedy) {
  std::string Out = "snipeshunt: " + std::string(Message);
  if (!Remedy.empty())
    Out += "; " + std::string(Remedy);
  return Out + "\n";
}

std::string formatResults(const ToolAnswer &Answer) {
  std::string Out;
  for (const auto &[Index, Output] : Answer.Results)
    Out += std::to_string(Index) + "\t" + Output + "\n";
  return Out;
}

std::string formatFailure(const ToolAnswer &Answer) {
  std::string Head = "job " + Answer.Outcome;
  if (!Answer.ErrorKind.empty())
    Head += " (" + Answer.ErrorKind + ")";
  std::string Out = formatError(Head + ": " + Answer.Message, Answer.Remedy);
  for (const auto &[Index, State] : Answer.Tasks)
    Out += "  task " + std::to_string(Index) + ": " + State + "\n";
  return Out;
}

std::vector<Address> readInstanceAddresses(const Json::Value &Body) {
  std::vector<Address> Out;
  if (!Body.isObject() || !Body["instances"].isArray())
    return Out;
  for (const Json::Value &Record : Body["instances"])
    if (Record.isObject() && Record["address"].isString())
      Out.push_back({Record["address"].asString()});
  return Out;
}

std::string formatInstances(const Json::Value &Body) {
  return formatTable(Body, "instances",
                     {"address", "data_centre", "incarnation", "state",
                      "free_slots", "waiting_tasks", "configuration_revision"});
}

std::string formatUpstreams(const Json::Value &Body) {
  return formatTable(
      Body, "upstreams",
      {"address", "data_centre", "sender", "slots", "busy", "speed", "state"});
}

std::vector<SourcedEvent> selectJob(std::vector<SourcedEvent> Events,
                                    const std::string &JobOrTicket) {
  std::string Job = jobIdFromTicketText(JobOrTicket).value_or(JobOrTicket);
  std::string TaskPrefix = Job + "-";
  auto IsOther = [&](const SourcedEvent &Record) {
    return Record.Event.Job != Job &&
           Record.Event.Task.compare(0, TaskPrefix.size(), TaskPrefix) != 0;
  };
  Events.erase(std::remove_if(Events.begin(), Events.end(), IsOther),
               Events.end());
  return Events;
}

std::string formatTimeline(const std::vector<SourcedEvent> &Events) {
  std::string Out;
  for (const SourcedEvent &Record : Events) {
    Out += wallText(Record.Event.Wall) + " " + Record.Source.Centre.Value +
           " " + Record.Source.Instance.Value + " " +
           std::string(timelineKindName(Record.Event.Kind));
    if (!Record.Event.Task.empty())
      Out += " task=" + Record.Event.Task;
    else if (!Record.Event.Job.empty())
      Out += " job=" + Record.Event.Job;
    if (!Record.Event.Detail.empty())
      Out += " " + Record.Event.Detail;
    Out += "\n";
  }
  return Out;
}

} // namespace snipeshunt
