/// \file JSON forms of the messages between instances of a fleet of cells.
#include "rpc/cell_codec.h"

#include "rpc/rpc_field.h"

namespace snipeshunt {

namespace {

constexpr size_t MaxClaims = 1024;
constexpr size_t MaxIds = 20000;
constexpr size_t MaxSpec = 1 << 20;
constexpr int64_t MaxCpu = int64_t{1} << 40;

void readDuration(ObjectReader &Reader, const char *Name, Duration &Out) {
  std::chrono::milliseconds Ms{0};
  readMs(Reader, Name, Ms);
  Out = Ms;
}

Json::Int64 ms(Duration D) { return toMilliseconds(D); }

Json::Value encodeInstance(const InstanceEntry &Entry) {
  Json::Value V(Json::objectValue);
  V["address"] = Entry.Where.Value;
  V["data_centre"] = Entry.Centre.Value;
  V["weight"] = Entry.Weight;
  return V;
}

Result<InstanceEntry> decodeInstance(const Json::Value &Value) {
  ObjectReader Reader(Value, "instance");
  InstanceEntry Entry;
  Reader.string("address", Entry.Where.Value, MaxTextLength)
      .string("data_centre", Entry.Centre.Value, MaxTextLength)
      .optionalNumber("weight", Entry.Weight, 0, 1e6);
  return finishReading(Reader, std::move(Entry));
}

void readInstance(ObjectReader &Reader, const char *Name, InstanceEntry &Out) {
  const Json::Value *Value = Reader.object(Name);
  if (!Value)
    return;
  Result<InstanceEntry> Decoded = decodeInstance(*Value);
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
  return finishReading(Reader, std::move(Claim));
}

template <typename Id> Json::Value encodeIds(const std::vector<Id> &Ids) {
  return encodeList(Ids, [](const Id &I) { return Json::Value(I.Value); });
}

template <typename Id>
void readIds(ObjectReader &Reader, const char *Name, std::vector<Id> &Out) {
  readList(Reader, Name, MaxIds, Out,
           [Name](const Json::Value &V) -> Result<Id> {
             if (!V.isString())
               return Error{ErrorKind::InvalidField,
                            std::string(Name) + " is not a text",
                            "give a list of ids"};
             return Id{V.asString()};
           });
}

Json::Value encodeLoad(const SenderLoad &Load) {
  Json::Value V(Json::objectValue);
  V["delay_ms"] = ms(Load.Delay);
  V["free_cpu"] = Json::Int64(Load.FreeCpu);
  V["total_cpu"] = Json::Int64(Load.TotalCpu);
  V["waiting"] = Load.Waiting;
  return V;
}

void readSenderLoad(ObjectReader &Reader, SenderLoad &Out) {
  const Json::Value *Value = Reader.object("load");
  if (!Value)
    return;
  ObjectReader Inner(*Value, "load");
  readDuration(Inner, "delay_ms", Out.Delay);
  Inner.integer("free_cpu", Out.FreeCpu, -MaxCpu, MaxCpu)
      .integer("total_cpu", Out.TotalCpu, 0, MaxCpu);
  readCount(Inner, "waiting", Out.Waiting);
  if (std::optional<Error> Problem = Inner.finish())
    Reader.fail(*Problem);
}

Json::Value encodeStep(const StepDemand &Step) {
  Json::Value V(Json::objectValue);
  V["count"] = Step.Count;
  V["cpu"] = Json::Int64(Step.Each.CpuMillis);
  V["memory_mb"] = Json::Int64(Step.Each.MemoryMb);
  V["accelerators"] = Json::Int64(Step.Each.Accelerators);
  V["estimate_ms"] = ms(Step.Estimate);
  if (!Step.Rack.empty())
    V["rack"] = Step.Rack;
  if (!Step.Requirement.empty())
    V["requirement"] = Step.Requirement;
  if (Step.MaxPerUpstream > 0)
    V["max_per_upstream"] = Step.MaxPerUpstream;
  return V;
}

void readStep(ObjectReader &Reader, StepDemand &Out) {
  const Json::Value *Value = Reader.object("step");
  if (!Value)
    return;
  ObjectReader Inner(*Value, "step");
  readCount(Inner, "count", Out.Count);
  Inner.integer("cpu", Out.Each.CpuMillis, 0, MaxCpu)
      .integer("memory_mb", Out.Each.MemoryMb, 0, MaxCpu)
      .integer("accelerators", Out.Each.Accelerators, 0, MaxCpu)
      .optionalString("rack", Out.Rack, MaxTextLength)
      .optionalString("requirement", Out.Requirement, MaxTextLength);
  readDuration(Inner, "estimate_ms", Out.Estimate);
  int64_t MaxPerUpstream = 0;
  Inner.optionalInteger("max_per_upstream", MaxPerUpstream, 0, UINT32_MAX);
  Out.MaxPerUpstream = static_cast<uint32_t>(MaxPerUpstream);
  if (std::optional<Error> Problem = Inner.finish())
    Reader.fail(*Problem);
}

} // namespace

Json::Value encodePing(const PeerPing &Message) {
  Json::Value V(Json::objectValue);
  V["from"] = encodeInstance(Message.From);
  V["incarnation"] = Json::UInt64(Message.Incarnation.Value);
  V["draining"] = Message.Draining;
  V["wants_known"] = Message.WantsKnown;
  V["session"] = Json::UInt64(Message.Session);
  V["cancelled"] = encodeIds(Message.Cancelled);
  V["claims"] = encodeList(Message.Claims, encodeClaim);
  return V;
}

Result<PeerPing> decodePing(const Json::Value &Value) {
  ObjectReader Reader(Value, "ping");
  PeerPing Message;
  readInstance(Reader, "from", Message.From);
  Reader.unsignedId("incarnation", Message.Incarnation.Value)
      .boolean("draining", Message.Draining)
      .boolean("wants_known", Message.WantsKnown)
      .unsignedId("session", Message.Session);
  readIds(Reader, "cancelled", Message.Cancelled);
  readList(Reader, "claims", MaxClaims, Message.Claims, decodeClaim);
  return finishReading(Reader, std::move(Message));
}

Json::Value encodePong(const PeerPong &Message) {
  Json::Value V(Json::objectValue);
  V["from"] = encodeInstance(Message.From);
  V["incarnation"] = Json::UInt64(Message.Incarnation.Value);
  V["draining"] = Message.Draining;
  V["claims"] = encodeList(Message.Claims, encodeClaim);
  V["load"] = encodeLoad(Message.Load);
  V["held"] = encodeIds(Message.Held);
  V["known"] = encodeList(Message.Known, encodeInstance);
  V["configuration"] = Json::UInt64(Message.ConfigurationVersion);
  return V;
}

Result<PeerPong> decodePong(const Json::Value &Value) {
  ObjectReader Reader(Value, "pong");
  PeerPong Message;
  readInstance(Reader, "from", Message.From);
  Reader.unsignedId("incarnation", Message.Incarnation.Value)
      .boolean("draining", Message.Draining)
      .unsignedId("configuration", Message.ConfigurationVersion);
  readList(Reader, "claims", MaxClaims, Message.Claims, decodeClaim);
  readSenderLoad(Reader, Message.Load);
  readIds(Reader, "held", Message.Held);
  readList(Reader, "known", MaxIds, Message.Known, decodeInstance);
  return finishReading(Reader, std::move(Message));
}

Json::Value encodeJobOrder(const JobOrder &Order) {
  Json::Value V(Json::objectValue);
  V["id"] = Order.Id.Value;
  V["entry"] = Order.Entry.Value;
  V["incarnation"] = Json::UInt64(Order.Incarnation.Value);
  V["session"] = Json::UInt64(Order.Session);
  V["queue"] = Order.Queue;
  V["service"] = Order.Service.Value;
  V["priority"] = Order.Priority;
  V["max_attempts"] = Order.MaxAttempts;
  V["stretch"] = Order.Stretch;
  V["slack_ms"] = ms(Order.Slack);
  V["remaining_ms"] = std::max<Json::Int64>(0, ms(Order.Remaining));
  V["age_ms"] = std::max<Json::Int64>(0, ms(Order.Age));
  V["spec"] = Order.Spec;
  V["step"] = encodeStep(Order.Step);
  return V;
}

Result<JobOrder> decodeJobOrder(const Json::Value &Value) {
  ObjectReader Reader(Value, "job");
  JobOrder Order;
  int64_t Priority = 0;
  Reader.string("id", Order.Id.Value, MaxTextLength)
      .string("entry", Order.Entry.Value, MaxTextLength)
      .unsignedId("incarnation", Order.Incarnation.Value)
      .unsignedId("session", Order.Session)
      .string("queue", Order.Queue, MaxTextLength)
      .string("service", Order.Service.Value, MaxTextLength)
      .integer("priority", Priority, INT32_MIN, INT32_MAX)
      .optionalNumber("stretch", Order.Stretch, 0, 1e6)
      .string("spec", Order.Spec, MaxSpec);
  Order.Priority = static_cast<int32_t>(Priority);
  readCount(Reader, "max_attempts", Order.MaxAttempts);
  readDuration(Reader, "slack_ms", Order.Slack);
  readDuration(Reader, "remaining_ms", Order.Remaining);
  readDuration(Reader, "age_ms", Order.Age);
  readStep(Reader, Order.Step);
  return finishReading(Reader, std::move(Order));
}

Json::Value encodeJobResult(const JobResult &R) {
  Json::Value V(Json::objectValue);
  V["outcome"] = static_cast<int>(R.Outcome);
  V["reason"] = R.Reason;
  V["retry_after_ms"] = ms(R.RetryAfter);
  V["moved"] = R.Moved;
  V["leaving"] = R.Leaving;
  V["load"] = encodeLoad(R.Load);
  return V;
}

Result<JobResult> decodeJobResult(const Json::Value &Value) {
  ObjectReader Reader(Value, "result");
  JobResult R;
  readEnum(Reader, "outcome", R.Outcome, JobOutcome::Lost);
  Reader.string("reason", R.Reason, MaxTextLength * 4)
      .boolean("moved", R.Moved)
      .boolean("leaving", R.Leaving);
  readDuration(Reader, "retry_after_ms", R.RetryAfter);
  readSenderLoad(Reader, R.Load);
  return finishReading(Reader, std::move(R));
}

} // namespace snipeshunt
