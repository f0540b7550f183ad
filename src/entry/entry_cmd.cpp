/// \file State changes of the entry instance.
#include "entry/entry_cmd.h"

#include "cells/cell_cmd.h"
#include "cells/cell_table.h"
#include "cells/peer_func.h"
#include "core/duration_func.h"
#include "entry/started_cmd.h"
#include "sender/crash_cmd.h"
#include "sender/sender_table.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Added to the expected wait at senders of other data centres, so that a job
// goes there only to start earlier by this time. It covers the round trip and
// the price of traffic between data centres.
constexpr Duration RemoteCentrePenalty = std::chrono::milliseconds(15);
// Added to the expected wait at a sender that has no room for the whole job
// right now.
constexpr Duration NoRoomPenalty = std::chrono::milliseconds(30);
// Limit on the senders that a job is forwarded to in turn when they reject it;
// each costs a round trip.
constexpr size_t MaxSendersAsked = 3;
// The sender ends a job at the caller's deadline, and its answer arrives a
// little later.
constexpr Duration AnswerSlack = std::chrono::milliseconds(150);
// Longest wait of a job while no sender is available. After a failure, a cell
// is acquired by another instance in about a second; after a shutdown, in a few
// milliseconds.
constexpr Duration SenderWait = std::chrono::milliseconds(1000);
// Retry pause for jobs rejected late in a shutdown. The caller reaches another
// instance as soon as it connects again.
constexpr Duration ClosingRetry = std::chrono::seconds(1);
// Retry pause for jobs rejected without an available sender. There is one again
// after about a second.
constexpr Duration NoSenderRetry = std::chrono::seconds(2);
constexpr const char *NoSender = "no sender is available";
constexpr const char *AllEvacuated = "all data centres are evacuated";

/// Returns the expected time until a sender starts the whole job.
Duration expectedWaitAt(const EntryContext &Context, const Address &Sender,
                        const StepDemand &Step) {
  auto Peer = Context.Cells.Peers.find(Sender);
  bool Own = Peer == Context.Cells.Peers.end();
  SenderLoad Load = Own ? Context.OwnLoad() : Peer->second.Load;
  Duration Wait = Load.Delay;
  if (Load.FreeCpu < Step.PerTask.CpuMillis * static_cast<int64_t>(Step.Count))
    Wait += NoRoomPenalty;
  bool IsRemote =
      !Own && Peer->second.Record.Centre != Context.Cells.Self.Centre;
  return IsRemote ? Wait + RemoteCentrePenalty : Wait;
}

/// Returns the latest start with which the job, by its declared run time, ends
/// before its deadline and within `MaxLatenessFactor` times its objective.
SteadyTime latestUsefulStart(const EntryJob &J) {
  Duration Useful = scaled(objectiveOf(J.Order), MaxLatenessFactor);
  return std::min(J.Deadline, J.Arrived + Useful) - J.Order.Step.Estimate;
}

/// Returns the time at which a job without sender is rejected: after
/// `SenderWait`, or once a start would be too late.
SteadyTime waitLimit(const EntryJob &J) {
  return std::min(latestUsefulStart(J), J.Arrived + SenderWait);
}

/// Sends the job to the sender that was chosen for it.
void sendForward(EntryState &State, const EntryContext &Context,
                 RequestId Forward, SteadyTime Now, InstanceEffects &Out) {
  EntryJob &J = State.Jobs.at(Forward);
  J.Forwarded = Now;
  J.MissingSince = {};
  J.Order.Number = Context.Cells.NextJob++;
  J.Order.Remaining = J.Deadline - Now;
  J.Order.Age = Now - J.Arrived;
  J.Order.Crashes = crashesOf(State.Crashes, J.Order.Id);
  auto P = Context.Cells.Peers.find(J.Sender);
  if (P != Context.Cells.Peers.end()) {
    P->second.OpenJobs.insert(J.Order.Number);
    P->second.CancelledJobs.erase(J.Order.Id);
    pingBy(Context.Cells, P->second, Now + SenderPingPeriod);
    P->second.Load.FreeCpu -= J.Order.Step.PerTask.CpuMillis *
                              static_cast<int64_t>(J.Order.Step.Count);
  }
  ++State.Counts.Forwarded;
  Out.push_back(
      ForwardJob{J.Sender, Forward, J.Order, J.Order.Remaining + AnswerSlack});
}

