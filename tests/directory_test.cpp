/// \file Reads of the store that are out of date, and snapshots of peers, on a
/// fake clock.
#include "directory/directory_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

UpstreamRecord upstream(const std::string &Name, bool Draining) {
  UpstreamRecord U;
  U.Id = {Name};
  U.Centre = {"centre-a"};
  U.Draining = Draining;
  return U;
}

/// A directory whose calls to the store are answered one by one.
struct AnsweredDirectory {
  /// Makes the calls that are due and returns the read of the upstreams.
  std::optional<ReadCollection> advance() {
    InstanceEffects Out;
    advanceDirectory(State, Now, Out);
    for (const InstanceEffect &E : Out)
      if (const auto *Read = std::get_if<ReadCollection>(&E);
          Read && Read->Collection == StoreCollection::Upstreams)
        return *Read;
    return std::nullopt;
  }

  bool answer(const ReadCollection &Read, uint64_t Revision,
              std::vector<UpstreamRecord> Upstreams) {
    CollectionReadAnswered Event;
    Event.Collection = Read.Collection;
    Event.Sequence = Read.Sequence;
    Event.Status = StoreStatus::Done;
    Event.Revision = {Revision};
    Event.Upstreams = std::move(Upstreams);
    InstanceEffects Out;
    return applyCollectionRead(State, Event, Now, Out);
  }

  void setSender(bool IsSender) {
    InstanceEffects Out;
    applyRole(State, IsSender, /*IsStandby=*/true, Now, Out);
  }

  DirectoryState State;
  SteadyTime Now{seconds(100)};
};

} // namespace

// Guards against a draining upstream that is used again: a stale read may be
// answered by a replica of the store that is behind the one read before.
TEST(DirectoryReads, OutdatedListDoesNotReplaceANewerOne) {
  AnsweredDirectory D;
  D.setSender(true);
  std::optional<ReadCollection> Read = D.advance();
  ASSERT_TRUE(Read);
  EXPECT_TRUE(D.answer(*Read, 10, {upstream("u", /*Draining=*/true)}));
  D.setSender(false);
  D.Now += seconds(20);
  Read = D.advance();
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read->AllowStale);
  EXPECT_FALSE(D.answer(*Read, 8, {upstream("u", /*Draining=*/false)}));
  ASSERT_EQ(D.State.Upstreams.size(), 1U);
  EXPECT_TRUE(D.State.Upstreams[0].Draining);
}

namespace {

FleetConfiguration version(uint64_t Version) {
  FleetConfiguration Out;
  Out.Version = Version;
  return Out;
}

/// Returns the read of the configuration among \p Out.
const ReadCollection *configurationRead(const InstanceEffects &Out) {
  for (const InstanceEffect &E : Out)
    if (const auto *Read = std::get_if<ReadCollection>(&E);
        Read && Read->Collection == StoreCollection::Configuration)
      return Read;
  return nullptr;
}

/// Returns the answer to the current watch of the configuration.
WatchAnswered watchAnswer(const DirectoryState &State, uint64_t Version) {
  WatchAnswered Out;
  Out.Sequence = State.Readers[0].Sequence;
  Out.Status = StoreStatus::Done;
  Out.Revision = {Version};
  Out.Changed = true;
  Out.Configuration = version(Version);
  return Out;
}

} // namespace

// Guards against a read for each of the versions that follow each other
// quickly, in addition to the watch that brings them: the peers that have a
// version first made each other instance give up its watch and read, and the
// reads of instances without processor time failed.
TEST(DirectoryReads, WatchGoesOnWhileVersionsFollowEachOtherQuickly) {
  DirectoryState State;
  SteadyTime Now{seconds(100)};
  InstanceEffects Out;
  advanceDirectory(State, Now, Out);
  const ReadCollection *Read = configurationRead(Out);
  ASSERT_TRUE(Read);
  CollectionReadAnswered First;
  First.Sequence = Read->Sequence;
  First.Status = StoreStatus::Done;
  First.Revision = {1};
  First.Configuration = version(1);
  ASSERT_TRUE(applyCollectionRead(State, First, Now, Out));
  for (uint64_t Version = 2; Version < 12; ++Version) {
    for (int Ping = 0; Ping < 3; ++Ping) {
      Out.clear();
      recordPeerConfiguration(State, Version, Now);
      Now += milliseconds(100);
      advanceDirectory(State, Now, Out);
      EXPECT_FALSE(configurationRead(Out)) << Version;
    }
    applyWatchAnswer(State, watchAnswer(State, Version), Now, Out);
    ASSERT_EQ(State.Configuration->Version, Version);
  }
  // A watch that brings nothing is replaced by a read.
  recordPeerConfiguration(State, 20, Now);
  Out.clear();
  advanceDirectory(State, Now + milliseconds(399), Out);
  EXPECT_FALSE(configurationRead(Out));
  advanceDirectory(State, Now + milliseconds(400), Out);
  EXPECT_TRUE(configurationRead(Out));
}

