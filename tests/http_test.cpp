/// \file Tests of the HTTP server and client over loopback.
#include "http/http_client.h"
#include "http/http_server.h"
#include "support/counting_server.h"
#include "support/raw_client.h"

#include <gtest/gtest.h>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <optional>
#include <utility>

namespace snipeshunt {
namespace {

using testing::CountingServer;
using testing::RawClient;

/// Sends \p Call and runs the loop until its outcome is known.
HttpOutcome callAndWait(EventLoop &Loop, HttpClient &Client, HttpCall Call) {
  HttpOutcome Out = HttpFailure{};
  Client.send(std::move(Call), [&](const HttpOutcome &Outcome) {
    Out = Outcome;
    Loop.stop();
  });
  Loop.run();
  return Out;
}

size_t countOf(const std::string &Text, const std::string &Part) {
  size_t Count = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + Part.size()))
    ++Count;
  return Count;
}

// Guards against an unlimited number of connections: none is accepted while
// more descriptors are open than allowed.
TEST(HttpServerTest, PausesAcceptingAboveDescriptorLimit) {
  EventLoop Loop;
  HttpServerLimits Limits;
  Limits.MaxDescriptors = 0;
  HttpServer Closed(Loop, Limits);
  Result<Address> Bound = Closed.listen(Address{"127.0.0.1:0"});
  ASSERT_FALSE(failed(Bound));
  Closed.RequestReceived.connect([&](const HttpRequest &R) {
    Closed.reply(R.Id, {200, "x"});
  });
  HttpClient Client(Loop, {});
  HttpCall Call;
  Call.Target = valueOf(Bound);
  Call.Timeout = std::chrono::seconds(2);
  // The limit takes effect with the first count of the descriptors, which is
  // after 250 ms.
  Timer Later(Loop, [&] { Loop.stop(); });
  Later.startOnce(std::chrono::milliseconds(600));
  Loop.run();
  HttpOutcome Outcome = callAndWait(Loop, Client, Call);
  EXPECT_TRUE(std::holds_alternative<HttpFailure>(Outcome));
}

// Guards against one request or answer that ends the process, because an
// exception of its handler passes through evhttp.
TEST(HttpServerTest, SurvivesExceptionsOfHandlers) {
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
  ASSERT_FALSE(failed(Bound));
  int Requests = 0;
  Server.RequestReceived.connect([&](const HttpRequest &R) {
    if (++Requests == 1)
      throw std::length_error("too long");
    Server.reply(R.Id, {200, "x"});
  });
  std::vector<std::string> Reported;
  auto Report = [&](const std::string &What) { Reported.push_back(What); };
  Server.HandlerFailed.connect(Report);
  HttpClient Client(Loop, {});
  Client.HandlerFailed.connect(Report);
  HttpCall Call;
  Call.Target = valueOf(Bound);
  HttpOutcome First = callAndWait(Loop, Client, Call);
  ASSERT_TRUE(std::holds_alternative<HttpReply>(First));
  EXPECT_EQ(std::get<HttpReply>(First).Status, 500);
  Client.send(Call, [&](const HttpOutcome &) {
    Loop.stop();
    throw std::length_error("too short");
  });
  Loop.run();
  HttpOutcome Third = callAndWait(Loop, Client, Call);
  ASSERT_TRUE(std::holds_alternative<HttpReply>(Third));
  EXPECT_EQ(std::get<HttpReply>(Third).Status, 200);
  EXPECT_EQ(Reported, (std::vector<std::string>{"too long", "too short"}));
}

