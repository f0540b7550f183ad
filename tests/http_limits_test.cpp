/// \file Tests of the limits on what the clients of an HTTP server occupy.
#include "http/http_address.h"
#include "http/http_server.h"
#include "support/raw_client.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>

namespace snipeshunt {
namespace {

using testing::RawClient;

/// A server that answers each request at once, or keeps those to `/wait`.
class HttpLimitsTest : public ::testing::Test {
protected:
  void start(ConnectionLimits OfAll, HttpServerLimits OfEach = {}) {
    Table.emplace(Loop, OfAll);
    Server.emplace(Loop, OfEach, *Table);
    Result<Address> Listening = Server->listen(Address{"127.0.0.1:0"});
    ASSERT_FALSE(failed(Listening));
    Bound = valueOf(Listening);
    Server->RequestReceived.connect([this](const HttpRequest &R) {
      LastBody = R.Body.size();
      if (R.Path == "/wait")
        Kept.push_back(R.Id);
      else
        Server->reply(R.Id, {200, "x"});
    });
  }
  void run(std::chrono::milliseconds Time) {
    bool Ended = false;
    Timer End(Loop, [&] { Ended = true; });
    End.startOnce(Time);
    while (!Ended)
      Loop.runFor(std::chrono::milliseconds(5));
  }
  RawClient &connect() {
    RawClient &Added = Clients.emplace_back(Bound);
    run(std::chrono::milliseconds(10));
    return Added;
  }
  /// Sends \p Text on \p Client and returns the answer.
  std::string exchange(RawClient &Client, const std::string &Text) {
    Client.send(Text);
    run(std::chrono::milliseconds(30));
    return Client.received();
  }

  EventLoop Loop;
  std::optional<ConnectionTable> Table;
  std::optional<HttpServer> Server;
  std::vector<RequestId> Kept;
  size_t LastBody = 0;
  Address Bound;
  std::deque<RawClient> Clients;
};

const std::string Get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string GetAndWait = "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n";

std::string post(size_t Size, size_t Sent, const std::string &Path = "/a") {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(Size) +
         "\r\n\r\n" + std::string(Sent, 'x');
}

bool isOk(const std::string &Answer) {
  return Answer.rfind("HTTP/1.1 200", 0) == 0;
}

// Guards against the end of a header that is missed because of how its bytes
// are divided among reads.
TEST(HeaderScanTest, FindsTheEndInAnyDivision) {
  const std::string Text = "GET / HTTP/1.1\r\na:b\r\nc:\r\n\r\n";
  for (size_t First = 0; First <= Text.size(); ++First) {
    HeaderScan Scan;
    size_t Lines = Scan.add(Text.data(), First);
    EXPECT_EQ(Scan.done(), First == Text.size());
    Lines += Scan.add(Text.data() + First, Text.size() - First);
    EXPECT_TRUE(Scan.done()) << First;
    EXPECT_EQ(Lines, 4U);
  }
}

// Guards against a part of a chunked body that is never read because it is
// larger than what may be read ahead.
TEST_F(HttpLimitsTest, ChunksLargerThanTheReadAheadAreRead) {
  start({});
  RawClient &Client = connect();
  EXPECT_TRUE(isOk(exchange(Client, Get)));
  EXPECT_TRUE(isOk(exchange(
      Client, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
              "\r\n8000\r\n" +
                  std::string(0x8000, 'x') + "\r\n0\r\n\r\n")));
  EXPECT_EQ(LastBody, 0x8000U);
}

// Guards against headers without end, and against a time-out that ends slow
// bodies or slow responses.
TEST_F(HttpLimitsTest, OnlyHeadersHaveATimeout) {
  HttpServerLimits Limits;
  Limits.HeaderTimeout = std::chrono::milliseconds(300);
  start({}, Limits);
  RawClient &Slow = connect();
  Slow.send("GET / HTTP/1.1\r\n");
  RawClient &Waiting = connect();
  Waiting.send(GetAndWait);
  RawClient &Body = connect();
  Body.send(post(10, 5));
  RawClient &Idle = connect();
  run(std::chrono::milliseconds(1200));
  EXPECT_EQ(Table->counts().HeaderTimeouts, 1U);
  EXPECT_EQ(Table->connections(), 3U);
  EXPECT_TRUE(isOk(exchange(Body, "xxxxx")));
  EXPECT_TRUE(isOk(exchange(Idle, Get)));
  ASSERT_EQ(Kept.size(), 1U);
  Server->reply(Kept[0], {200, "x"});
  EXPECT_TRUE(isOk(exchange(Waiting, "")));
}

// Guards against idle connections that keep others out, and against closing one
// whose request is being served.
TEST_F(HttpLimitsTest, IdleConnectionsGiveWayToNewOnes) {
  ConnectionLimits Limits;
  Limits.MaxConnections = 8;
  start(Limits);
  RawClient &Waiting = connect();
  Waiting.send(GetAndWait);
  for (int I = 0; I < 30; ++I)
    EXPECT_TRUE(isOk(exchange(connect(), Get)));
  EXPECT_EQ(Table->connections(), 8U);
  EXPECT_EQ(Table->counts().OutOfRoom, 23U);
  ASSERT_EQ(Kept.size(), 1U);
  Server->reply(Kept[0], {200, "x"});
  EXPECT_TRUE(isOk(exchange(Waiting, "")));
}

// Guards against memory that grows with the number of unfinished requests, and
// against rejecting small requests because of large ones.
TEST_F(HttpLimitsTest, LargeRequestsGiveWayWhenMemoryIsShort) {
  ConnectionLimits Limits;
  Limits.MaxBytes = 80000;
  start(Limits);
  for (int I = 0; I < 10; ++I)
    connect().send(post(40000, 20000));
  RawClient &Last = connect();
  EXPECT_TRUE(isOk(exchange(Last, Get)));
  EXPECT_LE(Table->bytes(), 80000U);
  EXPECT_GT(Table->counts().OutOfMemory, 5U);
  EXPECT_EQ(exchange(connect(), post(30000, 30000)).substr(0, 12),
            "HTTP/1.1 503");
  EXPECT_EQ(Table->counts().Rejected, 1U);
  Clients.clear();
  run(std::chrono::milliseconds(50));
  EXPECT_EQ(Table->bytes(), 0U);
  EXPECT_EQ(Table->connections(), 0U);
}

// Guards against a rejection that states that a job has not run though an
// earlier submission of it may have: the server's user decides the status.
TEST_F(HttpLimitsTest, RejectionIsAnsweredByItsUser) {
  ConnectionLimits Limits;
  Limits.MaxBytes = 80000;
  start(Limits);
  Server->RejectionReply = [](const HttpRequest &Request) {
    return HttpReply{Request.Method == "POST" ? 502 : 500, Request.Body};
  };
  std::string Answer = exchange(connect(), post(45000, 45000));
  EXPECT_EQ(Answer.substr(0, 12), "HTTP/1.1 502");
  EXPECT_NE(Answer.find("Connection: close"), std::string::npos);
}

// Guards against limits of a configuration that only new connections get.
TEST_F(HttpLimitsTest, NewRequestLimitsApplyToOpenConnections) {
  start({});
  RawClient &Client = connect();
  EXPECT_TRUE(isOk(exchange(Client, Get)));
  HttpServerLimits Lower;
  Lower.MaxBody = 1000;
  Server->setRequestLimits(Lower);
  EXPECT_TRUE(isOk(exchange(Client, post(1000, 1000))));
  EXPECT_EQ(exchange(Client, post(1001, 1001)).substr(0, 12), "HTTP/1.1 413");
}

} // namespace
} // namespace snipeshunt
