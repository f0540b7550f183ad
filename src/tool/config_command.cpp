/// \file Subcommands that read and change the configuration.
#include "configuration/configuration_cmd.h"
#include "configuration/configuration_func.h"
#include "configuration/etcd_func.h"
#include "core/json_func.h"
#include "tool/api_client.h"
#include "tool/commands.h"
#include "tool_support/tool_config.h"

#include <iostream>
#include <random>

namespace snipeshunt {

namespace {

// Number of times that a change is sent. After each failed attempt, the change
// history is queried before the change is sent again.
constexpr int MaxAttempts = 5;

/// The configuration document in the platform's store that a change is based
/// on.
struct BaseDocument {
  Configuration Document; ///< Default if there is none or it can't be parsed.
  Revision Number;        ///< 0 if there is no document yet.
  std::string Text;       ///< The stored text; empty if there is none.
};

ToolExit failWith(ToolExit Exit, const Error &E) {
  return fail(Exit, E.Message, E.Remedy);
}

HttpOutcome callService(ApiClient &Client, const ToolArguments &Arguments,
                        const EtcdRequest &Request) {
  HttpCall Call = Client.request("POST", Request.Path);
  Call.Target = *Arguments.Platform;
  Call.Body = Request.Body;
  return Client.call(std::move(Call));
}

/// Returns the body of the service's reply to a read request.
Result<std::string> readService(ApiClient &Client,
                                const ToolArguments &Arguments,
                                const EtcdRequest &Request) {
  HttpOutcome Outcome = callService(Client, Arguments, Request);
  if (const auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return Error{ErrorKind::Unavailable,
                 "the platform's service does not answer: " + Failure->Message,
                 "check --platform and the service, then repeat the command"};
  return std::move(std::get<HttpReply>(Outcome).Body);
}

Result<BaseDocument> readBaseDocument(ApiClient &Client,
                                      const ToolArguments &Arguments) {
  Result<std::string> Body =
      readService(Client, Arguments, rangeRequest(ConfigurationKey));
  if (failed(Body))
    return errorOf(Body);
  Result<EtcdRangeReply> Read = parseRangeReply(valueOf(Body));
  if (failed(Read))
    return errorOf(Read);
  BaseDocument Out;
  if (!valueOf(Read).Found)
    return Out;
  Out.Number = valueOf(Read).Found->ModRevision;
  Out.Text = std::move(valueOf(Read).Found->Value);
  Result<Configuration> Parsed = parseConfiguration(Out.Text);
  // `get` prints, and `set` may replace, a document that can't be parsed. It
  // then has the empty change id of a default document.
  if (!failed(Parsed))
    Out.Document = std::move(valueOf(Parsed));
  else if (Arguments.Verb != ConfigVerb::Get &&
           Arguments.Verb != ConfigVerb::Set)
    return Error{ErrorKind::InvalidField,
                 "the document in the service can't be read: " +
                     errorOf(Parsed).Message,
                 "replace it by: snipeshunt config set FILE"};
  return Out;
}

Result<Configuration> readFile(const ToolArguments &Arguments) {
  Result<std::string> Text = readToolFile(Arguments.File);
  if (failed(Text))
    return errorOf(Text);
  return parseConfiguration(valueOf(Text));
}

ConfigurationChange newChange(const std::string &Author) {
  std::random_device Device;
  uint64_t Id = (uint64_t{Device()} << 32) | Device();
  char Text[17];
  snprintf(Text, sizeof(Text), "%016llx", static_cast<unsigned long long>(Id));
  return {{Text}, Author, currentTimeText()};
}

ToolExit reportAccepted(const ConfigurationChange &Change, Revision Number) {
  std::cout << "accepted as revision " << Number.Value << ", change "
            << Change.Id.Value << "\n";
  return ToolExit::Success;
}

/// Looks \p Change up in the change history. Returns its revision, or nothing
/// if it has not taken effect.
Result<std::optional<Revision>> findChange(ApiClient &Client,
                                           const ToolArguments &Arguments,
                                           const ConfigurationChange &Change) {
  Result<std::string> Body =
      readService(Client, Arguments, rangeRequest(historyKey(Change.Id)));
  if (failed(Body))
    return errorOf(Body);
  Result<EtcdRangeReply> Read = parseRangeReply(valueOf(Body));
  if (failed(Read))
    return errorOf(Read);
  if (!valueOf(Read).Found)
    return std::optional<Revision>();
  return std::optional<Revision>(valueOf(Read).Found->ModRevision);
}

ToolExit reportConflict(const std::optional<EtcdValue> &Current) {
  Error E = conflictError(Current ? Current->Value : "");
  return failWith(ToolExit::Failed, E);
}

ToolExit reportReply(const HttpReply &Reply, ApiClient &Client,
                     const ToolArguments &Arguments,
                     const ConfigurationChange &Change) {
  Result<EtcdSwapReply> Parsed = parseSwapReply(Reply.Body);
  if (failed(Parsed))
    return failWith(ToolExit::Unknown, errorOf(Parsed));
  const EtcdSwapReply &Swap = valueOf(Parsed);
  if (Swap.Outcome == SwapOutcome::Swapped)
    return reportAccepted(Change, Swap.StoreRevision);
  if (Swap.Outcome == SwapOutcome::Conflict)
    return reportConflict(Swap.Current);
  auto Found = findChange(Client, Arguments, Change);
  return reportAccepted(Change, !failed(Found) && valueOf(Found)
                                    ? *valueOf(Found)
                                    : Swap.StoreRevision);
}

/// Replaces the document. The same transaction may be sent repeatedly: it
/// compares the revision, and its change id is in the history once it has taken
/// effect, so it takes effect at most once.
ToolExit replaceDocument(ApiClient &Client, const ToolArguments &Arguments,
                         const BaseDocument &Old, const Configuration &New) {
  EtcdRequest Request = swapRequest(Old.Document, Old.Number, New);
  bool MayHaveArrived = false;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    if (Attempt > 0)
      Client.pause(std::chrono::milliseconds(100 << Attempt));
    HttpOutcome Outcome = callService(Client, Arguments, Request);
    if (const auto *Reply = std::get_if<HttpReply>(&Outcome))
      return reportReply(*Reply, Client, Arguments, New.Change);
    MayHaveArrived |= !std::get<HttpFailure>(Outcome).NothingSent;
    auto Found = findChange(Client, Arguments, New.Change);
    if (!failed(Found) && valueOf(Found))
      return reportAccepted(New.Change, *valueOf(Found));
  }
  if (!MayHaveArrived)
    return fail(ToolExit::Unreachable,
                "the platform's service does not answer; nothing was changed",
                "check --platform and the service, then repeat the command");
  return fail(ToolExit::Unknown,
              "it is not known whether change " + New.Change.Id.Value +
                  " took effect",
              "look for this change id by: snipeshunt config history");
}

ToolExit runGet(const ToolArguments &Arguments) {
  ApiClient Client(Arguments);
  Result<BaseDocument> Old = readBaseDocument(Client, Arguments);
  if (failed(Old))
    return failWith(ToolExit::Unreachable, errorOf(Old));
  if (valueOf(Old).Number.Value == 0)
    return fail(ToolExit::Failed, "there is no configuration yet",
                "the built-in defaults apply; set one by: snipeshunt config "
                "set FILE");
  std::cout << valueOf(Old).Text << "\n";
  return ToolExit::Success;
}

ToolExit runSet(const ToolArguments &Arguments) {
  Result<Configuration> File = readFile(Arguments);
  if (failed(File))
    return failWith(ToolExit::Usage, errorOf(File));
  ApiClient Client(Arguments);
  Result<BaseDocument> Old = readBaseDocument(Client, Arguments);
  if (failed(Old))
    return failWith(ToolExit::Unreachable, errorOf(Old));
  const BaseDocument &B = valueOf(Old);
  Configuration New = valueOf(File);
  // The change id in the file identifies the document that was edited.
  // Replacing any other document would silently undo the changes made since.
  if (!B.Document.Change.Id.Value.empty() &&
      New.Change.Id != B.Document.Change.Id)
    return failWith(ToolExit::Failed, conflictError(B.Text));
  New.Change = newChange(Arguments.Author);
  if (std::optional<Error> Problem = checkConfiguration(New))
    return failWith(ToolExit::Usage, *Problem);
  return replaceDocument(Client, Arguments, B, New);
}

ToolExit runDiff(const ToolArguments &Arguments) {
  Result<Configuration> File = readFile(Arguments);
  if (failed(File))
    return failWith(ToolExit::Usage, errorOf(File));
  ApiClient Client(Arguments);
  Result<BaseDocument> Old = readBaseDocument(Client, Arguments);
  if (failed(Old))
    return failWith(ToolExit::Unreachable, errorOf(Old));
  for (const std::string &Line :
       diffConfigurations(valueOf(Old).Document, valueOf(File)))
    std::cout << Line << "\n";
  return ToolExit::Success;
}

ToolExit runCheck(const ToolArguments &Arguments) {
  Result<Configuration> File = readFile(Arguments);
  if (failed(File))
    return failWith(ToolExit::Failed, errorOf(File));
  std::cout << "the document is valid\n";
  return ToolExit::Success;
}

ToolExit runException(const ToolArguments &Arguments) {
  ApiClient Client(Arguments);
  Result<BaseDocument> Old = readBaseDocument(Client, Arguments);
  if (failed(Old))
    return failWith(ToolExit::Unreachable, errorOf(Old));
  Configuration New = valueOf(Old).Document;
  ConfigurationChange By = newChange(Arguments.Author);
  PolicyException Added = Arguments.Exception;
  Added.Author = By.Author;
  Added.Time = By.Time;
  Result<Ok> Changed = Arguments.Verb == ConfigVerb::AddException
                           ? addException(New, Added, By)
                           : removeException(New, Added.Id, By);
  if (failed(Changed))
    return failWith(ToolExit::Failed, errorOf(Changed));
  return replaceDocument(Client, Arguments, valueOf(Old), New);
}

ToolExit runHistory(const ToolArguments &Arguments) {
  ApiClient Client(Arguments);
  Result<std::string> Body =
      readService(Client, Arguments, prefixRequest(HistoryPrefix));
  if (failed(Body))
    return failWith(ToolExit::Unreachable, errorOf(Body));
  Result<std::vector<EtcdValue>> List = parseListReply(valueOf(Body));
  if (failed(List))
    return failWith(ToolExit::Failed, errorOf(List));
  std::cout << formatHistory(std::move(valueOf(List)), Arguments.Json);
  return ToolExit::Success;
}

} // namespace

ToolExit runConfig(const ToolArguments &Arguments) {
  switch (Arguments.Verb) {
  case ConfigVerb::Get:
    return runGet(Arguments);
  case ConfigVerb::Set:
    return runSet(Arguments);
  case ConfigVerb::Diff:
    return runDiff(Arguments);
  case ConfigVerb::Check:
    return runCheck(Arguments);
  case ConfigVerb::AddException:
  case ConfigVerb::RemoveException:
    return runException(Arguments);
  case ConfigVerb::History:
    return runHistory(Arguments);
  case ConfigVerb::Status:
    return runConfigStatus(Arguments);
  }
  return ToolExit::Usage;
}

} // namespace snipeshunt
