/// \file Shared functions of the stand-in programs: delays, replies, start-up.
#include "standins/standin_func.h"

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace snipeshunt {

DelayedCalls::DelayedCalls(EventLoop &Loop)
    : Next(Loop, [this] { runDue(); }) {}

void DelayedCalls::after(Duration Delay, std::function<void()> Function) {
  Pending.emplace(std::chrono::steady_clock::now() + Delay,
                  std::move(Function));
  arm();
}

void DelayedCalls::runDue() {
  SteadyTime Now = std::chrono::steady_clock::now();
  while (!Pending.empty() && Pending.begin()->first <= Now) {
    auto Due = Pending.extract(Pending.begin());
    Due.mapped()();
  }
  arm();
}

void DelayedCalls::arm() {
  if (!Pending.empty())
    Next.startOnce(Pending.begin()->first - std::chrono::steady_clock::now());
}

HttpReply jsonReply(int Status, const Json::Value &Body) {
  HttpReply Reply;
  Reply.Status = Status;
  Reply.Body = writeJson(Body);
  return Reply;
}

HttpReply badRequest(const Error &E) {
  Json::Value Body;
  Body["outcome"] = "failed";
  Body["message"] = E.Message + "; " + E.Remedy;
  return jsonReply(400, Body);
}

HttpReply unknownPath() {
  Json::Value Body;
  Body["message"] = "no such path or method";
  return jsonReply(404, Body);
}

std::optional<Address> startListening(HttpServer &Server, const Address &Listen,
                                      const char *Prefix) {
  Result<Address> Bound = Server.listen(Listen);
  if (failed(Bound)) {
    const Error &E = errorOf(Bound);
    fprintf(stderr, "%s: %s; %s\n", Prefix, E.Message.c_str(),
            E.Remedy.c_str());
    return std::nullopt;
  }
  printf("listening %s\n", valueOf(Bound).Value.c_str());
  fflush(stdout);
  return valueOf(Bound);
}

void runUntilSignal(EventLoop &Loop) {
  SignalWatcher Terminate(Loop, SIGTERM, [&Loop] { Loop.stop(); });
  SignalWatcher Interrupt(Loop, SIGINT, [&Loop] { Loop.stop(); });
  Loop.run();
}

} // namespace snipeshunt
