/// \file Lookup of the values that apply, and differences between documents.
#include "configuration/configuration_func.h"

#include "configuration/configuration_table.h"
#include "core/json_func.h"

#include <algorithm>
#include <cstdio>

namespace snipeshunt {

namespace {

/// Value of the exception for \p Setting of the object \p Name. A linear scan
/// is fast enough: there are at most `MaxExceptions`, and comparing the enum
/// `Setting` first skips most string comparisons.
std::optional<double> exceptionValue(const Configuration &C,
                                     ExceptionSetting Setting,
                                     const std::string &Name) {
  for (const PolicyException &E : C.Exceptions)
    if (E.Setting == Setting && E.Name == Name)
      return E.Value;
  return std::nullopt;
}

/// Decimal text with up to 15 significant digits, for instance 0.7 or 4000.
std::string numberText(double Value) {
  char Text[32];
  snprintf(Text, sizeof(Text), "%.15g", Value);
  return Text;
}

std::string exceptionLine(const char *Sign, const PolicyException &E) {
  std::string Line = std::string(Sign) + " exception " + E.Id.Value + ": ";
  for (const ScopeRow &Row : ScopeTable)
    if (Row.Scope == E.Scope)
      Line += std::string(Row.Name) + " ";
  Line += E.Name + ", ";
  for (const SettingRow &Row : SettingTable)
    if (Row.Setting == E.Setting)
      Line += Row.Name;
  return Line + " = " + numberText(E.Value) + " (" + E.Reason + "; " +
         E.Author + ", " + E.Time + ")";
}

/// Appends a line for each exception of \p From that has no equal in \p In.
void appendUnmatched(const char *Sign, const Configuration &From,
                     const Configuration &In, std::vector<std::string> &Lines) {
  for (const PolicyException &E : From.Exceptions) {
    std::string Line = exceptionLine(Sign, E);
    bool Found = std::any_of(In.Exceptions.begin(), In.Exceptions.end(),
                             [&](const PolicyException &Other) {
                               return exceptionLine(Sign, Other) == Line;
                             });
    if (!Found)
      Lines.push_back(std::move(Line));
  }
}

} // namespace

int64_t teamQuota(const Configuration &C, const Team &Name) {
  auto Value = exceptionValue(C, ExceptionSetting::TeamQuotaTasks, Name.Value);
  return Value ? static_cast<int64_t>(*Value)
               : C.Defaults.DefaultTeamQuotaTasks;
}

double teamWeight(const Configuration &C, const Team &Name) {
  return exceptionValue(C, ExceptionSetting::TeamWeight, Name.Value)
      .value_or(C.Defaults.TeamWeight);
}

std::optional<std::chrono::milliseconds> expectedTime(const Configuration &C,
                                                      const TaskKind &Kind) {
  auto Value = exceptionValue(C, ExceptionSetting::ExpectedMs, Kind.Value);
  if (!Value)
    return std::nullopt;
  return std::chrono::milliseconds(static_cast<int64_t>(*Value));
}

std::chrono::milliseconds taskTimeout(const Configuration &C,
                                      const TaskKind &Kind) {
  auto Value = exceptionValue(C, ExceptionSetting::TaskTimeoutMs, Kind.Value);
  return Value ? std::chrono::milliseconds(static_cast<int64_t>(*Value))
               : C.Defaults.DefaultTaskTimeout;
}

bool upstreamLeaving(const Configuration &C, const Address &Upstream) {
  return exceptionValue(C, ExceptionSetting::Leaving, Upstream.Value) == 1.0;
}

std::optional<int64_t> upstreamSlots(const Configuration &C,
                                     const Address &Upstream) {
  auto Value = exceptionValue(C, ExceptionSetting::Slots, Upstream.Value);
  if (!Value)
    return std::nullopt;
  return static_cast<int64_t>(*Value);
}

bool acceptsForeignWork(const Configuration &C, const DataCentre &Centre) {
  return exceptionValue(C, ExceptionSetting::AcceptForeignWork, Centre.Value) !=
         0.0;
}

std::vector<std::string> diffConfigurations(const Configuration &Old,
                                            const Configuration &New) {
  std::vector<std::string> Lines;
  for (const DefaultRow &Row : DefaultTable) {
    double Before = defaultValue(Old.Defaults, Row);
    double After = defaultValue(New.Defaults, Row);
    if (Before != After)
      Lines.push_back(std::string("defaults.") + Row.Name + ": " +
                      numberText(Before) + " -> " + numberText(After));
  }
  appendUnmatched("-", Old, New, Lines);
  appendUnmatched("+", New, Old, Lines);
  return Lines;
}

} // namespace snipeshunt
