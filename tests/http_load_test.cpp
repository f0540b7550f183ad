/// \file Work of the HTTP client under steady traffic, counted in connections
/// and calls, over loopback.
#include "http/http_client.h"
#include "support/counting_server.h"

#include <event2/event.h>

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <unistd.h>
#include <vector>

namespace snipeshunt {
namespace {

using testing::CountingServer;

/// Sends calls to a server one after the other, each from the handler of the
/// reply before.
struct CallChain {
  HttpClient &Client;
  HttpCall Call;
  size_t Left;
  std::function<void()> Ended;

  void next() {
    if (Left-- == 0)
      return Ended();
    Client.send(Call, [this](const HttpOutcome &Outcome) {
      EXPECT_TRUE(std::holds_alternative<HttpReply>(Outcome));
      next();
    });
  }
};

/// Runs a chain of \p Length calls to each of \p Servers, all at the same time.
void runChains(EventLoop &Loop, HttpClient &Client,
               const std::vector<std::unique_ptr<CountingServer>> &Servers,
               size_t Length) {
  std::vector<std::unique_ptr<CallChain>> Chains;
  size_t Open = Servers.size();
  for (const auto &Server : Servers) {
    HttpCall Call;
    Call.Target = Server->endpoint();
    Chains.push_back(
        std::make_unique<CallChain>(CallChain{Client, Call, Length, [&] {
                                                if (--Open == 0)
                                                  Loop.stop();
                                              }}));
  }
  // The chains start in different turns, so that replies arrive in each one.
  for (const auto &Chain : Chains) {
    Chain->next();
    Loop.runFor(Duration::zero());
  }
  Loop.run();
}

// Guards against a second connection that is opened because the first one is
// not idle yet when the handler of its reply sends the next call.
TEST(HttpLoadTest, CallFromAReplyHandlerTakesTheSameConnection) {
  EventLoop Loop;
  HttpClient Client(Loop, {});
  std::vector<std::unique_ptr<CountingServer>> Servers;
  Servers.push_back(std::make_unique<CountingServer>(Loop));
  runChains(Loop, Client, Servers, 50);
  EXPECT_EQ(Servers[0]->requests(), 50U);
  EXPECT_EQ(Servers[0]->accepted(), 1U);
}

// Guards against a loss of service under load (b6d1a7d): while replies arrived
// in each turn of the event loop, connections whose calls had ended were never
// returned, so that most calls opened a new one, and closed ones stayed open.
TEST(HttpLoadTest, ConnectionsAreReturnedWhileOtherRepliesArrive) {
  EventLoop Loop;
  HttpClient Client(Loop, {});
  std::vector<std::unique_ptr<CountingServer>> Servers;
  for (size_t I = 0; I < 20; ++I)
    Servers.push_back(std::make_unique<CountingServer>(Loop));
  runChains(Loop, Client, Servers, 100);
  for (const auto &Server : Servers) {
    EXPECT_EQ(Server->requests(), 100U);
    EXPECT_EQ(Server->accepted(), 1U);
  }
}

// Guards against a due timer that never runs, because a socket that is ready in
// each turn of the event loop starts it again.
TEST(HttpLoadTest, TimerRunsWhileSocketsAskForIt) {
  constexpr size_t MaxTurns = 1000;
  EventLoop Loop;
  int Ends[2];
  ASSERT_EQ(pipe(Ends), 0);
  ASSERT_EQ(write(Ends[1], "x", 1), 1);
  struct Turns {
    EventLoop &Loop;
    Timer Work;
    size_t Count = 0;
  } Asked{Loop, Timer(Loop, [&Loop] { Loop.stop(); })};
  auto Ask = [](evutil_socket_t, short, void *Arg) {
    auto *T = static_cast<Turns *>(Arg);
    T->Work.startOnceIfStopped(Duration::zero());
    if (++T->Count == MaxTurns)
      T->Loop.stop();
  };
  // The byte stays unread, so that the pipe is ready in each turn.
  event *Ready =
      event_new(Loop.base(), Ends[0], EV_READ | EV_PERSIST, Ask, &Asked);
  event_add(Ready, nullptr);
  Loop.run();
  event_free(Ready);
  close(Ends[0]);
  close(Ends[1]);
  EXPECT_LT(Asked.Count, MaxTurns);
}

} // namespace
} // namespace snipeshunt
