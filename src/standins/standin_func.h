/// \file What the stand-in programs share: delays, replies, start-up.
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

/// Calls functions after a delay, any number at a time, on one timer.
class DelayedCalls {
public:
  explicit DelayedCalls(EventLoop &Loop);
  void after(Duration Delay, std::function<void()> Function);

private:
  void runDue();
  void arm();

  Timer Next;
  std::multimap<SteadyTime, std::function<void()>> Pending;
};

HttpReply jsonReply(int Status, const Json::Value &Body);
/// Answers 400 with the message and remedy of \p E.
HttpReply badRequest(const Error &E);
/// Answers 404.
HttpReply unknownPath();

/// Listens, prints `listening IP:port`, and gives the address. On failure it
/// reports to standard error with \p Prefix.
std::optional<Address> startListening(HttpServer &Server, const Address &Listen,
                                      const char *Prefix);
/// Runs \p Loop until SIGTERM or SIGINT.
void runUntilSignal(EventLoop &Loop);

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_STANDIN_FUNC_H