/// Forwards the job to the sender with the shortest expected wait among those
/// that have not been asked. Returns false if there is none that can start it
/// in time.
bool forwardToBestSender(EntryState &State, const EntryContext &Context,
                         RequestId Forward, SteadyTime Now,
                         InstanceEffects &Out) {
  EntryJob &J = State.Jobs.at(Forward);
  eraseOpenJob(Context, J);
  J.Sender = {};
  if (J.SendersAsked.size() >= MaxSendersAsked)
    return false;
  Address Best;
  Duration BestWait = Duration::max();
  for (const Address &Sender : availableSenders(Context.Cells, Now)) {
    if (J.SendersAsked.count(Sender))
      continue;
    Duration Wait = expectedWaitAt(Context, Sender, J.Order.Step);
    // Forwarding to a sender that can't start the job in time only costs time.
    // The reported wait does not apply to the most urgent jobs, as those of
    // other queues don't delay them.
    bool Urgent =
        Context.UrgentPriority && J.Order.Priority <= *Context.UrgentPriority;
    if (Wait < BestWait && (Urgent || Now + Wait < latestUsefulStart(J))) {
      Best = Sender;
      BestWait = Wait;
    }
  }
  if (BestWait == Duration::max())
    return false;
  J.SendersAsked.insert(Best);
  J.Sender = Best;
  sendForward(State, Context, Forward, Now, Out);
  return true;
}

/// Forwards a job. Without an available sender, the job waits for one; if all
/// are too busy, the wait is over or it was cancelled, it is rejected.
void forwardOrWait(EntryState &State, const EntryContext &Context,
                   RequestId Forward, Duration RetryAfter,
                   const std::string &Reason, SteadyTime Now,
                   InstanceEffects &Out) {
  EntryJob &J = State.Jobs.at(Forward);
  if (J.Cancelled)
    return endJob(State, Context, Forward, AnswerStatus::NotRun, RetryAfter,
                  "cancelled before any start", Now, Out);
  if (forwardToBestSender(State, Context, Forward, Now, Out))
    return;
  if (areAllCentresEvacuated(Context.Cells))
    return endJob(State, Context, Forward, AnswerStatus::NotRun, RetryAfter,
                  AllEvacuated, Now, Out);
  bool SenderAvailable = !availableSenders(Context.Cells, Now).empty();
  if (SenderAvailable || Now >= waitLimit(J))
    endJob(State, Context, Forward, AnswerStatus::NotRun, RetryAfter,
           SenderAvailable && Reason == NoSender
               ? "no sender can start it in time"
               : Reason,
           Now, Out);
}

} // namespace

Duration objectiveOf(const JobOrder &Order) {
  return scaled(Order.Step.Estimate, Order.Stretch) + Order.Slack;
}

