/// \file Graceful shutdown in the reducer.
#include "reducer/reducer.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

/// One instance with one upstream of 8 slots.
class DrainTest : public testing::Test {
protected:
  DrainTest() : State(initialState(settings(), IncarnationId{7})) {
    send(Tick{});
    send(StatusRead{Address{"10.0.0.9:1"}, UpstreamStatus{8, 0, false}});
  }

  static DaemonSettings settings() {
    DaemonSettings S;
    S.Listen = S.Advertise = Address{"10.0.0.1:1"};
    S.Centre = DataCentre{"dc1"};
    S.FleetKey = "a key of sixteen bytes or more";
    S.Upstreams.push_back({Address{"10.0.0.9:1"}, DataCentre{"dc1"}, 8, 0});
    return S;
  }

  EffectList send(EventBody Body) {
    return reduce(State, {Time.steadyNow(), 1, std::move(Body)});
  }

  template <typename T>
  static std::vector<T> effectsOfType(const EffectList &Effects) {
    std::vector<T> Found;
    for (const Effect &E : Effects)
      if (auto *Match = std::get_if<T>(&E))
        Found.push_back(*Match);
    return Found;
  }

  std::string takeTicket() {
    return effectsOfType<ReplyTickets>(
               send(TicketsRequested{RequestId{1}, 1}))[0]
        .Tickets[0];
  }

  EffectList submit(const std::string &Ticket, RequestId Request) {
    JobRequested Event;
    Event.Request = Request;
    Event.TicketText = Ticket;
    Event.Body = R"({"team":"t","tasks":[{"kind":"k"}]})";
    return send(Event);
  }

  FakeClock Time;
  InstanceState State;
};

// Guards against a shutdown that rejects submissions with a ticket that was
// issued before it. No new tickets are issued.
TEST_F(DrainTest, ServesTicketsIssuedBefore) {
  std::string Ticket = takeTicket();
  send(DrainRequested{});
  EXPECT_TRUE(
      effectsOfType<ReplyTickets>(send(TicketsRequested{RequestId{2}, 1}))[0]
          .Tickets.empty());
  submit(Ticket, RequestId{3});
  EXPECT_EQ(State.Jobs.Running, 1U);
}

// Guards against a shutdown that never ends, and against one that ends without
// an answer: at the time limit the waiting caller gets a failure, then the
// process exits.
TEST_F(DrainTest, AnswersWaitingCallersAtTheLimit) {
  submit(takeTicket(), RequestId{3});
  ASSERT_EQ(State.Upstreams.Attempts.size(), 1U);
  send(DrainRequested{});
  bool Exited = false;
  std::vector<ReplyToCaller> Replies;
  for (int Second = 0; Second < 80 && !Exited; ++Second) {
    Time.advance(std::chrono::seconds(1));
    EffectList Effects = send(Tick{});
    for (const ReplyToCaller &Reply : effectsOfType<ReplyToCaller>(Effects))
      Replies.push_back(Reply);
    Exited = !effectsOfType<ExitProcess>(Effects).empty();
  }
  EXPECT_TRUE(Exited);
  ASSERT_EQ(Replies.size(), 1U);
  EXPECT_EQ(Replies[0].Request, RequestId{3});
  EXPECT_EQ(Replies[0].Answer->Result, Outcome::Failed);
}

} // namespace
} // namespace snipeshunt
