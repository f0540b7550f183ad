/// \file HTTP calls to upstreams.
#include "daemon/upstream_gateway.h"

#include "core/json_func.h"
#include "daemon/view_func.h"
#include "tickets/ticket_func.h"

namespace snipeshunt {

namespace {

// Upstreams accept about 60 connections each; a running task uses one.
constexpr size_t MaxTaskConnections = 56;
constexpr size_t MaxStatusConnections = 1;
// Below the default of limits.status_fresh_ms, the age up to which a status is
// trusted.
constexpr Duration StatusTimeout = std::chrono::milliseconds(1000);

/// String field \p Name of \p Value; empty if absent or of another type.
std::string stringField(const Json::Value &Value, const char *Name) {
  const Json::Value &Field = Value[Name];
  return Field.isString() ? Field.asString() : std::string();
}

} // namespace

AttemptResult readTaskReply(const HttpOutcome &Outcome) {
  if (auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return {Failure->NothingSent ? AttemptEnd::NothingSent
                                 : AttemptEnd::Unknown,
            Failure->Message};
  const HttpReply &Reply = std::get<HttpReply>(Outcome);
  Result<Json::Value> Parsed = parseJson(Reply.Body);
  if (failed(Parsed) || !valueOf(Parsed).isObject())
    return {AttemptEnd::Unknown, "the upstream's reply is not a JSON object"};
  const Json::Value &Body = valueOf(Parsed);
  std::string ReportedOutcome = stringField(Body, "outcome");
  if (Reply.Status == 200 && ReportedOutcome == "finished")
    return {AttemptEnd::Finished, stringField(Body, "output")};
  if (Reply.Status == 500 && ReportedOutcome == "failed")
    return {AttemptEnd::Failed, stringField(Body, "message")};
  if (Reply.Status == 503 && ReportedOutcome == "not_run") {
    std::string Reason = stringField(Body, "reason");
    return {Reason == "leaving" ? AttemptEnd::Leaving : AttemptEnd::Busy,
            "the upstream is " + Reason};
  }
  return {AttemptEnd::Unknown,
          "the upstream answered with status " + std::to_string(Reply.Status)};
}

std::optional<UpstreamStatus> readStatusReply(const HttpOutcome &Outcome) {
  auto *Reply = std::get_if<HttpReply>(&Outcome);
  if (!Reply || Reply->Status != 200)
    return std::nullopt;
  Result<Json::Value> Parsed = parseJson(Reply->Body);
  if (failed(Parsed) || !valueOf(Parsed).isObject())
    return std::nullopt;
  const Json::Value &Body = valueOf(Parsed);
  if (!Body["slots"].isUInt() || !Body["accelerators"].isUInt() ||
      !Body["leaving"].isBool())
    return std::nullopt;
  return UpstreamStatus{Body["slots"].asUInt(), Body["accelerators"].asUInt(),
                        Body["leaving"].asBool()};
}

UpstreamGateway::UpstreamGateway(Daemon &Owner)
    : Owner(Owner),
      TaskClient(Owner.loop(),
                 clientOptions(Owner.state().Settings, MaxTaskConnections)),
      StatusClient(Owner.loop(), clientOptions(Owner.state().Settings,
                                               MaxStatusConnections)) {
  Owner.effects().on<StartTask>().connect(
      [this](const StartTask &E) { startTask(E); });
  Owner.effects().on<PollStatus>().connect(
      [this](const PollStatus &E) { pollStatus(E); });
}

void UpstreamGateway::startTask(const StartTask &E) {
  AttemptId Id = E.Attempt;
  // The process may have been paused since the reducer's decision.
  if (Owner.clock().steadyNow() >= E.StartBefore) {
    Owner.dispatch(
        AttemptEnded{Id, {AttemptEnd::Busy, "the latest start had passed"}});
    return;
  }
  Json::Value Body(Json::objectValue);
  Body["task"] = taskText(E.Key);
  Body["kind"] = E.Spec->Kind.Value;
  Body["payload"] = E.Spec->Payload;
  HttpCall Call;
  Call.Target = E.Upstream;
  Call.Method = "POST";
  Call.Path = "/v1/tasks";
  Call.Body = writeJson(Body);
  Call.Timeout = E.Timeout;
  TaskClient.send(std::move(Call), [this, Id](const HttpOutcome &Outcome) {
    Owner.dispatch(AttemptEnded{Id, readTaskReply(Outcome)});
  });
}

void UpstreamGateway::pollStatus(const PollStatus &E) {
  HttpCall Call;
  Call.Target = E.Upstream;
  Call.Path = "/v1/status";
  Call.Timeout = StatusTimeout;
  Address Endpoint = E.Upstream;
  StatusClient.send(
      std::move(Call), [this, Endpoint](const HttpOutcome &Outcome) {
        Owner.dispatch(StatusRead{Endpoint, readStatusReply(Outcome)});
      });
}

} // namespace snipeshunt
