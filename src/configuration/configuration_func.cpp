/// \file Reading and writing configuration documents.
#include "configuration/configuration_func.h"

#include "configuration/configuration_table.h"
#include "core/json_func.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace snipeshunt {

namespace {

constexpr size_t MaxTextBytes = 4096;
constexpr double AnyNumber = std::numeric_limits<double>::max();

void readChange(ObjectReader &Top, ConfigurationChange &Out) {
  const Json::Value *Object = Top.object("change");
  if (!Object)
    return;
  ObjectReader Reader(*Object, "change");
  Reader.string("id", Out.Id.Value, MaxTextBytes)
      .string("author", Out.Author, MaxTextBytes)
      .string("time", Out.Time, MaxTextBytes);
  if (std::optional<Error> Problem = Reader.finish())
    Top.fail(*Problem);
}

void readDefaults(ObjectReader &Top, PolicyDefaults &Out) {
  const Json::Value *Object = Top.optionalObject("defaults");
  if (!Object)
    return;
  ObjectReader Reader(*Object, "defaults");
  for (const DefaultRow &Row : DefaultTable) {
    double Value = defaultValue(Out, Row);
    if (isWhole(Row)) {
      int64_t Whole = static_cast<int64_t>(Value);
      Reader.optionalInteger(Row.Name, Whole, static_cast<int64_t>(Row.Min),
                             static_cast<int64_t>(Row.Max));
      Value = static_cast<double>(Whole);
    } else {
      Reader.optionalNumber(Row.Name, Value, Row.Min, Row.Max);
    }
    storeDefault(Out, Row, Value);
  }
  if (std::optional<Error> Problem = Reader.finish())
    Top.fail(*Problem);
}

/// Reads the text field \p Name and returns the row of \p Table that has this
/// text as its name; reports an error to \p Reader and returns null if none.
template <typename Row, size_t Size>
const Row *readTableName(ObjectReader &Reader, const char *Name,
                         const Row (&Table)[Size]) {
  std::string Text;
  Reader.string(Name, Text, MaxTextBytes);
  std::string Allowed;
  for (const Row &R : Table) {
    if (Text == R.Name)
      return &R;
    Allowed += (Allowed.empty() ? "" : ", ") + std::string(R.Name);
  }
  Reader.fail(Name, "one of " + Allowed);
  return nullptr;
}

std::optional<Error> readException(const Json::Value &Item, std::string Path,
                                   PolicyException &Out) {
  ObjectReader Reader(Item, std::move(Path));
  Reader.string("id", Out.Id.Value, MaxTextBytes);
  if (const ScopeRow *Row = readTableName(Reader, "scope", ScopeTable))
    Out.Scope = Row->Scope;
  Reader.string("name", Out.Name, MaxTextBytes);
  if (const SettingRow *Row = readTableName(Reader, "setting", SettingTable))
    Out.Setting = Row->Setting;
  Reader.optionalNumber("value", Out.Value, -AnyNumber, AnyNumber);
  if (!Reader.has("value"))
    Reader.fail("value", "a number");
  Reader.string("reason", Out.Reason, MaxTextBytes)
      .string("author", Out.Author, MaxTextBytes)
      .string("time", Out.Time, MaxTextBytes);
  return Reader.finish();
}

void readExceptions(ObjectReader &Top, std::vector<PolicyException> &Out) {
  const Json::Value *List = Top.optionalArray("exceptions", MaxExceptions);
  if (!List)
    return;
  for (Json::ArrayIndex I = 0; I < List->size(); ++I) {
    PolicyException Read;
    if (auto Problem = readException(
            (*List)[I], "exceptions[" + std::to_string(I) + "]", Read))
      return Top.fail(*Problem);
    Out.push_back(std::move(Read));
  }
}

Json::Value exceptionToJson(const PolicyException &E) {
  Json::Value Out(Json::objectValue);
  Out["id"] = E.Id.Value;
  for (const ScopeRow &Row : ScopeTable)
    if (Row.Scope == E.Scope)
      Out["scope"] = Row.Name;
  Out["name"] = E.Name;
  for (const SettingRow &Row : SettingTable)
    if (Row.Setting == E.Setting) {
      Out["setting"] = Row.Name;
      if (Row.Whole)
        Out["value"] = static_cast<Json::Int64>(E.Value);
      else
        Out["value"] = E.Value;
    }
  Out["reason"] = E.Reason;
  Out["author"] = E.Author;
  Out["time"] = E.Time;
  return Out;
}

} // namespace

