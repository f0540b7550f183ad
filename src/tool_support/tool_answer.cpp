/// \file Parses the answers that the tool receives.
#include "tool_support/tool_answer.h"

#include "core/json_func.h"

#include <algorithm>

namespace snipeshunt {

namespace {

/// Returns a member of an object; null if it is absent or \p Object is none.
const Json::Value &member(const Json::Value &Object, const char *Name) {
  return Object.isObject() ? Object[Name] : Json::Value::nullSingleton();
}

std::string textOf(const Json::Value &Object, const char *Name) {
  const Json::Value &Found = member(Object, Name);
  return Found.isString() ? Found.asString() : std::string();
}

/// Returns `index` and \p Field of each element of \p Array, sorted by index.
std::vector<std::pair<int64_t, std::string>>
readIndexed(const Json::Value &Array, const char *Field) {
  std::vector<std::pair<int64_t, std::string>> Out;
  if (!Array.isArray())
    return Out;
  for (const Json::Value &Record : Array) {
    const Json::Value &Index = member(Record, "index");
    if (Index.isInt64())
      Out.emplace_back(Index.asInt64(), textOf(Record, Field));
  }
  std::stable_sort(Out.begin(), Out.end(), [](const auto &L, const auto &R) {
    return L.first < R.first;
  });
  return Out;
}

std::string outcomeOfStatus(int Status) {
  if (Status == 202)
    return "running";
  // Without an outcome in the body, only a client error proves that the request
  // was rejected.
  if (Status >= 400 && Status < 500)
    return "refused";
  return "unknown";
}

} // namespace

ToolAnswer readToolAnswer(const HttpReply &Reply) {
  ToolAnswer Out;
  Result<Json::Value> Parsed = parseJson(Reply.Body);
  Json::Value Body = failed(Parsed) ? Json::Value() : valueOf(Parsed);
  Out.Outcome = textOf(Body, "outcome");
  if (Out.Outcome.empty())
    Out.Outcome = outcomeOfStatus(Reply.Status);
  const Json::Value &Problem = member(Body, "error");
  Out.ErrorKind = textOf(Problem, "kind");
  Out.Message = textOf(Problem, "message");
  Out.Remedy = textOf(Problem, "remedy");
  if (Out.Message.empty())
    Out.Message = "the instance answered with status " +
                  std::to_string(Reply.Status) + " and no explanation";
  Out.Results = readIndexed(member(Body, "results"), "output");
  Out.Tasks = readIndexed(member(Body, "tasks"), "state");
  return Out;
}

ToolExit exitOf(const ToolAnswer &Answer) {
  if (Answer.Outcome == "complete" || Answer.Outcome == "running")
    return ToolExit::Success;
  if (Answer.Outcome == "failed" || Answer.Outcome == "not_run" ||
      Answer.Outcome == "refused")
    return ToolExit::Failed;
  return ToolExit::Unknown;
}

ToolExit exitOfCancel(const ToolAnswer &Answer) {
  if (Answer.ErrorKind == "cancelled" && Answer.Outcome != "unknown")
    return ToolExit::Success;
  return exitOf(Answer);
}

bool shouldResubmit(const HttpOutcome &Outcome) {
  const auto *Reply = std::get_if<HttpReply>(&Outcome);
  if (!Reply)
    return true;
  ToolAnswer Answer = readToolAnswer(*Reply);
  return Reply->Status == 504 && Answer.Outcome == "unknown" &&
         Answer.ErrorKind == "home_unreachable";
}

std::string readTicket(const HttpReply &Reply) {
  Result<Json::Value> Parsed = parseJson(Reply.Body);
  if (Reply.Status != 200 || failed(Parsed))
    return {};
  const Json::Value &Tickets = member(valueOf(Parsed), "tickets");
  if (!Tickets.isArray() || Tickets.empty() || !Tickets[0].isString())
    return {};
  return Tickets[0].asString();
}

Duration submissionTimeout(const Json::Value &JobBody) {
  // The home answers within the job's patience; the margin covers the time to
  // forward the answer.
  constexpr auto Least = std::chrono::seconds(30);
  constexpr auto Margin = std::chrono::seconds(5);
  const Json::Value &Patience = member(JobBody, "patience_ms");
  if (!Patience.isInt64())
    return Least;
  int64_t Bounded = std::clamp<int64_t>(Patience.asInt64(), 0, 86400000);
  return std::max<Duration>(Least, std::chrono::milliseconds(Bounded) + Margin);
}

std::string encodePathSegment(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Out;
  for (unsigned char C : Text) {
    bool Plain = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
                 (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '-';
    if (Plain) {
      Out += static_cast<char>(C);
      continue;
    }
    Out += '%';
    Out += Digits[C >> 4];
    Out += Digits[C & 15];
  }
  return Out;
}

} // namespace snipeshunt
