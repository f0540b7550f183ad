/// \file Encodes and decodes the messages about jobs between instances of a
/// fleet of cells as JSON.
#include "rpc/job_codec.h"

#include "rpc/cell_field.h"

namespace snipeshunt {

namespace {

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

} // namespace

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
  V["spec"] = Order.Spec.text();
  V["step"] = encodeStep(Order.Step);
  writeCrashes(V, Order.Crashes);
  return V;
}

Result<JobOrder> decodeJobOrder(const Json::Value &Value) {
  ObjectReader Reader(Value, "job");
  JobOrder Order;
  int64_t Priority = 0;
  std::string Spec;
  Reader.string("id", Order.Id.Value, MaxTextLength)
      .string("entry", Order.Entry.Value, MaxTextLength)
      .unsignedId("incarnation", Order.Incarnation.Value)
      .unsignedId("number", Order.Number)
      .string("queue", Order.Queue, MaxTextLength)
      .string("service", Order.Service.Value, MaxTextLength)
      .integer("priority", Priority, INT32_MIN, INT32_MAX)
      .optionalNumber("stretch", Order.Stretch, 0, 1e6)
      .string("spec", Spec, MaxSpecBytes);
  Order.Spec = std::move(Spec);
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
