/// \file Parsing and formatting for the subcommand `config`.
#include "tool_support/tool_config.h"

#include "configuration/configuration_func.h"
#include "core/json_func.h"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>

namespace snipeshunt {

namespace {

/// Returns the string member \p Name of an object; empty if it is absent or no
/// string.
std::string textOf(const Json::Value &Object, const char *Name) {
  if (!Object.isObject() || !Object[Name].isString())
    return "";
  return Object[Name].asString();
}

/// Formats one change: a line with its metadata, then its changed settings.
std::string historyLine(Revision Number, const Json::Value &Record) {
  const Json::Value &Change = Record["change"];
  std::string Out = std::to_string(Number.Value) + "  " +
                    textOf(Change, "time") + "  " + textOf(Change, "author") +
                    "  change " + textOf(Change, "id") + "\n";
  if (Record["lines"].isArray())
    for (const Json::Value &Line : Record["lines"])
      if (Line.isString())
        Out += "    " + Line.asString() + "\n";
  return Out;
}

std::string statusText(const ConfigurationStatus &Row) {
  if (!Row.Reachable)
    return Row.Endpoint.Value + "  does not answer\n";
  std::string Out = Row.Endpoint.Value + "  revision " +
                    std::to_string(Row.Number.Value) + "  for " +
                    std::to_string(Row.InForceMs / 1000) + " s";
  if (Row.Watching)
    Out += "  watching";
  if (!Row.Rejected.empty())
    Out += "  rejected revision " + std::to_string(Row.RejectedNumber.Value) +
           ": " + Row.Rejected;
  return Out + "\n";
}

Json::Value statusJson(const ConfigurationStatus &Row) {
  Json::Value V(Json::objectValue);
  V["address"] = Row.Endpoint.Value;
  V["reachable"] = Row.Reachable;
  if (!Row.Reachable)
    return V;
  V["revision"] = Json::UInt64(Row.Number.Value);
  V["in_force_ms"] = Json::Int64(Row.InForceMs);
  V["watching"] = Row.Watching;
  if (!Row.Rejected.empty()) {
    V["rejected"]["revision"] = Json::UInt64(Row.RejectedNumber.Value);
    V["rejected"]["message"] = Row.Rejected;
  }
  return V;
}

} // namespace

Result<std::string> readToolFile(const std::string &Name) {
  if (Name == "-")
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  std::ifstream In(Name, std::ios::binary);
  std::string Text(std::istreambuf_iterator<char>(In), {});
  if (!In)
    return Error{ErrorKind::NotFound, "can't read '" + Name + "'",
                 "give a readable file, or - for standard input"};
  return Text;
}

std::string currentTimeText() {
  time_t Now = time(nullptr);
  tm Parts{};
  gmtime_r(&Now, &Parts);
  char Text[32];
  strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text;
}

Error conflictError(std::string_view CurrentText) {
  Result<Configuration> Current = parseConfiguration(CurrentText);
  std::string By = "its document can't be read";
  if (!failed(Current)) {
    const ConfigurationChange &Change = valueOf(Current).Change;
    By = "change " + Change.Id.Value + " by " + Change.Author + " at " +
         Change.Time;
  }
  return {ErrorKind::RevisionConflict,
          "the document was changed concurrently, so nothing was written: " +
              By,
          "read it by: snipeshunt config get, and repeat the change on that "
          "document"};
}

std::string formatHistory(std::vector<EtcdValue> Records, bool AsJson) {
  std::sort(Records.begin(), Records.end(),
            [](const EtcdValue &L, const EtcdValue &R) {
              return L.ModRevision < R.ModRevision;
            });
  std::string Out;
  for (const EtcdValue &Record : Records) {
    Result<Json::Value> Parsed = parseJson(Record.Value);
    if (failed(Parsed) || !valueOf(Parsed).isObject())
      continue;
    Json::Value &V = valueOf(Parsed);
    V["revision"] = Json::UInt64(Record.ModRevision.Value);
    Out += AsJson ? writeJson(V) + "\n" : historyLine(Record.ModRevision, V);
  }
  return Out;
}

std::vector<Address> presentInstances(const Json::Value &Body) {
  std::vector<Address> Out;
  if (!Body.isObject() || !Body["instances"].isArray())
    return Out;
  for (const Json::Value &Record : Body["instances"]) {
    std::string Endpoint = textOf(Record, "address");
    if (!Endpoint.empty() && textOf(Record, "state") != "left")
      Out.push_back({std::move(Endpoint)});
  }
  return Out;
}

ConfigurationStatus readConfigurationStatus(const Address &Endpoint,
                                            const Json::Value &Body) {
  ConfigurationStatus Out;
  Out.Endpoint = Endpoint;
  Out.Reachable = Body.isObject() && Body["revision"].isUInt64() &&
                  Body["in_force_ms"].isInt64();
  if (!Out.Reachable)
    return Out;
  Out.Number.Value = Body["revision"].asUInt64();
  Out.InForceMs = Body["in_force_ms"].asInt64();
  Out.Watching = Body["watching"].isBool() && Body["watching"].asBool();
  const Json::Value &Rejected = Body["rejected"];
  Out.Rejected = textOf(Rejected, "message");
  if (!Out.Rejected.empty() && Rejected["revision"].isUInt64())
    Out.RejectedNumber.Value = Rejected["revision"].asUInt64();
  return Out;
}

std::string
formatConfigurationStatus(const std::vector<ConfigurationStatus> &Rows,
                          bool AsJson) {
  std::string Out;
  Json::Value List(Json::arrayValue);
  for (const ConfigurationStatus &Row : Rows) {
    Out += statusText(Row);
    List.append(statusJson(Row));
  }
  if (!AsJson)
    return Out;
  Json::Value V(Json::objectValue);
  V["instances"] = std::move(List);
  return writeJson(V) + "\n";
}

bool haveSameRevision(const std::vector<ConfigurationStatus> &Rows) {
  return std::all_of(Rows.begin(), Rows.end(), [&](const auto &Row) {
    return Row.Reachable && Row.Rejected.empty() &&
           Row.Number == Rows.front().Number;
  });
}

} // namespace snipeshunt
