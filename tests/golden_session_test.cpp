/// \file Event sequences of one instance, compared with recorded effects.
///
/// With UPDATE_GOLDEN=1 in the environment the files under tests/golden are
/// rewritten; review the difference before committing them.
#include "support/session.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>

namespace snipeshunt {
namespace {

using std::chrono::milliseconds;

/// Compares the log of a session with its golden file, or rewrites the file.
void compareWithGolden(const Session &S, const std::string &Name) {
  std::string Path = SOURCE_DIR "/tests/golden/" + Name + ".txt";
  if (const char *Update = std::getenv("UPDATE_GOLDEN");
      Update && std::string(Update) == "1") {
    std::ofstream(Path) << S.text();
    return;
  }
  std::ifstream File(Path);
  std::string Expected((std::istreambuf_iterator<char>(File)), {});
  EXPECT_EQ(S.text(), Expected);
}

// Guards against unintended changes to a job without faults: admission, start,
// retry after a busy upstream, answer, and the retained answer of a
// resubmission.
TEST(GoldenSession, SubmitRunAndResubmit) {
  Session S;
  S.feed("tickets", TicketsRequested{S.nextRequest(), 2});
  S.tick(milliseconds(10));
  S.status();
  S.submit(1, "xyz");
  S.attemptEnded(2, AttemptEnd::Finished, "echo:y");
  S.attemptEnded(1, AttemptEnd::Busy, "the upstream is busy");
  S.tick(milliseconds(50));
  S.attemptEnded(3, AttemptEnd::Finished, "echo:z");
  S.attemptEnded(4, AttemptEnd::Finished, "echo:x");
  S.submit(1, "xyz");
  S.submit(1, "other");
  compareWithGolden(S, "thin_path");
}

// Guards against a batch that is never repeated after a lost reply, or repeated
// under a new sequence number, with which the receiver would run it again.
TEST(GoldenSession, HandoverWithLostReply) {
  Session S(false);
  S.tick(milliseconds(10));
  S.heartbeat(PeerIncarnation, 2);
  S.submit(1, "xy");
  S.handoverAnswered(std::nullopt);
  S.tick(milliseconds(100));
  S.tick(milliseconds(400));
  S.report(1, 1, "echo:y");
  S.handoverAnswered(HandoverReply{});
  S.report(1, 1, "echo:y");
  S.report(1, 0, "echo:x");
  compareWithGolden(S, "handover_lost_reply");
}

// Guards against the start of tasks of a home that has been replaced: of those
// that wait, and of those in a late copy of its handover.
TEST(GoldenSession, HomeReplaced) {
  Session S;
  S.tick(milliseconds(10));
  S.status();
  S.heartbeat(PeerIncarnation, 0);
  HandoverMessage M = S.handoverOf(PeerIncarnation, 1, 3);
  S.feed("handover", HandoverReceived{S.nextRequest(), M});
  S.attemptEnded(1, AttemptEnd::Finished, "echo:0");
  S.heartbeat(IncarnationId{0xb2}, 0);
  S.heartbeatAnswer(IncarnationId{0xb2}, 0);
  S.attemptEnded(2, AttemptEnd::Busy, "the upstream is busy");
  S.feed("late copy of the handover", HandoverReceived{S.nextRequest(), M});
  S.tick(milliseconds(100));
  compareWithGolden(S, "home_replaced");
}

// Guards against a shutdown that ends before its jobs have, or that loses the
// retained answers.
TEST(GoldenSession, DrainWithSuccessor) {
  Session S;
  S.tick(milliseconds(10));
  S.status();
  S.heartbeat(PeerIncarnation, 0);
  S.submit(1, "x");
  S.feed("drain", DrainRequested{});
  S.tick(milliseconds(100));
  S.attemptEnded(1, AttemptEnd::Finished, "echo:x");
  S.tick(milliseconds(400));
  S.heartbeat(PeerIncarnation, 0);
  S.tick(milliseconds(700));
  S.submit(2, "y");
  S.feed("answers not kept", AnswerTransferEnded{false});
  S.tick(milliseconds(10));
  S.feed("answers kept", AnswerTransferEnded{true});
  S.tick(milliseconds(400));
  compareWithGolden(S, "drain_with_heir");
}

// Guards against an upstream that fails every task and still gets as many as
// others.
TEST(GoldenSession, FailingUpstreamIsProbed) {
  Session S;
  S.tick(milliseconds(10));
  S.status();
  for (uint64_t Job = 1; Job <= 3; ++Job) {
    S.submit(Job, "x");
    S.attemptEnded(Job, AttemptEnd::Failed, "no toner");
  }
  S.submit(4, "yz");
  S.tick(milliseconds(1900));
  S.status();
  S.attemptEnded(4, AttemptEnd::Finished, "echo:y");
  compareWithGolden(S, "failing_upstream");
}

// Guards against a job that does not end at its time limit, and against
// handed-over tasks that are not revoked then.
TEST(GoldenSession, PatienceExpires) {
  Session S(false);
  S.tick(milliseconds(10));
  S.heartbeat(PeerIncarnation, 1);
  S.submit(1, "xy", 300);
  S.handoverAnswered(HandoverReply{});
  S.tick(milliseconds(299));
  S.tick(milliseconds(1));
  S.feed("revoke without reply",
         RevokeAnswered{PeerIncarnation, HandoverSequence{1}, std::nullopt});
  S.tick(milliseconds(1000));
  RevokeReply Reply;
  Reply.Revoked.push_back({OwnIncarnation, TicketSequence{1}, TaskIndex{0}});
  S.feed("revoke answered",
         RevokeAnswered{PeerIncarnation, HandoverSequence{1}, Reply});
  S.tick(milliseconds(100));
  compareWithGolden(S, "patience_runs_out");
}

} // namespace
} // namespace snipeshunt
