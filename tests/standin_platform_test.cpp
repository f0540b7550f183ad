/// \file Tests of the key-value store of the platform's stand-in.
#include "standins/kv_store.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

using Type = KvOperation::Type;
using Field = KvCompare::Field;
using Relation = KvCompare::Relation;

const SteadyTime Start{std::chrono::hours(1)};

KvOperation put(const std::string &Key, const std::string &Value,
                int64_t Lease = 0) {
  return {Type::Put, {Key, ""}, Value, Lease, 0};
}

KvOperation get(const std::string &Key, const std::string &End = "",
                int64_t Limit = 0) {
  return {Type::Range, {Key, End}, "", 0, Limit};
}

KvOperation remove(const std::string &Key, const std::string &End = "") {
  return {Type::Delete, {Key, End}, "", 0, 0};
}

KvResult runOk(KvStore &Store, const KvOperation &Step) {
  Result<KvResult> Out = Store.run(Step);
  EXPECT_FALSE(failed(Out));
  return failed(Out) ? KvResult{} : valueOf(Out);
}

/// Returns the value of \p Key; `missing`, which no test stores, if absent.
std::string valueAt(KvStore &Store, const std::string &Key) {
  KvResult Out = runOk(Store, get(Key));
  return Out.Found.empty() ? "missing" : Out.Found[0].Value;
}

bool swap(KvStore &Store, int64_t Expected, const std::string &Value) {
  Result<KvTxnResult> Out =
      Store.txn({{"k", Field::Mod, Relation::Equal, Expected, ""}},
                {put("k", Value)}, {get("k")});
  EXPECT_FALSE(failed(Out));
  return !failed(Out) && valueOf(Out).Succeeded;
}

// Guards against revisions and versions that differ from etcd's.
TEST(StandinPlatformTest, PutsCountRevisionsAndVersions) {
  KvStore Store;
  EXPECT_EQ(Store.revision(), 1);
  runOk(Store, put("k", "a"));
  runOk(Store, put("other", "x"));
  runOk(Store, put("k", "b"));
  KvResult Found = runOk(Store, get("k"));
  ASSERT_EQ(Found.Found.size(), 1U);
  EXPECT_EQ(Found.Found[0].Value, "b");
  EXPECT_EQ(Found.Found[0].CreateRevision, 2);
  EXPECT_EQ(Found.Found[0].ModRevision, 4);
  EXPECT_EQ(Found.Found[0].Version, 2);
  EXPECT_EQ(Store.revision(), 4);
}

// Guards against a writer that overwrites a concurrent change it has not read.
TEST(StandinPlatformTest, CompareAndSwapHasOneWinner) {
  KvStore Store;
  EXPECT_TRUE(swap(Store, 0, "first"));
  EXPECT_FALSE(swap(Store, 0, "second"));
  EXPECT_EQ(valueAt(Store, "k"), "first");
  int64_t Seen = Store.revision();
  EXPECT_TRUE(swap(Store, Seen, "third"));
  EXPECT_FALSE(swap(Store, Seen, "fourth"));
  EXPECT_EQ(valueAt(Store, "k"), "third");
}

// Guards against a failed compare-and-swap that does not return the current
// value.
TEST(StandinPlatformTest, LostRaceReturnsTheFailureList) {
  KvStore Store;
  runOk(Store, put("k", "winner"));
  const int64_t Before = Store.revision();
  auto Out = Store.txn({{"k", Field::Create, Relation::Equal, 0, ""}},
                       {put("k", "loser")}, {get("k")});
  ASSERT_FALSE(failed(Out));
  EXPECT_FALSE(valueOf(Out).Succeeded);
  ASSERT_EQ(valueOf(Out).Results.size(), 1U);
  ASSERT_EQ(valueOf(Out).Results[0].Found.size(), 1U);
  EXPECT_EQ(valueOf(Out).Results[0].Found[0].Value, "winner");
  EXPECT_EQ(Store.revision(), Before);
}

// Guards against conditions that compare the wrong field or in the wrong
// direction.
TEST(StandinPlatformTest, ComparesEachFieldAndRelation) {
  KvStore Store;
  runOk(Store, put("other", "x"));
  runOk(Store, put("k", "a"));
  runOk(Store, put("k", "b"));
  struct Case {
    KvCompare Condition;
    bool Holds;
  };
  const Case Cases[] = {
      {{"k", Field::Version, Relation::Equal, 2, ""}, true},
      {{"k", Field::Create, Relation::Equal, 3, ""}, true},
      {{"k", Field::Mod, Relation::Equal, 4, ""}, true},
      {{"k", Field::Mod, Relation::Greater, 3, ""}, true},
      {{"k", Field::Mod, Relation::Greater, 4, ""}, false},
      {{"k", Field::Mod, Relation::Less, 5, ""}, true},
      {{"k", Field::Mod, Relation::Less, 4, ""}, false},
      {{"k", Field::Value, Relation::Equal, 0, "b"}, true},
      {{"k", Field::Value, Relation::Equal, 0, "a"}, false},
      {{"missing", Field::Version, Relation::Equal, 0, ""}, true},
      {{"missing", Field::Value, Relation::Equal, 0, ""}, false},
  };
  for (const Case &C : Cases) {
    auto Out = Store.txn({C.Condition}, {}, {});
    ASSERT_FALSE(failed(Out));
    EXPECT_EQ(valueOf(Out).Succeeded, C.Holds) << &C - Cases;
  }
}

