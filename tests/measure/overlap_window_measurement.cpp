/// \file Longest pause before a second submission that still overlaps the run
/// of the first, by what delays the stop of that run.
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <cstdio>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What delays the stop after the caller has disconnected.
struct StopDelay {
  const char *Name;
  milliseconds EntryBehind{0};
  milliseconds SenderBehind{0};
  bool LosesStops = false;
};

constexpr milliseconds Step{10};

/// Returns true if a job that is submitted again \p Pause after its caller
/// disconnected has two runs at a time.
bool overlaps(const StopDelay &Delay, milliseconds Pause) {
  CellWorld World;
  UpstreamId AtB = World.addUpstream({"up-b", "centre-b"});
  World.addUpstream({"up-c", "centre-c"});
  Address Entry = World.addInstance("entry", "centre-a");
  Address B = World.addInstance("b", "centre-b");
  Address C = World.addInstance("c", "centre-c");
  World.run(seconds(3));
  size_t First = World.submit(Entry, "a", 1, seconds(4), seconds(8));
  World.run(milliseconds(100));
  UpstreamId Used = World.runs().at(0).Upstream;
  Address Sender = Used == AtB ? B : C;
  World.faults(Used).LosesStops = Delay.LosesStops;
  if (Delay.EntryBehind.count() > 0)
    World.freeze(Entry);
  if (Delay.SenderBehind.count() > 0)
    World.freeze(Sender);
  World.disconnectCaller(First);
  for (milliseconds T{0}; T < seconds(3); T += Step) {
    if (T == Delay.EntryBehind)
      World.thaw(Entry);
    if (T == Delay.SenderBehind)
      World.thaw(Sender);
    if (T == Pause)
      World.submit(Sender == B ? C : B, "a", 1, milliseconds(900), seconds(3));
    World.run(Step);
  }
  return !World.overlappingRuns().empty();
}

} // namespace

TEST(OverlapAfterDisconnect, LongestPause) {
  const StopDelay Delays[] = {
      {"none"},
      {"entry behind 100 ms", milliseconds(100)},
      {"sender behind 100 ms", milliseconds(0), milliseconds(100)},
      {"both behind 140 ms", milliseconds(140), milliseconds(140)},
      {"sender behind 400 ms", milliseconds(0), milliseconds(400)},
      {"stops lost", milliseconds(0), milliseconds(0), true},
      {"entry behind 300 ms, stops lost", milliseconds(300), milliseconds(0),
       true},
  };
  for (const StopDelay &Delay : Delays) {
    milliseconds Longest{-1};
    for (milliseconds Pause{0}; Pause <= milliseconds(1500); Pause += Step)
      if (overlaps(Delay, Pause))
        Longest = Pause;
    std::printf("%-34s %5lld ms\n", Delay.Name,
                static_cast<long long>(Longest.count()));
  }
}
