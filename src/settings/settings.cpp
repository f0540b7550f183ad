/// \file Reads the settings of a daemon of the ticket mode.
#include "settings/settings_func.h"

#include "core/json_func.h"
#include "settings/settings_field.h"
#include "settings/settings_table.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace snipeshunt {

namespace {

constexpr size_t MaxNameLength = 64;
constexpr size_t MinKeyLength = 16;
constexpr size_t MaxKeyLength = 128;
constexpr size_t MaxPeers = 10000;
constexpr size_t MaxUpstreams = 10000;
constexpr int64_t MaxSlots = 1024;
constexpr int64_t MaxAccelerators = 64;

// Names of data centres are part of the text of tickets, so their characters
// are restricted.
bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '_';
}

void readCentre(ObjectReader &Reader, DataCentre &Out) {
  std::string Text;
  Reader.string("data_centre", Text, MaxNameLength);
  if (Text.empty() || !std::all_of(Text.begin(), Text.end(), isNameCharacter))
    return Reader.fail("data_centre", "1 to 64 letters, digits, '-' or '_'");
  Out.Value = std::move(Text);
}

void readFleetKey(ObjectReader &Reader, std::string &Out) {
  Reader.string("fleet_key", Out, MaxKeyLength);
  if (Out.size() < MinKeyLength)
    Reader.fail("fleet_key", "a string of 16 to 128 bytes");
}

/// Reads each item of the array \p Name by \p ReadItem into \p Out. Rejects
/// duplicate addresses, because their other fields could contradict each other.
template <typename Item, typename F>
void readList(ObjectReader &Top, const char *Name, size_t MaxItems,
              std::vector<Item> &Out, F ReadItem) {
  const Json::Value *List = Top.optionalArray(Name, MaxItems);
  if (!List)
    return;
  std::set<Address> Seen;
  for (Json::ArrayIndex I = 0; I < List->size(); ++I) {
    ObjectReader Reader((*List)[I],
                        std::string(Name) + "[" + std::to_string(I) + "]");
    Item Read;
    readRequiredAddress(Reader, "address", Read.Endpoint);
    readCentre(Reader, Read.Centre);
    ReadItem(Reader, Read);
    if (!Seen.insert(Read.Endpoint).second)
      Reader.fail("address", "each address once");
    if (std::optional<Error> Problem = Reader.finish())
      return Top.fail(*Problem);
    Out.push_back(std::move(Read));
  }
}

void readLimits(ObjectReader &Top, DaemonLimits &Out) {
  const Json::Value *Object = Top.optionalObject("limits");
  if (!Object)
    return;
  ObjectReader Reader(*Object, "limits");
  for (const LimitRow &Row : LimitTable) {
    if (const auto *Count = std::get_if<LimitRow::Count>(&Row.Member)) {
      Reader.optionalInteger(Row.Name, Out.**Count, Row.Min, Row.Max);
    } else if (const auto *Time = std::get_if<LimitRow::Time>(&Row.Member)) {
      int64_t Value = (Out.**Time).count();
      Reader.optionalInteger(Row.Name, Value, Row.Min, Row.Max);
      Out.**Time = std::chrono::milliseconds(Value);
    }
  }
  if (std::optional<Error> Problem = Reader.finish())
    Top.fail(*Problem);
}

void checkLess(ObjectReader &Top, const char *Name,
               std::chrono::milliseconds Value, const char *LimitName,
               std::chrono::milliseconds Limit) {
  if (Value >= Limit)
    Top.fail(Name, std::string("less than ") + LimitName + ", which is " +
                       std::to_string(Limit.count()));
}

void checkConsistency(ObjectReader &Top, const DaemonSettings &S) {
  const DaemonLimits &L = S.Limits;
  checkLess(Top, "limits.heartbeat_ms", L.HeartbeatInterval,
            "limits.suspect_ms", L.SuspectAfter);
  checkLess(Top, "limits.suspect_ms", L.SuspectAfter, "limits.dead_ms",
            L.DeadAfter);
  checkLess(Top, "limits.status_poll_ms", L.StatusPollInterval,
            "limits.status_fresh_ms", L.StatusMaxAge);
  // The listen address is advertised by default, but other processes can't
  // connect to 0.0.0.0, which means all interfaces of this machine.
  if (S.Advertise.Value.rfind("0.0.0.0:", 0) == 0)
    Top.fail("advertise", "an address that others can reach, not 0.0.0.0");
}

} // namespace

Result<DaemonSettings> parseSettings(std::string_view Text,
                                     std::string_view FileName) {
  Result<Json::Value> Parsed = parseSettingsText(Text, FileName);
  if (failed(Parsed))
    return errorOf(Parsed);
  ObjectReader Top(valueOf(Parsed), "");
  DaemonSettings S;
  readRequiredAddress(Top, "listen", S.Listen);
  S.Advertise = S.Listen;
  readOptionalAddress(Top, "advertise", S.Advertise);
  readCentre(Top, S.Centre);
  readFleetKey(Top, S.FleetKey);
  readList(Top, "peers", MaxPeers, S.Peers,
           [](ObjectReader &, PeerSettings &) {});
  Address Platform;
  readOptionalAddress(Top, "platform", Platform);
  if (!Platform.Value.empty())
    S.Platform = Platform;
  readList(Top, "upstreams", MaxUpstreams, S.Upstreams,
           [](ObjectReader &Reader, UpstreamSettings &U) {
             Reader.optionalInteger("slots", U.Slots, 1, MaxSlots);
             Reader.optionalInteger("accelerators", U.Accelerators, 0,
                                    MaxAccelerators);
           });
  readLimits(Top, S.Limits);
  readLogLevel(Top, S.Level);
  checkConsistency(Top, S);
  if (std::optional<Error> Problem = Top.finish())
    return withFileName(std::move(*Problem), FileName);
  return S;
}

Result<DaemonSettings> loadSettings(const std::string &FileName) {
  Result<std::string> Text = readSettingsFile(FileName);
  if (failed(Text))
    return errorOf(Text);
  return parseSettings(valueOf(Text), FileName);
}

} // namespace snipeshunt
