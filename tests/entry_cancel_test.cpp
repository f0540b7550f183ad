/// \file Cancelled jobs that no sender has accepted, on a fake clock.
#include "instance/instance_reducer.h"
#include "support/cell_world.h"

#include <gtest/gtest.h>

using namespace snipeshunt;
using namespace snipeshunt::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr RequestId CancelRequest{999999};

/// Gives \p Body to a copy of an instance that is taken out of its world.
InstanceEffects handle(FleetInstance &State, SteadyTime Now,
                       InstanceEventBody Body) {
  return reduce(State, {Now, WallTime{} + seconds(1000000), std::move(Body)});
}

size_t forwards(const InstanceEffects &Effects) {
  size_t Count = 0;
  for (const InstanceEffect &E : Effects)
    Count += std::holds_alternative<ForwardJob>(E) ? 1 : 0;
  return Count;
}

/// Returns the status with which \p Request was answered.
std::optional<AnswerStatus> answerTo(const InstanceEffects &Effects,
                                     RequestId Request) {
  for (const InstanceEffect &E : Effects)
    if (const auto *Answer = std::get_if<AnswerCaller>(&E);
        Answer && Answer->Request == Request)
      return Answer->Status;
  return std::nullopt;
}

} // namespace

// Guards against the start of a job whose cancellation was confirmed while the
// job waited at its entry instance for a sender.
TEST(EntryCancel, WaitingJobIsNotForwarded) {
  CellWorld World;
  Address Entry = World.addInstance("entry", "centre-a");
  World.submit(Entry, "a", 1, milliseconds(200));
  World.run(milliseconds(20));
  FleetInstance State = World.state(Entry);
  ASSERT_EQ(State.Entry.Jobs.size(), 1U);
  const EntryJob &J = State.Entry.Jobs.begin()->second;
  ASSERT_TRUE(J.Sender.Value.empty());
  RequestId Caller = J.Caller;
  InstanceEffects Out =
      handle(State, World.now(), JobCancelled{CancelRequest, JobId{"a"}});
  EXPECT_EQ(answerTo(Out, CancelRequest), AnswerStatus::Cancelled);
  EXPECT_EQ(answerTo(Out, Caller), AnswerStatus::NotRun);
  EXPECT_TRUE(State.Entry.Jobs.empty());
}

// Guards against the start of a job whose cancellation was confirmed while a
// sender was sending it back.
TEST(EntryCancel, RejectedJobIsNotForwardedAgain) {
  CellWorld World;
  for (const char *Centre : {"centre-b", "centre-c"}) {
    World.addUpstream({std::string("up-") + Centre, Centre});
    World.addInstance(Centre, Centre);
  }
  Address Entry = World.addInstance("entry", "centre-a");
  World.run(seconds(2));
  World.submit(Entry, "a", 1, milliseconds(200));
  FleetInstance State = World.state(Entry);
  ASSERT_EQ(State.Entry.Jobs.size(), 1U);
  auto [Forward, J] = *State.Entry.Jobs.begin();
  ASSERT_FALSE(J.Sender.Value.empty());
  InstanceEffects Out =
      handle(State, World.now(), JobCancelled{CancelRequest, JobId{"a"}});
  EXPECT_EQ(answerTo(Out, CancelRequest), AnswerStatus::Cancelled);
  ForwardAnswered Moved;
  Moved.Sender = J.Sender;
  Moved.Request = Forward;
  Moved.Result.emplace();
  Moved.Result->Outcome = JobOutcome::NotRun;
  Moved.Result->Moved = true;
  Out = handle(State, World.now(), std::move(Moved));
  EXPECT_EQ(forwards(Out), 0U);
  EXPECT_EQ(answerTo(Out, J.Caller), AnswerStatus::NotRun);
}
