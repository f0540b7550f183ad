/// \file Tests of the time-outs of calls while the process is behind.
#include "http/http_client.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <thread>

namespace snipeshunt {
namespace {

using std::chrono::milliseconds;

/// A server without an event loop: it answers while the process of the client
/// does not run its own.
class RawServer {
public:
  RawServer() : Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Local{};
    Local.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &Local.sin_addr);
    EXPECT_EQ(
        bind(Listener, reinterpret_cast<sockaddr *>(&Local), sizeof(Local)), 0);
    EXPECT_EQ(listen(Listener, 4), 0);
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;
  ~RawServer() {
    close(Listener);
    if (Connection >= 0)
      close(Connection);
  }

  Address endpoint() const {
    sockaddr_in Local{};
    socklen_t Size = sizeof(Local);
    getsockname(Listener, reinterpret_cast<sockaddr *>(&Local), &Size);
    return {"127.0.0.1:" + std::to_string(ntohs(Local.sin_port))};
  }
  /// Waits until the client has connected and sent a request.
  void awaitRequest() {
    Connection = accept(Listener, nullptr, nullptr);
    char Bytes[4096];
    EXPECT_GT(recv(Connection, Bytes, sizeof(Bytes), 0), 0);
  }
  void send(std::string_view Bytes) const {
    EXPECT_EQ(::send(Connection, Bytes.data(), Bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(Bytes.size()));
  }

private:
  int Listener;
  int Connection = -1;
};

std::string reply(size_t BodyBytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(BodyBytes) +
         "\r\n\r\n" + std::string(BodyBytes, 'x');
}

/// One call to a raw server, whose request has been received.
struct PendingCall {
  explicit PendingCall(Duration Timeout) : Client(Loop, {}) {
    HttpCall Call;
    Call.Target = Server.endpoint();
    Call.Timeout = Timeout;
    StartedAt = bootTimeNow();
    Client.send(std::move(Call), [this](const HttpOutcome &Out) {
      Outcome = Out;
      EndedAfter = bootTimeNow() - StartedAt;
      Loop.stop();
    });
    // Connects and writes the request.
    for (int Turn = 0; Turn < 5; ++Turn)
      Loop.runFor(milliseconds(1));
    Server.awaitRequest();
  }

  /// Runs the loop until the call has ended, for at most 20 s.
  void finish() {
    // A former `runFor` may end a `run` early, so that one call is not enough.
    SteadyTime Limit = bootTimeNow() + std::chrono::seconds(20);
    while (!Outcome && bootTimeNow() < Limit)
      Loop.runFor(milliseconds(20));
  }
  bool answered() const {
    return Outcome && std::holds_alternative<HttpReply>(*Outcome);
  }

