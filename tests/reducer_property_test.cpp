/// \file Guarantees of the reducer under random sequences of failures.
#include "support/world.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

namespace snipeshunt {

std::ostream &operator<<(std::ostream &Out, const Step &S);

std::ostream &operator<<(std::ostream &Out, const Step &S) {
  constexpr const char *Names[] = {"TakeTicket",
                                   "Submit",
                                   "SubmitOtherBody",
                                   "Query",
                                   "Cancel",
                                   "Disconnect",
                                   "Deliver",
                                   "LoseRequest",
                                   "LoseReply",
                                   "DeliverTwice",
                                   "RefuseConnection",
                                   "DeliverOldCopy",
                                   "DeliverOldHeartbeat",
                                   "DeliverReply",
                                   "EndAttempt",
                                   "ShortTime",
                                   "TimeBeyondDead",
                                   "TimeBeyondTicket",
                                   "CutOrHeal",
                                   "PauseOrResume",
                                   "Kill",
                                   "Restart",
                                   "Drain"};
  return Out << Names[static_cast<size_t>(S.What)] << '(' << S.A << ',' << S.B
             << ')';
}

namespace {

// These cases take about 10 s. RC_PARAMS="seed=N max_success=N max_size=N" runs
// others; the fixed default makes the run repeatable.
constexpr int DefaultCases = 3000;
constexpr int DefaultSize = 300;
constexpr uint64_t DefaultSeed = 1;

/// Steps of normal operation are drawn more often than failures.
rc::Gen<Op> genOp() {
  return rc::gen::weightedElement<Op>({{6, Op::TakeTicket},
                                       {10, Op::Submit},
                                       {2, Op::SubmitOtherBody},
                                       {1, Op::Query},
                                       {2, Op::Cancel},
                                       {1, Op::Disconnect},
                                       {16, Op::Deliver},
                                       {3, Op::LoseRequest},
                                       {4, Op::LoseReply},
                                       {3, Op::DeliverTwice},
                                       {2, Op::RefuseConnection},
                                       {5, Op::DeliverOldCopy},
                                       {1, Op::DeliverOldHeartbeat},
                                       {16, Op::DeliverReply},
                                       {10, Op::EndAttempt},
                                       {10, Op::ShortTime},
                                       {1, Op::TimeBeyondDead},
                                       {1, Op::TimeBeyondTicket},
                                       {1, Op::CutOrHeal},
                                       {2, Op::PauseOrResume},
                                       {1, Op::Kill},
                                       {2, Op::Restart},
                                       {1, Op::Drain}});
}

rc::Gen<std::vector<Step>> genSteps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(
      rc::gen::set(&Step::What, genOp()),
      rc::gen::set(&Step::A, rc::gen::inRange<uint32_t>(0, 120)),
      rc::gen::set(&Step::B, rc::gen::inRange<uint32_t>(0, 120))));
}

void run(size_t Instances, const std::vector<Step> &Steps) {
  World W(Instances);
  for (size_t I = 0; I < Steps.size(); ++I) {
    W.apply(Steps[I]);
    if (!W.fault().empty())
      RC_FAIL("step " + std::to_string(I) + ": " + W.fault());
  }
  W.settle();
  if (!W.fault().empty())
    RC_FAIL(W.fault());
}

bool check(const std::string &Name, size_t Instances) {
  rc::detail::TestParams Params = rc::detail::configuration().testParams;
  if (!std::getenv("RC_PARAMS")) {
    Params.maxSuccess = DefaultCases;
    Params.maxSize = DefaultSize;
    Params.seed = DefaultSeed;
  }
  rc::detail::TestMetadata About;
  About.id = About.description = Name;
  rc::detail::TestResult Result = rc::detail::checkTestable(
      [Instances] { run(Instances, *genSteps()); }, About, Params);
  rc::detail::printResultMessage(Result, std::cerr);
  std::cerr << std::endl;
  return Result.is<rc::detail::SuccessResult>();
}

// Guards against a task that starts twice, an answer that is incomplete,
// belongs to another job or is missing, a rejection of a job that has started,
// and state that is never released, when messages and processes fail in any
// order.
TEST(ReducerProperty, TwoInstancesKeepTheGuarantees) {
  EXPECT_TRUE(check("two instances", 2));
}

// The same with one more instance between home and sender.
TEST(ReducerProperty, ThreeInstancesKeepTheGuarantees) {
  EXPECT_TRUE(check("three instances", 3));
}

// The same with a second data centre.
TEST(ReducerProperty, TwoCentresKeepTheGuarantees) {
  EXPECT_TRUE(check("four instances in two centres", 4));
}

} // namespace
} // namespace snipeshunt