// Guards against work for a client that has closed its connection, on its first
// request and on a later one.
TEST(HttpServerTest, ReportsClientsThatCloseWhileTheyWait) {
  for (int Answered : {0, 1}) {
    EventLoop Loop;
    HttpServer Server(Loop, {});
    Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
    ASSERT_FALSE(failed(Bound));
    int Received = 0;
    int Closed = 0;
    Server.RequestReceived.connect([&](const HttpRequest &R) {
      if (Received++ < Answered)
        Server.reply(R.Id, {200, "x"});
    });
    Server.RequestClosed.connect([&](RequestId) {
      ++Closed;
      Loop.stop();
    });
    HttpClient Client(Loop, {});
    HttpCall Call;
    Call.Target = valueOf(Bound);
    Call.Method = "POST";
    Call.Body = "{}";
    for (int I = 0; I < Answered; ++I)
      callAndWait(Loop, Client, Call);
    Call.Timeout = std::chrono::milliseconds(50);
    Client.send(Call, [](const HttpOutcome &) {});
    Timer Limit(Loop, [&] { Loop.stop(); });
    Limit.startOnce(std::chrono::seconds(5));
    Loop.run();
    EXPECT_EQ(Received, Answered + 1);
    EXPECT_EQ(Closed, 1) << "answered before: " << Answered;
  }
}

// Guards against two runs of a task at once (TWICE): a request has waited in
// the socket of a busy instance, its client has disconnected meanwhile and sent
// it to another instance.
TEST(HttpServerTest, IgnoresRequestsWhoseClientsHaveDisconnected) {
  for (bool Reset : {false, true}) {
    EventLoop Loop;
    HttpServer Server(Loop, {});
    Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
    ASSERT_FALSE(failed(Bound));
    int Received = 0;
    Server.RequestReceived.connect([&](const HttpRequest &) { ++Received; });
    std::vector<std::string> Abandoned;
    Server.AbandonedRequestReceived.connect(
        [&](const HttpRequest &R) { Abandoned.push_back(R.Body); });
    {
      RawClient Client(valueOf(Bound));
      // The connection is accepted before the request is sent.
      Loop.runFor(std::chrono::milliseconds(20));
      Client.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}");
      if (Reset)
        Client.resetOnClose();
    }
    for (int I = 0; I < 20; ++I)
      Loop.runFor(std::chrono::milliseconds(10));
    EXPECT_EQ(Received, 0) << "reset: " << Reset;
    if (!Reset) {
      EXPECT_EQ(Server.abandonedRequests(), 1U);
      EXPECT_EQ(Abandoned, std::vector<std::string>{"{}"});
    }
    EXPECT_EQ(Server.openRequests(), 0U);
  }
}

// Guards against a leak: a client closes its connection after its request was
// dropped and before the connection is freed.
TEST(HttpServerTest, DroppedRequestsOfClosedConnectionsAreFreed) {
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
  ASSERT_FALSE(failed(Bound));
  int Closed = 0;
  Server.RequestClosed.connect([&](RequestId) { ++Closed; });
  std::optional<RawClient> Client;
  Server.RequestReceived.connect([&](const HttpRequest &R) {
    Server.drop(R.Id);
    Client.reset();
  });
  auto DropRequests = [&](size_t Count) {
    for (size_t I = 0; I < Count; ++I) {
      Client.emplace(valueOf(Bound));
      Client->send(
          "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}");
      for (int Turn = 0; Client && Turn < 100; ++Turn)
        Loop.runFor(std::chrono::milliseconds(2));
      EXPECT_FALSE(Client);
      Loop.runFor(std::chrono::milliseconds(2));
    }
    // Timers of `runFor` that are still pending hold memory.
    bool Ended = false;
    Timer End(Loop, [&] {
      Ended = true;
      Loop.stop();
    });
    End.startOnce(std::chrono::milliseconds(50));
    while (!Ended)
      Loop.run();
  };
  DropRequests(20); // Allocates what is kept for later requests.
  size_t Before = mallinfo2().uordblks;
  constexpr size_t Count = 100;
  DropRequests(Count);
  size_t After = mallinfo2().uordblks;
  // A request takes several hundred bytes.
  EXPECT_LT(After, Before + Count * 100);
  EXPECT_EQ(Closed, 0);
  EXPECT_EQ(Server.openRequests(), 0U);
}

