/// \file Processor time of a simulated fleet of cells, by size.
///
/// The figures include the simulation itself. Run under a profiler to see the
/// share of each function of the reducer.
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <ctime>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet and the rate of its jobs.
struct FleetShape {
  size_t Centres;
  size_t InstancesPerCentre;
  size_t UpstreamsPerCentre;
  size_t JobsPerSecond;
};

/// Runs a fleet under a mix of short and long jobs, and prints the processor
/// time that one simulated second takes.
void measure(const FleetShape &Shape) {
  CellWorld World;
  std::vector<Address> Entries;
  for (size_t C = 0; C < Shape.Centres; ++C) {
    std::string Centre = "centre-" + std::to_string(C);
    for (size_t I = 0; I < Shape.UpstreamsPerCentre; ++I)
      World.addUpstream({Centre + "-u" + std::to_string(I), Centre});
    for (size_t I = 0; I < Shape.InstancesPerCentre; ++I)
      Entries.push_back(World.addInstance(Centre + "-i" + std::to_string(I),
                                          Centre, I < 4 ? 0.5 : 0.09));
  }
  World.run(seconds(4));
  size_t Count = 0;
  std::clock_t Begin = std::clock();
  constexpr size_t Seconds = 3;
  for (; Count < Shape.JobsPerSecond * Seconds; ++Count) {
    bool Long = Count % 14 == 0;
    bool Wide = Count % 4 == 1;
    World.submit(Entries[Count * 7 % Entries.size()],
                 "job-" + std::to_string(Count),
                 Long   ? 4
                 : Wide ? 8
                        : 2,
                 milliseconds(Long   ? 760
                              : Wide ? 51
                                     : 170),
                 milliseconds(1500), 27000);
    World.run(microseconds(1000000 / Shape.JobsPerSecond));
  }
  double Taken = static_cast<double>(std::clock() - Begin) / CLOCKS_PER_SEC;
  size_t Done = 0;
  for (size_t I = 0; I < Count; ++I)
    Done += World.caller(I).Answer &&
                    World.caller(I).Answer->Status == AnswerStatus::Done
                ? 1
                : 0;
  std::printf("instances=%zu upstreams=%zu jobs_per_s=%zu done=%zu/%zu "
              "processor_ms_per_s=%.1f per_instance_ms_per_s=%.2f\n",
              Entries.size(), Shape.Centres * Shape.UpstreamsPerCentre,
              Shape.JobsPerSecond, Done, Count, Taken * 1000 / Seconds,
              Taken * 1000 / Seconds / static_cast<double>(Entries.size()));
}

} // namespace

TEST(CellCost, Small) { measure({3, 3, 16, 124}); }
TEST(CellCost, Grown) { measure({3, 13, 117, 900}); }
TEST(CellCost, Large) { measure({5, 29, 220, 1100}); }
