/// \file Cost of a fleet of cells by its size, in counted work on a fake clock.
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet over five data centres with four upstreams each.
struct SpreadFleet {
  explicit SpreadFleet(size_t Instances) {
    for (size_t I = 0; I < 20; ++I)
      World.addUpstream({"u" + std::to_string(I), centre(I)});
    for (size_t I = 0; I < Instances; ++I)
      Entries.push_back(World.addInstance("i" + std::to_string(I), centre(I),
                                          I < 10 ? 0.5 : 0.1));
  }
  static std::string centre(size_t I) {
    return "centre-" + std::to_string(I % 5);
  }

  CellWorld World;
  std::vector<Address> Entries;
};

/// Pings a second of an instance, and peers that it looks at, on average over
/// the fleet and the time after the start.
std::pair<double, double> membershipCost(size_t Instances) {
  SpreadFleet Fleet(Instances);
  auto Sum = [&] {
    std::pair<double, double> Total;
    for (const Address &E : Fleet.Entries) {
      const CellCounters &Counts = Fleet.World.state(E).Cells.Counts;
      Total.first += static_cast<double>(Counts.PingsSent);
      Total.second += static_cast<double>(Counts.PeersVisited);
    }
    return Total;
  };
  Fleet.World.run(seconds(6));
  auto Before = Sum();
  constexpr int Seconds = 10;
  Fleet.World.run(seconds(Seconds));
  auto After = Sum();
  double Divisor = Seconds * static_cast<double>(Instances);
  return {(After.first - Before.first) / Divisor,
          (After.second - Before.second) / Divisor};
}

} // namespace

// Guards against pings whose number grows with the square of the fleet.
// Pattern: membership by periods that follow the number of peers.
TEST(CellScale, PingsOfAnInstanceDoNotGrowWithTheFleet) {
  auto [Small, SmallVisits] = membershipCost(10);
  auto [Medium, MediumVisits] = membershipCost(40);
  auto [Large, LargeVisits] = membershipCost(147);
  // At most 8 pings a second to each of two groups of idle peers, 4 to the only
  // sender of the own data centre, and 1.4 to each of two followed senders of
  // four data centres.
  constexpr double Limit = 8 + 8 + 4 + 2 * 4 * 1.43;
  EXPECT_LT(Small, Limit);
  EXPECT_LT(Medium, Limit);
  EXPECT_LT(Large, Limit);
  // Ticks come 50 times a second; pings and their answers cause no more scans
  // than they are many.
  EXPECT_LT(LargeVisits / 146, 50 + 3 * Limit);
}

// Guards against lists of upstreams on instances that never use them, and
// against a data centre that stays without sender once those with lists are
// gone.
TEST(CellScale, OnlyTheStrongestInstancesReadTheUpstreams) {
  CellWorld World;
  for (int I = 0; I < 20; ++I)
    World.addUpstream({"u" + std::to_string(I)});
  std::vector<Address> Strong;
  Strong.reserve(4);
  std::vector<Address> Weak;
  Weak.reserve(10);
  for (int I = 0; I < 4; ++I)
    Strong.push_back(World.addInstance("s" + std::to_string(I), "centre-a", 1));
  for (int I = 0; I < 10; ++I)
    Weak.push_back(World.addInstance("w" + std::to_string(I), "centre-a", 0.1));
  World.run(seconds(8));
  size_t WithList = 0;
  for (const Address &E : Weak)
    WithList += World.state(E).Directory.Upstreams.empty() ? 0 : 1;
  EXPECT_LE(WithList, 2U);
  for (const Address &E : Strong)
    EXPECT_FALSE(World.state(E).Directory.Upstreams.empty());
  size_t Before =
      World.submit(Weak.back(), "before", 2, milliseconds(50), seconds(5));
  World.run(seconds(1));
  ASSERT_TRUE(World.caller(Before).Answer);
  EXPECT_EQ(World.caller(Before).Answer->Status, AnswerStatus::Done);
  for (const Address &E : Strong)
    World.powerOff(E);
  for (const Address &E : Weak)
    if (!World.state(E).Directory.Upstreams.empty())
      World.powerOff(E);
  World.run(seconds(5));
  size_t After =
      World.submit(Weak.back(), "after", 2, milliseconds(50), seconds(5));
  World.run(seconds(2));
  ASSERT_TRUE(World.caller(After).Answer);
  EXPECT_EQ(World.caller(After).Answer->Status, AnswerStatus::Done);
}

// Guards against placement whose cost grows with the queue while the upstreams
// are full. Pattern: a backlog behind full upstreams.
TEST(CellScale, WaitingTasksCostNothingWhileAllUpstreamsAreFull) {
  auto VisitsWithBacklog = [](int Backlog) {
    CellWorld World;
    for (int I = 0; I < 10; ++I)
      World.addUpstream({"u" + std::to_string(I)});
    Address Entry = World.addInstance("i", "centre-a");
    World.run(seconds(2));
    // The upstreams have capacity for 20 tasks.
    for (int I = 0; I < 20 + Backlog; ++I)
      World.submit(Entry, "job-" + std::to_string(I), 1, seconds(2),
                   seconds(20));
    World.run(milliseconds(500));
    uint64_t Before = World.state(Entry).Sender.Counts.UpstreamsVisited;
    World.run(seconds(1));
    return World.state(Entry).Sender.Counts.UpstreamsVisited - Before;
  };
  uint64_t Short = VisitsWithBacklog(2);
  EXPECT_LE(VisitsWithBacklog(60), Short + Short / 10);
}
