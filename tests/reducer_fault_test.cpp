/// \file Regression tests of the reducer, one for each fault.
#include "support/history_rules.h"
#include "support/session.h"
#include "tickets/ticket_func.h"

#include <gtest/gtest.h>

namespace snipeshunt {
namespace {

using std::chrono::milliseconds;

Outcome outcomeOf(const EffectList &Effects) {
  const ReplyToCaller *Reply = find<ReplyToCaller>(Effects);
  return Reply ? Reply->Answer->Result : Outcome::Running;
}

/// Brings the instance to the state live, with one upstream and one peer.
void goLive(Session &S) {
  S.tick(milliseconds(10));
  S.status();
  S.heartbeat(PeerIncarnation, 0);
}

// Guards against a task of an ended job that is queued again when its upstream
// is busy, and then starts although nobody needs it, or waits forever.
TEST(ReducerFault, TaskOfAnEndedJobIsNotRetried) {
  Session S;
  goLive(S);
  S.submit(1, "xy");
  S.attemptEnded(1, AttemptEnd::Failed, "no");
  S.attemptEnded(2, AttemptEnd::Busy, "busy");
  EXPECT_EQ(S.State.Queue.size(), 0u);
}

// The same at the receiver, for a task that its home has revoked.
TEST(ReducerFault, RevokedTaskIsNotRetried) {
  Session S;
  goLive(S);
  HandoverMessage M = Session::handoverOf(PeerIncarnation, 1, 1);
  S.feed("handover", HandoverReceived{S.nextRequest(), M});
  RevokeMessage Revoke{
      PeerIncarnation, OwnIncarnation, {1}, {{PeerIncarnation, {7}, {0}}}};
  S.feed("revoke", RevokeReceived{S.nextRequest(), Revoke});
  EffectList Out = S.attemptEnded(1, AttemptEnd::Busy, "busy");
  EXPECT_EQ(S.State.Queue.size(), 0u);
  ASSERT_NE(find<SendReport>(Out), nullptr);
  EXPECT_EQ(find<SendReport>(Out)->Message.Reports[0].Result.End,
            TaskEnd::NotStarted);
}

// Guards against a lost result: a task was returned unstarted and handed over
// again, and its record was dropped with the earlier batch when the floor
// passed that batch.
TEST(ReducerFault, FloorKeepsTasksReceivedAgainInALaterBatch) {
  Session S;
  goLive(S);
  HandoverMessage First = Session::handoverOf(PeerIncarnation, 1, 2);
  S.feed("handover", HandoverReceived{S.nextRequest(), First});
  // The first task is returned unstarted, since the retry budget is used up,
  // and is handed over again.
  S.tick(milliseconds(10));
  for (size_t I = 0; I < 100; ++I)
    S.State.Upstreams.RecentRetries.push_back(S.Time.steadyNow());
  S.attemptEnded(1, AttemptEnd::Busy, "busy");
  HandoverMessage Second = Session::handoverOf(PeerIncarnation, 2, 1);
  S.feed("handover", HandoverReceived{S.nextRequest(), Second});
  S.attemptEnded(2, AttemptEnd::Finished, "echo:1");
  HandoverMessage Third = Session::handoverOf(PeerIncarnation, 3, 1);
  Third.SettledBelow = {2};
  Third.Tasks[0].Index = {5};
  S.feed("handover", HandoverReceived{S.nextRequest(), Third});
  EXPECT_EQ(S.State.Handovers.ReceivedTasks.count({PeerIncarnation, {7}, {0}}),
            1u);
}

// Guards against an endless search for the successor of a departed instance.
TEST(ReducerFault, CyclicSuccessorsAreNotFollowed) {
  Session S;
  goLive(S);
  IncarnationId A{0xd1};
  IncarnationId B{0xd2};
  SteadyTime Later = S.Time.steadyNow() + std::chrono::hours(1);
  S.State.Members.Departed[A] = {B, Later};
  S.State.Members.Departed[B] = {A, Later};
  JobRequested E;
  E.Request = S.nextRequest();
  E.TicketText = encodeTicket({{"a"}, PeerEndpoint, A, {1}, milliseconds(0)},
                              TestFleetKey);
  EffectList Out = S.feed("query", E);
  EXPECT_NE(find<ForwardRequest>(Out), nullptr);
}

// Guards against a caller that gets the error `answer_not_kept` instead of its
// answer, because the answer alone exceeds the byte limit of retained answers.
TEST(ReducerFault, CallerGetsAnAnswerTooLargeToRetain) {
  Session S;
  goLive(S);
  S.State.Settings.Limits.RetainedAnswerBytes = 1;
  S.submit(1, "x");
  EffectList Out = S.attemptEnded(1, AttemptEnd::Finished, "echo:x");
  EXPECT_EQ(outcomeOf(Out), Outcome::Complete);
}

// Guards against a received task that waits until its time limit at an instance
// that can't start it, because its attempt ended as busy after a shutdown had
// begun.
TEST(ReducerFault, DrainingSenderReturnsATaskThatDidNotStart) {
  Session S;
  goLive(S);
  S.feed("handover",
         HandoverReceived{S.nextRequest(),
                          Session::handoverOf(PeerIncarnation, 1, 1)});
  S.feed("drain", DrainRequested{});
  EffectList Out = S.attemptEnded(1, AttemptEnd::Busy, "busy");
  EXPECT_EQ(S.State.Queue.size(), 0u);
  ASSERT_NE(find<SendReport>(Out), nullptr);
  EXPECT_EQ(find<SendReport>(Out)->Message.Reports[0].Result.End,
            TaskEnd::NotStarted);
}

// Guards against tasks that start although their home has settled their batch
// and has answered its caller.
TEST(ReducerFault, FloorRemovesAbandonedTasksFromTheQueue) {
  Session S;
  goLive(S);
  HandoverMessage First = Session::handoverOf(PeerIncarnation, 1, 4);
  S.feed("handover", HandoverReceived{S.nextRequest(), First});
  ASSERT_EQ(S.State.Queue.size(), 2u);
  HandoverMessage Next = Session::handoverOf(PeerIncarnation, 2, 1);
  Next.SettledBelow = {2};
  Next.Tasks[0].Job = {8};
  S.feed("handover", HandoverReceived{S.nextRequest(), Next});
  EXPECT_EQ(S.State.Queue.size(), 1u);
}

// Guards against a receiver that reports a task as never started although it
// has started it and has dropped its record since.
TEST(ReducerFault, NothingIsRevokedForAReplacedHome) {
  Session S;
  goLive(S);
  HandoverMessage M = Session::handoverOf(PeerIncarnation, 1, 1);
  S.feed("handover", HandoverReceived{S.nextRequest(), M});
  S.heartbeat(IncarnationId{0xb2}, 0);
  RevokeMessage Revoke{
      PeerIncarnation, OwnIncarnation, {1}, {{PeerIncarnation, {7}, {0}}}};
  EffectList Out = S.feed("revoke", RevokeReceived{S.nextRequest(), Revoke});
  ASSERT_NE(find<ReplyRevoke>(Out), nullptr);
  EXPECT_TRUE(find<ReplyRevoke>(Out)->Reply.Revoked.empty());
}

// Guards against a batch that is handed over again forever because the receiver
// considers its home replaced.
TEST(ReducerFault, BatchBelowTheFloorIsSettledAsUnknown) {
  Session S(false);
  S.tick(milliseconds(10));
  S.heartbeat(PeerIncarnation, 2);
  S.submit(1, "x");
  EffectList Out =
      S.handoverAnswered(HandoverReply{HandoverStatus::BelowFloor, {}});
  EXPECT_EQ(outcomeOf(Out), Outcome::Failed);
  EXPECT_TRUE(S.State.Handovers.HandedOver.empty());
}

// Guards against batches that are never settled because their receiver has left
// before it reported all results.
TEST(ReducerFault, DepartedReceiverFailsOnceUnresponsive) {
  Session S(false);
  S.tick(milliseconds(10));
  S.heartbeat(PeerIncarnation, 2);
  S.submit(1, "x", 60000);
  S.handoverAnswered(HandoverReply{});
  S.heartbeat(PeerIncarnation, 0, MemberState::Left);
  for (int I = 0; I < 10; ++I)
    S.tick(milliseconds(400));
  EXPECT_TRUE(S.State.Handovers.HandedOver.empty());
}

// Guards against a sequence number that is used twice: the receiver would take
// the second batch for a copy of the first and never run its tasks.
TEST(ReducerFault, SequenceContinuesWhenAFailedReceiverReturns) {
  Session S(false);
  S.tick(milliseconds(10));
  S.heartbeat(PeerIncarnation, 2);
  S.submit(1, "x");
  S.handoverAnswered(HandoverReply{});
  for (int I = 0; I < 10; ++I)
    S.tick(milliseconds(400));
  ASSERT_TRUE(S.State.Handovers.HandedOver.empty());
  S.heartbeat(PeerIncarnation, 2);
  EffectList Out = S.submit(2, "y");
  ASSERT_NE(find<SendHandover>(Out), nullptr);
  EXPECT_EQ(find<SendHandover>(Out)->Message.Sequence, HandoverSequence{2});
}

// Guards against results that are reported forever to a home that has ended.
TEST(ReducerFault, ResultsForAnUnreachableHomeAreEvicted) {
  Session S;
  goLive(S);
  HandoverMessage M = Session::handoverOf(PeerIncarnation, 1, 1);
  S.feed("handover", HandoverReceived{S.nextRequest(), M});
  S.attemptEnded(1, AttemptEnd::Finished, "echo:0");
  S.feed("report lost", ReportAnswered{PeerIncarnation, false, false, {}});
  for (int I = 0; I < 1600; ++I)
    if (find<SendReport>(S.tick(milliseconds(400))))
      S.feed("report lost", ReportAnswered{PeerIncarnation, false, false, {}});
  EXPECT_TRUE(S.State.Handovers.Incoming[PeerIncarnation].Unreported.empty());
  EXPECT_TRUE(S.State.Handovers.Incoming[PeerIncarnation].Batches.empty());
}

// Guards against a batch that is never settled because its receiver dropped it
// as that of a dead home while this process was paused.
TEST(ReducerFault, HandoversAreRepeatedAfterAPause) {
  Session S(false);
  S.tick(milliseconds(10));
  S.heartbeat(PeerIncarnation, 2);
  S.submit(1, "x", 60000);
  S.handoverAnswered(HandoverReply{});
  EXPECT_EQ(find<SendHandover>(S.tick(milliseconds(400))), nullptr);
  EXPECT_NE(find<SendHandover>(S.tick(milliseconds(4000))), nullptr);
}

// Guards against a late copy of a handover that starts its tasks again after
// the records of its home have been evicted.
TEST(ReducerFault, HandoverFromAnUnknownHomeIsRejected) {
  Session S;
  S.tick(milliseconds(10));
  S.status();
  HandoverMessage M = Session::handoverOf(PeerIncarnation, 1, 1);
  EffectList Out = S.feed("handover", HandoverReceived{S.nextRequest(), M});
  ASSERT_NE(find<ReplyHandover>(Out), nullptr);
  EXPECT_EQ(find<ReplyHandover>(Out)->Reply.Status, HandoverStatus::Rejected);
  EXPECT_EQ(find<StartTask>(Out), nullptr);
}

// Guards against a late copy of a rejected handover that starts tasks which
// their home has queued again and handed to another instance.
TEST(ReducerFault, RejectedHandoverStaysRejected) {
  Session S;
  S.tick(milliseconds(10));
  S.status();
  HandoverMessage M = Session::handoverOf(PeerIncarnation, 1, 1);
  S.feed("handover", HandoverReceived{S.nextRequest(), M});
  S.heartbeat(PeerIncarnation, 0);
  EffectList Out = S.feed("copy", HandoverReceived{S.nextRequest(), M});
  ASSERT_NE(find<ReplyHandover>(Out), nullptr);
  EXPECT_EQ(find<ReplyHandover>(Out)->Reply.Status, HandoverStatus::Rejected);
  EXPECT_EQ(find<StartTask>(Out), nullptr);
}

// Guards against the late detection of a failed peer: its heartbeat was read
// before the first tick after a pause, and the length of the pause was added to
// its time.
TEST(ReducerFault, OwnPauseDoesNotPostdateARecentHeartbeat) {
  Session S;
  goLive(S);
  S.Time.advance(std::chrono::minutes(1));
  S.heartbeat(PeerIncarnation, 0);
  for (int I = 0; I < 10; ++I)
    S.tick(milliseconds(400));
  EXPECT_EQ(S.State.Members.Members[PeerEndpoint].Health, MemberHealth::Dead);
}

// Guards against a late heartbeat that restores a departed instance.
TEST(ReducerFault, LateHeartbeatDoesNotRestoreADepartedInstance) {
  Session S;
  goLive(S);
  S.heartbeat(PeerIncarnation, 0, MemberState::Left);
  S.heartbeat(PeerIncarnation, 4);
  EXPECT_EQ(S.State.Members.Members[PeerEndpoint].State, MemberState::Left);
}

// Guards against a job that an instance without peers accepts after it has
// left, and that is lost when the process ends.
TEST(ReducerFault, NoSubmissionIsAcceptedAfterLeaving) {
  Session S;
  S.tick(milliseconds(10));
  S.status();
  S.feed("drain", DrainRequested{});
  S.tick(milliseconds(1200));
  ASSERT_EQ(S.State.Members.OwnState, MemberState::Left);
  EXPECT_EQ(outcomeOf(S.submit(1, "x")), Outcome::NotRun);
}

// Guards against a job that starts although its ticket was rejected: in the
// last millisecond of its lifetime the ticket is valid, but its record is
// evicted already.
TEST(ReducerFault, TicketExpiresBeforeItsRecordIsEvicted) {
  Session S;
  S.Time.advance(std::chrono::microseconds(900));
  EXPECT_EQ(outcomeOf(S.cancel(1)), Outcome::NotRun);
  S.Time.advance(S.State.Settings.Limits.TicketLifetime);
  S.Time.advance(std::chrono::microseconds(50));
  S.feed("tick", Tick{});
  ASSERT_TRUE(S.State.Jobs.Records.empty());
  EXPECT_EQ(outcomeOf(S.submit(1, "x")), Outcome::Unknown);
}

// Guards against a shutdown that rejected submissions delay until its time
// limit, so that the process ends without transferring its answers.
TEST(ReducerFault, RejectedSubmissionsDoNotDelayADrain) {
  Session S;
  goLive(S);
  S.feed("drain", DrainRequested{});
  S.tick(milliseconds(900));
  S.heartbeat(PeerIncarnation, 0);
  ASSERT_NE(find<SendAnswers>(S.tick(milliseconds(300))), nullptr);
  S.submit(1, "x");
  S.feed("not kept", AnswerTransferEnded{false});
  EXPECT_NE(find<SendAnswers>(S.tick(milliseconds(10))), nullptr);
}

// Guards against answers that the successor never receives because older ones
// were evicted during the transfer.
TEST(ReducerFault, TransferKeepsItsPositionWhenAnswersAreEvicted) {
  Session S;
  goLive(S);
  S.cancel(1);
  S.feed("drain", DrainRequested{});
  S.tick(milliseconds(900));
  S.heartbeat(PeerIncarnation, 0);
  EffectList Out = S.tick(milliseconds(300));
  ASSERT_NE(find<SendAnswers>(Out), nullptr);
  S.State.Settings.Limits.RetainedAnswerBytes = 1;
  S.submit(2, "x");
  S.submit(3, "x");
  Out = S.feed("kept", AnswerTransferEnded{true});
  ASSERT_NE(find<SendAnswers>(Out), nullptr);
  EXPECT_EQ(find<SendAnswers>(Out)->Answers.size(), 2u);
}

} // namespace
} // namespace snipeshunt