// Guards against a client that ends the process by sending a second request
// before it has the answer to the first.
TEST(HttpServerTest, AnswersPipelinedRequests) {
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
  ASSERT_FALSE(failed(Bound));
  std::vector<RequestId> Open;
  Timer Answer(Loop, [&] {
    for (RequestId Id : std::exchange(Open, {}))
      Server.reply(Id, {200, "x"});
  });
  int Received = 0;
  Server.RequestReceived.connect([&](const HttpRequest &R) {
    Open.push_back(R.Id);
    Answer.startOnce(std::chrono::milliseconds(30));
    if (++Received == 2)
      Loop.stop();
  });
  RawClient Client(valueOf(Bound));
  Client.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
              "GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
  Timer Limit(Loop, [&] { Loop.stop(); });
  Limit.startOnce(std::chrono::seconds(5));
  Loop.run();
  EXPECT_EQ(Received, 2);
  std::string Answers;
  for (int I = 0; I < 500 && countOf(Answers, "HTTP/1.1 200") < 2; ++I) {
    Loop.runFor(std::chrono::milliseconds(10));
    Answers += Client.received();
  }
  EXPECT_EQ(countOf(Answers, "HTTP/1.1 200"), 2U) << Answers;
}

// Guards against confusing a refused connection with a lost request: only the
// former proves that nothing was sent.
TEST(HttpClientTest, DistinguishesRefusedFromLost) {
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
  ASSERT_FALSE(failed(Bound));
  Server.RequestReceived.connect(
      [&](const HttpRequest &R) { Server.drop(R.Id); });
  HttpClient Client(Loop, {});
  HttpCall Call;
  Call.Target = valueOf(Bound);
  HttpOutcome Lost = callAndWait(Loop, Client, Call);
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(Lost));
  EXPECT_FALSE(std::get<HttpFailure>(Lost).NothingSent);
  Server.stopListening();
  HttpOutcome Refused = callAndWait(Loop, Client, Call);
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(Refused));
  EXPECT_TRUE(std::get<HttpFailure>(Refused).NothingSent);
}

// Guards against a server that works on after its client has given up a call:
// the end of the connection has to tell it.
TEST(HttpClientTest, CancelledCallClosesItsConnection) {
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
  ASSERT_FALSE(failed(Bound));
  HttpClientOptions Options;
  Options.MaxConnectionsPerTarget = 1;
  HttpClient Client(Loop, Options);
  std::vector<bool> NothingSent;
  auto Record = [&](const HttpOutcome &Outcome) {
    NothingSent.push_back(std::get<HttpFailure>(Outcome).NothingSent);
  };
  HttpCall Call;
  Call.Target = valueOf(Bound);
  uint64_t First = Client.send(Call, Record);
  uint64_t Queued = Client.send(Call, Record);
  Timer Cancel(Loop, [&] {
    Client.cancel(Call.Target, Queued);
    Client.cancel(Call.Target, First);
    Client.cancel(Call.Target, First);
  });
  Server.RequestReceived.connect([&](const HttpRequest &) {
    Cancel.startOnce(std::chrono::milliseconds(1));
  });
  int Closed = 0;
  Server.RequestClosed.connect([&](RequestId) {
    ++Closed;
    Loop.stop();
  });
  Timer Limit(Loop, [&] { Loop.stop(); });
  Limit.startOnce(std::chrono::seconds(5));
  Loop.run();
  Loop.runFor(std::chrono::milliseconds(20));
  EXPECT_EQ(Closed, 1);
  EXPECT_EQ(NothingSent, (std::vector<bool>{false, true}));
}

// Guards against repeating a call on a persistent connection that the server
// closes at the moment of reuse: the call has to fail.
TEST(HttpClientTest, NeverRepeatsOnAClosedConnection) {
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
  ASSERT_FALSE(failed(Bound));
  int Received = 0;
  Server.RequestReceived.connect([&](const HttpRequest &R) {
    if (++Received == 1)
      Server.reply(R.Id, {200, "first"});
    else
      Server.drop(R.Id);
  });
  HttpClient Client(Loop, {});
  HttpCall Call;
  Call.Target = valueOf(Bound);
  EXPECT_TRUE(
      std::holds_alternative<HttpReply>(callAndWait(Loop, Client, Call)));
  HttpOutcome Second = callAndWait(Loop, Client, Call);
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(Second));
  EXPECT_FALSE(std::get<HttpFailure>(Second).NothingSent);
  EXPECT_EQ(Received, 2);
}