  EventLoop Loop;
  RawServer Server;
  HttpClient Client;
  SteadyTime StartedAt{};
  std::optional<HttpOutcome> Outcome;
  Duration EndedAfter{0};
};

} // namespace

// Guards against an answer that has arrived and takes many turns of the event
// loop to read: a busy process handles many other events in each of them.
TEST(HttpTimeoutTest, ArrivedReplyIsReadInFewTurns) {
  PendingCall Call(std::chrono::seconds(10));
  Call.Server.send(reply(40000));
  std::this_thread::sleep_for(milliseconds(50));
  int Turns = 0;
  for (; !Call.Outcome && Turns < 100; ++Turns)
    Call.Loop.runFor(milliseconds(20));
  ASSERT_TRUE(Call.answered());
  EXPECT_EQ(std::get<HttpReply>(*Call.Outcome).Body.size(), 40000U);
  EXPECT_LE(Turns, 4);
}

// As above, with an answer that is larger than the buffers of the connection.
TEST(HttpTimeoutTest, LargeReplyIsReadWhole) {
  PendingCall Call(std::chrono::seconds(10));
  std::string Bytes = reply(4 << 20);
  std::thread Sender([&] { Call.Server.send(Bytes); });
  Call.finish();
  Sender.join();
  ASSERT_TRUE(Call.answered());
  EXPECT_EQ(std::get<HttpReply>(*Call.Outcome).Body, std::string(4 << 20, 'x'));
}

// Guards against calls of a process without processor time that time out before
// their answers, which have arrived meanwhile, are read.
TEST(HttpTimeoutTest, ReplyThatArrivedWhileTheProcessWasBehindIsRead) {
  PendingCall Call(milliseconds(200));
  Call.Server.send(reply(40000));
  std::this_thread::sleep_for(milliseconds(500));
  Call.finish();
  EXPECT_TRUE(Call.answered());
}

// Guards against a time-out that counts the time in which the process stood
// still, so that the other side has only the rest of it.
TEST(HttpTimeoutTest, TimeInWhichTheProcessWasBehindDoesNotCount) {
  PendingCall Call(std::chrono::seconds(2));
  std::this_thread::sleep_for(milliseconds(2500));
  Timer Answer(Call.Loop, [&] { Call.Server.send(reply(10)); });
  Answer.startOnce(milliseconds(10));
  Call.finish();
  EXPECT_TRUE(Call.answered());
}

// Guards against a call that fails while its answer arrives.
TEST(HttpTimeoutTest, ReplyThatArrivesAtTheTimeoutIsRead) {
  PendingCall Call(std::chrono::seconds(1));
  std::string Bytes = reply(2000);
  Call.Server.send(Bytes.substr(0, 1000));
  // Sent between the time-out and the next check.
  Timer Rest(Call.Loop, [&] { Call.Server.send(Bytes.substr(1000)); });
  Rest.startOnce(Call.StartedAt + milliseconds(1050) - bootTimeNow());
  Call.finish();
  EXPECT_TRUE(Call.answered());
  EXPECT_GE(Call.EndedAfter, milliseconds(1050));
}

// Guards against extensions that let a call to a silent server go on after its
// time-out, or one to an endless server after twice its time-out.
TEST(HttpTimeoutTest, ExtensionsAreBounded) {
  PendingCall Silent(milliseconds(300));
  Silent.finish();
  ASSERT_TRUE(Silent.Outcome);
  EXPECT_FALSE(Silent.answered());
  EXPECT_GE(Silent.EndedAfter, milliseconds(300));
  EXPECT_LT(Silent.EndedAfter, std::chrono::seconds(10));

  PendingCall Endless(milliseconds(300));
  Endless.Server.send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n");
  Timer More(Endless.Loop, [&] { Endless.Server.send("x"); });
  More.startPeriodic(milliseconds(5));
  Endless.finish();
  ASSERT_TRUE(Endless.Outcome);
  EXPECT_FALSE(Endless.answered());
  EXPECT_GE(Endless.EndedAfter, milliseconds(600));
  EXPECT_LT(Endless.EndedAfter, std::chrono::seconds(10));
}

// Guards against a process that counts as behind without having been: its calls
// would time out late.
TEST(HttpTimeoutTest, OnlyDelaysOfTheLoopCountAsBehind) {
  EventLoop Loop;
  Loop.timeBehind();
  Timer Stop(Loop, [&] { Loop.stop(); });
  // Other work on the machine may delay the loop; the least of some trials
  // shows what an idle one counts.
  Duration Least = std::chrono::hours(1);
  for (int Trial = 0; Trial < 10 && Least > milliseconds(20); ++Trial) {
    Duration Before = Loop.timeBehind();
    Stop.startOnce(milliseconds(200));
    Loop.run();
    Least = std::min(Least, Loop.timeBehind() - Before);
  }
  EXPECT_LE(Least, milliseconds(20));
  Duration Before = Loop.timeBehind();
  std::this_thread::sleep_for(milliseconds(400));
  EXPECT_GT(Loop.timeBehind() - Before, milliseconds(300));
  Stop.startOnce(milliseconds(100));
  Loop.run();
  EXPECT_GT(Loop.timeBehind() - Before, milliseconds(300));
}

} // namespace snipeshunt
