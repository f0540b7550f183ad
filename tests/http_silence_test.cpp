/// \file Tests of the HTTP client with connections that fall silent, and with
/// delays of its own process, over loopback.
#include "http/http_client.h"
#include "support/counting_server.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

using testing::CountingServer;

/// Sends \p Count calls at once and runs the loop until all have ended.
/// Returns the number of replies.
size_t callTogether(EventLoop &Loop, HttpClient &Client, const HttpCall &Call,
                    size_t Count) {
  size_t Ended = 0;
  size_t Replies = 0;
  for (size_t I = 0; I < Count; ++I)
    Client.send(Call, [&](const HttpOutcome &Outcome) {
      Replies += std::holds_alternative<HttpReply>(Outcome) ? 1 : 0;
      if (++Ended == Count)
        Loop.stop();
    });
  // A time limit of an earlier `runFor` ends the loop too.
  while (Ended < Count)
    Loop.run();
  return Replies;
}

HttpCall callTo(const CountingServer &Server, const char *Path,
                Duration Timeout) {
  HttpCall Call;
  Call.Target = Server.endpoint();
  Call.Path = Path;
  Call.Timeout = Timeout;
  return Call;
}

// Guards against a stop that reaches its upstream late (TWICE, review case 1):
// several open connections have fallen silent at once, and calls time out on
// one after another.
TEST(HttpClientTest, TimeOutClosesIdleConnectionsWithoutAnAnswerSince) {
  EventLoop Loop;
  CountingServer Server(Loop);
  HttpClient Client(Loop, {});
  HttpCall Call = callTo(Server, "/", std::chrono::milliseconds(60));
  EXPECT_EQ(callTogether(Loop, Client, Call, 3), 3U);
  EXPECT_EQ(Server.accepted(), 3U);
  Loop.runFor(std::chrono::milliseconds(5));
  Server.silence();
  for (size_t Replies : {0, 1, 1}) {
    EXPECT_EQ(callTogether(Loop, Client, Call, 1), Replies);
    Loop.runFor(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(Server.accepted(), 4U);
}

// Guards against new connections, which are priced, and against lost calls
// while one answer of a working server is lost: a time-out leaves connections
// with an answer since, and those with a call.
TEST(HttpClientTest, TimeOutLeavesConnectionsThatAnswerAndOpenCalls) {
  EventLoop Loop;
  CountingServer Server(Loop);
  HttpClient Client(Loop, {});
  HttpCall Call = callTo(Server, "/", std::chrono::seconds(5));
  EXPECT_EQ(callTogether(Loop, Client, Call, 3), 3U);
  Loop.runFor(std::chrono::milliseconds(5));
  std::vector<std::string> Ends;
  auto Record = [&](const char *Name) {
    return [&Ends, Name](const HttpOutcome &Outcome) {
      Ends.push_back((std::holds_alternative<HttpReply>(Outcome)
                          ? "reply "
                          : "no reply ") +
                     std::string(Name));
    };
  };
  Client.send(callTo(Server, "/lost", std::chrono::milliseconds(60)),
              Record("lost"));
  Client.send(callTo(Server, "/late", std::chrono::seconds(5)), Record("late"));
  Loop.runFor(std::chrono::milliseconds(5));
  Client.send(Call, Record("between"));
  for (int I = 0; I < 500 && Ends.size() < 2; ++I)
    Loop.runFor(std::chrono::milliseconds(10));
  Server.answerLate();
  for (int I = 0; I < 500 && Ends.size() < 3; ++I)
    Loop.runFor(std::chrono::milliseconds(10));
  EXPECT_EQ(Ends, (std::vector<std::string>{"reply between", "no reply lost",
                                            "reply late"}));
  Loop.runFor(std::chrono::milliseconds(5));
  EXPECT_EQ(callTogether(Loop, Client, Call, 2), 2U);
  EXPECT_EQ(Server.accepted(), 3U);
}

// Guards against answers that count as lost, and connections that are closed
// for it, because this process was delayed past the time-outs of its calls.
TEST(HttpClientTest, AnswersThatWaitedDuringADelayAreRead) {
  constexpr size_t Calls = 60;
  EventLoop Loop;
  EventLoop ServerLoop;
  CountingServer Server(ServerLoop);
  HttpClient Client(Loop, {});
  HttpCall Call = callTo(Server, "/", std::chrono::milliseconds(100));
  size_t Replies = 0;
  size_t Ended = 0;
  // The loop handles 32 sockets a turn until it has seen more at once.
  for (size_t I = 0; I < Calls; ++I) {
    Client.send(Call, [&](const HttpOutcome &Outcome) {
      Replies += std::holds_alternative<HttpReply>(Outcome) ? 1 : 0;
      ++Ended;
    });
    Loop.runFor(std::chrono::microseconds(500));
  }
  // The client's loop stands still while the server answers.
  SteadyTime Until = bootTimeNow() + std::chrono::milliseconds(200);
  while (bootTimeNow() < Until)
    ServerLoop.runFor(std::chrono::milliseconds(5));
  EXPECT_EQ(Server.requests(), Calls);
  for (int I = 0; I < 100 && Ended < Calls; ++I)
    Loop.runFor(std::chrono::milliseconds(10));
  EXPECT_EQ(Replies, Calls);
}

} // namespace
} // namespace snipeshunt
