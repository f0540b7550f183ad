/// \file Blocking HTTP client of the tool, for instances and the platform.
#ifndef SNIPESHUNT_TOOL_API_CLIENT_H
#define SNIPESHUNT_TOOL_API_CLIENT_H

#include "http/event_loop.h"
#include "http/http_client.h"
#include "tool_support/tool_type.h"

#include <functional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Sends HTTP requests and runs an event loop of its own until all of them have
/// an outcome. One command uses one client; it is not thread-safe.
class ApiClient {
public:
  /// Uses `--timeout-ms` of \p Arguments, or 30 s without it, as the limit of
  /// each request.
  explicit ApiClient(const ToolArguments &Arguments);

  /// Returns a request with the client's time limit; the caller sets its
  /// target and body.
  HttpCall request(std::string Method, std::string Path) const;
  /// Sends one request and waits for its reply or failure.
  HttpOutcome call(HttpCall Call);
  /// Sends `GET` \p Path to all \p Instances at once. Returns the outcomes in
  /// the order of \p Instances.
  std::vector<HttpOutcome> getAll(const std::vector<Address> &Instances,
                                  const char *Path);
  /// Sends all requests at once. Returns the outcomes in the order of \p Calls.
  std::vector<HttpOutcome> callAll(std::vector<HttpCall> Calls);
  /// Sends \p Call to the instances one after another until \p Accept returns
  /// true for a reply. Without such a reply, returns the last reply, or a
  /// failure if no instance answered. The failure has `NothingSent` set only if
  /// it was set for every instance.
  HttpOutcome callFirst(const std::vector<Address> &Instances, HttpCall Call,
                        const std::function<bool(const HttpReply &)> &Accept);
  /// Waits for \p Length before a request is repeated.
  void pause(Duration Length);

  /// Called every 200 ms while requests are pending, with the time since they
  /// were sent. May be empty.
  std::function<void(Duration)> Progress;

private:
  Duration Timeout; ///< Limit of each request.
  EventLoop Loop;
  HttpClient Client;
};

/// Prints \p Message and \p Remedy to standard error and returns \p Exit.
ToolExit fail(ToolExit Exit, const std::string &Message,
              const std::string &Remedy);
/// Prints the message of \p Failure, a request that no instance answered, and
/// returns `ToolExit::Unreachable`.
ToolExit failUnreachable(const HttpFailure &Failure);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_API_CLIENT_H
