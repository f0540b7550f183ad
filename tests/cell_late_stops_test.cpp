/// \file Stops that are sent on silent connections, on a fake clock.
#include "cells/cell_table.h"
#include "sender/sender_table.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Period of the ticks of an instance.
constexpr milliseconds TickPeriod{20};
/// Time that a simulated upstream takes for a stop and its order for the way.
constexpr milliseconds StopTakes{22};
/// Longest time that upstreams may take for a stop, and the connection for it.
constexpr milliseconds LongestStop{65};

/// Two data centres with one upstream and one sender each; the job "a" of a
/// second instance of the first data centre runs on "up-a".
struct LateStops {
  LateStops() {
    UpA = World.addUpstream({"up-a", "centre-a"});
    UpB = World.addUpstream({"up-b", "centre-b"});
    SenderA = World.addInstance("sender-a", "centre-a", 0.6);
    Entry = World.addInstance("entry", "centre-a", 0.2);
    SenderB = World.addInstance("sender-b", "centre-b", 0.6);
    World.run(seconds(2));
    World.submit(Entry, "a", 1, seconds(4), seconds(6));
    World.run(milliseconds(100));
  }

  /// The connections of the entry's job and to the upstream fall silent, and
  /// the entry ends, so that the sender is not told.
  void silenceAndKillEntry() {
    World.silenceForwards(Entry, SenderA);
    World.faults(UpA).SilentConnections = true;
    World.kill(Entry);
  }

  CellWorld World;
  UpstreamId UpA, UpB;
  Address SenderA, Entry, SenderB;
};

} // namespace

// Guards against two runs of a task at once (TWICE, review case 1): the stop of
// a failed entry's job is lost on a silent connection and repeated so late that
// the caller's next submission runs beside it. The moment of the failure
// decides how long the last ping has been received by then.
TEST(CellLateStops, StopThatTimesOutIsRepeatedAtOnce) {
  Duration Longest{0};
  for (int Phase = 0; Phase < 260; Phase += 10) {
    LateStops T;
    T.World.run(milliseconds(Phase));
    ASSERT_EQ(T.World.runs().size(), 1U);
    T.silenceAndKillEntry();
    SteadyTime Killed = T.World.now();
    T.World.run(CallerRetryPause);
    size_t Again =
        T.World.submit(T.SenderB, "a", 1, milliseconds(200), seconds(5));
    T.World.run(seconds(1));
    ASSERT_TRUE(T.World.caller(Again).Answer);
    EXPECT_EQ(T.World.caller(Again).Answer->Status, AnswerStatus::Done);
    EXPECT_TRUE(T.World.overlappingRuns().empty()) << "phase " << Phase;
    Longest = std::max(Longest, T.World.runs().front().Ended - Killed);
  }
  // The steps of docs/proofs.md, "The margin of a stop".
  EXPECT_LE(toMilliseconds(Longest), toMilliseconds(EntryTimeout + TickPeriod +
                                                    OrderTimeout + StopTakes));
  EXPECT_LT(EntryTimeout + TickPeriod + OrderTimeout + LongestStop,
            CallerRetryPause - milliseconds(50));
}

// Guards against a series of stops without pauses at an upstream that does not
// answer any: only the first one is repeated at once. The entry of the job goes
// on, so that the lease of the stalled run is renewed meanwhile.
TEST(CellLateStops, StopsOfAMuteUpstreamAreRepeatedAtIntervals) {
  LateStops T;
  T.World.faults(T.UpA).LosesStops = true;
  T.World.faults(T.UpA).Stalls = true;
  T.World.submit(T.Entry, "b", 1, milliseconds(100), seconds(6));
  T.World.run(milliseconds(20));
  ASSERT_EQ(T.World.runs().size(), 2U);
  for (int I = 0; T.World.stopsSent() == 0 && I < 2000; ++I)
    T.World.run(milliseconds(1));
  T.World.run(milliseconds(760));
  // At 0, 150, 350, 550 and 750 ms.
  EXPECT_EQ(T.World.stopsSent(), 5U);
  EXPECT_GT(T.World.runs().back().Ended, T.World.now());
}

// Guards against stops beyond the end of the lease, which comes soon after the
// first stop for a job whose entry is silent.
TEST(CellLateStops, StopsForASilentEntryEndWithTheLease) {
  LateStops T;
  T.World.faults(T.UpA).LosesStops = true;
  T.silenceAndKillEntry();
  while (T.World.stopsSent() == 0 &&
         T.World.runs().front().Ended > T.World.now())
    T.World.run(milliseconds(1));
  T.World.run(milliseconds(760));
  // At 0 and 150 ms.
  EXPECT_EQ(T.World.stopsSent(), 2U);
  EXPECT_LE(T.World.runs().front().Ended, T.World.now());
}