// Guards against calls that are sent on idle connections which have fallen
// silent: after closeIdle() a call opens a new connection.
TEST(HttpClientTest, CallsAfterCloseIdleUseNewConnections) {
  EventLoop Loop;
  CountingServer Server(Loop);
  HttpClient Client(Loop, {});
  HttpCall Call;
  Call.Target = Server.endpoint();
  Client.closeIdle(Call.Target);
  for (size_t Connections : {1, 1, 2}) {
    EXPECT_TRUE(
        std::holds_alternative<HttpReply>(callAndWait(Loop, Client, Call)));
    EXPECT_EQ(Server.accepted(), Connections);
    Loop.runFor(std::chrono::milliseconds(20));
    if (Server.requests() == 2)
      Client.closeIdle(Call.Target);
  }
}

namespace {

/// Returns the outcome of a call while the process has no free descriptor.
HttpOutcome callWithoutDescriptors(const std::string &LocalIp) {
  EventLoop Loop;
  HttpServer Server(Loop, {});
  Result<Address> Bound = Server.listen(Address{"127.0.0.1:0"});
  EXPECT_FALSE(failed(Bound));
  HttpClientOptions Options;
  Options.LocalIp = LocalIp;
  HttpClient Client(Loop, Options);
  HttpCall Call;
  Call.Target = valueOf(Bound);
  int Free = dup(0);
  close(Free);
  rlimit Before{};
  getrlimit(RLIMIT_NOFILE, &Before);
  rlimit Low = Before;
  Low.rlim_cur = static_cast<rlim_t>(Free);
  setrlimit(RLIMIT_NOFILE, &Low);
  std::optional<HttpOutcome> Out;
  Client.send(Call, [&](const HttpOutcome &O) { Out = O; });
  for (int I = 0; I < 50 && !Out; ++I)
    Loop.runFor(std::chrono::milliseconds(10));
  setrlimit(RLIMIT_NOFILE, &Before);
  return Out.value_or(HttpFailure{});
}

void expectNothingSentAndNotRefused(const HttpOutcome &Outcome) {
  const auto *Failure = std::get_if<HttpFailure>(&Outcome);
  ASSERT_TRUE(Failure);
  EXPECT_TRUE(Failure->NothingSent);
  EXPECT_FALSE(Failure->ConnectionRefused);
}

/// Returns the outcome of a call to a port with no listener.
HttpOutcome callWithoutListener(const std::string &LocalIp) {
  EventLoop Loop;
  Result<Address> Bound = Address{};
  {
    HttpServer Server(Loop, {});
    Bound = Server.listen(Address{"127.0.0.1:0"});
  }
  HttpClientOptions Options;
  Options.LocalIp = LocalIp;
  HttpClient Client(Loop, Options);
  HttpCall Call;
  Call.Target = valueOf(Bound);
  std::optional<HttpOutcome> Out;
  Client.send(Call, [&](const HttpOutcome &O) { Out = O; });
  for (int I = 0; I < 500 && !Out; ++I)
    Loop.runFor(std::chrono::milliseconds(10));
  return Out.value_or(HttpFailure{});
}

} // namespace

// Guards against a local error that is taken for a refused connection, and so
// for a crash of the other side.
TEST(HttpClientTest, MissingDescriptorsAreNoRefusedConnection) {
  expectNothingSentAndNotRefused(callWithoutDescriptors("127.0.0.1"));
}

// As above, with a client that binds no local address.
TEST(HttpClientTest, MissingDescriptorsOfAnUnboundClientAreNoRefusal) {
  expectNothingSentAndNotRefused(callWithoutDescriptors(""));
}

// Guards against a crash of the other side that is taken for a lack of
// descriptors.
TEST(HttpClientTest, PortWithoutListenerIsARefusedConnection) {
  for (const char *LocalIp : {"", "127.0.0.1"}) {
    HttpOutcome Outcome = callWithoutListener(LocalIp);
    const auto *Failure = std::get_if<HttpFailure>(&Outcome);
    ASSERT_TRUE(Failure);
    EXPECT_TRUE(Failure->NothingSent);
    EXPECT_TRUE(Failure->ConnectionRefused) << LocalIp;
  }
}

} // namespace
} // namespace snipeshunt
