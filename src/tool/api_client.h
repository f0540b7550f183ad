/// \file Blocking requests to instances.
#ifndef SNIPESHUNT_TOOL_API_CLIENT_H
#define SNIPESHUNT_TOOL_API_CLIENT_H

#include "http/event_loop.h"
#include "http/http_client.h"
#include "tool_support/tool_type.h"

#include <functional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Sends requests and waits for their outcomes.
class ApiClient {
public:
  explicit ApiClient(const ToolArguments &Arguments);

  /// A request with the time limit of the command line, without a target.
  HttpCall request(std::string Method, std::string Path) const;
  HttpOutcome call(HttpCall Call);
  /// Reads \p Path of all \p Instances at once; outcomes in their order.
  std::vector<HttpOutcome> getAll(const std::vector<Address> &Instances,
                                  const char *Path);
  /// Sends all calls at once; outcomes are in the order of the calls.
  std::vector<HttpOutcome> callAll(std::vector<HttpCall> Calls);
  /// Asks the instances in turn until \p Accept accepts a reply; gives the
  /// last reply, or a failure when no instance answered. The failure says that
  /// nothing was sent only if that holds for every instance.
  HttpOutcome callFirst(const std::vector<Address> &Instances, HttpCall Call,
                        const std::function<bool(const HttpReply &)> &Accept);
  void pause(Duration Length);

  /// Called every 200 ms during a wait, with the time waited so far.
  std::function<void(Duration)> Progress;

private:
  Duration Timeout;
  EventLoop Loop;
  HttpClient Client;
};

/// Prints \p Message and \p Remedy on standard error and gives \p Exit.
ToolExit fail(ToolExit Exit, const std::string &Message,
              const std::string &Remedy);
/// The same for a request that no instance answered.
ToolExit failUnreachable(const HttpFailure &Failure);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_API_CLIENT_H
