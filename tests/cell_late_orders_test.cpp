/// \file Upstreams that leave orders unanswered and carry them out late, on a
/// fake clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Twelve upstreams with two instances, and a third of the load that the
/// upstreams can take.
struct LateOrdersRun {
  LateOrdersRun(double Orders, double Renewals) {
    std::vector<UpstreamId> Upstreams;
    Upstreams.reserve(12);
    for (int I = 0; I < 12; ++I)
      Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
    std::vector<Address> Entries{World.addInstance("a", "centre-a"),
                                 World.addInstance("b", "centre-a")};
    World.run(seconds(3));
    for (const UpstreamId &U : Upstreams) {
      World.faults(U).LateOrders = Orders;
      World.faults(U).LostRenewalShare = Renewals;
    }
    for (int I = 0; I < 250; ++I) {
      Jobs.push_back(World.submit(Entries[I % 2], "job-" + std::to_string(I), 2,
                                  milliseconds(160)));
      World.run(milliseconds(40));
    }
    World.run(seconds(5));
  }

  CellWorld World;
  std::vector<size_t> Jobs;
};

} // namespace

// Guards against overlapping runs, and rejections of jobs that have run, while
// upstreams leave orders unanswered, carry them out late or don't report.
TEST(CellLateOrders, NoRunsOverlapAndAnswersAreTrue) {
  for (auto [Orders, Renewals] : {std::pair{0.15, 0.0},
                                  {0.6, 0.0},
                                  {0.0, 0.3},
                                  {0.0, 0.6},
                                  {0.3, 0.3},
                                  {0.6, 0.6}}) {
    LateOrdersRun Run(Orders, Renewals);
    std::vector<std::string> Overlaps = Run.World.overlappingRuns();
    EXPECT_TRUE(Overlaps.empty()) << Overlaps.front();
    std::set<std::string> HaveRun;
    for (const RunRecord &R : Run.World.runs())
      HaveRun.insert(R.Key.Job.Value);
    for (size_t J : Run.Jobs) {
      const auto &Answer = Run.World.caller(J).Answer;
      ASSERT_TRUE(Answer) << J;
      if (Answer->Status == AnswerStatus::NotRun) {
        EXPECT_EQ(HaveRun.count("job-" + std::to_string(J)), 0U) << J;
      }
    }
  }
}
