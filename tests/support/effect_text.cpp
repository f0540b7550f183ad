/// \file One line of text for each effect.
#include "effect_text.h"

#include "tickets/ticket_func.h"
#include "timeline/timeline_table.h"

#include <sstream>

namespace snipeshunt {

namespace {

constexpr const char *MemberStates[] = {"joining", "live", "draining", "left"};
constexpr const char *HandoverStatusNames[] = {
    "accepted", "refused", "below_floor", "wrong_incarnation"};
constexpr const char *TaskEnds[] = {"finished", "failed", "not_started",
                                    "unknown"};
constexpr const char *Verbs[] = {"submit", "query", "cancel"};

template <typename T, size_t N>
const char *nameOf(const char *const (&Names)[N], T Value) {
  return Names[static_cast<size_t>(Value)];
}

struct Printer {
  std::ostringstream Out;

  void load(const LoadReport &L) {
    Out << " free=" << L.FreeSlots << " waiting=" << L.WaitingTasks;
  }
  void heartbeat(const Heartbeat &H) {
    Out << " incarnation=" << incarnationText(H.Incarnation)
        << " state=" << nameOf(MemberStates, H.State);
    load(H.Load);
    if (H.Successor)
      Out << " heir=" << incarnationText(*H.Successor);
  }

  void operator()(const ReplyTickets &E) {
    Out << "reply_tickets request=" << E.Request.Value
        << " count=" << E.Tickets.size();
  }
  void operator()(const ReplyToCaller &E) {
    Out << "reply request=" << E.Request.Value << " status=" << E.Answer->Status
        << " " << E.Answer->Body;
  }
  void operator()(const ForwardRequest &E) {
    Out << "forward request=" << E.Request.Value << " to=" << E.Home.Value
        << " verb=" << nameOf(Verbs, E.Verb);
  }
  void operator()(const StartTask &E) {
    Out << "start attempt=" << E.Attempt.Value << " task=" << taskText(E.Key)
        << " at=" << E.Upstream.Value << " payload=" << E.Spec->Payload;
  }
  void operator()(const PollStatus &E) { Out << "poll " << E.Upstream.Value; }
  void operator()(const SendHandover &E) {
    Out << "hand_over to=" << E.Endpoint.Value
        << " sequence=" << E.Message.Sequence.Value
        << " settled_below=" << E.Message.SettledBelow.Value;
    for (const HandoverTask &T : E.Message.Tasks)
      Out << " task=" << T.Job.Value << '-' << T.Index.Value << '/'
          << T.StartWithin.count() << "ms";
    load(E.Message.Load);
  }
  void operator()(const ReplyHandover &E) {
    Out << "reply_handover request=" << E.Request.Value << ' '
        << nameOf(HandoverStatusNames, E.Reply.Status);
    load(E.Reply.Load);
  }
  void operator()(const SendReport &E) {
    Out << "report to=" << E.Endpoint.Value;
    for (const TaskReport &R : E.Message.Reports)
      Out << " sequence=" << R.Sequence.Value << " task=" << taskText(R.Key)
          << ' ' << nameOf(TaskEnds, R.Result.End) << " \"" << R.Result.Output
          << '"';
    load(E.Message.Load);
  }
  void operator()(const ReplyReport &E) {
    Out << "reply_report request=" << E.Request.Value
        << (E.WrongIncarnation ? " wrong_incarnation" : "");
    load(E.Load);
  }
  void operator()(const SendRevoke &E) {
    Out << "revoke to=" << E.Endpoint.Value
        << " sequence=" << E.Message.Sequence.Value;
    for (const TaskKey &Key : E.Message.Tasks)
      Out << " task=" << taskText(Key);
  }
  void operator()(const ReplyRevoke &E) {
    Out << "reply_revoke request=" << E.Request.Value
        << (E.Reply.WrongIncarnation ? " wrong_incarnation" : "");
    for (const TaskKey &Key : E.Reply.Revoked)
      Out << " task=" << taskText(Key);
  }
  void operator()(const SendHeartbeat &E) {
    Out << "heartbeat to=" << E.Endpoint.Value;
    heartbeat(E.Message);
  }
  void operator()(const ReplyHeartbeat &E) {
    Out << "reply_heartbeat request=" << E.Request.Value;
    heartbeat(E.Message);
  }
  void operator()(const FetchConfiguration &E) {
    Out << "fetch_configuration from=" << E.Endpoint.Value;
  }
  void operator()(const ReplyConfiguration &E) {
    Out << "reply_configuration revision=" << E.RevisionNumber.Value;
  }
  void operator()(const WatchConfiguration &E) {
    Out << "watch_configuration " << (E.Enabled ? "on" : "off");
  }
  void operator()(const SendAnswers &E) {
    Out << "keep_answers to=" << E.Endpoint.Value
        << (E.Last ? " last" : " more");
    for (const AnswersReceived::RetainedAnswer &Entry : E.Answers)
      Out << " sequence=" << Entry.Sequence.Value
          << " status=" << Entry.Answer.Status;
  }
  void operator()(const ReplyAnswers &E) {
    Out << "reply_answers " << (E.Accepted ? "accepted" : "refused");
  }
  void operator()(const RecordTimeline &E) {
    Out << "record " << TimelineKindNames[static_cast<size_t>(E.Kind)];
    for (const std::string *Text : {&E.Job, &E.Task, &E.Detail})
      if (!Text->empty())
        Out << ' ' << *Text;
  }
  void operator()(const ExitProcess &) { Out << "exit"; }
};

} // namespace

std::string effectText(const Effect &E) {
  Printer P;
  std::visit(P, E);
  return P.Out.str();
}

} // namespace snipeshunt
