/// \file Subcommands on instances and upstreams.
#include "core/json_func.h"
#include "tool/api_client.h"
#include "tool/commands.h"
#include "tool_support/tool_answer.h"

#include <iostream>

namespace snipeshunt {

namespace {

/// Prints the error of a reply that was not successful.
ToolExit failReply(const HttpReply &Reply) {
  ToolAnswer Answer = readToolAnswer(Reply);
  return fail(ToolExit::Failed, Answer.Message,
              Answer.Remedy.empty() ? "give another instance by --instance"
                                    : Answer.Remedy);
}

/// Reads \p Path from the first instance that answers and prints the reply, as
/// a table by \p Format or as JSON.
ToolExit printList(const ToolArguments &Arguments, const char *Path,
                   std::string (*Format)(const Json::Value &)) {
  ApiClient Client(Arguments);
  HttpOutcome Outcome = Client.callFirst(
      Arguments.Instances, Client.request("GET", Path),
      [](const HttpReply &Reply) {
        return Reply.Status == 200 && !failed(parseJson(Reply.Body));
      });
  if (const auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return failUnreachable(*Failure);
  const auto &Reply = *std::get_if<HttpReply>(&Outcome);
  Result<Json::Value> Body = parseJson(Reply.Body);
  if (Reply.Status != 200 || failed(Body))
    return failReply(Reply);
  std::cout << (Arguments.Json ? writeJson(valueOf(Body)) + "\n"
                               : Format(valueOf(Body)));
  return ToolExit::Success;
}

} // namespace

ToolExit runInstances(const ToolArguments &Arguments) {
  return printList(Arguments, "/v1/instances", formatInstances);
}

ToolExit runUpstreams(const ToolArguments &Arguments) {
  return printList(Arguments, "/v1/upstreams", formatUpstreams);
}

ToolExit runDrain(const ToolArguments &Arguments) {
  ApiClient Client(Arguments);
  HttpCall Call = Client.request("POST", "/v1/drain");
  Call.Target = Arguments.Instances.front();
  HttpOutcome Outcome = Client.call(Call);
  if (const auto *Failure = std::get_if<HttpFailure>(&Outcome)) {
    if (Failure->NothingSent)
      return failUnreachable(*Failure);
    return fail(ToolExit::Unknown,
                "the instance may be draining: " + Failure->Message,
                "check its state by: snipeshunt instances");
  }
  const auto &Reply = *std::get_if<HttpReply>(&Outcome);
  if (Reply.Status < 200 || Reply.Status >= 300)
    return failReply(Reply);
  if (Arguments.Json)
    std::cout << Reply.Body << "\n";
  else
    std::cout << "draining " << Call.Target.Value << "\n";
  return ToolExit::Success;
}

} // namespace snipeshunt
