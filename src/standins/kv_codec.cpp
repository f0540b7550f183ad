/// \file Parses and writes key-value requests and replies in etcd's JSON form.
#include "standins/kv_codec.h"

#include "core/base64_func.h"
#include "standins/standin_func.h"

namespace snipeshunt {

namespace {

constexpr size_t MaxKey = 4096;
// The platform's service accepts values up to 1 MB.
constexpr size_t MaxValue = 1 << 20;
constexpr size_t MaxSteps = 128;

constexpr size_t encodedSize(size_t Bytes) { return (Bytes + 2) / 3 * 4; }

void readInt64(ObjectReader &Reader, const Json::Value &Body, const char *Name,
               int64_t &Out) {
  if (!Body.isObject() || !Body[Name].isString()) {
    Reader.optionalInteger(Name, Out, 0, INT64_MAX);
    return;
  }
  std::string Text;
  Reader.optionalString(Name, Text, 20);
  std::optional<int64_t> Value = parseInteger(Text, 0, INT64_MAX);
  if (!Value)
    Reader.fail(Name, "a 64-bit number as a string");
  Out = Value.value_or(0);
}

void readBytes(ObjectReader &Reader, const char *Name, std::string &Out,
               size_t MaxBytes) {
  std::string Text;
  Reader.optionalString(Name, Text, encodedSize(MaxBytes));
  Result<std::string> Bytes = decodeBase64(Text);
  if (failed(Bytes))
    Reader.fail(Name, "base64 with padding");
  else
    Out = std::move(valueOf(Bytes));
}

void readKey(ObjectReader &Reader, std::string &Out) {
  readBytes(Reader, "key", Out, MaxKey);
  if (Out.empty())
    Reader.fail("key", "a key that is not empty");
}

template <typename T> Result<T> finished(ObjectReader &Reader, T Value) {
  if (std::optional<Error> E = Reader.finish())
    return *E;
  return Value;
}

Result<KvCompare> readCompare(const Json::Value &Body) {
  KvCompare Out;
  ObjectReader Reader(Body, "compare");
  std::string Target = "VERSION";
  std::string Relation = "EQUAL";
  Reader.optionalString("target", Target, 10)
      .optionalString("result", Relation, 10);
  readKey(Reader, Out.Key);
  const char *Operand = "version";
  if (Target == "CREATE") {
    Out.Target = KvCompare::Field::Create;
    Operand = "create_revision";
  } else if (Target == "MOD") {
    Out.Target = KvCompare::Field::Mod;
    Operand = "mod_revision";
  } else if (Target == "VALUE") {
    Out.Target = KvCompare::Field::Value;
    Operand = "value";
  } else if (Target != "VERSION") {
    Reader.fail("target", "VERSION, CREATE, MOD or VALUE");
  }
  if (Out.Target == KvCompare::Field::Value)
    readBytes(Reader, Operand, Out.Value, MaxValue);
  else
    readInt64(Reader, Body, Operand, Out.Number);
  if (Relation == "GREATER")
    Out.Expected = KvCompare::Relation::Greater;
  else if (Relation == "LESS")
    Out.Expected = KvCompare::Relation::Less;
  else if (Relation != "EQUAL")
    Reader.fail("result", "EQUAL, GREATER or LESS");
  return finished(Reader, std::move(Out));
}

Result<KvOperation> readStep(const Json::Value &Body) {
  ObjectReader Reader(Body, "step");
  constexpr std::pair<const char *, KvOperation::Type> Kinds[] = {
      {"request_range", KvOperation::Type::Range},
      {"request_put", KvOperation::Type::Put},
      {"request_delete_range", KvOperation::Type::Delete},
  };
  Result<KvOperation> Out =
      Error{ErrorKind::InvalidField, "a step of a transaction is empty",
            "give request_range, request_put or request_delete_range"};
  for (const auto &[Name, Kind] : Kinds)
    if (const Json::Value *Found = Reader.optionalObject(Name))
      Out = readOperation(*Found, Kind);
  if (std::optional<Error> E = Reader.finish())
    return *E;
  return Out;
}

template <typename T>
void readList(ObjectReader &Reader, const char *Name,
              Result<T> (*Read)(const Json::Value &), std::vector<T> &Out) {
  const Json::Value *Found = Reader.optionalArray(Name, MaxSteps);
  if (!Found)
    return;
  for (const Json::Value &Item : *Found) {
    Result<T> One = Read(Item);
    if (failed(One))
      return Reader.fail(errorOf(One));
    Out.push_back(std::move(valueOf(One)));
  }
}

void setNumber(Json::Value &Out, const char *Name, int64_t Value) {
  if (Value != 0)
    Out[Name] = std::to_string(Value);
}

void setBytes(Json::Value &Out, const char *Name, const std::string &Bytes) {
  if (!Bytes.empty())
    Out[Name] = encodeBase64(Bytes);
}

Json::Value writeKeyValue(const KeyValue &Kv) {
  Json::Value Out(Json::objectValue);
  setBytes(Out, "key", Kv.Key);
  setBytes(Out, "value", Kv.Value);
  setNumber(Out, "create_revision", Kv.CreateRevision);
  setNumber(Out, "mod_revision", Kv.ModRevision);
  setNumber(Out, "version", Kv.Version);
  setNumber(Out, "lease", Kv.Lease);
  return Out;
}

} // namespace

Result<KvOperation> readOperation(const Json::Value &Body,
                                  KvOperation::Type Kind) {
  KvOperation Out;
  Out.Kind = Kind;
  ObjectReader Reader(Body, "");
  readKey(Reader, Out.Keys.Key);
  if (Kind == KvOperation::Type::Put) {
    readBytes(Reader, "value", Out.Value, MaxValue);
    readInt64(Reader, Body, "lease", Out.Lease);
  } else {
    readBytes(Reader, "range_end", Out.Keys.End, MaxKey);
  }
  if (Kind == KvOperation::Type::Range)
    readInt64(Reader, Body, "limit", Out.Limit);
  return finished(Reader, std::move(Out));
}

Result<KvTxn> readTxn(const Json::Value &Body) {
  KvTxn Out;
  ObjectReader Reader(Body, "");
  readList(Reader, "compare", readCompare, Out.Conditions);
  readList(Reader, "success", readStep, Out.Success);
  readList(Reader, "failure", readStep, Out.Failure);
  return finished(Reader, std::move(Out));
}

Result<KvWatch> readWatch(const Json::Value &Body) {
  KvWatch Out;
  ObjectReader Outer(Body, "");
  if (const Json::Value *Create = Outer.object("create_request")) {
    ObjectReader Reader(*Create, "create_request");
    readKey(Reader, Out.Keys.Key);
    readBytes(Reader, "range_end", Out.Keys.End, MaxKey);
    readInt64(Reader, *Create, "start_revision", Out.StartRevision);
    if (std::optional<Error> E = Reader.finish())
      return *E;
  }
  return finished(Outer, std::move(Out));
}

Result<KvLease> readLease(const Json::Value &Body, bool Grant) {
  KvLease Out;
  ObjectReader Reader(Body, "");
  readInt64(Reader, Body, "ID", Out.Id);
  if (Grant) {
    readInt64(Reader, Body, "TTL", Out.TtlSeconds);
    if (Out.TtlSeconds < 1 || Out.TtlSeconds > 9'000'000)
      Reader.fail("TTL", "a number of seconds from 1 to 9000000");
  }
  return finished(Reader, Out);
}

Json::Value writeHeader(int64_t Revision) {
  Json::Value Out;
  Out["cluster_id"] = "1";
  Out["member_id"] = "1";
  Out["revision"] = std::to_string(Revision);
  Out["raft_term"] = "1";
  return Out;
}

Json::Value writeResult(const KvResult &Result, int64_t Revision) {
  Json::Value Out;
  Out["header"] = writeHeader(Revision);
  if (Result.Kind == KvOperation::Type::Delete)
    setNumber(Out, "deleted", Result.Count);
  if (Result.Kind != KvOperation::Type::Range)
    return Out;
  for (const KeyValue &Kv : Result.Found)
    Out["kvs"].append(writeKeyValue(Kv));
  if (static_cast<size_t>(Result.Count) > Result.Found.size())
    Out["more"] = true;
  setNumber(Out, "count", Result.Count);
  return Out;
}

Json::Value writeTxnResult(const KvTxnResult &Result, int64_t Revision) {
  Json::Value Out;
  Out["header"] = writeHeader(Revision);
  if (Result.Succeeded)
    Out["succeeded"] = true;
  for (const KvResult &Step : Result.Results) {
    const char *Name = "response_range";
    if (Step.Kind == KvOperation::Type::Put)
      Name = "response_put";
    else if (Step.Kind == KvOperation::Type::Delete)
      Name = "response_delete_range";
    Json::Value One;
    One[Name] = writeResult(Step, Revision);
    Out["responses"].append(One);
  }
  return Out;
}

Json::Value writeChanges(const KvChanges &Changes, int64_t Revision) {
  Json::Value Out;
  Json::Value &Inner = Out["result"];
  Inner["header"] = writeHeader(Revision);
  if (Changes.CompactedUpTo != 0) {
    Inner["canceled"] = true;
    // The lowest revision at which a new watch may start.
    Inner["compact_revision"] = std::to_string(Changes.CompactedUpTo + 1);
  }
  for (const KvEvent &E : Changes.Events) {
    Json::Value One;
    // PUT is the zero value of etcd's event type, so it is omitted.
    if (E.Deleted)
      One["type"] = "DELETE";
    One["kv"] = writeKeyValue(E.Kv);
    Inner["events"].append(One);
  }
  return Out;
}

Json::Value writeLease(int64_t Id, std::chrono::seconds Ttl, int64_t Revision) {
  Json::Value Out;
  Out["header"] = writeHeader(Revision);
  setNumber(Out, "ID", Id);
  setNumber(Out, "TTL", Ttl.count());
  return Out;
}

} // namespace snipeshunt
