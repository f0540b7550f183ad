/// \file Records of used tickets, in the reducer.
#include "reducer/reducer.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

/// One instance without upstreams, which rejects all jobs.
class RetentionTest : public testing::Test {
protected:
  RetentionTest() : State(initialState(settings(), IncarnationId{7})) {}

  static DaemonSettings settings() {
    DaemonSettings S;
    S.Listen = S.Advertise = Address{"10.0.0.1:1"};
    S.Centre = DataCentre{"dc1"};
    S.FleetKey = "a key of sixteen bytes or more";
    S.Limits.MaxUsedTickets = 100;
    return S;
  }

  template <typename T> T effectOf(EventBody Body) {
    for (Effect &E : reduce(State, {Time.steadyNow(), 1, std::move(Body)}))
      if (auto *Match = std::get_if<T>(&E))
        return std::move(*Match);
    return {};
  }

  std::string takeTicket() {
    return effectOf<ReplyTickets>(TicketsRequested{RequestId{1}, 1}).Tickets[0];
  }

  /// Returns the answer to the submission of a job.
  std::string submit(const std::string &Ticket) {
    JobRequested Event;
    Event.Request = RequestId{2};
    Event.TicketText = Ticket;
    Event.Body = R"({"team":"t","tasks":[{"kind":"k"}]})";
    return effectOf<ReplyToCaller>(Event).Answer->Body;
  }

  /// Submits \p Count jobs, one each 2 ms, and handles the ticks.
  void submitMany(int Count) {
    for (int I = 0; I < Count; ++I) {
      submit(takeTicket());
      Time.advance(std::chrono::milliseconds(2));
      reduce(State, {Time.steadyNow(), 1, Tick{}});
    }
  }

  FakeClock Time;
  InstanceState State;
};

// Guards against records that a client can add for the whole lifetime of its
// tickets, and against a late copy of a submission that is taken for a new one
// once its record has been evicted.
TEST_F(RetentionTest, TicketsExpireEarlyBeyondTheLimit) {
  std::string Unused = takeTicket();
  std::string Used = takeTicket();
  EXPECT_NE(submit(Used).find("not_run"), std::string::npos);
  Time.advance(std::chrono::milliseconds(2));
  submitMany(1000);
  EXPECT_LE(State.Jobs.Records.size(), 100u);
  EXPECT_NE(submit(Used).find("ticket_expired"), std::string::npos);
  EXPECT_NE(submit(Unused).find("ticket_expired"), std::string::npos);
  EXPECT_NE(submit(takeTicket()).find("not_run"), std::string::npos);
}

// Guards against tickets that expire early though there are few of them.
TEST_F(RetentionTest, RecordsBelowTheLimitAreKept) {
  std::string Used = takeTicket();
  submit(Used);
  submitMany(90);
  EXPECT_NE(submit(Used).find("not_run"), std::string::npos);
}

} // namespace
} // namespace snipeshunt
