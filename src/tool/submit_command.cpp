/// \file Subcommand that submits a job.
#include "core/json_func.h"
#include "tool/api_client.h"
#include "tool/commands.h"
#include "tool_support/tool_answer.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include <unistd.h>

namespace snipeshunt {

namespace {

/// Progress line on standard error with the time that a submission has waited.
/// Only shown on a terminal; erased by the destructor.
class ProgressLine {
public:
  explicit ProgressLine(ApiClient &Client) : Client(Client) {
    if (!isatty(STDERR_FILENO))
      return;
    Client.Progress = [this](Duration Waited) {
      fprintf(stderr, "\rwaiting for the answer, %.1f s",
              std::chrono::duration<double>(Waited).count());
      Shown = true;
    };
  }
  ProgressLine(const ProgressLine &) = delete;
  ProgressLine &operator=(const ProgressLine &) = delete;
  ~ProgressLine() {
    Client.Progress = nullptr;
    // Returns to the start of the line and erases it.
    if (Shown)
      fputs("\r\033[K", stderr);
  }

private:
  ApiClient &Client;
  bool Shown = false;
};

Result<std::string> readBody(const std::string &File) {
  Error Unreadable{ErrorKind::NotFound, "can't read '" + File + "'",
                   "give a readable file, or - for standard input"};
  std::string Text;
  if (File == "-") {
    Text.assign(std::istreambuf_iterator<char>(std::cin), {});
    return Text;
  }
  std::ifstream In(File, std::ios::binary);
  if (!In)
    return Unreadable;
  Text.assign(std::istreambuf_iterator<char>(In), {});
  if (In.bad())
    return Unreadable;
  return Text;
}

/// Requests a ticket from the instances in turn. Returns the first one issued,
/// or the exit status after the error was printed.
std::variant<std::string, ToolExit>
requestTicket(ApiClient &Client, const ToolArguments &Arguments) {
  HttpOutcome Outcome = Client.callFirst(
      Arguments.Instances, Client.request("POST", "/v1/tickets?count=1"),
      [](const HttpReply &Reply) { return !readTicket(Reply).empty(); });
  if (const auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return failUnreachable(*Failure);
  const auto &Reply = *std::get_if<HttpReply>(&Outcome);
  if (std::string Ticket = readTicket(Reply); !Ticket.empty())
    return Ticket;
  ToolAnswer Answer = readToolAnswer(Reply);
  return fail(ToolExit::Failed, "no ticket was issued: " + Answer.Message,
              Answer.Remedy.empty() ? "give another instance by --instance"
                                    : Answer.Remedy);
}

/// Result of sending one job, possibly several times.
struct Submission {
  /// Outcome of the last attempt.
  HttpOutcome Last = HttpFailure{true, "nothing was sent"};
  /// At least one attempt got a reply, or failed after bytes were sent.
  bool MayHaveArrived = false;
};

/// Sends \p Job up to `--attempts` times, to one instance after another, until
/// the reply is final.
Submission sendJob(ApiClient &Client, const ToolArguments &Arguments,
                   const HttpCall &Job) {
  Submission Out;
  size_t Count = Arguments.Instances.size();
  for (int Attempt = 0; Attempt < Arguments.Attempts; ++Attempt) {
    // The home may be restarting or partitioned; the pause grows from 200 ms to
    // 1.6 s to give it time to become reachable again.
    if (Attempt > 0)
      Client.pause(std::chrono::milliseconds(100 << std::min(Attempt, 4)));
    HttpCall Call = Job;
    Call.Target = Arguments.Instances[static_cast<size_t>(Attempt) % Count];
    Out.Last = Client.call(std::move(Call));
    const auto *Failure = std::get_if<HttpFailure>(&Out.Last);
    Out.MayHaveArrived |= !Failure || !Failure->NothingSent;
    if (!shouldResubmit(Out.Last))
      break;
  }
  return Out;
}

ToolExit reportFailure(const HttpFailure &Failure, bool MayHaveArrived,
                       const std::string &Ticket) {
  if (!MayHaveArrived)
    return failUnreachable(Failure);
  return fail(ToolExit::Unknown,
              "the outcome of the job is unknown: " + Failure.Message,
              "query it by: snipeshunt status " + Ticket);
}

ToolExit reportReply(const HttpReply &Reply, const ToolArguments &Arguments,
                     const std::string &Ticket) {
  ToolAnswer Answer = readToolAnswer(Reply);
  ToolExit Exit = exitOf(Answer);
  if (Arguments.Json)
    std::cout << Reply.Body << "\n";
  else if (Answer.Outcome == "running")
    std::cout << Ticket << "\n";
  else
    std::cout << formatResults(Answer);
  if (Exit != ToolExit::Success)
    std::cerr << formatFailure(Answer) << "  ticket: " << Ticket << "\n";
  return Exit;
}

} // namespace

ToolExit runSubmit(const ToolArguments &Arguments) {
  Result<std::string> Body = readBody(Arguments.File);
  if (failed(Body))
    return fail(ToolExit::Usage, errorOf(Body).Message, errorOf(Body).Remedy);
  Result<Json::Value> Parsed = parseJson(valueOf(Body));
  if (failed(Parsed))
    return fail(ToolExit::Usage, "the job is " + errorOf(Parsed).Message,
                errorOf(Parsed).Remedy);
  ApiClient Client(Arguments);
  std::variant<std::string, ToolExit> TicketOrExit =
      requestTicket(Client, Arguments);
  if (const ToolExit *Exit = std::get_if<ToolExit>(&TicketOrExit))
    return *Exit;
  const std::string &Ticket = *std::get_if<std::string>(&TicketOrExit);
  HttpCall Job =
      Client.request("PUT", "/v1/jobs/" + encodePathSegment(Ticket) +
                                (Arguments.Wait ? "" : "?wait=false"));
  Job.Body = valueOf(Body);
  Job.Timeout = Arguments.Timeout.value_or(submissionTimeout(valueOf(Parsed)));
  Submission Sent;
  {
    ProgressLine Line(Client);
    Sent = sendJob(Client, Arguments, Job);
  }
  if (const auto *Failure = std::get_if<HttpFailure>(&Sent.Last))
    return reportFailure(*Failure, Sent.MayHaveArrived, Ticket);
  return reportReply(*std::get_if<HttpReply>(&Sent.Last), Arguments, Ticket);
}

} // namespace snipeshunt
