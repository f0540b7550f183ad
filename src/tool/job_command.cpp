/// \file Subcommands on a submitted job.
#include "tool/api_client.h"
#include "tool/commands.h"
#include "tool_support/tool_answer.h"

#include <iostream>

namespace snipeshunt {

namespace {

/// Maps the answer about a job to the exit status of the subcommand.
using ExitRule = ToolExit (*)(const ToolAnswer &);

/// Sends \p Method for the job of the ticket and prints the answer.
ToolExit requestJob(const ToolArguments &Arguments, const char *Method,
                    ExitRule Rule) {
  ApiClient Client(Arguments);
  std::string Path = "/v1/jobs/" + encodePathSegment(Arguments.Ticket);
  // Reading and cancelling are idempotent, so every instance is tried.
  HttpOutcome Outcome = Client.callFirst(
      Arguments.Instances, Client.request(Method, Path),
      [](const HttpReply &Reply) { return !shouldResubmit(Reply); });
  if (const auto *Failure = std::get_if<HttpFailure>(&Outcome)) {
    if (Failure->NothingSent || Rule == exitOf)
      return failUnreachable(*Failure);
    return fail(ToolExit::Unknown,
                "the job may have been cancelled: " + Failure->Message,
                "query its state by: snipeshunt status " + Arguments.Ticket);
  }
  const auto &Reply = *std::get_if<HttpReply>(&Outcome);
  ToolAnswer Answer = readToolAnswer(Reply);
  ToolExit Exit = Rule(Answer);
  if (Arguments.Json)
    std::cout << Reply.Body << "\n";
  else if (Exit == ToolExit::Success)
    std::cout << Answer.Outcome << "\n" << formatResults(Answer);
  if (Exit != ToolExit::Success)
    std::cerr << formatFailure(Answer);
  return Exit;
}

} // namespace

ToolExit runStatus(const ToolArguments &Arguments) {
  return requestJob(Arguments, "GET", exitOf);
}

ToolExit runCancel(const ToolArguments &Arguments) {
  return requestJob(Arguments, "DELETE", exitOfCancel);
}

} // namespace snipeshunt
