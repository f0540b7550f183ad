/// \file Encodes and decodes fields that several messages between instances of
/// a fleet of cells have.
#ifndef SNIPESHUNT_RPC_CELL_FIELD_H
#define SNIPESHUNT_RPC_CELL_FIELD_H

#include "rpc/rpc_field.h"
#include "sender/sender_type.h"

#include <string>
#include <utility>
#include <vector>

namespace snipeshunt {

constexpr size_t MaxListLength = 20000;

/// Reads a duration in milliseconds from 0 to `MaxDurationMs`.
void readDuration(ObjectReader &Reader, const char *Name, Duration &Out);

/// Returns \p D in milliseconds. Peers reject a message with a longer duration
/// than `MaxDurationMs`, and would regard its sender as unreachable.
Json::Int64 encodeDuration(Duration D);

Json::Value encodeLoad(const SenderLoad &Load);

void readSenderLoad(ObjectReader &Reader, SenderLoad &Out);

void writeResources(Json::Value &V, const Resources &R);

void readResources(ObjectReader &Reader, Resources &Out);

/// Reads an id that is an item of a list. Returns false if it is not a string
/// or too long.
bool readId(const Json::Value &Value, std::string &Out);

/// Error of a list \p List with an item that is not an id.
Error idError(const std::string &List);

template <typename Id> Json::Value encodeIds(const std::vector<Id> &Ids) {
  return encodeList(Ids, [](const Id &I) { return Json::Value(I.Value); });
}

template <typename Id>
void readIds(ObjectReader &Reader, const char *Name, std::vector<Id> &Out,
             size_t MaxLength = MaxListLength) {
  readList(Reader, Name, MaxLength, Out,
           [Name](const Json::Value &V) -> Result<Id> {
             if (std::string Text; readId(V, Text))
               return Id{std::move(Text)};
             return idError(Name);
           });
}

/// Writes the id and the order number of a job.
template <typename T> Json::Value encodeReference(const T &Job) {
  Json::Value V(Json::objectValue);
  V["id"] = Job.Id.Value;
  V["number"] = Json::UInt64(Job.Number);
  return V;
}

template <typename T> Result<T> decodeReference(const Json::Value &Value) {
  ObjectReader Reader(Value, "job");
  T Job;
  Reader.string("id", Job.Id.Value, MaxTextLength)
      .unsignedId("number", Job.Number);
  return finishReading(Reader, std::move(Job));
}

} // namespace snipeshunt

#endif // SNIPESHUNT_RPC_CELL_FIELD_H
