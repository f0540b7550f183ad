/// \file Encodes and decodes the messages between instances of a fleet of cells
/// as JSON.
#include "rpc/cell_codec.h"

#include "rpc/rpc_field.h"

namespace snipeshunt {

namespace {

constexpr size_t MaxClaims = 1024;
constexpr size_t MaxListLength = 20000;
// Deployments have a few data centres. The list is in each answer to a ping.
constexpr size_t MaxEvacuatedCentres = 256;
constexpr size_t MaxSpecBytes = 1 << 20;
// Largest processor time in a load, which is a sum over upstreams.
constexpr int64_t MaxLoadCpu = int64_t{1} << 40;
// Largest fencing token. Tokens contain the time of day in milliseconds,
// shifted by 10 bits; a higher one would leave no room for the tokens of later
// senders.
constexpr uint64_t MaxToken = uint64_t{1} << 62;

void readDuration(ObjectReader &Reader, const char *Name, Duration &Out) {
  std::chrono::milliseconds Ms{0};
  readMs(Reader, Name, Ms);
  Out = Ms;
}

/// Returns \p D in milliseconds. Peers reject a message with a longer duration
/// than `MaxDurationMs`, and would regard its sender as unreachable.
Json::Int64 encodeDuration(Duration D) {
  return std::min<int64_t>(toMilliseconds(D), MaxDurationMs);
}

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

/// Reads an id that is an item of a list. Returns false if it is not a string
/// or too long.
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

Result<CancelledJob> decodeCancelled(const Json::Value &Value) {
  // Earlier versions send the id alone, for any number.
  if (Value.isString()) {
    if (std::string Text; readId(Value, Text))
      return CancelledJob{JobId{std::move(Text)}, UINT64_MAX};
    return idError("cancelled");
  }
  return decodeReference<CancelledJob>(Value);
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

Json::Value encodeStep(const StepDemand &Step) {
  Json::Value V(Json::objectValue);
  V["count"] = Step.Count;
  writeResources(V, Step.PerTask);
  V["estimate_ms"] = encodeDuration(Step.Estimate);
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
  // A job without tasks would never end.
  int64_t Count = 0;
  Inner.integer("count", Count, 1, MaxTasks);
  Out.Count = static_cast<uint32_t>(Count);
  readResources(Inner, Out.PerTask);
  Inner.optionalString("rack", Out.Rack, MaxTextLength)
      .optionalString("requirement", Out.Requirement, MaxTextLength);
  readDuration(Inner, "estimate_ms", Out.Estimate);
  int64_t MaxPerUpstream = 0;
  Inner.optionalInteger("max_per_upstream", MaxPerUpstream, 0, UINT32_MAX);
  Out.MaxPerUpstream = static_cast<uint32_t>(MaxPerUpstream);
  if (std::optional<Error> Problem = Inner.finish())
    Reader.fail(*Problem);
}

Json::Value encodeTaskCrash(const TaskCrash &Crash) {
  Json::Value V(Json::objectValue);
  V["index"] = Crash.Index;
  V["upstream"] = Crash.Upstream.Value;
  V["started_at"] = Json::Int64(Crash.StartedAt);
  V["evidence"] = static_cast<int>(Crash.Evidence);
  return V;
}

Result<TaskCrash> decodeTaskCrash(const Json::Value &Value) {
  ObjectReader Reader(Value, "crash");
  TaskCrash Crash;
  readCount(Reader, "index", Crash.Index);
  Reader.string("upstream", Crash.Upstream.Value, MaxTextLength)
      .integer("started_at", Crash.StartedAt, INT64_MIN, INT64_MAX);
  // Earlier versions send 2 for a crash in progress whose process is replaced.
  int64_t Evidence = 0;
  Reader.integer("evidence", Evidence, 0, 2);
  Crash.Evidence =
      Evidence > 0 ? CrashEvidence::InProgress : CrashEvidence::Possible;
  return finishReading(Reader, std::move(Crash));
}

/// Writes the list unless it is empty, so that earlier versions accept the
/// messages about jobs without crashes.
void writeCrashes(Json::Value &V, const std::vector<TaskCrash> &Crashes) {
  if (!Crashes.empty())
    V["crash_records"] = encodeList(Crashes, encodeTaskCrash);
}

void readCrashes(ObjectReader &Reader, std::vector<TaskCrash> &Out) {
  // Earlier versions send counts without evidence, which are ignored.
  Reader.optionalArray("crashes", MaxListLength);
  if (Reader.has("crash_records"))
    readList(Reader, "crash_records", MaxListLength, Out, decodeTaskCrash);
}

Json::Value encodeClosed(const ClosedJob &Job) {
  Json::Value V(Json::objectValue);
  V["number"] = Json::UInt64(Job.Number);
  if (Job.Result)
    V["result"] = encodeJobResult(*Job.Result);
  return V;
}

Result<ClosedJob> decodeClosed(const Json::Value &Value) {
  ObjectReader Reader(Value, "closed job");
  ClosedJob Job;
  Reader.unsignedId("number", Job.Number);
  if (const Json::Value *Given = Reader.optionalObject("result")) {
    Result<JobResult> Decoded = decodeJobResult(*Given);
    if (failed(Decoded))
      Reader.fail(errorOf(Decoded));
    else
      Job.Result = std::move(valueOf(Decoded));
  }
  return finishReading(Reader, std::move(Job));
}

/// Returns the field \p Name of \p Value alone, so that fields of later
/// versions are ignored.
Json::Value onlyField(const Json::Value &Value, const char *Name) {
  Json::Value Known(Json::objectValue);
  if (Value.isObject() && Value.isMember(Name))
    Known[Name] = Value[Name];
  return Known;
}

Json::Value encodeQueriedJob(const QueriedJob &Job) {
  Json::Value V(Json::objectValue);
  V["id"] = Job.Id.Value;
  if (Job.Cancel)
    V["cancel"] = true;
  return V;
}

Result<QueriedJob> decodeQueriedJob(const Json::Value &Value) {
  ObjectReader Reader(Value, "queried job");
  QueriedJob Job;
  // A field of a later version may change what is asked, so it is an error.
  Reader.string("id", Job.Id.Value, MaxJobIdLength)
      .optionalBoolean("cancel", Job.Cancel);
  return finishReading(Reader, std::move(Job));
}

Result<uint32_t> decodePosition(const Json::Value &Value) {
  if (Value.isUInt() && Value.asUInt() < MaxQueriedOpenJobs)
    return Value.asUInt();
  return Error{ErrorKind::InvalidField, "open has an item that is no position",
               "send whole numbers below " +
                   std::to_string(MaxQueriedOpenJobs)};
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

Json::Value encodeJobOrder(const JobOrder &Order) {
  Json::Value V(Json::objectValue);
  V["id"] = Order.Id.Value;
  V["entry"] = Order.Entry.Value;
  V["incarnation"] = Json::UInt64(Order.Incarnation.Value);
  V["number"] = Json::UInt64(Order.Number);
  V["queue"] = Order.Queue;
  V["service"] = Order.Service.Value;
  V["priority"] = Order.Priority;
  V["max_attempts"] = Order.MaxAttempts;
  V["stretch"] = Order.Stretch;
  V["slack_ms"] = encodeDuration(Order.Slack);
  V["remaining_ms"] = std::max<Json::Int64>(0, encodeDuration(Order.Remaining));
  V["age_ms"] = std::max<Json::Int64>(0, encodeDuration(Order.Age));
  V["spec"] = Order.Spec;
  V["step"] = encodeStep(Order.Step);
  writeCrashes(V, Order.Crashes);
  return V;
}

Result<JobOrder> decodeJobOrder(const Json::Value &Value) {
  ObjectReader Reader(Value, "job");
  JobOrder Order;
  int64_t Priority = 0;
  Reader.string("id", Order.Id.Value, MaxTextLength)
      .string("entry", Order.Entry.Value, MaxTextLength)
      .unsignedId("incarnation", Order.Incarnation.Value)
      .unsignedId("number", Order.Number)
      .string("queue", Order.Queue, MaxTextLength)
      .string("service", Order.Service.Value, MaxTextLength)
      .integer("priority", Priority, INT32_MIN, INT32_MAX)
      .optionalNumber("stretch", Order.Stretch, 0, 1e6)
      .string("spec", Order.Spec, MaxSpecBytes);
  Order.Priority = static_cast<int32_t>(Priority);
  readCount(Reader, "max_attempts", Order.MaxAttempts);
  readDuration(Reader, "slack_ms", Order.Slack);
  readDuration(Reader, "remaining_ms", Order.Remaining);
  readDuration(Reader, "age_ms", Order.Age);
  readStep(Reader, Order.Step);
  readCrashes(Reader, Order.Crashes);
  return finishReading(Reader, std::move(Order));
}

Json::Value encodeJobResult(const JobResult &R) {
  Json::Value V(Json::objectValue);
  V["outcome"] = static_cast<int>(R.Outcome);
  V["reason"] = R.Reason;
  V["retry_after_ms"] = encodeDuration(R.RetryAfter);
  V["moved"] = R.Moved;
  V["leaving"] = R.Leaving;
  V["load"] = encodeLoad(R.Load);
  writeCrashes(V, R.Crashes);
  // Left out if false, so that earlier versions accept the message.
  if (R.MayHaveRun)
    V["may_have_run"] = true;
  if (R.Cancelled)
    V["cancelled"] = true;
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
  readCrashes(Reader, R.Crashes);
  Reader.optionalBoolean("may_have_run", R.MayHaveRun);
  Reader.optionalBoolean("cancelled", R.Cancelled);
  return finishReading(Reader, std::move(R));
}

Json::Value encodeResultQuery(const ResultQuery &Query) {
  Json::Value V(Json::objectValue);
  V["entry"] = Query.Entry.Value;
  V["incarnation"] = Json::UInt64(Query.Incarnation.Value);
  V["jobs"] = encodeList(Query.Jobs, encodeReference<JobReference>);
  return V;
}

Result<ResultQuery> decodeResultQuery(const Json::Value &Value) {
  ObjectReader Reader(Value, "result query");
  ResultQuery Query;
  Reader.string("entry", Query.Entry.Value, MaxTextLength)
      .unsignedId("incarnation", Query.Incarnation.Value);
  readList(Reader, "jobs", MaxListLength, Query.Jobs,
           decodeReference<JobReference>);
  return finishReading(Reader, std::move(Query));
}

Json::Value encodeResultReply(const ResultReply &Reply) {
  Json::Value V(Json::objectValue);
  V["closed"] = encodeList(Reply.Jobs, encodeClosed);
  return V;
}

Result<ResultReply> decodeResultReply(const Json::Value &Value) {
  ObjectReader Reader(Value, "result reply");
  ResultReply Reply;
  readList(Reader, "closed", MaxListLength, Reply.Jobs, decodeClosed);
  return finishReading(Reader, std::move(Reply));
}

Json::Value encodeOpenJobQuery(const OpenJobQuery &Query) {
  Json::Value V(Json::objectValue);
  V["jobs"] = encodeList(Query.Jobs, encodeQueriedJob);
  return V;
}

Result<OpenJobQuery> decodeOpenJobQuery(const Json::Value &Value) {
  Json::Value Known = onlyField(Value, "jobs");
  ObjectReader Reader(Known, "open-job query");
  OpenJobQuery Query;
  readList(Reader, "jobs", MaxQueriedOpenJobs, Query.Jobs, decodeQueriedJob);
  return finishReading(Reader, std::move(Query));
}

Json::Value encodeOpenJobReply(const OpenJobReply &Reply) {
  Json::Value V(Json::objectValue);
  V["open"] = encodeList(
      Reply.Open, [](uint32_t Position) { return Json::Value(Position); });
  return V;
}

Result<OpenJobReply> decodeOpenJobReply(const Json::Value &Value) {
  Json::Value Known = onlyField(Value, "open");
  ObjectReader Reader(Known, "open-job reply");
  OpenJobReply Reply;
  readList(Reader, "open", MaxQueriedOpenJobs, Reply.Open, decodePosition);
  return finishReading(Reader, std::move(Reply));
}

} // namespace snipeshunt