// Guards against partially applied transactions.
TEST(StandinPlatformTest, TransactionIsAllOrNothingAtOneRevision) {
  KvStore Store;
  EXPECT_TRUE(failed(Store.txn({}, {put("a", "1"), put("b", "2", 99)}, {})));
  EXPECT_TRUE(failed(Store.txn({}, {put("a", "1"), put("a", "2")}, {})));
  EXPECT_EQ(Store.revision(), 1);
  EXPECT_EQ(runOk(Store, get("a")).Count, 0);
  EXPECT_FALSE(failed(Store.txn({}, {put("a", "1"), put("b", "2")}, {})));
  EXPECT_EQ(Store.revision(), 2);
}

// Guards against ranges that omit keys or include keys beyond their end.
TEST(StandinPlatformTest, RangesAndDeletions) {
  KvStore Store;
  for (const char *Key : {"a", "b", "c", "d"})
    runOk(Store, put(Key, Key));
  EXPECT_EQ(runOk(Store, get("b", "d")).Count, 2);
  EXPECT_EQ(runOk(Store, get("b", std::string(1, '\0'))).Count, 3);
  KvResult Limited = runOk(Store, get("a", "z", 1));
  EXPECT_EQ(Limited.Found.size(), 1U);
  EXPECT_EQ(Limited.Count, 4);
  EXPECT_EQ(runOk(Store, remove("b", "d")).Count, 2);
  EXPECT_EQ(runOk(Store, get("a", "z")).Count, 2);
  const int64_t Before = Store.revision();
  EXPECT_EQ(runOk(Store, remove("b")).Count, 0);
  EXPECT_EQ(Store.revision(), Before);
  runOk(Store, put("b", "again"));
  KvResult Recreated = runOk(Store, get("b"));
  ASSERT_EQ(Recreated.Found.size(), 1U);
  EXPECT_EQ(Recreated.Found[0].Version, 1);
}

// Guards against a watch that omits changes since its start revision or reports
// one twice.
TEST(StandinPlatformTest, WatchFromARevision) {
  KvStore Store;
  runOk(Store, put("k", "a"));
  runOk(Store, put("other", "x"));
  runOk(Store, put("k", "b"));
  runOk(Store, remove("k"));
  KvChanges All = Store.changes({"k", ""}, 1);
  ASSERT_EQ(All.Events.size(), 3U);
  EXPECT_EQ(All.Events[0].Kv.Value, "a");
  EXPECT_EQ(All.Events[1].Kv.ModRevision, 4);
  EXPECT_TRUE(All.Events[2].Deleted);
  EXPECT_EQ(Store.changes({"k", ""}, 5).Events.size(), 1U);
  EXPECT_TRUE(Store.changes({"k", ""}, 6).Events.empty());
}

// Guards against a watch that silently skips discarded events.
TEST(StandinPlatformTest, WatchReportsDiscardedEvents) {
  KvStore Store;
  for (size_t I = 0; I < KvStore::MaxEvents + 1; ++I)
    runOk(Store, put("k", "v"));
  EXPECT_EQ(Store.changes({"k", ""}, 2).CompactedUpTo, 2);
  KvChanges Held = Store.changes({"k", ""}, 3);
  EXPECT_EQ(Held.CompactedUpTo, 0);
  EXPECT_EQ(Held.Events.size(), KvStore::MaxEvents);
}

// Guards against keys that remain after their lease has expired, or that are
// deleted while it is kept alive.
TEST(StandinPlatformTest, LeaseExpiryDeletesItsKeys) {
  using std::chrono::seconds;
  KvStore Store;
  EXPECT_TRUE(Store.grantLease(7, seconds(10), Start));
  EXPECT_FALSE(Store.grantLease(7, seconds(10), Start));
  runOk(Store, put("held", "v", 7));
  runOk(Store, put("released", "v", 7));
  runOk(Store, put("released", "v"));
  Store.expireLeases(Start + seconds(9));
  EXPECT_EQ(runOk(Store, get("held")).Count, 1);
  EXPECT_EQ(Store.keepLeaseAlive(7, Start + seconds(9)), seconds(10));
  Store.expireLeases(Start + seconds(18));
  EXPECT_EQ(runOk(Store, get("held")).Count, 1);
  Store.expireLeases(Start + seconds(19));
  EXPECT_EQ(runOk(Store, get("held")).Count, 0);
  EXPECT_EQ(runOk(Store, get("released")).Count, 1);
  KvChanges Last = Store.changes({"held", ""}, Store.revision());
  ASSERT_EQ(Last.Events.size(), 1U);
  EXPECT_TRUE(Last.Events[0].Deleted);
  EXPECT_EQ(Store.keepLeaseAlive(7, Start + seconds(19)), std::nullopt);
  EXPECT_FALSE(Store.revokeLease(7));
}

} // namespace
} // namespace snipeshunt
