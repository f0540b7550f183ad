/// \file Tests of the shares of queues in a sender's capacity.
#include "sender/queue_share_cmd.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using std::chrono::milliseconds;

namespace {

/// A sender whose tasks can do 900 units of work a second, with a backlog.
class QueueShareTest : public ::testing::Test {
protected:
  void SetUp() override {
    configure({{"urgent", 0}, {"middle", 1}, {"last", 2}});
  }

  void configure(const std::vector<std::pair<std::string, int32_t>> &Queues) {
    FleetConfiguration C;
    C.Version = ++Version;
    for (const auto &[Name, Priority] : Queues) {
      Route R;
      R.Name = Name;
      R.Priority = Priority;
      C.Routes.push_back(R);
    }
    applyRoutePriorities(Shares, C);
  }

  /// Offers \p Job; returns its work if it is admitted, else 0.
  double offer(const OfferedJob &Job) {
    bool Admitted = offerJob(Shares, Job, Now);
    recordShareOutcome(Shares, Job, Admitted);
    return Admitted ? Job.Work : 0;
  }

  /// Moves the clock by 10 ms.
  void advance(double Waiting) {
    Now += milliseconds(10);
    if (isShareUpdateDue(Shares, Now))
      updateShares(Shares, {1000, 900, Waiting}, Now, Out);
  }

  /// Offers each job once every 10 ms for 4 s. Returns the work that each was
  /// admitted with in the last 3 s, by second.
  std::vector<double> play(const std::vector<OfferedJob> &Jobs,
                           double Waiting) {
    std::vector<double> Admitted(Jobs.size());
    for (int Step = 0; Step < 400; ++Step, advance(Waiting))
      for (size_t I = 0; I < Jobs.size(); ++I)
        Admitted[I] += offer(Jobs[I]) * (Step < 100 ? 0 : 1.0 / 3);
    return Admitted;
  }

  QueueShares Shares;
  SteadyTime Now{std::chrono::hours(1)};
  InstanceEffects Out;
  uint64_t Version = 0;
};

} // namespace

// Guards against a queue that gets less than its floor, and against capacity
// that goes to a queue before a more urgent one is satisfied.
TEST_F(QueueShareTest, CapacityIsSharedByPriorityAboveTheFloors) {
  auto Admitted = play(
      {{"urgent", 0, {}, 4}, {"middle", 1, {}, 10}, {"last", 2, {}, 8}}, 200);
  EXPECT_NEAR(Admitted[0], 400, 10);
  EXPECT_NEAR(Admitted[1], 410, 30);
  EXPECT_NEAR(Admitted[2], 90, 15);
}

// Guards against a data centre that offers much taking the share of another
// one, and against large jobs being rejected more than twice as often.
TEST_F(QueueShareTest, GroupsOfAQueueGetTheSamePartOfTheirOffer) {
  auto Admitted = play({{"last", 2, {"a"}, 6},
                        {"last", 2, {"a"}, 6.1},
                        {"last", 2, {"b"}, 2},
                        {"last", 2, {"b"}, 9}},
                       200);
  std::vector<double> Offered{600, 610, 200, 900};
  for (size_t I = 0; I < Offered.size(); ++I)
    EXPECT_NEAR(Admitted[I] / Offered[I], 900.0 / 2310, 0.06) << I;
}

// Guards against limits where routes don't differ in priority, where there is
// no backlog or too little work, and after an overload has ended.
TEST_F(QueueShareTest, NothingIsLimitedWithoutOverload) {
  std::vector<OfferedJob> Much{{"urgent", 0, {}, 20}, {"last", 2, {}, 20}};
  std::vector<double> All{2000, 2000};
  configure({{"urgent", 1}, {"last", 1}});
  auto Same = play(Much, 200);
  configure({{"urgent", 0}, {"last", 2}});
  auto NoBacklog = play(Much, 0);
  for (int Step = 0; Step < 300; ++Step)
    advance(0);
  auto Little = play({{"urgent", 0, {}, 2}, {"last", 2, {}, 2}}, 200);
  for (size_t I = 0; I < 2; ++I) {
    EXPECT_NEAR(Same[I], All[I], 1);
    EXPECT_NEAR(NoBacklog[I], All[I], 1);
    EXPECT_NEAR(Little[I], 200, 1);
  }
  EXPECT_EQ(Shares.Overloads, 0U);
  play(Much, 200);
  EXPECT_TRUE(Shares.Overloaded);
  for (int Step = 0; Step < 100; ++Step)
    advance(0);
  EXPECT_FALSE(Shares.Overloaded);
  ASSERT_EQ(Out.size(), 2U);
  EXPECT_GT(offer({"last", 2, {}, 20}), 0);
}

// Guards against a waste of started work: the last tasks of a started job must
// not wait behind later jobs of a more urgent queue.
TEST_F(QueueShareTest, JobsThatAreLateSoonMoveUp) {
  EXPECT_EQ(rankPriority(Shares, 2, false, false), 0);
  Shares.Overloaded = true;
  EXPECT_EQ(rankPriority(Shares, 2, false, false), 2);
  EXPECT_EQ(rankPriority(Shares, 2, true, false), 1);
  EXPECT_EQ(rankPriority(Shares, 2, true, true), 0);
  EXPECT_EQ(rankPriority(Shares, 0, false, false), 0);
}
