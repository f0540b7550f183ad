/// \file Which of the received configuration documents is in force.
#include "configuration/configuration_cmd.h"
#include "configuration/configuration_func.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace snipeshunt {
namespace {

const SteadyTime Start{std::chrono::hours(1)};

/// A document whose default team quota is its revision.
std::string documentFor(uint64_t Number) {
  Configuration C;
  C.Change = {{"00000000000000aa"}, "ana", "2025-01-31T12:00:00Z"};
  C.Defaults.DefaultTeamQuotaTasks = static_cast<int64_t>(Number);
  return writeConfiguration(C);
}

// Guards against a late older document that reverts a change.
TEST(ConfigurationRevisionTest, AppliesOnlyRisingRevisions) {
  ConfigurationState State;
  EXPECT_FALSE(applyRevision(State, Revision{0}, documentFor(0), Start));
  EXPECT_TRUE(applyRevision(State, Revision{5}, documentFor(5), Start));
  EXPECT_EQ(State.InForceText, documentFor(5));
  EXPECT_EQ(State.InForceRevision, Revision{5});
  EXPECT_EQ(State.Since, Start);
  SteadyTime Later = Start + std::chrono::seconds(1);
  EXPECT_FALSE(applyRevision(State, Revision{5}, documentFor(6), Later));
  EXPECT_FALSE(applyRevision(State, Revision{4}, documentFor(4), Later));
  EXPECT_EQ(State.InForce.Defaults.DefaultTeamQuotaTasks, 5);
  EXPECT_EQ(State.Since, Start);
  EXPECT_FALSE(State.LastRejected);
}

// Guards against an unreadable document that displaces the one in force, and
// against a rejection that is not reported or outlives its cause.
TEST(ConfigurationRevisionTest, UnreadableDocumentLeavesTheOldInForce) {
  ConfigurationState State;
  applyRevision(State, Revision{5}, documentFor(5), Start);
  EXPECT_FALSE(applyRevision(State, Revision{8}, "{", Start));
  EXPECT_EQ(State.InForceRevision, Revision{5});
  EXPECT_EQ(State.InForceText, documentFor(5));
  ASSERT_TRUE(State.LastRejected);
  EXPECT_NE(State.LastRejected->Message.find("revision 8"), std::string::npos);
  EXPECT_FALSE(applyRevision(State, Revision{7}, "[]", Start));
  EXPECT_NE(State.LastRejected->Message.find("revision 8"), std::string::npos);
  EXPECT_TRUE(applyRevision(State, Revision{6}, documentFor(6), Start));
  EXPECT_TRUE(State.LastRejected);
  EXPECT_TRUE(applyRevision(State, Revision{9}, documentFor(9), Start));
  EXPECT_FALSE(State.LastRejected);
}

// Guards against an order of arrival in which the revision in force decreases
// or ends below the highest valid revision.
RC_GTEST_PROP(ConfigurationRevisionTest, EndsWithTheHighestReadable, ()) {
  // The revisions in order of arrival, and those whose document is unreadable.
  // The same revision always has the same document.
  const auto Arrivals = *rc::gen::container<std::vector<uint64_t>>(
      rc::gen::inRange<uint64_t>(1, 40));
  const auto Unreadable = *rc::gen::container<std::vector<uint64_t>>(
      rc::gen::inRange<uint64_t>(1, 40));
  auto IsReadable = [&](uint64_t Number) {
    return std::find(Unreadable.begin(), Unreadable.end(), Number) ==
           Unreadable.end();
  };
  ConfigurationState State;
  uint64_t Highest = 0;
  uint64_t HighestOfAll = 0;
  for (uint64_t Number : Arrivals) {
    Revision Before = State.InForceRevision;
    bool Readable = IsReadable(Number);
    bool Applied = applyRevision(State, Revision{Number},
                                 Readable ? documentFor(Number) : "{", Start);
    RC_ASSERT(Applied == (Readable && Number > Highest));
    RC_ASSERT(!(State.InForceRevision < Before));
    HighestOfAll = std::max(HighestOfAll, Number);
    if (Readable)
      Highest = std::max(Highest, Number);
    RC_ASSERT(State.InForceRevision == Revision{Highest});
    RC_ASSERT(State.LastRejected.has_value() == (HighestOfAll > Highest));
  }
  if (Highest > 0) {
    RC_ASSERT(State.InForceText == documentFor(Highest));
    RC_ASSERT(writeConfiguration(State.InForce) == documentFor(Highest));
  }
}

} // namespace
} // namespace snipeshunt
