/// \file Faults after which two runs of one task could overlap, on a fake
/// clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string joined(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

} // namespace

// Guards against overlapping runs (TWICE): the connection of a forwarded job
// breaks at the entry instance alone, which answers the caller with 502 but
// tells the sender nothing, so that the run goes on beside the second one.
TEST(CellOverlap, JobWhoseForwardBrokeIsCancelledAtItsSender) {
  CellWorld World;
  for (const char *Centre : {"centre-a", "centre-b"})
    World.addUpstream({std::string("up-") + Centre, Centre});
  World.addInstance("sender", "centre-a", 0.6);
  Address Entry = World.addInstance("entry", "centre-a", 0.1);
  Address Other = World.addInstance("other", "centre-b", 0.6);
  World.run(seconds(2));
  // While the entry awaits an earlier job, its pings do not end later ones.
  World.submit(Entry, "earlier", 1, seconds(4), seconds(8));
  size_t First = World.submit(Entry, "a", 1, seconds(4), seconds(8));
  World.run(milliseconds(100));
  ASSERT_EQ(World.runs().size(), 2U);
  World.breakForwardAtEntry(Entry, "a");
  ASSERT_TRUE(World.caller(First).Answer);
  EXPECT_EQ(World.caller(First).Answer->Status, AnswerStatus::Lost);
  World.run(CallerRetryPause);
  World.submit(Other, "a", 1, seconds(4), seconds(8));
  World.run(seconds(1));
  EXPECT_EQ(World.runs().size(), 3U);
  EXPECT_EQ(joined(World.overlappingRuns()), "");
}

// Guards against overlapping runs (TWICE): the answers of a sender do not reach
// the entry instance, which answers its callers with 502. Jobs that it goes on
// forwarding on open connections must not make the sender take it for an entry
// that still awaits the earlier ones.
TEST(CellOverlap, ArrivingJobsDoNotConfirmEarlierOnes) {
  CellWorld World;
  for (const char *Centre : {"centre-b", "centre-c"})
    World.addUpstream({std::string("up-") + Centre, Centre});
  Address Entry = World.addInstance("entry", "centre-a");
  std::vector<Address> Senders = {World.addInstance("b", "centre-b"),
                                  World.addInstance("c", "centre-c")};
  World.run(seconds(2));
  size_t First = World.submit(Entry, "a", 1, seconds(5), seconds(9));
  ASSERT_EQ(World.state(Entry).Entry.Jobs.size(), 1U);
  Address Silent = World.state(Entry).Entry.Jobs.begin()->second.Sender;
  Address Other = Silent == Senders[0] ? Senders[1] : Senders[0];
  World.run(milliseconds(100));
  World.cutOneWay(Silent, Entry);
  SteadyTime Resubmission = SteadyTime::max();
  for (int I = 0; World.now() < Resubmission && I < 100; ++I) {
    World.submit(Entry, "short-" + std::to_string(I), 1, milliseconds(20),
                 seconds(3), 1000);
    World.run(milliseconds(50));
    if (World.caller(First).Answer)
      Resubmission = World.caller(First).Answered + CallerRetryPause;
  }
  ASSERT_TRUE(World.caller(First).Answer);
  EXPECT_EQ(World.caller(First).Answer->Status, AnswerStatus::Lost);
  World.submit(Other, "a", 1, seconds(1), seconds(9));
  World.run(seconds(2));
  EXPECT_EQ(joined(World.overlappingRuns()), "");
}

// Guards against overlapping runs (TWICE): a start without an answer is carried
// out by the next process of the upstream, which has the same id, no fencing
// token, no memory of the stop and a clock that starts anew, so that the lease
// in the start has not expired on it.
TEST(CellOverlap, LateStartIsRejectedByTheNextProcessOfItsUpstream) {
  CellWorld World;
  // Of equal upstreams, the smaller one is chosen first.
  UpstreamId Small = World.addUpstream({"small", "centre-a", 30000});
  World.addUpstream({"large", "centre-a", 64000});
  Address Sender = World.addInstance("sender", "centre-a");
  World.run(seconds(2));
  World.faults(Small).StartDelay = milliseconds(2500);
  World.faults(Small).StartsOutliveProcess = true;
  World.submit(Sender, "a", 1, seconds(3), seconds(8));
  World.run(milliseconds(300));
  World.restartUpstream(Small);
  World.run(seconds(4));
  EXPECT_EQ(joined(World.overlappingRuns()), "");
}

// As above, but the upstream is down for longer than its leases last, so that
// the run counts as ended before the next process is known.
TEST(CellOverlap, LateStartIsRejectedAfterAnOutageOfItsUpstream) {
  CellWorld World;
  UpstreamId Small = World.addUpstream({"small", "centre-a", 30000});
  World.addUpstream({"large", "centre-a", 64000});
  Address Sender = World.addInstance("sender", "centre-a");
  World.run(seconds(2));
  World.faults(Small).StartDelay = milliseconds(3500);
  World.faults(Small).StartsOutliveProcess = true;
  World.submit(Sender, "a", 1, seconds(4), seconds(9));
  World.run(milliseconds(50));
  World.faults(Small).Unreachable = true;
  World.run(milliseconds(1500));
  World.restartUpstream(Small);
  World.faults(Small).Unreachable = false;
  World.run(seconds(4));
  EXPECT_EQ(joined(World.overlappingRuns()), "");
}

// As above, but the former process accepts the stop of the start, so that the
// run counts as ended before the next process is known.
TEST(CellOverlap, LateStartIsRejectedAfterTheFormerProcessStoppedIt) {
  CellWorld World;
  UpstreamId Small = World.addUpstream({"small", "centre-a", 30000});
  World.addUpstream({"large", "centre-a", 64000});
  Address Sender = World.addInstance("sender", "centre-a");
  World.run(seconds(2));
  World.faults(Small).StartDelay = milliseconds(2500);
  World.faults(Small).StartsOutliveProcess = true;
  World.submit(Sender, "a", 1, seconds(4), seconds(9));
  World.run(milliseconds(700));
  World.restartUpstream(Small);
  World.run(seconds(4));
  EXPECT_EQ(joined(World.overlappingRuns()), "");
}