// Guards against a list that is never updated again after the store was
// restored with a lower revision.
TEST(DirectoryReads, OutdatedListIsFollowedByACurrentRead) {
  AnsweredDirectory D;
  std::optional<ReadCollection> Read = D.advance();
  ASSERT_TRUE(Read);
  EXPECT_TRUE(D.answer(*Read, 10, {upstream("u", false)}));
  D.Now += seconds(20);
  Read = D.advance();
  ASSERT_TRUE(Read);
  EXPECT_FALSE(D.answer(*Read, 3, {}));
  Read = D.advance();
  ASSERT_TRUE(Read);
  EXPECT_FALSE(Read->AllowStale);
  EXPECT_TRUE(D.answer(*Read, 3, {upstream("v", false)}));
  ASSERT_EQ(D.State.Upstreams.size(), 1U);
  EXPECT_EQ(D.State.Upstreams[0].Id.Value, "v");
  D.Now += seconds(20);
  Read = D.advance();
  ASSERT_TRUE(Read);
  EXPECT_TRUE(Read->AllowStale);
  EXPECT_TRUE(D.answer(*Read, 4, {upstream("v", false)}));
}

// Guards against starts on an upstream that is leaving, by a process that has
// its list from a peer: standbys read the list each 8 s, senders within the
// drain notice.
TEST(DirectorySnapshot, IsTakenFromASenderRatherThanAStandby) {
  CellWorld World;
  std::vector<UpstreamId> Upstreams;
  Upstreams.reserve(4);
  for (int I = 0; I < 4; ++I)
    Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
  World.addInstance("standby", "centre-a", 0.1);
  Address Sender = World.addInstance("sender", "centre-a", 0.6);
  World.run(seconds(3));
  ASSERT_EQ(World.senders(), std::vector<Address>{Sender});
  World.setDraining(Upstreams[0]);
  World.run(milliseconds(1500));
  World.setStoreUp(false);
  World.run(milliseconds(100));
  // It knows only the standby at first.
  World.setSeedsOnly(true);
  Address Late = World.addInstance("late", "centre-a", 0.9);
  World.run(seconds(2));
  World.kill(Sender);
  World.run(seconds(2));
  ASSERT_EQ(World.senders(), std::vector<Address>{Late});
  std::vector<size_t> Jobs;
  for (int I = 0; I < 20; ++I) {
    Jobs.push_back(
        World.submit(Late, "job-" + std::to_string(I), 2, milliseconds(100)));
    World.run(milliseconds(50));
  }
  World.run(seconds(2));
  for (size_t J : Jobs) {
    const auto &Answer = World.caller(J).Answer;
    EXPECT_TRUE(Answer && Answer->Status == AnswerStatus::Done) << J;
  }
  for (const RunRecord &R : World.runs())
    EXPECT_NE(R.Upstream, Upstreams[0]) << runText(R.Key);
}

// Guards against a standby that becomes the sender while the store is down and
// serves nothing, or loses jobs on upstreams that have left but are still in
// its list.
TEST(DirectoryOutage, NewSenderServesWithAListThatHasAnUpstreamThatLeft) {
  CellWorld World;
  std::vector<UpstreamId> Upstreams;
  Upstreams.reserve(4);
  for (int I = 0; I < 4; ++I)
    Upstreams.push_back(World.addUpstream({"up-" + std::to_string(I)}));
  Address Standby = World.addInstance("standby", "centre-a", 0.1);
  Address Sender = World.addInstance("sender", "centre-a", 0.6);
  World.run(seconds(3));
  ASSERT_EQ(World.senders(), std::vector<Address>{Sender});
  // The standby reads the list each 8 s, so it doesn't learn of this.
  World.setDraining(Upstreams[0]);
  World.run(milliseconds(2500));
  World.faults(Upstreams[0]).Down = true;
  World.setStoreUp(false);
  World.run(milliseconds(100));
  World.kill(Sender);
  World.run(seconds(2));
  ASSERT_EQ(World.senders(), std::vector<Address>{Standby});
  const auto &List = World.state(Standby).Directory.Upstreams;
  ASSERT_TRUE(std::any_of(List.begin(), List.end(), [&](const auto &U) {
    return U.Id == Upstreams[0] && !U.Draining;
  }));
  std::vector<size_t> Jobs;
  for (int I = 0; I < 40; ++I) {
    Jobs.push_back(World.submit(Standby, "job-" + std::to_string(I), 2,
                                milliseconds(100)));
    World.run(milliseconds(50));
  }
  World.run(seconds(2));
  for (size_t J : Jobs) {
    const auto &Answer = World.caller(J).Answer;
    EXPECT_TRUE(Answer && Answer->Status == AnswerStatus::Done) << J;
  }
}

