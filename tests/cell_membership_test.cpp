/// \file Discovery of peers, and the spread of upstreams over senders, on a
/// fake clock.
#include "cells/cell_cmd.h"
#include "cells/claim_cmd.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against upstreams that change hands because the length of the list
// changes: cells were numbered modulo a count that followed the length, and two
// senders held an upstream under tokens of different cells meanwhile.
TEST(CellPartition, ChangesOfTheListMoveNoUpstream) {
  CellWorld World;
  for (int I = 0; I < 80; ++I)
    World.addUpstream({"u" + std::to_string(I)});
  std::vector<Address> Entries;
  Entries.reserve(4);
  for (int I = 0; I < 4; ++I)
    Entries.push_back(World.addInstance("i" + std::to_string(I), "centre-a"));
  World.run(seconds(3));
  auto Owners = [&] {
    std::map<UpstreamId, Address> Found;
    for (const Address &E : Entries)
      for (const auto &[Id, U] : World.state(E).Sender.Upstreams)
        Found[Id] = E;
    return Found;
  };
  std::map<UpstreamId, Address> Before = Owners();
  EXPECT_EQ(Before.size(), 80U);
  EXPECT_EQ(World.senders().size(), 2U);
  std::vector<size_t> Jobs;
  for (int I = 0; I < 600; ++I) {
    if (I == 200)
      World.addUpstream({"late-1"});
    if (I == 300)
      World.addUpstream({"late-2"});
    Jobs.push_back(World.submit(Entries[I % Entries.size()],
                                "job-" + std::to_string(I), 2,
                                milliseconds(150)));
    World.run(milliseconds(10));
  }
  World.run(seconds(3));
  std::map<UpstreamId, Address> After = Owners();
  EXPECT_EQ(After.size(), 82U);
  for (const auto &[Id, Owner] : Before)
    EXPECT_EQ(After[Id], Owner) << Id.Value;
  for (size_t J : Jobs) {
    const auto &Answer = World.caller(J).Answer;
    EXPECT_TRUE(Answer && Answer->Status == AnswerStatus::Done) << J;
  }
  for (const RunRecord &R : World.runs())
    EXPECT_TRUE(R.Done) << runText(R.Key);
  EXPECT_TRUE(World.overlappingRuns().empty());
}

// Guards against two instances that claim one cell because neither has
// discovered the other: all start at once with the first as their only seed.
TEST(CellDiscovery, InstancesThatStartTogetherDiscoverEachOther) {
  CellWorld World;
  World.addUpstream({"up-1"});
  World.setSeedsOnly(true);
  Address Seed = World.addInstance("seed", "centre-a", 0.9);
  Address Second = World.addInstance("second", "centre-a", 0.8);
  Address Third = World.addInstance("third", "centre-a", 0.7);
  World.run(milliseconds(600));
  for (auto [From, To] : {std::pair{Seed, Second}, std::pair{Second, Third},
                          std::pair{Third, Second}}) {
    const auto &Peers = World.state(From).Cells.Peers;
    auto It = Peers.find(To);
    ASSERT_NE(It, Peers.end());
    EXPECT_NE(It->second.LastAnsweredPing, SteadyTime{});
  }
}

// Guards against several instances that claim a cell at once after they have
// started together: the first answers of peers come before these have read the
// list of upstreams, so that each instance took itself for the only candidate.
TEST(CellDiscovery, PeersAreToldAtOnceOfAListOfUpstreams) {
  CellState State;
  State.Self = {Address{"self:1"}, DataCentre{"centre-a"}, 0.5};
  SteadyTime Now{seconds(100)};
  addPeer(State, {Address{"near:1"}, DataCentre{"centre-a"}, 0.5}, Now);
  InstanceEffects Out;
  sendPings(State, Now, Out);
  ASSERT_EQ(Out.size(), 1U);
  PingAnswered Answer;
  Answer.Endpoint = Address{"near:1"};
  Answer.Reply.emplace();
  Answer.Reply->From = {Address{"near:1"}, DataCentre{"centre-a"}, 0.5};
  applyPong(State, Answer, Now + milliseconds(1), Out);
  Out.clear();
  recordUpstreamList(State, true, Now + milliseconds(2));
  sendPings(State, Now + milliseconds(2), Out);
  ASSERT_EQ(Out.size(), 1U);
  EXPECT_TRUE(std::get<SendPing>(Out[0]).Message.HasUpstreamList);
}

// Guards against an instance that has only the sender's address, not its data
// centre, and then pings it too rarely to see that it works.
TEST(CellDiscovery, RestartedInstanceLeavesTheCellToTheSender) {
  CellWorld World;
  World.addUpstream({"up-1"});
  World.setSeedsOnly(true);
  Address Seed = World.addInstance("seed", "centre-a", 0.2);
  World.run(seconds(1));
  Address Second = World.addInstance("second", "centre-a", 0.9);
  World.addInstance("third", "centre-a", 0.1);
  World.run(seconds(3));
  World.kill(Second);
  World.run(milliseconds(500));
  World.restart(Second);
  World.run(seconds(3));
  EXPECT_EQ(World.senders(), std::vector<Address>{Seed});
}

// Guards against two senders of an upstream that obeys both: instances of a
// fleet that starts don't know each other when they claim, at the same time.
TEST(CellClaims, TokensOfInstancesThatStartTogetherDiffer) {
  constexpr int Instances = 64;
  FakeClock Clock;
  // The year 2035.
  Clock.advance(std::chrono::hours(24 * 365 * 15));
  std::set<FencingToken> Tokens;
  for (int I = 0; I < Instances; ++I) {
    CellState State;
    State.Self = {{"10.0.0." + std::to_string(I) + ":7000"}, {"dc1"}, 0.5};
    State.HasUpstreamList = true;
    State.Started = Clock.steadyNow() - seconds(10);
    InstanceEffects Out;
    updateClaims(State, Clock.steadyNow(), Clock.wallNow(), Out);
    ASSERT_FALSE(State.Claims.empty());
    FencingToken Token = State.Claims.begin()->second.Token;
    // Other numbers are not exact in all readers of JSON.
    EXPECT_LT(Token.Value, uint64_t{1} << 53);
    Tokens.insert(Token);
  }
  EXPECT_EQ(Tokens.size(), Instances);
}
