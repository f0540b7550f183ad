/// \file Validation of configuration documents.
#include "configuration/configuration_func.h"
#include "configuration/configuration_table.h"
#include "http/http_address.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace snipeshunt {

namespace {

constexpr size_t MaxNameCharacters = 128;
constexpr size_t MinReasonCharacters = 10;
constexpr size_t MaxReasonCharacters = 500;
constexpr size_t ChangeIdDigits = 16;

/// Returns the error for \p Field; \p Accepted describes the accepted values.
std::optional<Error> invalidField(const std::string &Field,
                                  const std::string &Accepted) {
  return Error{ErrorKind::InvalidField,
               "field '" + Field + "' has a wrong value", "give " + Accepted};
}

/// Number of UTF-8 characters without leading and trailing spaces.
size_t countCharacters(std::string_view Text) {
  size_t Begin = Text.find_first_not_of(' ');
  if (Begin == std::string_view::npos)
    return 0;
  Text = Text.substr(Begin, Text.find_last_not_of(' ') - Begin + 1);
  return std::count_if(Text.begin(), Text.end(),
                       [](char C) { return (C & 0xC0) != 0x80; });
}

// A line break would split the lines of `diffConfigurations`.
bool hasControlCharacter(std::string_view Text) {
  return std::any_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C < 0x20 || C == 0x7f; });
}

std::optional<Error> checkText(const std::string &Field, std::string_view Text,
                               size_t Min, size_t Max) {
  size_t Count = countCharacters(Text);
  if (Count >= Min && Count <= Max && !hasControlCharacter(Text))
    return std::nullopt;
  return invalidField(Field,
                      "one line of " + std::to_string(Min) + " to " +
                          std::to_string(Max) +
                          " characters, not counting spaces at its ends");
}

std::optional<Error> checkTime(const std::string &Field,
                               std::string_view Text) {
  if (isRfc3339Time(Text))
    return std::nullopt;
  return invalidField(Field, "a time as in RFC 3339, for instance "
                             "2025-01-31T12:00:00Z");
}

std::optional<Error> checkChange(const ConfigurationChange &Change) {
  const std::string &Id = Change.Id.Value;
  if (Id.size() != ChangeIdDigits ||
      Id.find_first_not_of("0123456789abcdef") != std::string::npos)
    return invalidField("change.id", "16 hexadecimal digits in lower case");
  if (auto E = checkText("change.author", Change.Author, 1, MaxNameCharacters))
    return E;
  return checkTime("change.time", Change.Time);
}

std::string rangeText(double Min, double Max, bool Whole) {
  Json::Value Low = Min;
  Json::Value High = Max;
  if (std::floor(Min) == Min)
    Low = static_cast<Json::Int64>(Min);
  if (std::floor(Max) == Max)
    High = static_cast<Json::Int64>(Max);
  return std::string(Whole ? "a whole number" : "a number") + " from " +
         Low.asString() + " to " + High.asString();
}

/// Returns false for NaN too, hence no negated comparison.
bool inRange(double Value, double Min, double Max, bool Whole) {
  return Value >= Min && Value <= Max && (!Whole || std::floor(Value) == Value);
}

std::optional<Error> checkDefaults(const PolicyDefaults &D) {
  for (const DefaultRow &Row : DefaultTable)
    if (auto E = checkDefaultValue(Row, defaultValue(D, Row)))
      return E;
  if (D.DefaultPatience > D.MaxPatience)
    return invalidField("defaults.default_patience_ms",
                        "at most max_patience_ms, which is " +
                            std::to_string(D.MaxPatience.count()));
  if (D.ProbePause > D.ProbePauseMax)
    return invalidField("defaults.probe_pause_ms",
                        "at most probe_pause_max_ms, which is " +
                            std::to_string(D.ProbePauseMax.count()));
  return std::nullopt;
}

std::optional<Error> checkSetting(const std::string &Path,
                                  const PolicyException &E) {
  std::string Allowed;
  for (const SettingRow &Row : SettingTable) {
    if (Row.Scope != E.Scope)
      continue;
    Allowed += (Allowed.empty() ? "" : " or ") + std::string(Row.Name);
    if (Row.Setting != E.Setting)
      continue;
    if (inRange(E.Value, Row.Min, Row.Max, Row.Whole))
      return std::nullopt;
    return invalidField(Path + "value", rangeText(Row.Min, Row.Max, Row.Whole));
  }
  return invalidField(Path + "setting", Allowed + " for this scope");
}

