/// \file Messages and attempts of the simulated fleet.
#include "world.h"

#include <algorithm>

namespace snipeshunt {

namespace {

/// Returns the event that reports to the process that sent a message that no
/// reply came.
struct NoReplyVisitor {
  bool NothingSent;

  EventBody operator()(const SendHandover &E) const {
    return HandoverAnswered{
        E.Message.Receiver, E.Message.Sequence, {}, NothingSent};
  }
  EventBody operator()(const SendReport &E) const {
    return ReportAnswered{E.Message.Home, false, false, {}};
  }
  EventBody operator()(const SendRevoke &E) const {
    return RevokeAnswered{E.Message.Receiver, E.Message.Sequence, {}};
  }
  EventBody operator()(const SendHeartbeat &E) const {
    return HeartbeatAnswered{E.Endpoint, {}};
  }
  EventBody operator()(const SendAnswers &) const {
    return AnswerTransferEnded{false};
  }
  EventBody operator()(const ForwardRequest &E) const {
    return ForwardEnded{E.Request, {}};
  }
  template <typename T> EventBody operator()(const T &) const { return Tick{}; }
};

/// Returns the event with which a message reaches its receiver.
struct ArrivalVisitor {
  IncarnationId Sender;
  RequestId Request;

  EventBody operator()(const SendHandover &E) const {
    return HandoverReceived{Request, E.Message};
  }
  EventBody operator()(const SendReport &E) const {
    return ReportReceived{Request, E.Message};
  }
  EventBody operator()(const SendRevoke &E) const {
    return RevokeReceived{Request, E.Message};
  }
  EventBody operator()(const SendHeartbeat &E) const {
    return HeartbeatReceived{Request, E.Message};
  }
  EventBody operator()(const SendAnswers &E) const {
    return AnswersReceived{Request, Sender, E.Answers, E.Last};
  }
  template <typename T> EventBody operator()(const T &) const { return Tick{}; }
};

/// Returns the event with the reply that is among \p Effects, for the process
/// that sent \p Message.
std::optional<EventBody> findReply(const Effect &Message, RequestId Request,
                                   const EffectList &Effects) {
  for (const Effect &E : Effects) {
    if (auto *H = std::get_if<ReplyHandover>(&E); H && H->Request == Request) {
      const HandoverMessage &M = std::get<SendHandover>(Message).Message;
      return HandoverAnswered{M.Receiver, M.Sequence, H->Reply, false};
    }
    if (auto *R = std::get_if<ReplyReport>(&E); R && R->Request == Request)
      return ReportAnswered{std::get<SendReport>(Message).Message.Home, true,
                            R->WrongIncarnation, R->Load};
    if (auto *R = std::get_if<ReplyRevoke>(&E); R && R->Request == Request) {
      const RevokeMessage &M = std::get<SendRevoke>(Message).Message;
      return RevokeAnswered{M.Receiver, M.Sequence, R->Reply};
    }
    if (auto *H = std::get_if<ReplyHeartbeat>(&E); H && H->Request == Request)
      return HeartbeatAnswered{std::get<SendHeartbeat>(Message).Endpoint,
                               H->Message};
    if (auto *A = std::get_if<ReplyAnswers>(&E); A && A->Request == Request)
      return AnswerTransferEnded{A->Accepted};
  }
  return std::nullopt;
}

EventBody noReplyEvent(const Effect &Message, bool NothingSent) {
  return std::visit(NoReplyVisitor{NothingSent}, Message);
}

} // namespace

std::optional<EventBody> World::deliver(const Call &C, bool Copy) {
  size_t Index = indexOf(C.To);
  if (auto *Forwarded = std::get_if<ForwardRequest>(&C.Message)) {
    PendingRequest A;
    A.At = processAt(Index);
    A.Verb = Forwarded->Verb;
    A.Ticket = Forwarded->TicketText;
    A.Body = Forwarded->Body;
    A.Ignored = Copy;
    if (!Copy)
      A.ForwardOf = {C.From, Forwarded->Request};
    openRequest(std::move(A), true, Forwarded->Wait);
    return std::nullopt;
  }
  RequestId Request{++Counter};
  EffectList Out =
      feed(Index,
           std::visit(ArrivalVisitor{C.From.Incarnation, Request}, C.Message));
  return findReply(C.Message, Request, Out);
}

void World::replyTo(const Call &C, std::optional<EventBody> Body) {
  if (Body)
    Replies.push_back({C.From, std::move(*Body)});
}

void World::stepOnCall(Op What, uint32_t Choice) {
  if (Calls.empty())
    return;
  auto It = Calls.begin() + Choice % Calls.size();
  size_t Index = indexOf(It->To);
  bool Down = !Nodes[Index].State;
  bool Cut = CutLinks.count({It->From.Index, Index}) != 0;
  if (!Down && !Cut && Nodes[Index].Paused && What != Op::LoseRequest &&
      What != Op::RefuseConnection)
    return;
  Call C = std::move(*It);
  Calls.erase(It);
  if (Down || What == Op::RefuseConnection) {
    replyTo(C, noReplyEvent(C.Message, true));
    return;
  }
  CallCopies.push_back(C);
  if (Cut || What == Op::LoseRequest) {
    replyTo(C, noReplyEvent(C.Message, false));
    return;
  }
  std::optional<EventBody> Reply = deliver(C, What == Op::LoseReply);
  if (What == Op::LoseReply)
    Reply = noReplyEvent(C.Message, false);
  if (What == Op::DeliverTwice && ready(Index))
    deliver(C, true);
  replyTo(C, std::move(Reply));
}

void World::deliverOldCopy(const std::vector<Call> &Copies, uint32_t Choice) {
  if (Copies.empty())
    return;
  Call C = Copies[Choice % Copies.size()];
  if (ready(indexOf(C.To)))
    deliver(C, true);
}

void World::deliverReply(uint32_t Choice) {
  if (Replies.empty())
    return;
  auto It = Replies.begin() + Choice % Replies.size();
  if (alive(It->To) && !ready(It->To.Index))
    return;
  Reply R = std::move(*It);
  Replies.erase(It);
  if (alive(R.To))
    feed(R.To.Index, std::move(R.Body));
}

void World::endAttempt(uint32_t Choice, uint32_t How) {
  if (Attempts.empty())
    return;
  auto It = Attempts.begin() + Choice % Attempts.size();
  if (!ready(It->StartedBy.Index))
    return;
  RunningAttempt R = std::move(*It);
  Attempts.erase(It);
  --Busy[R.Start.Upstream];
  constexpr AttemptEnd Ends[] = {AttemptEnd::Finished, AttemptEnd::Finished,
                                 AttemptEnd::Finished, AttemptEnd::Finished,
                                 AttemptEnd::Busy,     AttemptEnd::Busy,
                                 AttemptEnd::Leaving,  AttemptEnd::NothingSent,
                                 AttemptEnd::Unknown,  AttemptEnd::Failed};
  AttemptEnd End = R.OverSlots ? AttemptEnd::Busy : Ends[How % std::size(Ends)];
  bool Proved = End == AttemptEnd::Busy || End == AttemptEnd::Leaving ||
                End == AttemptEnd::NothingSent;
  Rules.recordEnd(R.Start.Key, Proved);
  std::string Output =
      End == AttemptEnd::Finished ? "echo:" + R.Start.Spec->Payload : "no";
  feed(R.StartedBy.Index, AttemptEnded{R.Start.Attempt, {End, Output}});
}

void World::flushHeartbeats() {
  // Replies may cause new heartbeats, which are delivered with the next call.
  std::vector<Call> Open = std::exchange(Heartbeats, {});
  for (Call &C : Open) {
    size_t Index = indexOf(C.To);
    bool Cut = CutLinks.count({C.From.Index, Index}) != 0;
    if (!alive(C.From))
      continue;
    if (!Cut && Nodes[Index].Paused) {
      Heartbeats.push_back(std::move(C));
      continue;
    }
    HeartbeatCopies.push_back(C);
    std::optional<EventBody> Answer = noReplyEvent(C.Message, false);
    if (!Cut && Nodes[Index].State)
      Answer = deliver(C, false);
    if (ready(C.From.Index) && Answer)
      feed(C.From.Index, std::move(*Answer));
    else
      replyTo(C, std::move(Answer));
  }
  // Statuses are delivered at once; those for paused processes stay with the
  // replies.
  std::vector<Reply> Held = std::exchange(Replies, {});
  for (Reply &R : Held) {
    bool Status = std::holds_alternative<StatusRead>(R.Body);
    if (Status && alive(R.To) && ready(R.To.Index))
      feed(R.To.Index, std::move(R.Body));
    else if (!Status || alive(R.To))
      Replies.push_back(std::move(R));
  }
}

void World::flushAll() {
  for (int Round = 0; Round < 200; ++Round) {
    if (Calls.empty() && Replies.empty() && Attempts.empty())
      return;
    while (!Calls.empty() && Round < 100)
      stepOnCall(Op::Deliver, 0);
    while (!Replies.empty())
      deliverReply(0);
    while (!Attempts.empty())
      endAttempt(0, 0);
  }
}

} // namespace snipeshunt
