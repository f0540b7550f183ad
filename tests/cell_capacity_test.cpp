/// \file Upstreams whose capacity changes, on a fake clock. They start whatever
/// they are ordered to.
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Longest time between two reads of the upstreams' records by a sender.
constexpr Duration ReadPeriod = seconds(1);

/// One instance and four upstreams with room for two tasks each.
class CellCapacityTest : public ::testing::Test {
protected:
  void SetUp() override {
    for (int I = 1; I <= 4; ++I)
      Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
    Only = World.addInstance("only", "centre-a");
    World.run(seconds(2));
  }

  /// Submits more jobs than the upstreams can run for \p Time.
  void runUnderLoad(Duration Time) {
    SteadyTime End = World.now() + Time;
    while (World.now() < End) {
      World.submit(Only, "job-" + std::to_string(NextJob++), 1,
                   milliseconds(100));
      World.run(milliseconds(10));
    }
  }
  /// Replaces the upstream's process by one of another kind.
  void restart(const UpstreamId &Id, int64_t CpuMillis) {
    World.restartUpstream(Id);
    World.setCapacity(Id, CpuMillis);
  }
  size_t startsOn(const UpstreamId &Id, SteadyTime From) const {
    size_t Count = 0;
    for (const RunRecord &R : World.runs())
      Count += R.Upstream == Id && R.Started >= From ? 1 : 0;
    return Count;
  }

  CellWorld World;
  Address Only;
  std::vector<UpstreamId> Upstreams;
  int NextJob = 0;
};

} // namespace

// Guards against starts by the capacity that an upstream had before it shrank.
TEST_F(CellCapacityTest, ShrunkUpstreamIsNotOverloadedOnceItsRecordWasRead) {
  runUnderLoad(seconds(1));
  for (const UpstreamId &Id : Upstreams)
    World.setCapacity(Id, 30000);
  SteadyTime From = World.now() + ReadPeriod + milliseconds(100);
  runUnderLoad(seconds(4));
  for (const RunRecord &R : World.overloads())
    EXPECT_LT(R.Started, From) << runText(R.Key);
  EXPECT_GT(startsOn(Upstreams[0], From), 10U);
  for (const UpstreamId &Id : Upstreams)
    World.setCapacity(Id, 64000);
  runUnderLoad(seconds(3));
  SteadyTime Grown = World.now();
  runUnderLoad(seconds(1));
  EXPECT_GT(startsOn(Upstreams[0], Grown), 12U);
}

// Guards against an upstream whose free capacity remains that of its earlier
// process, so that it is overloaded or left idle until it restarts again.
TEST_F(CellCapacityTest, RestartedUpstreamHasTheCapacityOfItsRecord) {
  for (int64_t CpuMillis : {30000, 64000}) {
    // Without runs there are no reports, so its record shows the new process.
    World.run(seconds(2));
    restart(Upstreams[0], CpuMillis);
    World.run(seconds(2));
    SteadyTime From = World.now();
    runUnderLoad(seconds(3));
    EXPECT_EQ(World.overloads().size(), 0U);
    EXPECT_GT(startsOn(Upstreams[0], From), CpuMillis == 30000 ? 15U : 30U);
  }
}

// Guards against starts by the capacity of an upstream's earlier process, which
// was of a larger kind, while the record of the new one has not been read.
TEST_F(CellCapacityTest, RestartedUpstreamIsNotOverloaded) {
  for (int Restart = 0; Restart < 10; ++Restart) {
    runUnderLoad(milliseconds(730));
    restart(Upstreams[0], 30000);
    runUnderLoad(milliseconds(2400));
    restart(Upstreams[0], 64000);
  }
  EXPECT_EQ(World.overloads().size(), 0U);
}
