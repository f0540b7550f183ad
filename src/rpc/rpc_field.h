/// \file Encodes and decodes fields that several messages have.
#ifndef SNIPESHUNT_RPC_RPC_FIELD_H
#define SNIPESHUNT_RPC_RPC_FIELD_H

#include "core/json_func.h"
#include "handover/handover_type.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace snipeshunt {

constexpr size_t MaxTextLength = 256;
constexpr size_t MaxPayloadBytes = 16 << 20;
// Longest duration in a message, 30 days. The bound keeps arithmetic with
// clocks from overflowing.
constexpr int64_t MaxDurationMs = 30LL * 24 * 3600 * 1000;

/// Reads a duration in milliseconds from 0 to `MaxDurationMs`.
inline void readMs(ObjectReader &Reader, const char *Name,
                   std::chrono::milliseconds &Out) {
  int64_t Value = 0;
  Reader.integer(Name, Value, 0, MaxDurationMs);
  Out = std::chrono::milliseconds(Value);
}

/// Reads a number from 0 to 2^32-1.
inline void readCount(ObjectReader &Reader, const char *Name, uint32_t &Out) {
  int64_t Value = 0;
  Reader.integer(Name, Value, 0, UINT32_MAX);
  Out = static_cast<uint32_t>(Value);
}

/// Reads an enumerator that is sent as its number; \p Last is the highest.
template <typename E>
void readEnum(ObjectReader &Reader, const char *Name, E &Out, E Last) {
  int64_t Value = 0;
  Reader.integer(Name, Value, 0, static_cast<int64_t>(Last));
  Out = static_cast<E>(Value);
}

/// Reads an array of at most \p MaxLength items, each by \p Decode. The first
/// error in an item becomes the error of \p Reader.
template <typename T, typename F>
void readList(ObjectReader &Reader, const char *Name, size_t MaxLength,
              std::vector<T> &Out, F Decode) {
  const Json::Value *List = Reader.array(Name, MaxLength);
  if (!List)
    return;
  for (const Json::Value &Item : *List) {
    Result<T> Decoded = Decode(Item);
    if (failed(Decoded)) {
      Reader.fail(errorOf(Decoded));
      return;
    }
    Out.push_back(std::move(valueOf(Decoded)));
  }
}

template <typename T, typename F>
Json::Value encodeList(const std::vector<T> &Items, F Encode) {
  Json::Value List(Json::arrayValue);
  for (const T &Item : Items)
    List.append(Encode(Item));
  return List;
}

/// Returns \p Value, or the first error that \p Reader has found.
template <typename T> Result<T> finishReading(ObjectReader &Reader, T Value) {
  if (std::optional<Error> Problem = Reader.finish())
    return *Problem;
  return Value;
}

inline Json::Value encodeTaskKey(const TaskKey &Key) {
  Json::Value V(Json::objectValue);
  V["home"] = Json::UInt64(Key.Home.Value);
  V["job"] = Json::UInt64(Key.Job.Value);
  V["index"] = Key.Index.Value;
  return V;
}

inline void readTaskKey(ObjectReader &Reader, TaskKey &Out) {
  Reader.unsignedId("home", Out.Home.Value).unsignedId("job", Out.Job.Value);
  readCount(Reader, "index", Out.Index.Value);
}

inline Json::Value encodeLoad(const LoadReport &Load) {
  Json::Value V(Json::objectValue);
  V["free_slots"] = Load.FreeSlots;
  V["total_slots"] = Load.TotalSlots;
  V["waiting_tasks"] = Load.WaitingTasks;
  V["expected_wait_ms"] = Json::Int64(Load.ExpectedWait.count());
  return V;
}

inline void readLoad(ObjectReader &Reader, const char *Name, LoadReport &Out) {
  const Json::Value *Value = Reader.object(Name);
  if (!Value)
    return;
  ObjectReader Inner(*Value, Name);
  readCount(Inner, "free_slots", Out.FreeSlots);
  readCount(Inner, "total_slots", Out.TotalSlots);
  readCount(Inner, "waiting_tasks", Out.WaitingTasks);
  readMs(Inner, "expected_wait_ms", Out.ExpectedWait);
  if (std::optional<Error> Problem = Inner.finish())
    Reader.fail(*Problem);
}

} // namespace snipeshunt

#endif // SNIPESHUNT_RPC_RPC_FIELD_H
