/// \file Encodes and decodes the messages between instances of the ticket mode
/// as JSON.
#include "rpc/rpc_codec.h"

#include "core/json_func.h"
#include "rpc/rpc_field.h"

namespace snipeshunt {

namespace {

constexpr const char *WantsEvacuationParameter = "wants_evacuation";

constexpr size_t MaxBatchTasks = 20000;
constexpr size_t MaxMembers = 1024;
constexpr size_t MaxDocumentBytes = 1 << 20;
constexpr size_t MaxAnswers = 100000;

Json::Value encodeTask(const HandoverTask &Task) {
  Json::Value V(Json::objectValue);
  V["job"] = Json::UInt64(Task.Job.Value);
  V["index"] = Task.Index.Value;
  V["team"] = Task.Owner.Value;
  V["kind"] = Task.Spec->Kind.Value;
  V["payload"] = Task.Spec->Payload;
  V["expected_ms"] = Json::Int64(Task.Spec->ExpectedTime.count());
  V["accelerators"] = Task.Spec->Accelerators;
  V["start_within_ms"] = Json::Int64(Task.StartWithin.count());
  V["waited_ms"] = Json::Int64(Task.Waited.count());
  return V;
}

Result<HandoverTask> decodeTask(const Json::Value &Value) {
  HandoverTask Task;
  auto Spec = std::make_shared<TaskSpec>();
  ObjectReader Reader(Value, "tasks[]");
  Reader.unsignedId("job", Task.Job.Value)
      .string("team", Task.Owner.Value, MaxTextLength)
      .string("kind", Spec->Kind.Value, MaxTextLength)
      .string("payload", Spec->Payload, MaxPayloadBytes);
  readCount(Reader, "index", Task.Index.Value);
  readMs(Reader, "expected_ms", Spec->ExpectedTime);
  readCount(Reader, "accelerators", Spec->Accelerators);
  readMs(Reader, "start_within_ms", Task.StartWithin);
  readMs(Reader, "waited_ms", Task.Waited);
  Task.Spec = std::move(Spec);
  return finishReading(Reader, std::move(Task));
}

Json::Value encodeTaskReport(const TaskReport &Report) {
  Json::Value V = encodeTaskKey(Report.Key);
  V["sequence"] = Json::UInt64(Report.Sequence.Value);
  V["end"] = static_cast<int>(Report.Result.End);
  V["output"] = Report.Result.Output;
  return V;
}

Result<TaskReport> decodeTaskReport(const Json::Value &Value) {
  TaskReport Report;
  ObjectReader Reader(Value, "reports[]");
  Reader.unsignedId("sequence", Report.Sequence.Value)
      .string("output", Report.Result.Output, MaxPayloadBytes);
  readTaskKey(Reader, Report.Key);
  readEnum(Reader, "end", Report.Result.End, TaskEnd::Unknown);
  return finishReading(Reader, std::move(Report));
}

Json::Value encodeMember(const MemberAddress &Member) {
  Json::Value V(Json::objectValue);
  V["address"] = Member.Endpoint.Value;
  V["data_centre"] = Member.Centre.Value;
  return V;
}

Result<MemberAddress> decodeMember(const Json::Value &Value) {
  MemberAddress Member;
  ObjectReader Reader(Value, "members[]");
  Reader.string("address", Member.Endpoint.Value, MaxTextLength)
      .string("data_centre", Member.Centre.Value, MaxTextLength);
  return finishReading(Reader, std::move(Member));
}

Json::Value encodeDeparture(const DepartureNotice &Notice) {
  Json::Value V(Json::objectValue);
  V["left"] = Json::UInt64(Notice.Incarnation.Value);
  V["heir"] = Json::UInt64(Notice.Successor.Value);
  V["forget_ms"] = Json::Int64(Notice.ExpiresIn.count());
  return V;
}

Result<DepartureNotice> decodeDeparture(const Json::Value &Value) {
  DepartureNotice Notice;
  ObjectReader Reader(Value, "departed[]");
  Reader.unsignedId("left", Notice.Incarnation.Value)
      .unsignedId("heir", Notice.Successor.Value);
  readMs(Reader, "forget_ms", Notice.ExpiresIn);
  return finishReading(Reader, Notice);
}

Json::Value encodeAnswer(const AnswersReceived::RetainedAnswer &Retained) {
  Json::Value V(Json::objectValue);
  V["home"] = Json::UInt64(Retained.Home.Value);
  V["sequence"] = Json::UInt64(Retained.Sequence.Value);
  V["body_hash"] = Json::UInt64(Retained.BodyHash);
  V["forget_ms"] =
      Json::Int64(std::max<int64_t>(0, Retained.ExpiresIn.count()));
  V["outcome"] = static_cast<int>(Retained.Answer.Result);
  V["status"] = Retained.Answer.Status;
  V["body"] = Retained.Answer.Body;
  return V;
}

Result<AnswersReceived::RetainedAnswer> decodeAnswer(const Json::Value &Value) {
  AnswersReceived::RetainedAnswer Retained;
  int64_t Status = 0;
  ObjectReader Reader(Value, "entries[]");
  Reader.unsignedId("home", Retained.Home.Value)
      .unsignedId("sequence", Retained.Sequence.Value)
      .unsignedId("body_hash", Retained.BodyHash)
      .integer("status", Status, 0, 999)
      .string("body", Retained.Answer.Body, MaxPayloadBytes);
  readMs(Reader, "forget_ms", Retained.ExpiresIn);
  readEnum(Reader, "outcome", Retained.Answer.Result, Outcome::Running);
  Retained.Answer.Status = static_cast<int>(Status);
  return finishReading(Reader, std::move(Retained));
}

Result<TaskKey> decodeTaskKey(const Json::Value &Value) {
  TaskKey Key;
  ObjectReader Reader(Value, "tasks[]");
  readTaskKey(Reader, Key);
  return finishReading(Reader, Key);
}

} // namespace

std::string encodeRpcRequest(const std::string &Method,
                             const Json::Value &Message, bool WantsEvacuation) {
  Json::Value V(Json::objectValue);
  V["jsonrpc"] = "2.0";
  V["id"] = 1;
  V["method"] = Method;
  V["params"]["message"] = Message;
  if (WantsEvacuation)
    V["params"][WantsEvacuationParameter] = true;
  return writeJson(V);
}

bool wantsEvacuation(const Json::Value &Parameters) {
  return Parameters.isObject() &&
         Parameters[WantsEvacuationParameter].isBool() &&
         Parameters[WantsEvacuationParameter].asBool();
}

Result<Json::Value> decodeRpcResponse(std::string_view Text) {
  Result<Json::Value> Parsed = parseJson(Text);
  if (failed(Parsed))
    return Parsed;
  const Json::Value &V = valueOf(Parsed);
  if (!V.isObject() || !V["result"].isObject() ||
      V["result"].isMember("rpc_error"))
    return Error{ErrorKind::Unavailable,
                 "the peer rejected the message or sent no result: " +
                     std::string(Text.substr(0, 200)),
                 "run the same version on all instances"};
  return V["result"];
}

Json::Value encodeRpcError(const Error &E) {
  Json::Value V(Json::objectValue);
  V["rpc_error"] = E.Message + "; " + E.Remedy;
  return V;
}

Json::Value encodeHandover(const HandoverMessage &Message) {
  Json::Value V(Json::objectValue);
  V["home"] = Json::UInt64(Message.Home.Value);
  V["home_address"] = Message.HomeAddress.Value;
  V["receiver"] = Json::UInt64(Message.Receiver.Value);
  V["sequence"] = Json::UInt64(Message.Sequence.Value);
  V["settled_below"] = Json::UInt64(Message.SettledBelow.Value);
  V["tasks"] = encodeList(Message.Tasks, encodeTask);
  V["load"] = encodeLoad(Message.Load);
  return V;
}

Result<HandoverMessage> decodeHandover(const Json::Value &Value) {
  HandoverMessage Message;
  ObjectReader Reader(Value, "message");
  Reader.unsignedId("home", Message.Home.Value)
      .string("home_address", Message.HomeAddress.Value, MaxTextLength)
      .unsignedId("receiver", Message.Receiver.Value)
      .unsignedId("sequence", Message.Sequence.Value)
      .unsignedId("settled_below", Message.SettledBelow.Value);
  readList(Reader, "tasks", MaxBatchTasks, Message.Tasks, decodeTask);
  readLoad(Reader, "load", Message.Load);
  return finishReading(Reader, std::move(Message));
}

Json::Value encodeHandoverReply(const HandoverReply &Reply) {
  Json::Value V(Json::objectValue);
  V["verdict"] = static_cast<int>(Reply.Status);
  V["load"] = encodeLoad(Reply.Load);
  return V;
}

Result<HandoverReply> decodeHandoverReply(const Json::Value &Value) {
  HandoverReply Reply;
  ObjectReader Reader(Value, "result");
  readEnum(Reader, "verdict", Reply.Status, HandoverStatus::WrongIncarnation);
  readLoad(Reader, "load", Reply.Load);
  return finishReading(Reader, Reply);
}

Json::Value encodeReport(const ReportMessage &Message) {
  Json::Value V(Json::objectValue);
  V["home"] = Json::UInt64(Message.Home.Value);
  V["receiver"] = Json::UInt64(Message.Receiver.Value);
  V["reports"] = encodeList(Message.Reports, encodeTaskReport);
  V["load"] = encodeLoad(Message.Load);
  return V;
}

Result<ReportMessage> decodeReport(const Json::Value &Value) {
  ReportMessage Message;
  ObjectReader Reader(Value, "message");
  Reader.unsignedId("home", Message.Home.Value)
      .unsignedId("receiver", Message.Receiver.Value);
  readList(Reader, "reports", MaxBatchTasks, Message.Reports, decodeTaskReport);
  readLoad(Reader, "load", Message.Load);
  return finishReading(Reader, std::move(Message));
}

Json::Value encodeReportReply(const ReplyReport &Reply) {
  Json::Value V(Json::objectValue);
  V["wrong_incarnation"] = Reply.WrongIncarnation;
  V["load"] = encodeLoad(Reply.Load);
  return V;
}

Result<ReportAnswered> decodeReportReply(const Json::Value &Value) {
  ReportAnswered Answer;
  LoadReport Load;
  ObjectReader Reader(Value, "result");
  Reader.boolean("wrong_incarnation", Answer.WrongIncarnation);
  readLoad(Reader, "load", Load);
  Answer.Acknowledged = true;
  Answer.Load = Load;
  return finishReading(Reader, Answer);
}

Json::Value encodeRevoke(const RevokeMessage &Message) {
  Json::Value V(Json::objectValue);
  V["home"] = Json::UInt64(Message.Home.Value);
  V["receiver"] = Json::UInt64(Message.Receiver.Value);
  V["sequence"] = Json::UInt64(Message.Sequence.Value);
  V["tasks"] = encodeList(Message.Tasks, encodeTaskKey);
  return V;
}

Result<RevokeMessage> decodeRevoke(const Json::Value &Value) {
  RevokeMessage Message;
  ObjectReader Reader(Value, "message");
  Reader.unsignedId("home", Message.Home.Value)
      .unsignedId("receiver", Message.Receiver.Value)
      .unsignedId("sequence", Message.Sequence.Value);
  readList(Reader, "tasks", MaxBatchTasks, Message.Tasks, decodeTaskKey);
  return finishReading(Reader, std::move(Message));
}

Json::Value encodeRevokeReply(const RevokeReply &Reply) {
  Json::Value V(Json::objectValue);
  V["wrong_incarnation"] = Reply.WrongIncarnation;
  V["revoked"] = encodeList(Reply.Revoked, encodeTaskKey);
  return V;
}

Result<RevokeReply> decodeRevokeReply(const Json::Value &Value) {
  RevokeReply Reply;
  ObjectReader Reader(Value, "result");
  Reader.boolean("wrong_incarnation", Reply.WrongIncarnation);
  readList(Reader, "revoked", MaxBatchTasks, Reply.Revoked, decodeTaskKey);
  return finishReading(Reader, std::move(Reply));
}

Json::Value encodeHeartbeat(const Heartbeat &Message) {
  Json::Value V = encodeMember(Message.Location);
  V["incarnation"] = Json::UInt64(Message.Incarnation.Value);
  V["state"] = static_cast<int>(Message.State);
  V["load"] = encodeLoad(Message.Load);
  V["configuration_revision"] =
      Json::UInt64(Message.ConfigurationRevision.Value);
  if (Message.Successor)
    V["heir"] = Json::UInt64(Message.Successor->Value);
  V["known"] = encodeList(Message.KnownInstances, encodeMember);
  if (!Message.Departed.empty())
    V["departed"] = encodeList(Message.Departed, encodeDeparture);
  V["platform_reachable"] = Message.PlatformReachable;
  V["hears_receiver"] = Message.HearsReceiver;
  return V;
}

Result<Heartbeat> decodeHeartbeat(const Json::Value &Value) {
  Heartbeat Message;
  ObjectReader Reader(Value, "message");
  Reader.string("address", Message.Location.Endpoint.Value, MaxTextLength)
      .string("data_centre", Message.Location.Centre.Value, MaxTextLength)
      .unsignedId("incarnation", Message.Incarnation.Value)
      .unsignedId("configuration_revision", Message.ConfigurationRevision.Value)
      .boolean("platform_reachable", Message.PlatformReachable)
      .boolean("hears_receiver", Message.HearsReceiver);
  readEnum(Reader, "state", Message.State, MemberState::Left);
  readLoad(Reader, "load", Message.Load);
  if (Reader.has("heir")) {
    Message.Successor = IncarnationId{};
    Reader.unsignedId("heir", Message.Successor->Value);
  }
  readList(Reader, "known", MaxMembers, Message.KnownInstances, decodeMember);
  if (Reader.has("departed"))
    readList(Reader, "departed", MaxMembers, Message.Departed, decodeDeparture);
  return finishReading(Reader, std::move(Message));
}

Json::Value encodeConfiguration(const ReplyConfiguration &Reply) {
  Json::Value V(Json::objectValue);
  V["revision"] = Json::UInt64(Reply.RevisionNumber.Value);
  V["text"] = Reply.Text;
  return V;
}

Result<ConfigurationReceived> decodeConfiguration(const Json::Value &Value) {
  ConfigurationReceived Read;
  ObjectReader Reader(Value, "result");
  Reader.unsignedId("revision", Read.RevisionNumber.Value)
      .string("text", Read.Text, MaxDocumentBytes);
  return finishReading(Reader, std::move(Read));
}

Json::Value encodeAnswers(IncarnationId From, const SendAnswers &Part) {
  Json::Value V(Json::objectValue);
  V["from"] = Json::UInt64(From.Value);
  V["entries"] = encodeList(Part.Answers, encodeAnswer);
  V["last"] = Part.Last;
  return V;
}

Result<AnswersReceived> decodeAnswers(const Json::Value &Value) {
  AnswersReceived Message;
  ObjectReader Reader(Value, "message");
  Reader.unsignedId("from", Message.From.Value).boolean("last", Message.Last);
  readList(Reader, "entries", MaxAnswers, Message.Answers, decodeAnswer);
  return finishReading(Reader, std::move(Message));
}

} // namespace snipeshunt