const DefaultRow *findDefault(std::string_view Name) {
  const auto *Row =
      std::find_if(std::begin(DefaultTable), std::end(DefaultTable),
                   [&](const DefaultRow &R) { return Name == R.Name; });
  return Row == std::end(DefaultTable) ? nullptr : Row;
}

bool isWhole(const DefaultRow &Row) {
  return !std::holds_alternative<DefaultRow::Number>(Row.Member);
}

double defaultValue(const PolicyDefaults &Defaults, const DefaultRow &Row) {
  if (const auto *Count = std::get_if<DefaultRow::Count>(&Row.Member))
    return static_cast<double>(Defaults.**Count);
  if (const auto *Time = std::get_if<DefaultRow::Time>(&Row.Member))
    return static_cast<double>((Defaults.**Time).count());
  return Defaults.**std::get_if<DefaultRow::Number>(&Row.Member);
}

void storeDefault(PolicyDefaults &Defaults, const DefaultRow &Row,
                  double Value) {
  if (const auto *Count = std::get_if<DefaultRow::Count>(&Row.Member))
    Defaults.**Count = static_cast<int64_t>(Value);
  else if (const auto *Time = std::get_if<DefaultRow::Time>(&Row.Member))
    Defaults.**Time = std::chrono::milliseconds(static_cast<int64_t>(Value));
  else
    Defaults.**std::get_if<DefaultRow::Number>(&Row.Member) = Value;
}

Result<Configuration> parseConfiguration(std::string_view Text) {
  if (Text.size() > MaxDocumentBytes)
    return Error{ErrorKind::BodyTooLarge,
                 "the configuration has " + std::to_string(Text.size()) +
                     " bytes",
                 "give at most " + std::to_string(MaxDocumentBytes)};
  Result<Json::Value> Parsed = parseJson(Text);
  if (failed(Parsed))
    return errorOf(Parsed);
  ObjectReader Top(valueOf(Parsed), "");
  Configuration C;
  readChange(Top, C.Change);
  readDefaults(Top, C.Defaults);
  readExceptions(Top, C.Exceptions);
  if (std::optional<Error> Problem = Top.finish())
    return *Problem;
  if (std::optional<Error> Problem = checkConfiguration(C))
    return *Problem;
  return C;
}

Json::Value changeToJson(const ConfigurationChange &Change) {
  Json::Value Out(Json::objectValue);
  Out["id"] = Change.Id.Value;
  Out["author"] = Change.Author;
  Out["time"] = Change.Time;
  return Out;
}

std::string writeConfiguration(const Configuration &C) {
  Json::Value Root(Json::objectValue);
  Root["change"] = changeToJson(C.Change);
  for (const DefaultRow &Row : DefaultTable) {
    double Value = defaultValue(C.Defaults, Row);
    if (isWhole(Row))
      Root["defaults"][Row.Name] = static_cast<Json::Int64>(Value);
    else
      Root["defaults"][Row.Name] = Value;
  }
  Root["exceptions"] = Json::Value(Json::arrayValue);
  for (const PolicyException &E : C.Exceptions)
    Root["exceptions"].append(exceptionToJson(E));
  // With 15 significant digits, 0.7 is written as the operator entered it. If
  // a value doesn't survive the round trip, all are written with the 17 digits
  // that identify every double.
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  Builder["emitUTF8"] = true;
  Builder["precision"] = 15;
  std::string Text = Json::writeString(Builder, Root);
  Result<Json::Value> Read = parseJson(Text);
  return !failed(Read) && valueOf(Read) == Root ? Text : writeJson(Root);
}

} // namespace snipeshunt