std::optional<Error> checkException(const std::string &Path,
                                    const PolicyException &E) {
  if (auto P = checkText(Path + "id", E.Id.Value, 1, MaxNameCharacters))
    return P;
  if (auto P = checkText(Path + "name", E.Name, 1, MaxNameCharacters))
    return P;
  if (E.Scope == ExceptionScope::Upstream &&
      failed(parseAddress(Address{E.Name})))
    return invalidField(Path + "name", "the upstream's IPv4 number and port");
  if (auto P = checkSetting(Path, E))
    return P;
  if (auto P = checkText(Path + "reason", E.Reason, MinReasonCharacters,
                         MaxReasonCharacters))
    return P;
  if (auto P = checkText(Path + "author", E.Author, 1, MaxNameCharacters))
    return P;
  return checkTime(Path + "time", E.Time);
}

/// Rejects duplicate ids, and two exceptions for the same setting of the same
/// object, because it would be ambiguous which of them applies.
std::optional<Error> checkUnique(const std::vector<PolicyException> &List) {
  std::set<ExceptionId> Ids;
  std::set<std::tuple<ExceptionScope, std::string, ExceptionSetting>> Targets;
  for (size_t I = 0; I < List.size(); ++I) {
    const PolicyException &E = List[I];
    std::string Path = "exceptions[" + std::to_string(I) + "].";
    if (!Ids.insert(E.Id).second)
      return invalidField(Path + "id", "an id that no other exception has, '" +
                                           E.Id.Value + "' is taken");
    if (!Targets.insert({E.Scope, E.Name, E.Setting}).second)
      return invalidField(Path + "setting",
                          "each setting of '" + E.Name +
                              "' once, remove the earlier exception first");
  }
  return std::nullopt;
}

/// Parses \p Count digits at offset \p At; returns -1 if there are fewer.
int parseDigits(std::string_view Text, size_t At, size_t Count) {
  if (At + Count > Text.size())
    return -1;
  int Value = 0;
  for (char C : Text.substr(At, Count)) {
    if (C < '0' || C > '9')
      return -1;
    Value = Value * 10 + (C - '0');
  }
  return Value;
}

bool between(int Value, int Min, int Max) {
  return Value >= Min && Value <= Max;
}

bool startsWithDate(std::string_view Text) {
  static constexpr int Days[] = {31, 28, 31, 30, 31, 30,
                                 31, 31, 30, 31, 30, 31};
  int Year = parseDigits(Text, 0, 4);
  int Month = parseDigits(Text, 5, 2);
  if (Year < 0 || !between(Month, 1, 12) || Text[4] != '-' || Text[7] != '-')
    return false;
  bool Leap = (Year % 4 == 0 && Year % 100 != 0) || Year % 400 == 0;
  int Last = Days[Month - 1] + (Month == 2 && Leap ? 1 : 0);
  return between(parseDigits(Text, 8, 2), 1, Last);
}

bool isTimeOffset(std::string_view Text) {
  if (Text == "Z" || Text == "z")
    return true;
  return Text.size() == 6 && (Text[0] == '+' || Text[0] == '-') &&
         Text[3] == ':' && between(parseDigits(Text, 1, 2), 0, 23) &&
         between(parseDigits(Text, 4, 2), 0, 59);
}

} // namespace

bool isRfc3339Time(std::string_view Text) {
  constexpr size_t SecondsEnd = 19;
  if (Text.size() <= SecondsEnd || !startsWithDate(Text) ||
      (Text[10] != 'T' && Text[10] != 't') || Text[13] != ':' ||
      Text[16] != ':')
    return false;
  // RFC 3339 writes a leap second as 60.
  if (!between(parseDigits(Text, 11, 2), 0, 23) ||
      !between(parseDigits(Text, 14, 2), 0, 59) ||
      !between(parseDigits(Text, 17, 2), 0, 60))
    return false;
  std::string_view Rest = Text.substr(SecondsEnd);
  if (Rest[0] == '.') {
    size_t End = Rest.find_first_not_of("0123456789", 1);
    if (End == std::string_view::npos || End == 1)
      return false;
    Rest = Rest.substr(End);
  }
  return isTimeOffset(Rest);
}

std::optional<Error> checkDefaultValue(const DefaultRow &Row, double Value) {
  if (inRange(Value, Row.Min, Row.Max, isWhole(Row)))
    return std::nullopt;
  return invalidField(std::string("defaults.") + Row.Name,
                      rangeText(Row.Min, Row.Max, isWhole(Row)));
}

std::optional<Error> checkConfiguration(const Configuration &C) {
  if (auto E = checkChange(C.Change))
    return E;
  if (auto E = checkDefaults(C.Defaults))
    return E;
  if (C.Exceptions.size() > MaxExceptions)
    return invalidField("exceptions", "at most " +
                                          std::to_string(MaxExceptions) +
                                          " exceptions, remove one first");
  for (size_t I = 0; I < C.Exceptions.size(); ++I)
    if (auto E = checkException("exceptions[" + std::to_string(I) + "].",
                                C.Exceptions[I]))
      return E;
  return checkUnique(C.Exceptions);
}

} // namespace snipeshunt
