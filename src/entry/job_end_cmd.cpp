/// \file Ends of jobs at the entry instance: answers to callers and
/// cancellations at senders.
#include "entry/job_end_cmd.h"

#include "cells/cell_cmd.h"
#include "entry/started_cmd.h"

#include <utility>

namespace snipeshunt {

namespace {

// Retry pause while it is not known whether a job is open. The cells of a
// failed sender are acquired by another instance in about a second.
constexpr Duration UnknownRetry = std::chrono::seconds(1);

void count(EntryCounters &Counts, AnswerStatus Status) {
  switch (Status) {
  case AnswerStatus::Done:
    ++Counts.Done;
    break;
  case AnswerStatus::Failed:
    ++Counts.Failed;
    break;
  case AnswerStatus::NotRun:
    ++Counts.Rejected;
    break;
  case AnswerStatus::Expired:
    ++Counts.Expired;
    break;
  case AnswerStatus::Cancelled:
    ++Counts.Cancelled;
    break;
  default:
    ++Counts.Lost;
    break;
  }
}

} // namespace

void eraseOpenJob(const EntryContext &Context, const EntryJob &J) {
  auto P = Context.Cells.Peers.find(J.Sender);
  if (P != Context.Cells.Peers.end())
    P->second.OpenJobs.erase(J.Order.Number);
}

std::optional<EntryJob>
removeJob(EntryState &State, const EntryContext &Context, RequestId Forward) {
  auto It = State.Jobs.find(Forward);
  if (It == State.Jobs.end())
    return std::nullopt;
  EntryJob J = std::move(It->second);
  State.Jobs.erase(It);
  State.ByCaller.erase(J.Caller);
  State.ByJob.erase(J.Order.Id);
  eraseOpenJob(Context, J);
  return J;
}

void recordIfUnresolved(EntryState &State, const EntryJob &J, SteadyTime Now) {
  if (J.MayHaveRun || !J.Sender.Value.empty())
    recordStartedJob(State.Unresolved, J.Order.Id, Now);
}

bool mayHaveRunEarlier(const EntryState &State, const JobId &Job,
                       SteadyTime Now) {
  return mayHaveStarted(State.Unresolved, Job, Now) ||
         mayHaveStarted(State.Answered, Job, Now);
}

void answerCaller(const EntryState &State, RequestId Caller,
                  AnswerStatus Status, Duration RetryAfter,
                  InstanceEffects &Out, Duration Took) {
  AnswerCaller Effect;
  Effect.Request = Caller;
  Effect.Status = Status;
  Effect.RetryAfter = std::chrono::ceil<std::chrono::seconds>(RetryAfter);
  Effect.Close = State.Draining;
  Effect.Took = Took;
  Out.push_back(Effect);
}

void endJob(EntryState &State, const EntryContext &Context, RequestId Forward,
            AnswerStatus Status, Duration RetryAfter, std::string Reason,
            SteadyTime Now, InstanceEffects &Out) {
  std::optional<EntryJob> J = removeJob(State, Context, Forward);
  if (!J)
    return;
  if (Status == AnswerStatus::NotRun && J->MayHaveRun) {
    Status = AnswerStatus::Lost;
    Reason += ", an earlier submission may have run";
  }
  if (J->Cancelled &&
      (Status == AnswerStatus::Lost || Status == AnswerStatus::Expired))
    Status = AnswerStatus::Cancelled;
  if (Status == AnswerStatus::Lost || Status == AnswerStatus::Expired ||
      Status == AnswerStatus::Cancelled)
    recordIfUnresolved(State, *J, Now);
  else if (Status != AnswerStatus::NotRun)
    recordStartedJob(State.Answered, J->Order.Id, Now);
  count(State.Counts, Status);
  if (Status != AnswerStatus::Done)
    logJob(Out, DecisionPart::Entry, J->Order.Id,
           std::string("answered verdict=") + answerStatusName(Status) +
               " queue=" + J->Order.Queue + " sender=" + J->Sender.Value +
               " took_ms=" + std::to_string(toMilliseconds(Now - J->Arrived)) +
               " reason=\"" + Reason + "\"");
  answerCaller(State, J->Caller, Status, RetryAfter, Out, Now - J->Arrived);
}

void rejectUnforwarded(EntryState &State, const JobSubmitted &Event,
                       Duration RetryAfter, const std::string &Reason,
                       SteadyTime Now, InstanceEffects &Out) {
  bool MayHaveRun = mayHaveRunEarlier(State, Event.Job.Id, Now);
  if (MayHaveRun)
    recordStartedJob(State.Unresolved, Event.Job.Id, Now);
  AnswerStatus Status = MayHaveRun ? AnswerStatus::Lost : AnswerStatus::NotRun;
  count(State.Counts, Status);
  logJob(Out, DecisionPart::Entry, Event.Job.Id,
         std::string("rejected before any start") +
             (MayHaveRun ? ", an earlier submission may have run: " : ": ") +
             Reason);
  answerCaller(State, Event.Request, Status, RetryAfter, Out);
}

AnswerStatus unreadRejection(const EntryState &State, const JobId &Job,
                             SteadyTime Now) {
  return State.ByJob.count(Job) || mayHaveRunEarlier(State, Job, Now)
             ? AnswerStatus::Lost
             : AnswerStatus::NotRun;
}

bool answerCancelledJob(EntryState &State, const JobSubmitted &Event,
                        SteadyTime Now, InstanceEffects &Out) {
  // An open job is stopped by its cancellation, and the answer then goes to the
  // last submission. The sender of an ended one may have its result.
  if (State.ByJob.count(Event.Job.Id) ||
      mayHaveStarted(State.Answered, Event.Job.Id, Now))
    return false;
  ++State.Counts.Submitted;
  count(State.Counts, AnswerStatus::Cancelled);
  logJob(Out, DecisionPart::Entry, Event.Job.Id,
         "submitted again after its cancellation, not started");
  answerCaller(State, Event.Request, AnswerStatus::Cancelled, Duration::zero(),
               Out);
  return true;
}

void answerAbout(const EntryState &State, RequestId Caller, AnswerStatus Status,
                 InstanceEffects &Out) {
  answerCaller(
      State, Caller, Status,
      Status == AnswerStatus::Unknown ? UnknownRetry : Duration::zero(), Out);
}

void cancelAtSender(const EntryContext &Context, const EntryJob &J,
                    SteadyTime Now) {
  auto P = Context.Cells.Peers.find(J.Sender);
  if (P == Context.Cells.Peers.end())
    return;
  P->second.CancelledJobs[J.Order.Id] = {J.Order.Number, Now};
  pingBy(Context.Cells, P->second, Now);
}

void abandonAtSender(const EntryContext &Context, const EntryJob &J,
                     RequestId Forward, SteadyTime Now, InstanceEffects &Out,
                     bool Silent) {
  if (J.Sender.Value.empty() || J.Sender == Context.Cells.Self.Endpoint)
    return;
  cancelAtSender(Context, J, Now);
  Out.push_back(AbandonForward{J.Sender, Forward, Silent});
}

} // namespace snipeshunt