void submitJob(EntryState &State, const EntryContext &Context,
               const JobSubmitted &Event, SteadyTime Now,
               InstanceEffects &Out) {
  ++State.Counts.Submitted;
  if (!Event.Job.UnsupportedFeature.empty())
    return rejectUnforwarded(
        State, Event, NoSenderRetry,
        "unsupported feature=" + Event.Job.UnsupportedFeature, Now, Out);
  auto Existing = State.ByJob.find(Event.Job.Id);
  if (Existing != State.ByJob.end()) {
    EntryJob &J = State.Jobs.at(Existing->second);
    logJob(Out, DecisionPart::Entry, Event.Job.Id,
           "submitted again while it is open; the new request gets the result");
    answerCaller(State, J.Caller, AnswerStatus::Lost, Duration::zero(), Out);
    State.ByCaller.erase(J.Caller);
    J.Caller = Event.Request;
    State.ByCaller[J.Caller] = Existing->second;
    return;
  }
  if (State.Closing)
    return rejectUnforwarded(State, Event, ClosingRetry,
                             "this instance is shutting down", Now, Out);
  RequestId Forward{State.NextForward++};
  EntryJob &J = State.Jobs[Forward];
  J.Caller = Event.Request;
  J.Arrived = Now;
  J.Deadline = Now + Event.Patience;
  J.Order.Id = Event.Job.Id;
  J.Order.Entry = Context.Cells.Self.Endpoint;
  J.Order.Incarnation = Context.Cells.Incarnation;
  J.Order.Queue = Event.Queue.Name;
  J.Order.Service = Event.Queue.Service;
  J.Order.Priority = Event.Queue.Priority;
  J.Order.MaxAttempts = Event.Queue.MaxAttempts;
  J.Order.Stretch = Event.Queue.Stretch;
  J.Order.Slack = Event.Queue.Slack;
  J.Order.Spec = Event.Job.Spec;
  J.Order.Step = Event.Job.Step;
  J.MayHaveRun = mayHaveRunEarlier(State, J.Order.Id, Now);
  State.ByCaller[J.Caller] = Forward;
  State.ByJob[J.Order.Id] = Forward;
  // The caller may have left while the request waited in the socket. The next
  // tick forwards the job, by when that has been read.
  if (isLagging(Context.Cells, Now))
    return;
  forwardOrWait(State, Context, Forward, NoSenderRetry, NoSender, Now, Out);
}

void cancelJob(EntryState &State, const EntryContext &Context, const JobId &Id,
               SteadyTime Now, InstanceEffects &Out) {
  // A forwarded job stays open: the sender answers the forward once it has
  // stopped the job.
  RequestId Forward = State.ByJob.at(Id);
  EntryJob &J = State.Jobs.at(Forward);
  J.Cancelled = true;
  if (J.Sender.Value.empty())
    forwardOrWait(State, Context, Forward, NoSenderRetry, NoSender, Now, Out);
  else
    cancelAtSender(Context, J, Now);
}

std::optional<RequestId> dropCaller(EntryState &State,
                                    const EntryContext &Context,
                                    RequestId Caller, SteadyTime Now,
                                    InstanceEffects &Out) {
  auto It = State.ByCaller.find(Caller);
  if (It == State.ByCaller.end())
    return std::nullopt;
  RequestId Forward = It->second;
  std::optional<EntryJob> J = removeJob(State, Context, Forward);
  if (!J)
    return std::nullopt;
  ++State.Counts.Disconnected;
  recordIfUnresolved(State, *J, Now);
  logJob(Out, DecisionPart::Entry, J->Order.Id,
         "caller disconnected after_ms=" +
             std::to_string(toMilliseconds(Now - J->Arrived)) +
             ", sender=" + J->Sender.Value + " cancels the job");
  if (J->Sender == Context.Cells.Self.Endpoint)
    return Forward;
  abandonAtSender(Context, *J, Forward, Now, Out);
  return std::nullopt;
}

