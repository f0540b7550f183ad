/// \file Blocking HTTP client of the tool, for instances and the platform.
#include "tool/api_client.h"

#include "tool_support/tool_answer.h"

#include <iostream>

namespace snipeshunt {

namespace {

HttpClientOptions clientOptions() {
  HttpClientOptions Out;
  // A full timeline of 65,536 events exceeds the default of 8 MiB.
  Out.MaxReplyBody = 128 << 20;
  return Out;
}

} // namespace

ApiClient::ApiClient(const ToolArguments &Arguments)
    : Timeout(Arguments.Timeout.value_or(std::chrono::seconds(30))),
      Client(Loop, clientOptions()) {}

HttpCall ApiClient::request(std::string Method, std::string Path) const {
  HttpCall Out;
  Out.Method = std::move(Method);
  Out.Path = std::move(Path);
  Out.Timeout = Timeout;
  return Out;
}

HttpOutcome ApiClient::call(HttpCall Call) {
  return callAll({std::move(Call)}).front();
}

std::vector<HttpOutcome>
ApiClient::getAll(const std::vector<Address> &Instances, const char *Path) {
  std::vector<HttpCall> Calls;
  for (const Address &Instance : Instances) {
    Calls.push_back(request("GET", Path));
    Calls.back().Target = Instance;
  }
  return callAll(std::move(Calls));
}

std::vector<HttpOutcome> ApiClient::callAll(std::vector<HttpCall> Calls) {
  std::vector<HttpOutcome> Out(Calls.size());
  size_t Unanswered = Calls.size();
  for (size_t I = 0; I < Calls.size(); ++I) {
    Client.send(std::move(Calls[I]), [&, I](const HttpOutcome &Outcome) {
      Out[I] = Outcome;
      if (--Unanswered == 0)
        Loop.stop();
    });
  }
  SteadyTime Begin = std::chrono::steady_clock::now();
  Timer Report(Loop, [&] {
    if (Progress)
      Progress(std::chrono::steady_clock::now() - Begin);
  });
  Report.startPeriodic(std::chrono::milliseconds(200));
  while (Unanswered > 0)
    Loop.run();
  return Out;
}

HttpOutcome
ApiClient::callFirst(const std::vector<Address> &Instances, HttpCall Call,
                     const std::function<bool(const HttpReply &)> &Accept) {
  HttpOutcome Best = HttpFailure{true, "no instance is given"};
  for (const Address &Instance : Instances) {
    Call.Target = Instance;
    HttpOutcome Outcome = call(Call);
    const auto *Reply = std::get_if<HttpReply>(&Outcome);
    if (Reply && Accept(*Reply))
      return Outcome;
    auto *Failure = std::get_if<HttpFailure>(&Outcome);
    const auto *Earlier = std::get_if<HttpFailure>(&Best);
    if (Failure && !Earlier)
      continue;
    if (Failure)
      Failure->NothingSent &= Earlier->NothingSent;
    Best = std::move(Outcome);
  }
  return Best;
}

void ApiClient::pause(Duration Length) {
  bool Over = false;
  Timer End(Loop, [&] {
    Over = true;
    Loop.stop();
  });
  End.startOnce(Length);
  while (!Over)
    Loop.run();
}

ToolExit fail(ToolExit Exit, const std::string &Message,
              const std::string &Remedy) {
  std::cerr << formatError(Message, Remedy);
  return Exit;
}

ToolExit failUnreachable(const HttpFailure &Failure) {
  return fail(
      ToolExit::Unreachable, Failure.Message,
      "check that the instance runs, or give another one by --instance");
}

} // namespace snipeshunt
