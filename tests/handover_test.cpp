/// \file Tests of handovers in the reducer.
#include "reducer/reducer.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

const Address HomeAddress{"10.0.0.1:1"};
const Address PeerAddress{"10.0.0.2:1"};
constexpr IncarnationId Home{7};
constexpr IncarnationId Peer{8};
constexpr size_t TaskCount = 40;

DaemonSettings homeSettings() {
  DaemonSettings S;
  S.Listen = S.Advertise = HomeAddress;
  S.Centre = DataCentre{"dc1"};
  S.FleetKey = "a key of sixteen bytes or more";
  S.Peers.push_back({PeerAddress, DataCentre{"dc1"}});
  // In another data centre, so that the home is not its sender.
  S.Upstreams.push_back({Address{"10.0.0.9:1"}, DataCentre{"dc2"}, 8, 0});
  return S;
}

Heartbeat peerHeartbeat() {
  Heartbeat Message;
  Message.Location = {PeerAddress, DataCentre{"dc1"}};
  Message.Incarnation = Peer;
  Message.State = MemberState::Live;
  Message.Load.FreeSlots = 100;
  return Message;
}

std::string jobBody() {
  std::string Tasks;
  for (size_t I = 0; I < TaskCount; ++I)
    Tasks += std::string(I ? "," : "") + R"({"kind":"k"})";
  return R"({"team":"t","tasks":[)" + Tasks + "]}";
}

// Guards against jobs that fail because a sender shuts down: it returns all of
// its waiting tasks at once, which must not use up the retry budget.
TEST(HandoverTest, ReturnedTasksAreQueuedAgain) {
  FakeClock Time;
  InstanceState State = initialState(homeSettings(), Home);
  auto Send = [&](EventBody Body) {
    return reduce(State, {Time.steadyNow(), 1, std::move(Body)});
  };
  Send(Tick{});
  Send(HeartbeatReceived{RequestId{1}, peerHeartbeat()});
  EffectList Effects = Send(TicketsRequested{RequestId{2}, 1});
  JobRequested Submission;
  Submission.Request = RequestId{3};
  Submission.TicketText = std::get<ReplyTickets>(Effects[0]).Tickets[0];
  Submission.Body = jobBody();
  Effects = Send(Submission);
  HandoverMessage Handover;
  for (const Effect &E : Effects)
    if (auto *Sent = std::get_if<SendHandover>(&E))
      Handover = Sent->Message;
  ASSERT_EQ(Handover.Tasks.size(), TaskCount);

  ReportReceived Report;
  Report.Message.Home = Home;
  Report.Message.Receiver = Peer;
  for (const HandoverTask &Task : Handover.Tasks)
    Report.Message.Reports.push_back(
        {Handover.Sequence,
         {Home, Task.Job, Task.Index},
         {TaskEnd::NotStarted, "the sender is shutting down"}});
  Send(Report);
  EXPECT_EQ(State.Jobs.Running, 1U);
  EXPECT_EQ(State.Queue.size(), TaskCount);
}

} // namespace
} // namespace snipeshunt
