/// \file Evacuation of data centres, on a fake clock.
#include "directory/evacuation_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds Bound{5000};

/// Two data centres with two instances and two upstreams each.
class EvacuationTest : public ::testing::Test {
protected:
  void SetUp() override {
    World.setEvacuationBound(Bound);
    for (const std::string Centre : {"centre-a", "centre-b"}) {
      for (const char *Name : {"1", "2"}) {
        Instances[Centre].push_back(World.addInstance(
            Centre + Name, Centre, *Name == '1' ? 0.5 : 0.25));
        World.addUpstream({Centre + "-u" + Name, Centre});
      }
    }
    World.run(seconds(4));
  }

  /// Submits a job with one task of 50 ms, and runs it.
  AnswerStatus serve(const Address &Entry) {
    size_t Number = World.submit(Entry, "job-" + std::to_string(++Jobs), 1,
                                 milliseconds(50));
    World.run(seconds(2));
    const auto &Answer = World.caller(Number).Answer;
    return Answer ? Answer->Status : AnswerStatus::Unknown;
  }

  /// Starts on the upstreams of \p Centre since \p Since.
  size_t startsIn(const std::string &Centre, SteadyTime Since) const {
    return static_cast<size_t>(std::count_if(
        World.runs().begin(), World.runs().end(), [&](const RunRecord &R) {
          return R.Started >= Since && R.Upstream.Value.find(Centre) == 0;
        }));
  }

  CellWorld World;
  std::map<std::string, std::vector<Address>> Instances; ///< By data centre.
  int Jobs = 0;
};

} // namespace

// Guards against a start in a data centre after its evacuation, against a run
// in progress that the evacuation ends, and against jobs that are not served
// elsewhere meanwhile, or not there again afterwards.
TEST_F(EvacuationTest, StartsStopUntilTheKeyIsRemoved) {
  const Address &Entry = Instances["centre-a"][1];
  size_t Running = World.submit(Entry, "running", 1, milliseconds(1500));
  World.run(milliseconds(50));
  ASSERT_EQ(startsIn("centre-a", {}), 1U);
  World.setEvacuated("centre-a", true);
  World.run(milliseconds(100));
  SteadyTime Evacuated = World.now();
  for (int I = 0; I < 5; ++I)
    EXPECT_EQ(serve(Entry), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Evacuated), 0U);
  EXPECT_EQ(startsIn("centre-b", Evacuated), 5U);
  EXPECT_TRUE(isReady(World.state(Entry), World.now()));
  ASSERT_TRUE(World.caller(Running).Answer);
  EXPECT_EQ(World.caller(Running).Answer->Status, AnswerStatus::Done);
  World.setEvacuated("centre-a", false);
  World.run(seconds(1));
  SteadyTime Ended = World.now();
  EXPECT_EQ(serve(Entry), AnswerStatus::Done);
  EXPECT_EQ(startsIn("centre-a", Ended), 1U);
}

// Guards against a deployment without the setting that pays for reads of the
// evacuations, obeys a key of another meaning, or sends its peers a field that
// earlier versions reject.
TEST(EvacuationSetting, WithoutItNothingIsReadOrSent) {
  CellWorld World;
  Address Entry = World.addInstance("one", "centre-a");
  World.addInstance("two", "centre-b");
  World.addUpstream({"u1", "centre-a"});
  World.setEvacuated("centre-a", true);
  World.run(seconds(4));
  size_t Number = World.submit(Entry, "job", 1, milliseconds(50));
  World.run(seconds(1));
  ASSERT_TRUE(World.caller(Number).Answer);
  EXPECT_EQ(World.caller(Number).Answer->Status, AnswerStatus::Done);
  EXPECT_EQ(World.evacuationReads(), 0U);
  EXPECT_FALSE(World.state(Entry).Cells.WantsEvacuation);
}