void applyForwardAnswer(EntryState &State, const EntryContext &Context,
                        const ForwardAnswered &Event, SteadyTime Now,
                        InstanceEffects &Out) {
  auto P = Context.Cells.Peers.find(Event.Sender);
  if (Event.Result && P != Context.Cells.Peers.end()) {
    P->second.Load = Event.Result->Load;
    P->second.RejectsJobs = P->second.RejectsJobs || Event.Result->Leaving;
  }
  auto It = State.Jobs.find(Event.Request);
  // The job was answered or forwarded to another sender before.
  if (It == State.Jobs.end() || It->second.Sender != Event.Sender)
    return;
  EntryJob &J = It->second;
  if (Event.Result) {
    mergeCrashes(State.Crashes, J.Order.Id, Event.Result->Crashes, Now);
    J.MayHaveRun = J.MayHaveRun || Event.Result->MayHaveRun ||
                   !Event.Result->Crashes.empty();
    J.Cancelled = J.Cancelled || Event.Result->Cancelled;
  }
  if (!Event.Result) {
    if (Event.NothingSent) {
      forwardOrWait(State, Context, Event.Request, NoSenderRetry,
                    "the sender could not be reached", Now, Out);
      return;
    }
    // The sender may not notice that the connection broke.
    cancelAtSender(Context, J, Now);
    endJob(State, Context, Event.Request, AnswerStatus::Lost, Duration::zero(),
           "the request to the sender failed", Now, Out);
    return;
  }
  const JobResult &Result = *Event.Result;
  switch (Result.Outcome) {
  case JobOutcome::Done:
    endJob(State, Context, Event.Request, AnswerStatus::Done, Duration::zero(),
           Result.Reason, Now, Out);
    return;
  case JobOutcome::Failed:
    endJob(State, Context, Event.Request, AnswerStatus::Failed,
           Duration::zero(), Result.Reason, Now, Out);
    return;
  case JobOutcome::NotRun:
    if (Result.Cancelled)
      endJob(State, Context, Event.Request, AnswerStatus::Cancelled,
             Duration::zero(), Result.Reason, Now, Out);
    else if (Result.Moved)
      forwardOrWait(State, Context, Event.Request, Result.RetryAfter,
                    Result.Reason, Now, Out);
    else
      endJob(State, Context, Event.Request, AnswerStatus::NotRun,
             Result.RetryAfter, Result.Reason, Now, Out);
    return;
  case JobOutcome::Lost:
    endJob(State, Context, Event.Request,
           Now >= J.Deadline ? AnswerStatus::Expired : AnswerStatus::Lost,
           Duration::zero(), Result.Reason, Now, Out);
    return;
  }
}

std::vector<RequestId> endAllJobs(EntryState &State,
                                  const EntryContext &Context, SteadyTime Now,
                                  InstanceEffects &Out) {
  std::vector<RequestId> Own;
  std::vector<RequestId> Others;
  for (const auto &[Forward, J] : State.Jobs)
    (J.Sender == Context.Cells.Self.Endpoint ? Own : Others).push_back(Forward);
  for (RequestId Forward : Others) {
    const EntryJob &J = State.Jobs.at(Forward);
    bool AtSender = !J.Sender.Value.empty();
    abandonAtSender(Context, J, Forward, Now, Out);
    endJob(State, Context, Forward,
           AtSender ? AnswerStatus::Lost : AnswerStatus::NotRun, ClosingRetry,
           "this instance ends before the job", Now, Out);
  }
  return Own;
}

void expireEntryJobs(EntryState &State, const EntryContext &Context,
                     SteadyTime Now, InstanceEffects &Out) {
  std::set<Address> Suspected;
  std::vector<std::pair<RequestId, bool>> Ended;
  std::vector<RequestId> Waiting;
  for (const auto &[Forward, J] : State.Jobs) {
    if (Now >= J.Deadline + AnswerSlack) {
      Ended.emplace_back(Forward, true);
      continue;
    }
    if (J.Sender.Value.empty())
      Waiting.push_back(Forward);
    if (J.Sender.Value.empty() || J.Sender == Context.Cells.Self.Endpoint)
      continue;
    auto P = Context.Cells.Peers.find(J.Sender);
    if (P != Context.Cells.Peers.end() &&
        !isSuspected(P->second, J.Forwarded, Now))
      continue;
    Suspected.insert(J.Sender);
    Ended.emplace_back(Forward, false);
  }
  for (RequestId Forward : Waiting)
    forwardOrWait(State, Context, Forward, NoSenderRetry, NoSender, Now, Out);
  for (const Address &Sender : Suspected) {
    auto P = Context.Cells.Peers.find(Sender);
    if (P == Context.Cells.Peers.end())
      continue;
    Out.push_back(
        LogDecision{DecisionPart::Entry, "",
                    "sender=" + Sender.Value +
                        " is unresponsive, its jobs are answered as lost"});
  }
  for (const auto &[Forward, Expired] : Ended) {
    abandonAtSender(Context, State.Jobs.at(Forward), Forward, Now, Out);
    endJob(State, Context, Forward,
           Expired ? AnswerStatus::Expired : AnswerStatus::Lost,
           Duration::zero(),
           Expired ? "the caller's deadline has passed"
                   : "the sender is unresponsive",
           Now, Out);
  }
}

} // namespace snipeshunt
