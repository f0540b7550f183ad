/// \file Encodes and decodes fields that several messages between instances of
/// a fleet of cells have.
#include "rpc/cell_field.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Largest processor time in a load, which is a sum over upstreams.
constexpr int64_t MaxLoadCpu = int64_t{1} << 40;

} // namespace

void readDuration(ObjectReader &Reader, const char *Name, Duration &Out) {
  std::chrono::milliseconds Ms{0};
  readMs(Reader, Name, Ms);
  Out = Ms;
}

Json::Int64 encodeDuration(Duration D) {
  return std::min<int64_t>(toMilliseconds(D), MaxDurationMs);
}

Json::Value encodeLoad(const SenderLoad &Load) {
  Json::Value V(Json::objectValue);
  V["delay_ms"] = encodeDuration(Load.Delay);
  // Peers reject a message with a larger load, as with durations.
  V["free_cpu"] =
      Json::Int64(std::clamp(Load.FreeCpu, -MaxLoadCpu, MaxLoadCpu));
  V["total_cpu"] =
      Json::Int64(std::clamp<int64_t>(Load.TotalCpu, 0, MaxLoadCpu));
  V["waiting"] = Load.Waiting;
  return V;
}

void readSenderLoad(ObjectReader &Reader, SenderLoad &Out) {
  const Json::Value *Value = Reader.object("load");
  if (!Value)
    return;
  ObjectReader Inner(*Value, "load");
  readDuration(Inner, "delay_ms", Out.Delay);
  Inner.integer("free_cpu", Out.FreeCpu, -MaxLoadCpu, MaxLoadCpu)
      .integer("total_cpu", Out.TotalCpu, 0, MaxLoadCpu);
  readCount(Inner, "waiting", Out.Waiting);
  if (std::optional<Error> Problem = Inner.finish())
    Reader.fail(*Problem);
}

void writeResources(Json::Value &V, const Resources &R) {
  V["cpu"] = Json::Int64(R.CpuMillis);
  V["memory_mb"] = Json::Int64(R.MemoryMb);
  V["accelerators"] = Json::Int64(R.Accelerators);
}

void readResources(ObjectReader &Reader, Resources &Out) {
  Reader.integer("cpu", Out.CpuMillis, 0, MaxResourceAmount)
      .integer("memory_mb", Out.MemoryMb, 0, MaxResourceAmount)
      .integer("accelerators", Out.Accelerators, 0, MaxResourceAmount);
}

bool readId(const Json::Value &Value, std::string &Out) {
  if (!Value.isString())
    return false;
  Out = Value.asString();
  return Out.size() <= MaxTextLength;
}

Error idError(const std::string &List) {
  return {ErrorKind::InvalidField, List + " has an item that is not an id",
          "send strings of at most " + std::to_string(MaxTextLength) +
              " bytes"};
}

} // namespace snipeshunt
