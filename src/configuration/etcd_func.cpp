/// \file Building requests to the etcd v3 JSON gateway and parsing its replies.
#include "configuration/etcd_func.h"

#include "configuration/configuration_func.h"
#include "core/json_func.h"

#include <charconv>
#include <limits>

namespace snipeshunt {

namespace {

constexpr uint64_t MaxRevision = std::numeric_limits<int64_t>::max();

Error malformed(const std::string &What) {
  return {ErrorKind::Unavailable,
          "the platform's service sent a malformed reply: " + What,
          "check that the platform address is that of an etcd v3 service"};
}

/// Field \p Name of \p Object; null if absent or if \p Object is no object.
const Json::Value &field(const Json::Value &Object, const char *Name) {
  return Object.isObject() ? Object[Name] : Json::Value::nullSingleton();
}

// The three functions below leave the output unchanged if the field is absent,
// which is how the gateway writes a default value, and return false if its type
// is wrong.

/// Reads a revision. The gateway writes 64-bit integers as strings; a number
/// is accepted too.
bool readRevision(const Json::Value &Value, Revision &Out) {
  if (Value.isNull())
    return true;
  if (Value.isUInt64()) {
    Out.Value = Value.asUInt64();
    return Out.Value <= MaxRevision;
  }
  if (!Value.isString())
    return false;
  std::string Text = Value.asString();
  const char *End = Text.data() + Text.size();
  auto [Rest, Problem] = std::from_chars(Text.data(), End, Out.Value);
  return Problem == std::errc() && Rest == End && Out.Value <= MaxRevision;
}

bool readFlag(const Json::Value &Value, bool &Out) {
  if (Value.isNull())
    return true;
  if (!Value.isBool())
    return false;
  Out = Value.asBool();
  return true;
}

bool readBytes(const Json::Value &Value, std::string &Out) {
  if (Value.isNull())
    return true;
  if (!Value.isString())
    return false;
  Result<std::string> Bytes = decodeBase64(Value.asString());
  if (failed(Bytes))
    return false;
  Out = std::move(valueOf(Bytes));
  return true;
}

bool isList(const Json::Value &Value) {
  return Value.isNull() || Value.isArray();
}

bool readKeyValue(const Json::Value &Item, std::string &Key, EtcdValue &Out) {
  // The revision that last changed an existing key is at least 1.
  return Item.isObject() && readBytes(Item["key"], Key) &&
         readBytes(Item["value"], Out.Value) &&
         readRevision(Item["mod_revision"], Out.ModRevision) &&
         Out.ModRevision.Value > 0;
}

/// Parses a JSON object; a reply with the member `error` is an error.
Result<Json::Value> parseReply(std::string_view Text) {
  Result<Json::Value> Parsed = parseJson(Text);
  if (failed(Parsed))
    return malformed(errorOf(Parsed).Message);
  const Json::Value &Root = valueOf(Parsed);
  if (!Root.isObject())
    return malformed("not an object");
  if (Root.isMember("error"))
    return Error{ErrorKind::Unavailable,
                 "the platform's service reports an error: " +
                     writeJson(Root["error"]),
                 "repeat the request; see the service's own log"};
  return Parsed;
}

/// Reads a range response, which stands alone or within a transaction.
bool readRange(const Json::Value &Body, std::optional<EtcdValue> &Out) {
  const Json::Value &List = field(Body, "kvs");
  if (!Body.isObject() || !isList(List))
    return false;
  if (List.empty())
    return true;
  std::string Key;
  EtcdValue Found;
  if (!readKeyValue(List[0], Key, Found))
    return false;
  Out = std::move(Found);
  return true;
}

bool readEvent(const Json::Value &Item, EtcdEvent &Out) {
  const Json::Value &Type = field(Item, "type");
  if (!Type.isNull() && Type != "PUT" && Type != "DELETE")
    return false;
  Out.Deleted = Type == "DELETE";
  return readKeyValue(field(Item, "kv"), Out.Key, Out.Current);
}

Json::Value putOperation(std::string_view Key, std::string_view Value) {
  Json::Value Out;
  Out["request_put"]["key"] = encodeBase64(Key);
  Out["request_put"]["value"] = encodeBase64(Value);
  return Out;
}

Json::Value rangeOperation(std::string_view Key) {
  Json::Value Out;
  Out["request_range"]["key"] = encodeBase64(Key);
  return Out;
}

/// Value of the history record of a change. It holds the lines of the
/// difference instead of the whole document, because 28,000 documents a day of
/// up to 1 MB would fill the service.
std::string historyRecord(const Configuration &Old, Revision OldRevision,
                          const Configuration &New) {
  Json::Value Out;
  Out["change"] = changeToJson(New.Change);
  Out["replaced_revision"] = std::to_string(OldRevision.Value);
  Out["lines"] = Json::Value(Json::arrayValue);
  for (const std::string &Line : diffConfigurations(Old, New))
    Out["lines"].append(Line);
  return writeJson(Out);
}

} // namespace

std::string historyKey(const ChangeId &Id) {
  return std::string(HistoryPrefix) + Id.Value;
}

EtcdRequest rangeRequest(std::string_view Key) {
  Json::Value Body;
  Body["key"] = encodeBase64(Key);
  return {"/v3/kv/range", writeJson(Body)};
}

EtcdRequest prefixRequest(std::string_view Prefix) {
  // The end of the range is exclusive: the prefix with its last byte
  // incremented sorts directly after all keys that start with the prefix.
  std::string End(Prefix);
  ++End.back();
  Json::Value Body;
  Body["key"] = encodeBase64(Prefix);
  Body["range_end"] = encodeBase64(End);
  return {"/v3/kv/range", writeJson(Body)};
}

EtcdRequest watchRequest(std::string_view Key, Revision From) {
  Json::Value Body;
  Body["create_request"]["key"] = encodeBase64(Key);
  Body["create_request"]["start_revision"] = std::to_string(From.Value);
  return {"/v3/watch", writeJson(Body)};
}

EtcdRequest swapRequest(const Configuration &Old, Revision OldRevision,
                        const Configuration &New) {
  Json::Value Compare;
  Compare["key"] = encodeBase64(ConfigurationKey);
  Compare["target"] = "MOD";
  Compare["result"] = "EQUAL";
  // etcd compares a key that does not exist as revision 0.
  Compare["mod_revision"] = std::to_string(OldRevision.Value);
  std::string History = historyKey(New.Change.Id);
  Json::Value Body;
  Body["compare"].append(Compare);
  Body["success"].append(
      putOperation(ConfigurationKey, writeConfiguration(New)));
  Body["success"].append(
      putOperation(History, historyRecord(Old, OldRevision, New)));
  // The history record shows whether an earlier copy of this request, whose
  // reply was lost, took effect, even if more changes have followed.
  Body["failure"].append(rangeOperation(ConfigurationKey));
  Body["failure"].append(rangeOperation(History));
  return {"/v3/kv/txn", writeJson(Body)};
}

Result<EtcdRangeReply> parseRangeReply(std::string_view Text) {
  Result<Json::Value> Parsed = parseReply(Text);
  if (failed(Parsed))
    return errorOf(Parsed);
  const Json::Value &Root = valueOf(Parsed);
  EtcdRangeReply Reply;
  if (!readRevision(field(field(Root, "header"), "revision"),
                    Reply.StoreRevision))
    return malformed("no revision in the header");
  if (!readRange(Root, Reply.Found))
    return malformed("a wrong value in kvs");
  return Reply;
}

Result<std::vector<EtcdValue>> parseListReply(std::string_view Text) {
  Result<Json::Value> Parsed = parseReply(Text);
  if (failed(Parsed))
    return errorOf(Parsed);
  const Json::Value &List = valueOf(Parsed)["kvs"];
  std::vector<EtcdValue> Out;
  if (!isList(List))
    return malformed("a wrong value in kvs");
  for (const Json::Value &Item : List) {
    std::string Key;
    EtcdValue Found;
    if (!readKeyValue(Item, Key, Found))
      return malformed("a wrong value in kvs");
    Out.push_back(std::move(Found));
  }
  return Out;
}

Result<EtcdSwapReply> parseSwapReply(std::string_view Text) {
  Result<Json::Value> Parsed = parseReply(Text);
  if (failed(Parsed))
    return errorOf(Parsed);
  const Json::Value &Root = valueOf(Parsed);
  EtcdSwapReply Reply;
  bool Succeeded = false;
  // The caller uses the revision for its next request, so it is required.
  if (!readRevision(field(field(Root, "header"), "revision"),
                    Reply.StoreRevision) ||
      Reply.StoreRevision.Value == 0)
    return malformed("no revision in the header");
  if (!readFlag(Root["succeeded"], Succeeded))
    return malformed("a wrong value in succeeded");
  if (Succeeded) {
    Reply.Outcome = SwapOutcome::Swapped;
    return Reply;
  }
  const Json::Value &List = Root["responses"];
  std::optional<EtcdValue> History;
  // Without both responses it is unknown whether the change took effect.
  if (!List.isArray() || List.size() != 2 ||
      !readRange(field(List[0], "response_range"), Reply.Current) ||
      !readRange(field(List[1], "response_range"), History))
    return malformed("wrong responses of a transaction");
  Reply.Outcome = History ? SwapOutcome::AlreadyApplied : SwapOutcome::Conflict;
  return Reply;
}

Result<EtcdWatchReply> parseWatchReply(std::string_view Line) {
  Result<Json::Value> Parsed = parseReply(Line);
  if (failed(Parsed))
    return errorOf(Parsed);
  const Json::Value &Body = field(valueOf(Parsed), "result");
  EtcdWatchReply Reply;
  if (!Body.isObject() || !isList(Body["events"]))
    return malformed("no result in a watch message");
  if (!readRevision(field(Body["header"], "revision"), Reply.StoreRevision) ||
      !readRevision(Body["compact_revision"], Reply.CompactRevision) ||
      !readFlag(Body["created"], Reply.Created) ||
      !readFlag(Body["canceled"], Reply.Cancelled))
    return malformed("a wrong value in a watch message");
  for (const Json::Value &Item : Body["events"]) {
    EtcdEvent Event;
    if (!readEvent(Item, Event))
      return malformed("a wrong event in a watch message");
    Reply.Events.push_back(std::move(Event));
  }
  return Reply;
}

std::vector<std::string> takeLines(std::string &Buffer) {
  std::vector<std::string> Lines;
  size_t Begin = 0;
  for (size_t End = Buffer.find('\n'); End != std::string::npos;
       End = Buffer.find('\n', Begin)) {
    if (End > Begin)
      Lines.push_back(Buffer.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  Buffer.erase(0, Begin);
  return Lines;
}

} // namespace snipeshunt
