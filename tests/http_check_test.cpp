/// \file Calls that only one process of a server may receive, over loopback.
#include "http/http_client.h"
#include "http/http_server.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {
namespace {

constexpr const char *QuestionPath = "/question";
constexpr const char *CallPath = "/call";

/// A server at a fixed address whose process can be replaced. It states its
/// process in each reply.
class HttpCheckTest : public testing::Test {
protected:
  void SetUp() override {
    Endpoint = {"127.0.0.1:0"};
    startProcess(1);
  }

  /// Ends the present process, if any, with its connections.
  void startProcess(int64_t Number) {
    Server.reset();
    Server = std::make_unique<HttpServer>(Loop, HttpServerLimits{});
    Server->RequestReceived.connect([this, Number](const HttpRequest &R) {
      Received.push_back(std::to_string(Number) + R.Path);
      Bodies.push_back(std::to_string(Number) + R.Body);
      if (Answers)
        Server->reply(R.Id, {200, std::to_string(Number)});
    });
    Result<Address> Bound = Server->listen(Endpoint);
    ASSERT_FALSE(failed(Bound));
    Endpoint = valueOf(Bound);
  }

  /// Returns a call that only process \p Process may receive, which is known
  /// to have been there at \p KnownAt.
  HttpCall callFor(int64_t Process, SteadyTime KnownAt = {}) const {
    HttpCall Call = anyCall();
    HttpCheck Check;
    Check.Process = Process;
    Check.KnownAt = KnownAt;
    Check.Path = QuestionPath;
    Check.Body = "{}";
    Check.Accepts = [Process](const HttpReply &Reply) {
      return Reply.Body == std::to_string(Process);
    };
    Call.Check = std::move(Check);
    return Call;
  }
  HttpCall anyCall() const {
    HttpCall Call;
    Call.Target = Endpoint;
    Call.Method = "POST";
    Call.Path = CallPath;
    Call.Body = "{}";
    Call.Timeout = std::chrono::milliseconds(300);
    return Call;
  }
  /// Returns a call with a body that only process \p Process may receive, and
  /// another one for all connections that are not known to lead to it.
  HttpCall callWithBodyFor(int64_t Process, SteadyTime KnownAt = {}) const {
    HttpCall Call = anyCall();
    Call.Body = "own";
    HttpOtherBody Other;
    Other.Process = Process;
    Other.KnownAt = KnownAt;
    Other.Body = "other";
    Call.OtherBody = std::move(Other);
    return Call;
  }
  /// As `callWithBodyFor`; the replies state the process.
  HttpCall callThatLearns(int64_t Process) const {
    HttpCall Call = callWithBodyFor(Process);
    Call.ProcessOf = [](const HttpReply &Reply) {
      return std::optional<int64_t>(std::stoll(Reply.Body));
    };
    return Call;
  }
  HttpOutcome send(HttpCall Call) {
    std::optional<HttpOutcome> Out;
    Client.send(std::move(Call), [&](const HttpOutcome &Outcome) {
      Out = Outcome;
      Loop.stop();
    });
    Loop.run();
    return *Out;
  }
  /// Sends a call that has to be answered; returns true if it was sent with its
  /// other body. Waits until its connection is idle.
  bool sendsOtherBody(HttpCall Call) {
    HttpOutcome Out = send(std::move(Call));
    settle();
    EXPECT_TRUE(std::holds_alternative<HttpReply>(Out));
    return std::holds_alternative<HttpReply>(Out) &&
           std::get<HttpReply>(Out).OtherBodySent;
  }
  /// Lets events be handled that are under way.
  void settle() {
    Timer End(Loop, [this] { Loop.stop(); });
    End.startOnce(std::chrono::milliseconds(20));
    Loop.run();
  }

  EventLoop Loop;
  HttpClient Client{Loop, {}};
  std::unique_ptr<HttpServer> Server;
  Address Endpoint;
  bool Answers = true;
  /// Process and path of each request.
  std::vector<std::string> Received;
  /// Process and body of each request.
  std::vector<std::string> Bodies;
};

using Requests = std::vector<std::string>;

} // namespace

// Guards against a call that reaches another process because the connection
// that was known to lead to the right one has been closed and is opened again.
TEST_F(HttpCheckTest, ReopenedConnectionIsChecked) {
  send(anyCall());
  settle();
  SteadyTime KnownAt = bootTimeNow();
  startProcess(2);
  settle();
  HttpOutcome Out = send(callFor(1, KnownAt));
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(Out));
  const HttpFailure &Failure = std::get<HttpFailure>(Out);
  EXPECT_TRUE(Failure.NothingSent);
  EXPECT_FALSE(Failure.ConnectionRefused);
  ASSERT_TRUE(Failure.CheckReply);
  EXPECT_EQ(Failure.CheckReply->Body, "2");
  EXPECT_EQ(Received, (Requests{"1/call", "2/question"}));
}

// Guards against a call that reaches another process because the client has not
// noticed yet that the connection to the former one is closed.
TEST_F(HttpCheckTest, CallOnAConnectionThatJustClosedReachesNobody) {
  send(anyCall());
  settle();
  SteadyTime KnownAt = bootTimeNow();
  startProcess(2);
  HttpOutcome Out = send(callFor(1, KnownAt));
  EXPECT_TRUE(std::holds_alternative<HttpFailure>(Out));
  settle();
  for (const std::string &Request : Received)
    EXPECT_NE(Request, "2/call");
}

