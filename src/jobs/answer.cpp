/// \file JSON bodies of job submissions and of the answers to callers.
#include "jobs/answer_func.h"

#include "core/json_func.h"

namespace snipeshunt {

namespace {

// Limits of the fields of a submission; lengths are in bytes.
constexpr size_t MaxNameLength = 64;
constexpr size_t MaxPayloadLength = 256 << 10;
constexpr int64_t MaxExpectedMs = 3600000;
constexpr int64_t MaxAccelerators = 64;

/// Returns the state of a task in the answer of a job that has failed. A task
/// that was sent or handed over may still run, so its state is `unknown`.
std::string_view taskStateName(TaskState State) {
  switch (State) {
  case TaskState::Waiting:
    return "not_started";
  case TaskState::Finished:
    return "finished";
  case TaskState::Failed:
    return "failed";
  case TaskState::Running:
  case TaskState::HandedOver:
  case TaskState::Unknown:
    return "unknown";
  }
  return "unknown";
}

Json::Value errorValue(const Error &E) {
  Json::Value V(Json::objectValue);
  V["kind"] = std::string(errorKindName(E.Kind));
  V["message"] = E.Message;
  V["remedy"] = E.Remedy;
  return V;
}

/// Returns the fields that all answers have.
Json::Value answerValue(Outcome Result, std::string_view TicketText) {
  Json::Value V(Json::objectValue);
  V["outcome"] = std::string(outcomeName(Result));
  V["job"] = std::string(TicketText);
  return V;
}

StoredAnswerPtr makeAnswer(Outcome Result, int Status,
                           const Json::Value &Body) {
  auto Answer = std::make_shared<StoredAnswer>();
  Answer->Result = Result;
  Answer->Status = Status;
  Answer->Body = writeJson(Body);
  return Answer;
}

Result<TaskSpecPtr> parseTask(const Json::Value &Value,
                              const std::string &Path) {
  auto Spec = std::make_shared<TaskSpec>();
  int64_t ExpectedMs = 0;
  int64_t Accelerators = 0;
  ObjectReader Reader(Value, Path);
  Reader.string("kind", Spec->Kind.Value, MaxNameLength)
      .optionalString("payload", Spec->Payload, MaxPayloadLength)
      .optionalInteger("expected_ms", ExpectedMs, 0, MaxExpectedMs)
      .optionalInteger("accelerators", Accelerators, 0, MaxAccelerators);
  if (Spec->Kind.Value.empty())
    Reader.fail("kind", "a name of 1 to 64 bytes");
  if (std::optional<Error> Problem = Reader.finish())
    return *Problem;
  Spec->ExpectedTime = std::chrono::milliseconds(ExpectedMs);
  Spec->Accelerators = static_cast<uint32_t>(Accelerators);
  return TaskSpecPtr(std::move(Spec));
}

} // namespace

std::string_view outcomeName(Outcome Result) {
  switch (Result) {
  case Outcome::Complete:
    return "complete";
  case Outcome::Failed:
    return "failed";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Running:
    return "running";
  }
  return "unknown";
}

Result<ParsedSubmission> parseSubmission(std::string_view Body,
                                         const JobBodyLimits &Limits) {
  Result<Json::Value> Parsed = parseJson(Body);
  if (failed(Parsed))
    return errorOf(Parsed);
  ParsedSubmission Request;
  int64_t PatienceMs = Limits.DefaultPatience.count();
  ObjectReader Reader(valueOf(Parsed), "");
  Reader.string("team", Request.Owner.Value, MaxNameLength)
      .optionalInteger("patience_ms", PatienceMs, 1,
                       Limits.MaxPatience.count());
  if (Request.Owner.Value.empty())
    Reader.fail("team", "a name of 1 to 64 bytes");
  const Json::Value *Tasks = Reader.array("tasks", Limits.MaxTasks);
  if (Tasks && Tasks->empty())
    Reader.fail("tasks", "at least one task");
  if (std::optional<Error> Problem = Reader.finish())
    return *Problem;
  Request.Patience = std::chrono::milliseconds(PatienceMs);
  Request.PatienceGiven = valueOf(Parsed).isMember("patience_ms");
  for (Json::ArrayIndex I = 0; I < Tasks->size(); ++I) {
    Result<TaskSpecPtr> Spec =
        parseTask((*Tasks)[I], "tasks[" + std::to_string(I) + "]");
    if (failed(Spec))
      return errorOf(Spec);
    Request.Tasks.push_back(valueOf(Spec));
  }
  return Request;
}

int httpStatus(Outcome Result, ErrorKind Kind) {
  switch (Result) {
  case Outcome::Complete:
    return 200;
  case Outcome::Running:
    return 202;
  case Outcome::Failed:
    return 500;
  case Outcome::NotRun:
    if (Kind == ErrorKind::MalformedJson || Kind == ErrorKind::InvalidField)
      return 400;
    return Kind == ErrorKind::QuotaExceeded ? 429 : 503;
  case Outcome::Unknown:
    if (Kind == ErrorKind::TicketInvalid)
      return 400;
    if (Kind == ErrorKind::TicketConflict)
      return 409;
    return Kind == ErrorKind::TicketExpired ? 410 : 504;
  }
  return 500;
}

StoredAnswerPtr completeAnswer(const Job &J) {
  Json::Value Body = answerValue(Outcome::Complete, J.TicketText);
  Json::Value &Results = Body["results"] = Json::Value(Json::arrayValue);
  for (size_t I = 0; I < J.Tasks.size(); ++I) {
    Json::Value Item(Json::objectValue);
    Item["index"] = static_cast<Json::UInt>(I);
    Item["output"] = J.Tasks[I].Output;
    Results.append(std::move(Item));
  }
  return makeAnswer(Outcome::Complete, 200, Body);
}

StoredAnswerPtr failedAnswer(const Job &J, const Error &E) {
  Json::Value Body = answerValue(Outcome::Failed, J.TicketText);
  Body["error"] = errorValue(E);
  Json::Value &Tasks = Body["tasks"] = Json::Value(Json::arrayValue);
  for (size_t I = 0; I < J.Tasks.size(); ++I) {
    Json::Value Item(Json::objectValue);
    Item["index"] = static_cast<Json::UInt>(I);
    Item["state"] = std::string(taskStateName(J.Tasks[I].State));
    Tasks.append(std::move(Item));
  }
  return makeAnswer(Outcome::Failed, httpStatus(Outcome::Failed, E.Kind), Body);
}

StoredAnswerPtr errorAnswer(Outcome Result, std::string_view TicketText,
                            const Error &E) {
  Json::Value Body = answerValue(Result, TicketText);
  Body["error"] = errorValue(E);
  return makeAnswer(Result, httpStatus(Result, E.Kind), Body);
}

StoredAnswerPtr runningAnswer(const Job &J) {
  Json::Value Body = answerValue(Outcome::Running, J.TicketText);
  Body["tasks_total"] = static_cast<Json::UInt>(J.Tasks.size());
  Body["tasks_unfinished"] = static_cast<Json::UInt>(J.Unfinished);
  return makeAnswer(Outcome::Running, 202, Body);
}

} // namespace snipeshunt
