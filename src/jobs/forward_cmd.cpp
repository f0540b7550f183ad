/// \file Routing of job requests to the home of the job.
#include "jobs/forward_cmd.h"

#include "jobs/answer_func.h"
#include "jobs/job_cmd.h"
#include "jobs/retention_cmd.h"
#include "membership/member_cmd.h"
#include "tickets/ticket_func.h"

#include <functional>

namespace snipeshunt {

namespace {

Error homeUnreachableError(const Address &Home) {
  return {ErrorKind::HomeUnreachable,
          "instance " + Home.Value +
              ", the home of the job, does not answer or has been replaced",
          "submit the same ticket again later; if the error persists, check at "
          "the upstreams whether the tasks ran before submitting with a new "
          "ticket"};
}

void replyUnknown(const JobRequested &Event, const Error &E, EffectList &Out) {
  Out.push_back(ReplyToCaller{
      Event.Request, errorAnswer(Outcome::Unknown, Event.TicketText, E)});
}

void replyImported(const JobRequested &Event, const ImportedAnswer &Retained,
                   EffectList &Out) {
  if (Event.Verb == JobVerb::Submit &&
      !bodyMatches(Retained.BodyHash, Event.BodyHash)) {
    replyUnknown(Event,
                 {ErrorKind::TicketConflict,
                  "the ticket was used with another body",
                  "send the same body, or take a new ticket"},
                 Out);
    return;
  }
  Out.push_back(ReplyToCaller{Event.Request, Retained.Answer});
}

void forward(InstanceState &State, const JobRequested &Event, const Ticket &T,
             const Address &To, IncarnationId Incarnation, EffectList &Out) {
  State.Forwards[Event.Request] = {To, Incarnation, Event.TicketText};
  ++State.Counts.JobsForwarded;
  Out.push_back(RecordTimeline{TimelineKind::JobForwarded,
                               jobText(T.Incarnation, T.Sequence), "",
                               "to=" + To.Value});
  Out.push_back(ForwardRequest{Event.Request, To, Event.Verb, Event.TicketText,
                               Event.Body, Event.Wait});
}

/// Returns the member that has the retained answers of the departed
/// incarnation, or null. A successor that departs in turn transfers them to its
/// own successor.
const Member *successorOf(const InstanceState &State,
                          IncarnationId Incarnation) {
  const auto &Departed = State.Members.Departed;
  auto Found = Departed.find(Incarnation);
  if (Found == Departed.end())
    return nullptr;
  IncarnationId Successor = Found->second.Successor;
  // Bounded, since wrong departure notices from a peer could form a cycle.
  for (size_t Steps = 0; Steps < Departed.size(); ++Steps) {
    auto Next = Departed.find(Successor);
    if (Next == Departed.end())
      return findMember(State, Successor);
    Successor = Next->second.Successor;
  }
  return nullptr;
}

void forwardToHome(InstanceState &State, const JobRequested &Event,
                   const Ticket &T, EffectList &Out) {
  if (const Member *Successor = successorOf(State, T.Incarnation)) {
    forward(State, Event, T, Successor->Location.Endpoint,
            Successor->Incarnation, Out);
    return;
  }
  auto Home = State.Members.Members.find(T.Home);
  if (Home == State.Members.Members.end()) {
    replyUnknown(Event,
                 {ErrorKind::HomeNotKnown,
                  "instance " + T.Home.Value +
                      ", the home of the job, is not known to this instance",
                  "submit the same ticket to another instance"},
                 Out);
    return;
  }
  const Member &M = Home->second;
  bool Replaced = State.Members.ReplacedIncarnations.count(T.Incarnation) != 0;
  if (Replaced || M.Health == MemberHealth::Dead) {
    replyUnknown(Event, homeUnreachableError(T.Home), Out);
    return;
  }
  forward(State, Event, T, T.Home, T.Incarnation, Out);
}

/// Answers the forwarded requests that \p Matches selects with outcome
/// `unknown`.
void endForwardsIf(
    InstanceState &State, EffectList &Out,
    const std::function<bool(const ForwardedRequest &)> &Matches) {
  std::vector<RequestId> Ended;
  for (const auto &[Request, Forwarded] : State.Forwards)
    if (Matches(Forwarded))
      Ended.push_back(Request);
  for (RequestId Request : Ended)
    endForward(State, {Request, std::nullopt}, Out);
}

} // namespace

void handleJobRequest(InstanceState &State, const JobRequested &Event,
                      SteadyTime Now, EffectList &Out) {
  Result<Ticket> Decoded =
      decodeTicket(Event.TicketText, State.Settings.FleetKey);
  if (failed(Decoded)) {
    replyUnknown(Event, errorOf(Decoded), Out);
    return;
  }
  const Ticket &T = valueOf(Decoded);
  if (T.Incarnation == State.Incarnation) {
    handleHomeRequest(State, T, Event, Now, Out);
    return;
  }
  if (const ImportedAnswer *Retained =
          findImportedAnswer(State, T.Incarnation, T.Sequence)) {
    replyImported(Event, *Retained, Out);
    return;
  }
  // At most one hop: a forwarded request that this instance can't answer is not
  // forwarded again.
  if (Event.Forwarded || (T.Home == State.Settings.Advertise &&
                          !successorOf(State, T.Incarnation))) {
    replyUnknown(Event, homeUnreachableError(T.Home), Out);
    return;
  }
  forwardToHome(State, Event, T, Out);
}

void endForward(InstanceState &State, const ForwardEnded &Event,
                EffectList &Out) {
  auto It = State.Forwards.find(Event.Request);
  if (It == State.Forwards.end())
    return;
  ForwardedRequest Request = std::move(It->second);
  State.Forwards.erase(It);
  StoredAnswerPtr Answer =
      Event.Answer ? std::make_shared<StoredAnswer>(*Event.Answer)
                   : errorAnswer(Outcome::Unknown, Request.TicketText,
                                 homeUnreachableError(Request.Home));
  Out.push_back(ReplyToCaller{Event.Request, std::move(Answer)});
}

void endForwardsTo(InstanceState &State, IncarnationId Incarnation,
                   EffectList &Out) {
  endForwardsIf(State, Out, [&](const ForwardedRequest &Forwarded) {
    return Forwarded.Incarnation == Incarnation;
  });
}

void endAllForwards(InstanceState &State, EffectList &Out) {
  endForwardsIf(State, Out, [](const ForwardedRequest &) { return true; });
}

} // namespace snipeshunt