namespace {

/// A directory whose open connections to the store fall silent at \p Silence:
/// no call before is answered any more, and reads and renewals time out.
struct SilencedDirectory {
  explicit SilencedDirectory(SteadyTime Silence) : Silence(Silence) {}

  void execute(const InstanceEffects &Out) {
    for (const InstanceEffect &E : Out) {
      bool Lost = Now >= Silence && !Recovered;
      SteadyTime Answer = Now + milliseconds(Lost ? 800 : 4);
      Renewals += std::holds_alternative<RenewLease>(E) ? 1 : 0;
      if (const auto *Watch = std::get_if<WatchCollection>(&E)) {
        if (Now >= Silence && !WatchedAnew)
          WatchedAnew = Now;
        Sequence = Watch->Sequence;
      } else if (!std::holds_alternative<LogDecision>(E)) {
        Pending.insert({Answer, {E, Lost}});
      }
    }
  }

  void answer(const InstanceEffect &E, StoreStatus Status,
              InstanceEffects &Out) {
    if (const auto *Read = std::get_if<ReadCollection>(&E)) {
      CollectionReadAnswered Event;
      Event.Collection = Read->Collection;
      Event.Sequence = Read->Sequence;
      Event.Status = Status;
      Event.Revision = {10};
      if (Read->Collection == StoreCollection::Configuration)
        Event.Configuration = version(1);
      applyCollectionRead(State, Event, Now, Out);
    } else if (std::holds_alternative<AcquireLease>(E)) {
      applyLeaseAnswer(State, {Status, {7}}, {}, Now, Out);
    } else if (std::holds_alternative<PublishInstance>(E)) {
      applyPublishAnswer(State, {Status}, Now, Out);
    } else {
      applyLeaseRenewal(State, {Status}, Now, Out);
    }
  }

  void runUntil(SteadyTime End) {
    for (; Now < End; Now += milliseconds(1)) {
      InstanceEffects Out;
      while (!Pending.empty() && Pending.begin()->first <= Now) {
        auto [E, Lost] = Pending.begin()->second;
        Pending.erase(Pending.begin());
        // Later calls use new connections.
        Recovered = Recovered || Lost;
        answer(E, Lost ? StoreStatus::Failed : StoreStatus::Done, Out);
      }
      if (Now.time_since_epoch() % milliseconds(20) == Duration::zero())
        advanceDirectory(State, Now, Out);
      execute(Out);
    }
  }

  SteadyTime Silence;
  DirectoryState State;
  SteadyTime Now{seconds(100)};
  /// Calls by the time of their answers, and whether they are lost.
  std::multimap<SteadyTime, std::pair<InstanceEffect, bool>> Pending;
  uint64_t Sequence = 0; ///< Of the last watch.
  size_t Renewals = 0;   ///< Of the lease, sent so far.
  bool Recovered = false;
  std::optional<SteadyTime> WatchedAnew;
};

} // namespace

// Guards against a configuration that is in force too late, because the silence
// of the connection under the watch is noticed by TCP probes alone.
TEST(DirectoryReads, SilentConnectionsAreNoticedInTimeByOtherCalls) {
  for (bool IsSender : {false, true})
    for (milliseconds Phase(0); Phase < seconds(9); Phase += milliseconds(70)) {
      SilencedDirectory D(SteadyTime(seconds(110)) + Phase);
      D.State.IsSender = IsSender;
      D.State.IsStandby = IsSender;
      D.runUntil(D.Silence + seconds(4));
      ASSERT_TRUE(D.WatchedAnew) << Phase.count();
      EXPECT_LE(*D.WatchedAnew - D.Silence, milliseconds(2000))
          << Phase.count();
    }
}

// Guards against a watch that ends with each call that fails, though it was
// sent later than that call.
TEST(DirectoryReads, LaterWatchGoesOnWhenACallFails) {
  SilencedDirectory D(SteadyTime(seconds(110)));
  D.runUntil(D.Silence + seconds(4));
  ASSERT_TRUE(D.WatchedAnew);
  uint64_t Sequence = D.Sequence;
  D.runUntil(D.Silence + seconds(9));
  EXPECT_EQ(D.Sequence, Sequence);
}

// Guards against calls to the store that are made only to notice silence while
// others are made anyway, and against more than one a second.
TEST(DirectoryReads, SilenceIsProbedWithFewCalls) {
  for (bool IsSender : {false, true}) {
    SilencedDirectory D(SteadyTime(seconds(1000)));
    D.State.IsSender = IsSender;
    D.runUntil(SteadyTime(seconds(110)));
    size_t Before = D.Renewals;
    D.runUntil(SteadyTime(seconds(140)));
    EXPECT_GE(D.Renewals - Before, 9U);
    EXPECT_LE(D.Renewals - Before, IsSender ? 11U : 28U);
  }
}
