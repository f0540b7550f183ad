/// \file Division of the cells of a data centre among instances of different
/// weight, on a fake clock.
#include "cells/cell_table.h"
#include "cells/share_func.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <numeric>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Shares = std::vector<uint32_t>;

size_t cellsOf(const CellWorld &World, const Address &Endpoint) {
  return World.state(Endpoint).Cells.Claims.size();
}

} // namespace

// Guards against weak instances that get as many cells as strong ones and fall
// behind under load.
TEST(CellShares, FewestStrongInstancesShareByWeight) {
  EXPECT_EQ(cellShares({0.5, 0.5, 0.3, 0.09, 0.09}, 117),
            (Shares{12, 12, 0, 0, 0}));
  EXPECT_EQ(cellShares({0.5, 0.5, 0.3, 0.3, 0.09}, 150),
            (Shares{9, 9, 6, 0, 0}));
  EXPECT_EQ(cellShares({0.62, 0.19, 0.19}, 16), (Shares{24, 0, 0}));
}

// Guards against another division where instances are alike.
TEST(CellShares, EqualInstancesShareByTheNumberOfUpstreams) {
  EXPECT_EQ(cellShares({0.25, 0.25, 0.25}, 16), (Shares{24, 0, 0}));
  EXPECT_EQ(cellShares({0.25, 0.25, 0.25, 0.25}, 120), (Shares{8, 8, 8, 0}));
  EXPECT_EQ(cellShares({0, 0}, 80), (Shares{12, 12}));
}

// Guards against cells that nobody is to have.
TEST(CellShares, AllCellsAreGiven) {
  for (size_t Upstreams : {0, 1, 100, 5000})
    for (const std::vector<double> &Weights :
         {std::vector<double>{0.5}, std::vector<double>{0.5, 0.3, 0.1},
          std::vector<double>(40, 0.1), std::vector<double>{0.3, 0.0}}) {
      Shares Given = cellShares(Weights, Upstreams);
      EXPECT_EQ(std::accumulate(Given.begin(), Given.end(), 0U),
                CellsPerCentre);
    }
  EXPECT_TRUE(cellShares({}, 10).empty());
}

// Guards against one sender that keeps all cells of a data centre: it claimed
// them when few upstreams had registered.
TEST(CellBalance, CellsAreHandedOverOnceMoreUpstreamsHaveRegistered) {
  CellWorld World;
  World.addUpstream({"first"});
  Address Strong = World.addInstance("strong", "centre-a", 0.5);
  Address Equal = World.addInstance("equal", "centre-a", 0.5);
  Address Weak = World.addInstance("weak", "centre-a", 0.1);
  World.run(seconds(2));
  EXPECT_EQ(World.senders().size(), 1U);
  for (int I = 0; I < 100; ++I)
    World.addUpstream({"u" + std::to_string(I)});
  World.run(seconds(10));
  EXPECT_EQ(cellsOf(World, Strong), CellsPerCentre / 2);
  EXPECT_EQ(cellsOf(World, Equal), CellsPerCentre / 2);
  EXPECT_EQ(cellsOf(World, Weak), 0U);
}

// Guards against jobs that are lost, and tasks that run twice, when cells with
// runs are handed over: to an instance that has come back.
TEST(CellBalance, HandoverUnderLoadLosesNoJob) {
  CellWorld World;
  for (int I = 0; I < 100; ++I)
    World.addUpstream({"u" + std::to_string(I)});
  Address Strong = World.addInstance("strong", "centre-a", 0.5);
  Address Equal = World.addInstance("equal", "centre-a", 0.5);
  Address Weak = World.addInstance("weak", "centre-a", 0.1);
  World.run(seconds(3));
  World.kill(Equal);
  World.run(seconds(4));
  World.restart(Equal);
  std::vector<size_t> Jobs;
  for (int I = 0; I < 3000; ++I) {
    Jobs.push_back(World.submit(I % 2 ? Strong : Weak,
                                "job-" + std::to_string(I), 2,
                                milliseconds(300)));
    World.run(milliseconds(5));
  }
  World.run(seconds(3));
  for (auto [Endpoint, Weight] : {std::pair{Strong, 0.5}, {Weak, 0.1}})
    EXPECT_LE(World.state(Endpoint).Sender.Upstreams.size(),
              Weight * UpstreamsPerCore * 1.1);
  EXPECT_GE(cellsOf(World, Equal), CellsPerCentre / 3);
  for (size_t J : Jobs) {
    const auto &Answer = World.caller(J).Answer;
    EXPECT_TRUE(Answer && Answer->Status == AnswerStatus::Done) << J;
  }
  for (const RunRecord &R : World.runs())
    EXPECT_TRUE(R.Done) << runText(R.Key);
  EXPECT_TRUE(World.overlappingRuns().empty());
}
