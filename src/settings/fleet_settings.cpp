/// \file Reads the settings of an instance of a fleet of cells.
#include "settings/fleet_settings_func.h"

#include "settings/settings_field.h"

#include <algorithm>

namespace snipeshunt {

namespace {

constexpr size_t MaxName = 128;
constexpr size_t MaxSeeds = 64;
constexpr double MaxWeight = 1024;
// The smallest value leaves room for a request of the largest size.
constexpr int64_t MinBufferedBytes = 1 << 20;
constexpr int64_t MaxBufferedBytes = int64_t(1) << 36;
constexpr int64_t MinJobBytes = 1 << 20;
// Memory of the smallest machine, for which the defaults are made.
constexpr double MinMemoryMb = 120;
constexpr double MaxMemoryMb = 1 << 20;
constexpr int64_t MinConnections = 16;
constexpr int64_t MaxConnections = 1000000;

void readTime(ObjectReader &Reader, const char *Name,
              std::chrono::milliseconds &Out, int64_t Min, int64_t Max) {
  int64_t Value = Out.count();
  Reader.optionalInteger(Name, Value, Min, Max);
  Out = std::chrono::milliseconds(Value);
}

void readBounds(ObjectReader &Top, FleetBounds &Out) {
  const Json::Value *Object = Top.optionalObject("bounds");
  if (!Object)
    return;
  ObjectReader Reader(*Object, "bounds");
  readTime(Reader, "max_lease_ms", Out.MaxLease, 100, 60000);
  readTime(Reader, "stop_timeout_ms", Out.StopTimeout, 1, 10000);
  readTime(Reader, "drain_notice_ms", Out.DrainNotice, 100, 600000);
  if (Reader.has("evacuate_ms")) {
    std::chrono::milliseconds Evacuate{0};
    readTime(Reader, "evacuate_ms", Evacuate, 100, 600000);
    Out.Evacuate = Evacuate;
  }
  double GraceSeconds = static_cast<double>(Out.Grace.count()) / 1000;
  Reader.optionalNumber("grace_s", GraceSeconds, 1, 600);
  Out.Grace =
      std::chrono::milliseconds(static_cast<int64_t>(GraceSeconds * 1000));
  if (std::optional<Error> Problem = Reader.finish())
    Top.fail(*Problem);
}

void readSize(ObjectReader &Reader, const char *Name, size_t &Out, int64_t Min,
              int64_t Max) {
  auto Value = static_cast<int64_t>(Out);
  Reader.optionalInteger(Name, Value, Min, Max);
  Out = static_cast<size_t>(Value);
}

void readLimits(ObjectReader &Top, FleetLimits &Out) {
  const Json::Value *Object = Top.optionalObject("limits");
  if (!Object)
    return;
  ObjectReader Reader(*Object, "limits");
  double MemoryMb = MinMemoryMb;
  Reader.optionalNumber("memory_mb", MemoryMb, 1, MaxMemoryMb);
  Out = limitsForMemory(static_cast<size_t>(MemoryMb * (1 << 20)));
  readSize(Reader, "max_connections", Out.MaxConnections, MinConnections,
           MaxConnections);
  readSize(Reader, "max_peer_connections", Out.MaxPeerConnections,
           MinConnections, MaxConnections);
  readSize(Reader, "max_buffered_bytes", Out.MaxBufferedBytes, MinBufferedBytes,
           MaxBufferedBytes);
  readSize(Reader, "max_job_bytes", Out.MaxJobBytes, MinJobBytes,
           MaxBufferedBytes);
  if (std::optional<Error> Problem = Reader.finish())
    Top.fail(*Problem);
}

void readSeeds(ObjectReader &Top, std::vector<Address> &Out) {
  const Json::Value *List = Top.optionalArray("seeds", MaxSeeds);
  if (!List)
    return;
  for (const Json::Value &Item : *List) {
    if (!Item.isString())
      return Top.fail("seeds", "a list of addresses");
    Out.push_back(Address{Item.asString()});
  }
}

} // namespace

FleetLimits limitsForMemory(size_t Memory) {
  FleetLimits Out;
  double Factor =
      std::max(1.0, static_cast<double>(Memory) / (MinMemoryMb * (1 << 20)));
  auto Scale = [Factor](size_t &Bytes) {
    Bytes = static_cast<size_t>(static_cast<double>(Bytes) * Factor);
  };
  Scale(Out.MaxBufferedBytes);
  Scale(Out.MaxJobBytes);
  return Out;
}

Result<FleetSettings> parseFleetSettings(std::string_view Text,
                                         std::string_view FileName) {
  Result<Json::Value> Parsed = parseSettingsText(Text, FileName);
  if (failed(Parsed))
    return errorOf(Parsed);
  ObjectReader Top(valueOf(Parsed), "");
  FleetSettings S;
  Top.string("name", S.Name, MaxName)
      .string("data_centre", S.Self.Centre.Value, MaxName);
  Top.optionalNumber("weight", S.Self.Weight, 0, MaxWeight);
  readRequiredAddress(Top, "front", S.Front);
  readRequiredAddress(Top, "ready", S.Ready);
  readRequiredAddress(Top, "peers", S.Self.Endpoint);
  S.PeersListen = S.Self.Endpoint;
  readOptionalAddress(Top, "peers_listen", S.PeersListen);
  readRequiredAddress(Top, "store", S.Store);
  readOptionalAddress(Top, "metrics", S.Metrics);
  readSeeds(Top, S.Seeds);
  readBounds(Top, S.Bounds);
  readLimits(Top, S.Limits);
  readLogLevel(Top, S.Level);
  if (std::optional<Error> Problem = Top.finish())
    return withFileName(std::move(*Problem), FileName);
  return S;
}

Result<FleetSettings> loadFleetSettings(const std::string &FileName) {
  Result<std::string> Text = readSettingsFile(FileName);
  if (failed(Text))
    return errorOf(Text);
  return parseFleetSettings(valueOf(Text), FileName);
}

} // namespace snipeshunt
