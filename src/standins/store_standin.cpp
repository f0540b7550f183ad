/// \file Stand-in for the store of the users' platform.
#include "standins/store_standin.h"

#include "core/base64_func.h"

#include <cstdlib>

namespace snipeshunt {

namespace {

constexpr Duration StepPeriod = std::chrono::milliseconds(5);

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

std::string parameter(const HttpRequest &Request, const char *Name) {
  auto It = Request.Query.find(Name);
  return It == Request.Query.end() ? std::string() : It->second;
}

/// Returns the number that follows \p Prefix in \p Path.
uint64_t idAfterPrefix(const std::string &Path, const char *Prefix) {
  return std::strtoull(Path.c_str() + std::string(Prefix).size(), nullptr, 10);
}

} // namespace

StoreStandin::StoreStandin(EventLoop &Loop)
    : Server(Loop, {}), AdvanceTimer(Loop, [this] { advance(); }) {
  Server.RequestReceived.connect(
      [this](const HttpRequest &Request) { receive(Request); });
}

bool StoreStandin::listen(const Address &Endpoint) {
  if (!startListening(Server, Endpoint, "store"))
    return false;
  AdvanceTimer.startPeriodic(StepPeriod);
  return true;
}

void StoreStandin::put(const std::string &Key, const std::string &Value,
                       uint64_t LeaseId) {
  Item &I = Items[Key];
  I.Value = Value;
  I.Revision = ++Revision;
  I.Lease = LeaseId;
  if (I.Created == 0)
    I.Created = Revision;
  Removed.erase(Key);
}

void StoreStandin::remove(const std::string &Key) {
  if (Items.erase(Key) > 0)
    Removed[Key] = ++Revision;
}

Json::Value StoreStandin::describe(const std::string &Key,
                                   const Item &I) const {
  Json::Value V(Json::objectValue);
  V["key"] = Key;
  V["value"] = encodeBase64(I.Value);
  V["revision"] = Json::UInt64(I.Revision);
  V["created"] = Json::UInt64(I.Created);
  V["lease"] = Json::UInt64(I.Lease);
  return V;
}

Json::Value StoreStandin::eventsAfter(const std::string &Prefix,
                                      uint64_t After) const {
  Json::Value Events(Json::arrayValue);
  for (const auto &[Key, I] : Items)
    if (startsWith(Key, Prefix) && I.Revision > After)
      Events.append(describe(Key, I));
  for (const auto &[Key, At] : Removed)
    if (startsWith(Key, Prefix) && At > After) {
      Json::Value V(Json::objectValue);
      V["key"] = Key;
      V["revision"] = Json::UInt64(At);
      V["deleted"] = true;
      Events.append(V);
    }
  return Events;
}

void StoreStandin::receive(const HttpRequest &Request) {
  Result<Json::Value> Parsed = parseJson(Request.Body);
  Json::Value Body =
      failed(Parsed) ? Json::Value(Json::objectValue) : valueOf(Parsed);
  const std::string &Path = Request.Path;
  if (Path == "/snipeshunt/kv-range")
    return Server.reply(Request.Id, range(Request));
  if (Path == "/snipeshunt/kv-txn")
    return Server.reply(Request.Id, write(Body));
  if (Path == "/snipeshunt/kv-lease")
    return Server.reply(Request.Id, grant(Body));
  if (startsWith(Path, "/snipeshunt/kv-keep/"))
    return Server.reply(Request.Id,
                        keepAlive(idAfterPrefix(Path, "/snipeshunt/kv-keep/")));
  if (startsWith(Path, "/snipeshunt/kv-lease-end/")) {
    auto It = Leases.find(idAfterPrefix(Path, "/snipeshunt/kv-lease-end/"));
    if (It != Leases.end())
      It->second.End = {};
    return Server.reply(Request.Id, {200, "{}"});
  }
  if (Path != "/snipeshunt/kv-watch")
    return Server.reply(Request.Id, unknownPath());
  int64_t Wait = std::atoll(parameter(Request, "wait_ms").c_str());
  uint64_t After =
      std::strtoull(parameter(Request, "after").c_str(), nullptr, 10);
  Watches.push_back(
      {Request.Id, parameter(Request, "prefix"), After,
       std::chrono::steady_clock::now() + std::chrono::milliseconds(Wait)});
}

HttpReply StoreStandin::range(const HttpRequest &Request) const {
  std::string Prefix = parameter(Request, "prefix");
  Json::Value Reply(Json::objectValue);
  Reply["items"] = Json::Value(Json::arrayValue);
  Reply["has_more"] = false;
  Reply["at"] = Json::UInt64(Revision);
  for (const auto &[Key, I] : Items)
    if (startsWith(Key, Prefix))
      Reply["items"].append(describe(Key, I));
  return jsonReply(200, Reply);
}

HttpReply StoreStandin::write(const Json::Value &Body) {
  for (const Json::Value &Condition : Body["expected_revision"]) {
    auto It = Items.find(Condition["key"].asString());
    uint64_t Current = It == Items.end() ? 0 : It->second.Revision;
    if (Current != Condition["revision"].asUInt64())
      return {412, "{\"items\":[]}"};
  }
  for (const Json::Value &W : Body["writes"]) {
    uint64_t LeaseId = W["lease"].asUInt64();
    if (LeaseId != 0 && !Leases.count(LeaseId))
      return {404, "{}"};
    Result<std::string> Value = decodeBase64(W["value"].asString());
    if (failed(Value))
      return badRequest(errorOf(Value));
    put(W["key"].asString(), valueOf(Value), LeaseId);
  }
  for (const Json::Value &Key : Body["remove"])
    remove(Key.asString());
  Json::Value Reply(Json::objectValue);
  Reply["revision"] = Json::UInt64(Revision);
  return jsonReply(200, Reply);
}

HttpReply StoreStandin::grant(const Json::Value &Body) {
  Duration Lifetime = std::chrono::milliseconds(Body["ttl_ms"].asInt64());
  uint64_t Id = NextLease++;
  Leases[Id] = {Lifetime, std::chrono::steady_clock::now() + Lifetime};
  Json::Value Reply(Json::objectValue);
  Reply["lease"] = Json::UInt64(Id);
  Reply["ttl_ms"] = Body["ttl_ms"];
  return jsonReply(200, Reply);
}

HttpReply StoreStandin::keepAlive(uint64_t Id) {
  auto It = Leases.find(Id);
  if (It == Leases.end())
    return {404, "{}"};
  It->second.End = std::chrono::steady_clock::now() + It->second.Lifetime;
  return {200, "{}"};
}

void StoreStandin::advance() {
  SteadyTime Now = std::chrono::steady_clock::now();
  for (auto L = Leases.begin(); L != Leases.end();) {
    if (Now < L->second.End) {
      ++L;
      continue;
    }
    std::vector<std::string> Keys;
    for (const auto &[Key, I] : Items)
      if (I.Lease == L->first)
        Keys.push_back(Key);
    for (const std::string &Key : Keys)
      remove(Key);
    L = Leases.erase(L);
  }
  std::vector<Watch> Remaining;
  for (const Watch &W : Watches) {
    Json::Value Events = eventsAfter(W.Prefix, W.After);
    if (Events.empty() && Now < W.Deadline) {
      Remaining.push_back(W);
      continue;
    }
    Json::Value Reply(Json::objectValue);
    Reply["events"] = Events;
    Reply["at"] = Json::UInt64(Revision);
    Server.reply(W.Request, jsonReply(200, Reply));
  }
  Watches = std::move(Remaining);
}

} // namespace snipeshunt