// Guards against further requests to a process that is known to have the
// connection: checks are priced and delay calls.
TEST_F(HttpCheckTest, ConnectionOfAKnownProcessIsNotChecked) {
  send(anyCall());
  settle();
  send(callFor(1, bootTimeNow()));
  EXPECT_EQ(Received, (Requests{"1/call", "1/call"}));
}

// Guards against a check for each call on a connection, and against a check of
// another process that counts for this one.
TEST_F(HttpCheckTest, PassedCheckHoldsForItsProcessAndConnection) {
  EXPECT_TRUE(std::holds_alternative<HttpReply>(send(callFor(1))));
  settle();
  EXPECT_TRUE(std::holds_alternative<HttpReply>(send(callFor(1))));
  settle();
  EXPECT_EQ(Received, (Requests{"1/question", "1/call", "1/call"}));
  EXPECT_TRUE(std::holds_alternative<HttpFailure>(send(callFor(2))));
  settle();
  EXPECT_EQ(Received.back(), "1/question");
  startProcess(2);
  settle();
  EXPECT_TRUE(std::holds_alternative<HttpFailure>(send(callFor(1))));
  EXPECT_EQ(Received.back(), "2/question");
}

// Guards against a call that is sent, or counts as sent, though its check got
// no answer in time.
TEST_F(HttpCheckTest, UnansweredCheckEndsTheCall) {
  Answers = false;
  SteadyTime Start = bootTimeNow();
  HttpOutcome Out = send(callFor(1));
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(Out));
  EXPECT_TRUE(std::get<HttpFailure>(Out).NothingSent);
  EXPECT_FALSE(std::get<HttpFailure>(Out).ConnectionRefused);
  EXPECT_FALSE(std::get<HttpFailure>(Out).LostAfter);
  EXPECT_GE(bootTimeNow() - Start, std::chrono::milliseconds(290));
  EXPECT_EQ(Received, Requests{"1/question"});
}

// Guards against a call that is sent after its cancellation, wherever its check
// is at that moment.
TEST_F(HttpCheckTest, CancelledCallIsNotSentAfterItsCheck) {
  int Ended = 0;
  uint64_t Number = 0;
  HttpCall Call = callFor(1);
  auto Accepts = Call.Check->Accepts;
  Timer Cancel(Loop, [&] { Client.cancel(Endpoint, Number); });
  Call.Check->Accepts = [&](const HttpReply &Reply) {
    Cancel.startOnce(Duration::zero());
    return Accepts(Reply);
  };
  Number = Client.send(Call, [&](const HttpOutcome &Outcome) {
    Ended += std::holds_alternative<HttpFailure>(Outcome) ? 1 : 0;
  });
  settle();
  Number = Client.send(callFor(1), [&](const HttpOutcome &Outcome) {
    Ended += std::get<HttpFailure>(Outcome).NothingSent ? 1 : 0;
  });
  Client.cancel(Endpoint, Number);
  settle();
  EXPECT_EQ(Ended, 2);
  EXPECT_EQ(Received[0], "1/question");
}

// Guards against a refused connection of a check that looks like a lost call.
TEST_F(HttpCheckTest, RefusedConnectionOfACheckIsRefused) {
  Server.reset();
  HttpOutcome Out = send(callFor(1));
  ASSERT_TRUE(std::holds_alternative<HttpFailure>(Out));
  EXPECT_TRUE(std::get<HttpFailure>(Out).ConnectionRefused);
}

// Guards against a body that reaches the process which has followed the one
// that it is meant for, on a connection that is new or was opened again.
TEST_F(HttpCheckTest, BodyForAFormerProcessIsReplaced) {
  EXPECT_TRUE(sendsOtherBody(callThatLearns(1)));
  EXPECT_FALSE(sendsOtherBody(callThatLearns(1)));
  startProcess(2);
  settle();
  EXPECT_TRUE(sendsOtherBody(callThatLearns(1)));
  EXPECT_TRUE(sendsOtherBody(callThatLearns(1)));
  EXPECT_FALSE(sendsOtherBody(callThatLearns(2)));
  EXPECT_EQ(Bodies, (Requests{"1other", "1own", "2other", "2other", "2own"}));
}

// Guards against a body that reaches another process because the client has not
// noticed yet that the connection to the former one is closed.
TEST_F(HttpCheckTest, BodyOnAConnectionThatJustClosedReachesNobody) {
  EXPECT_TRUE(sendsOtherBody(callThatLearns(1)));
  startProcess(2);
  send(callThatLearns(1));
  settle();
  for (const std::string &Body : Bodies)
    EXPECT_NE(Body, "2own");
}

// Guards against a body that is withheld from a process that is known to have
// the connection, or sent on one that was opened after the process was known.
TEST_F(HttpCheckTest, BodyGoesOverConnectionsThatWereOpenInTime) {
  SteadyTime Before = bootTimeNow();
  EXPECT_TRUE(sendsOtherBody(callWithBodyFor(1, Before)));
  EXPECT_TRUE(sendsOtherBody(callWithBodyFor(1, Before)));
  EXPECT_FALSE(sendsOtherBody(callWithBodyFor(1, bootTimeNow())));
  EXPECT_EQ(Bodies, (Requests{"1other", "1other", "1own"}));
}

// Guards against a further request, which would be priced, for learning which
// process has a new connection.
TEST_F(HttpCheckTest, BodyForAProcessTakesNoFurtherRequest) {
  sendsOtherBody(callThatLearns(1));
  sendsOtherBody(callThatLearns(1));
  EXPECT_EQ(Received, (Requests{"1/call", "1/call"}));
}

} // namespace snipeshunt
