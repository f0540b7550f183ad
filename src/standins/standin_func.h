/// \file Shared functions of the stand-in programs: delays, replies, start-up.
#ifndef SNIPESHUNT_STANDINS_STANDIN_FUNC_H
#define SNIPESHUNT_STANDINS_STANDIN_FUNC_H

#include "core/json_func.h"
#include "core/number_func.h"
#include "http/event_loop.h"
#include "http/http_server.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace snipeshunt {

/// Calls functions after a delay. Any number may be pending; one timer serves
/// them all.
class DelayedCalls {
public:
  explicit DelayedCalls(EventLoop &Loop);
  /// Calls \p Function from the event loop once \p Delay has passed.
  void after(Duration Delay, std::function<void()> Function);

private:
  /// Calls the functions that are due.
  void runDue();
  /// Sets the timer to the earliest pending function.
  void arm();

  Timer Next;
  /// By the time of the call.
  std::multimap<SteadyTime, std::function<void()>> Pending;
};

/// Returns a reply with \p Body as JSON.
HttpReply jsonReply(int Status, const Json::Value &Body);
/// Returns a reply 400 with the message and remedy of \p E.
HttpReply badRequest(const Error &E);
/// Returns a reply 404 for an unknown path or method.
HttpReply unknownPath();

/// Makes \p Server listen on \p Listen, prints `listening IP:port` and returns
/// that address. On failure, prints the error to standard error, prefixed with
/// \p Prefix, and returns nothing.
std::optional<Address> startListening(HttpServer &Server, const Address &Listen,
                                      const char *Prefix);
/// Runs \p Loop until SIGTERM or SIGINT.
void runUntilSignal(EventLoop &Loop);

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_STANDIN_FUNC_H
