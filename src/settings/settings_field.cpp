/// \file Reads fields that the settings files of both modes have.
#include "settings/settings_field.h"

#include "http/http_address.h"
#include "settings/settings_table.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace snipeshunt {

namespace {

constexpr size_t MaxAddressLength = 64;
constexpr size_t MaxNameLength = 64;
constexpr const char *AllowedAddress =
    "IPv4 number and port from 1 to 65535, for instance 10.0.0.5:7070";

} // namespace

void readOptionalAddress(ObjectReader &Reader, const char *Name, Address &Out) {
  Address Text;
  Reader.optionalString(Name, Text.Value, MaxAddressLength);
  if (!Reader.has(Name))
    return;
  Result<HostPort> Parts = parseAddress(Text);
  if (failed(Parts) || valueOf(Parts).Port == 0)
    return Reader.fail(Name, AllowedAddress);
  Out = Text;
}

void readRequiredAddress(ObjectReader &Reader, const char *Name, Address &Out) {
  std::string Text;
  Reader.string(Name, Text, MaxAddressLength);
  readOptionalAddress(Reader, Name, Out);
}

void readLogLevel(ObjectReader &Top, LogLevel &Out) {
  const Json::Value *Object = Top.optionalObject("log");
  if (!Object)
    return;
  ObjectReader Reader(*Object, "log");
  std::string Text = "info";
  Reader.optionalString("level", Text, MaxNameLength);
  const auto *Row =
      std::find_if(std::begin(LogLevelTable), std::end(LogLevelTable),
                   [&](const LogLevelRow &R) { return Text == R.Name; });
  if (Row == std::end(LogLevelTable))
    Reader.fail("level", "error, warning, info or debug");
  else
    Out = Row->Level;
  if (std::optional<Error> Problem = Reader.finish())
    Top.fail(*Problem);
}

Error withFileName(Error E, std::string_view FileName) {
  E.Message = std::string(FileName) + ": " + E.Message + "; " + E.Remedy;
  return E;
}

Result<Json::Value> parseSettingsText(std::string_view Text,
                                      std::string_view FileName) {
  Result<Json::Value> Parsed = parseJson(Text, JsonComments::Accept);
  if (!failed(Parsed))
    return Parsed;
  Error E = errorOf(Parsed);
  E.Remedy = "give one JSON object, without duplicate keys";
  return withFileName(std::move(E), FileName);
}

Result<std::string> readSettingsFile(const std::string &FileName) {
  std::ifstream File(FileName, std::ios::binary);
  std::string Text;
  char Chunk[4096];
  while (File.read(Chunk, sizeof(Chunk)) || File.gcount() > 0)
    Text.append(Chunk, static_cast<size_t>(File.gcount()));
  if (!File.is_open() || File.bad())
    return withFileName({ErrorKind::NotFound, "the settings file can't be read",
                         "check its name and permissions"},
                        FileName);
  return Text;
}

} // namespace snipeshunt
