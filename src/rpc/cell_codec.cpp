/// \file Encodes and decodes the pings and snapshots between instances of a
/// fleet of cells as JSON.
#include "rpc/cell_codec.h"

#include "rpc/cell_field.h"

namespace snipeshunt {

namespace {

constexpr size_t MaxClaims = 1024;
// Deployments have a few data centres. The list is in each answer to a ping.
constexpr size_t MaxEvacuatedCentres = 256;
// Largest fencing token. Tokens contain the time of day in milliseconds,
// shifted by 10 bits; a higher one would leave no room for the tokens of later
// senders.
constexpr uint64_t MaxToken = uint64_t{1} << 62;

Json::Value encodeInstance(const InstanceRecord &Record) {
  Json::Value V(Json::objectValue);
  V["address"] = Record.Endpoint.Value;
  V["data_centre"] = Record.Centre.Value;
  V["weight"] = Record.Weight;
  return V;
}

Result<InstanceRecord> decodeInstance(const Json::Value &Value) {
  ObjectReader Reader(Value, "instance");
  InstanceRecord Record;
  Reader.string("address", Record.Endpoint.Value, MaxTextLength)
      .string("data_centre", Record.Centre.Value, MaxTextLength)
      .optionalNumber("weight", Record.Weight, 0, 1e6);
  return finishReading(Reader, std::move(Record));
}

void readInstance(ObjectReader &Reader, const char *Name, InstanceRecord &Out) {
  const Json::Value *Value = Reader.object(Name);
  if (!Value)
    return;
  Result<InstanceRecord> Decoded = decodeInstance(*Value);
  if (failed(Decoded))
    Reader.fail(errorOf(Decoded));
  else
    Out = std::move(valueOf(Decoded));
}

Json::Value encodeClaim(const CellClaim &Claim) {
  Json::Value V(Json::objectValue);
  V["data_centre"] = Claim.Cell.Centre.Value;
  V["index"] = Claim.Cell.Index;
  V["token"] = Json::UInt64(Claim.Token.Value);
  return V;
}

Result<CellClaim> decodeClaim(const Json::Value &Value) {
  ObjectReader Reader(Value, "claim");
  CellClaim Claim;
  Reader.string("data_centre", Claim.Cell.Centre.Value, MaxTextLength)
      .unsignedId("token", Claim.Token.Value);
  readCount(Reader, "index", Claim.Cell.Index);
  if (Claim.Token.Value > MaxToken)
    Reader.fail("token",
                "a whole number from 0 to " + std::to_string(MaxToken));
  return finishReading(Reader, std::move(Claim));
}

Result<CancelledJob> decodeCancelled(const Json::Value &Value) {
  // Earlier versions send the id alone, for any number.
  if (Value.isString()) {
    if (std::string Text; readId(Value, Text))
      return CancelledJob{JobId{std::move(Text)}, UINT64_MAX};
    return idError("cancelled");
  }
  return decodeReference<CancelledJob>(Value);
}

Json::Value encodeRoute(const Route &R) {
  Json::Value V(Json::objectValue);
  V["name"] = R.Name;
  V["host"] = R.Host;
  V["prefix"] = R.Prefix;
  V["service"] = R.Service.Value;
  V["priority"] = R.Priority;
  V["max_attempts"] = R.MaxAttempts;
  V["stretch"] = R.Stretch;
  V["slack_ms"] = encodeDuration(R.Slack);
  return V;
}

Result<Route> decodeRoute(const Json::Value &Value) {
  ObjectReader Reader(Value, "route");
  Route R;
  int64_t Priority = 0;
  Reader.string("name", R.Name, MaxTextLength)
      .string("host", R.Host, MaxTextLength)
      .string("prefix", R.Prefix, MaxSpecBytes)
      .string("service", R.Service.Value, MaxTextLength)
      .integer("priority", Priority, INT32_MIN, INT32_MAX)
      .optionalNumber("stretch", R.Stretch, 0, 1e6);
  R.Priority = static_cast<int32_t>(Priority);
  readCount(Reader, "max_attempts", R.MaxAttempts);
  readDuration(Reader, "slack_ms", R.Slack);
  return finishReading(Reader, std::move(R));
}

Json::Value encodeUpstream(const UpstreamRecord &U) {
  Json::Value V(Json::objectValue);
  V["id"] = U.Id.Value;
  V["address"] = U.Endpoint.Value;
  V["data_centre"] = U.Centre.Value;
  V["service"] = U.Service.Value;
  V["kind"] = U.Kind;
  V["rack"] = U.Rack;
  V["draining"] = U.Draining;
  V["born"] = Json::Int64(U.StartedAt);
  writeResources(V, U.Capacity);
  return V;
}

Result<UpstreamRecord> decodeUpstream(const Json::Value &Value) {
  ObjectReader Reader(Value, "upstream");
  UpstreamRecord U;
  Reader.string("id", U.Id.Value, MaxTextLength)
      .string("address", U.Endpoint.Value, MaxTextLength)
      .string("data_centre", U.Centre.Value, MaxTextLength)
      .string("service", U.Service.Value, MaxTextLength)
      .string("kind", U.Kind, MaxTextLength)
      .string("rack", U.Rack, MaxTextLength)
      .boolean("draining", U.Draining)
      .integer("born", U.StartedAt, 0, INT64_MAX);
  readResources(Reader, U.Capacity);
  return finishReading(Reader, std::move(U));
}

Json::Value encodeEvacuation(const EvacuationSet &Set) {
  Json::Value V(Json::objectValue);
  V["revision"] = Json::UInt64(Set.Revision.Value);
  V["centres"] = Json::Value(Json::arrayValue);
  for (const DataCentre &Centre : Set.Centres)
    V["centres"].append(Centre.Value);
  return V;
}

/// Writes the evacuated data centres, if they are to be sent. Longer lists than
/// the receiver accepts are left out.
void writeEvacuation(Json::Value &V, const std::optional<EvacuationSet> &Set) {
  if (Set && Set->Centres.size() <= MaxEvacuatedCentres)
    V["evacuation"] = encodeEvacuation(*Set);
}

void readEvacuation(ObjectReader &Reader, std::optional<EvacuationSet> &Out) {
  const Json::Value *Value = Reader.optionalObject("evacuation");
  if (!Value)
    return;
  ObjectReader Inner(*Value, "evacuation");
  std::vector<DataCentre> Centres;
  EvacuationSet Set;
  Inner.unsignedId("revision", Set.Revision.Value);
  readIds(Inner, "centres", Centres, MaxEvacuatedCentres);
  Set.Centres.insert(Centres.begin(), Centres.end());
  if (std::optional<Error> Problem = Inner.finish())
    Reader.fail(*Problem);
  else
    Out = std::move(Set);
}

} // namespace

Json::Value encodePing(const PeerPing &Message) {
  Json::Value V(Json::objectValue);
  V["from"] = encodeInstance(Message.From);
  V["incarnation"] = Json::UInt64(Message.Incarnation.Value);
  V["draining"] = Message.Draining;
  V["wants_known"] = Message.WantsKnownInstances;
  V["knows_upstreams"] = Message.HasUpstreamList;
  V["oldest_job"] = Json::UInt64(Message.OldestAwaitedJob);
  V["cancelled"] =
      encodeList(Message.CancelledJobs, encodeReference<CancelledJob>);
  V["claims"] = encodeList(Message.Claims, encodeClaim);
  return V;
}

Result<PeerPing> decodePing(const Json::Value &Value) {
  ObjectReader Reader(Value, "ping");
  PeerPing Message;
  readInstance(Reader, "from", Message.From);
  Reader.unsignedId("incarnation", Message.Incarnation.Value)
      .boolean("draining", Message.Draining)
      .boolean("wants_known", Message.WantsKnownInstances)
      .boolean("knows_upstreams", Message.HasUpstreamList)
      .unsignedId("oldest_job", Message.OldestAwaitedJob);
  readList(Reader, "cancelled", MaxListLength, Message.CancelledJobs,
           decodeCancelled);
  readList(Reader, "claims", MaxClaims, Message.Claims, decodeClaim);
  return finishReading(Reader, std::move(Message));
}

Json::Value encodePong(const PeerPong &Message) {
  Json::Value V(Json::objectValue);
  V["from"] = encodeInstance(Message.From);
  V["incarnation"] = Json::UInt64(Message.Incarnation.Value);
  V["draining"] = Message.Draining;
  V["knows_upstreams"] = Message.HasUpstreamList;
  V["claims"] = encodeList(Message.Claims, encodeClaim);
  V["load"] = encodeLoad(Message.Load);
  V["held"] = encodeIds(Message.UpstreamsInUse);
  V["known"] = encodeList(Message.KnownInstances, encodeInstance);
  V["configuration"] = Json::UInt64(Message.ConfigurationVersion);
  V["oldest_job"] = Json::UInt64(Message.OldestAwaitedJob);
  // Left out when empty, so that earlier versions accept the answer.
  if (!Message.CancelledJobs.empty())
    V["cancelled"] =
        encodeList(Message.CancelledJobs, encodeReference<CancelledJob>);
  writeEvacuation(V, Message.Evacuation);
  return V;
}

Result<PeerPong> decodePong(const Json::Value &Value) {
  ObjectReader Reader(Value, "pong");
  PeerPong Message;
  readInstance(Reader, "from", Message.From);
  Reader.unsignedId("incarnation", Message.Incarnation.Value)
      .boolean("draining", Message.Draining)
      .boolean("knows_upstreams", Message.HasUpstreamList)
      .unsignedId("configuration", Message.ConfigurationVersion)
      .unsignedId("oldest_job", Message.OldestAwaitedJob);
  readList(Reader, "claims", MaxClaims, Message.Claims, decodeClaim);
  readSenderLoad(Reader, Message.Load);
  readIds(Reader, "held", Message.UpstreamsInUse);
  readList(Reader, "known", MaxListLength, Message.KnownInstances,
           decodeInstance);
  if (Reader.has("cancelled"))
    readList(Reader, "cancelled", MaxListLength, Message.CancelledJobs,
             decodeCancelled);
  readEvacuation(Reader, Message.Evacuation);
  return finishReading(Reader, std::move(Message));
}

Json::Value encodeSnapshot(const SnapshotFetched &Message) {
  Json::Value V(Json::objectValue);
  if (Message.Configuration) {
    V["version"] = Json::UInt64(Message.Configuration->Version);
    V["routes"] = encodeList(Message.Configuration->Routes, encodeRoute);
  }
  V["upstreams"] = encodeList(Message.Upstreams, encodeUpstream);
  writeEvacuation(V, Message.Evacuation);
  return V;
}

Result<SnapshotFetched> decodeSnapshot(const Json::Value &Value) {
  ObjectReader Reader(Value, "snapshot");
  SnapshotFetched Message;
  if (Reader.has("version")) {
    Message.Configuration.emplace();
    Reader.unsignedId("version", Message.Configuration->Version);
    readList(Reader, "routes", MaxListLength, Message.Configuration->Routes,
             decodeRoute);
  }
  readList(Reader, "upstreams", MaxListLength, Message.Upstreams,
           decodeUpstream);
  readEvacuation(Reader, Message.Evacuation);
  return finishReading(Reader, std::move(Message));
}

} // namespace snipeshunt
