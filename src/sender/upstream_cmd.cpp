/// \file State changes of a sender's upstreams and their runs.
#include "sender/upstream_cmd.h"

#include "sender/job_cmd.h"
#include "sender/lease_cmd.h"
#include "sender/renewal_cmd.h"
#include "sender/sender_table.h"

#include <algorithm>
#include <set>

namespace snipeshunt {

namespace {

/// Records that a task of the job may have run.
void recordPossibleRun(SenderState &State, const JobId &Id) {
  auto Job = State.Jobs.find(Id);
  if (Job != State.Jobs.end())
    Job->second.MayHaveRun = true;
}

/// Ends all runs on \p U as aborted, since their leases have expired.
void abortAllRuns(SenderState &State, SenderUpstream &U, SteadyTime Now,
                  InstanceEffects &Out) {
  U.LapsedRuns.clear();
  std::vector<RunKey> Keys;
  for (const auto &[Key, Run] : U.Runs) {
    Keys.push_back(Key);
    if (Run.Phase != RunPhase::Starting && !Run.CrashCounted)
      U.LapsedRuns.push_back(Key);
  }
  for (const RunKey &Key : Keys)
    finishRun(State, U, Key, RunOutcome::Aborted, Now, Out);
  if (U.Phase == UpstreamPhase::Fenced)
    State.UpstreamsLost = true;
}

/// Returns true if an order with this answer was not carried out and will not
/// be.
bool isRejection(OrderStatus Status) {
  switch (Status) {
  case OrderStatus::NoRoom:
  case OrderStatus::Unhealthy:
  case OrderStatus::NothingSent:
  case OrderStatus::Refused:
  case OrderStatus::OtherProcess:
  case OrderStatus::TooLate:
  case OrderStatus::Fenced:
    return true;
  default:
    return false;
  }
}

void logStartAnswer(const SenderUpstream &U, const StartAnswered &Event,
                    InstanceEffects &Out) {
  Out.push_back(LogDecision{
      DecisionPart::Upstreams, Event.Key.Job.Value,
      "run=" + runText(Event.Key) + " upstream=" + U.Record.Id.Value +
          " start not accepted verdict=" + orderStatusName(Event.Status),
      /*Frequent=*/true});
}

/// Applies the answer to a start on an upstream whose cell was released. A run
/// that may have begun is left to the next sender, which stops it.
void applyReleasedStart(SenderState &State, SenderUpstream &U,
                        const StartAnswered &Event, SteadyTime Now,
                        InstanceEffects &Out) {
  if (!U.Runs.count(Event.Key))
    return;
  bool Rejected = isRejection(Event.Status);
  if (Event.Status != OrderStatus::Accepted) {
    ++State.Counts.RunsRejected;
    logStartAnswer(U, Event, Out);
  }
  finishRun(State, U, Event.Key, RunOutcome::Aborted, Now, Out, Rejected);
  if (U.Runs.empty())
    State.Upstreams.erase(Event.Upstream);
  State.UpstreamsLost = true;
  if (!Rejected)
    finishJob(State, Event.Key.Job, JobOutcome::Lost, ClaimLostReason, Now,
              Out);
}

} // namespace

void finishRun(SenderState &State, SenderUpstream &U, const RunKey &Key,
               RunOutcome Outcome, SteadyTime Now, InstanceEffects &Out,
               bool Rejected) {
  auto It = U.Runs.find(Key);
  if (It == U.Runs.end())
    return;
  if (!Rejected)
    recordPossibleRun(State, Key.Job);
  U.Free += It->second.Need;
  U.Runs.erase(It);
  State.PlacementDue = true;
  releaseDetachedRun(State, Key.Job);
  applyRunOutcome(State, U.Record.Id, Key, Outcome, Now, Out);
}

void recordFencing(SenderState &State, SenderUpstream &U,
                   std::optional<CellId> &FencedCell) {
  if (U.Phase == UpstreamPhase::Fenced)
    return;
  FencedCell = U.Cell;
  U.Phase = UpstreamPhase::Fenced;
  State.UpstreamsLost = true;
}

SenderUpstream *findUpstream(SenderState &State, const UpstreamId &Id,
                             FencingToken Token) {
  auto It = State.Upstreams.find(Id);
  // Answers to orders under an earlier claim do not apply to this one.
  if (It == State.Upstreams.end() || It->second.Token != Token)
    return nullptr;
  return &It->second;
}

void orderStart(SenderUpstream &U, const SenderJob &J, const RunKey &Key,
                Duration Expected, Duration Lease, const FleetBounds &Bounds,
                SteadyTime Now, InstanceEffects &Out) {
  SenderRun Run;
  Run.Key = Key;
  Run.Need = J.Order.Step.PerTask;
  Run.Ordered = Now;
  Run.ExpectedRunTime = Expected;
  Run.SpecBytes = J.Order.Spec.size();
  U.Free -= Run.Need;
  U.Runs[Key] = Run;
  recordLease(U, Bounds, Lease, Now);
  StartRun Effect;
  Effect.Upstream = U.Record.Id;
  Effect.Endpoint = U.Record.Endpoint;
  Effect.Token = U.Token;
  Effect.Key = Key;
  Effect.Spec = J.Order.Spec;
  Effect.LeaseDeadlineMs = leaseDeadline(U, Lease, Now);
  // The next process may be of another kind, which upstreams don't check.
  if (!J.Order.Step.Requirement.empty())
    Effect.OnlyTo = ProcessCondition{U.StartedAt, U.ProcessKnownAt};
  Out.push_back(std::move(Effect));
}

void orderStop(SenderUpstream &U, SenderRun &Run, SteadyTime Now,
               InstanceEffects &Out) {
  Run.StopRequested = true;
  if (Run.StopPending || Run.StopAcknowledged)
    return;
  Run.StopPending = true;
  Run.StopSent = Now;
  Out.push_back(StopRun{U.Record.Id, U.Record.Endpoint, U.Token, Run.Key});
}

void expireRuns(SenderState &State, SteadyTime Now, InstanceEffects &Out) {
  std::set<JobId> Lost;
  for (auto It = State.Upstreams.begin(); It != State.Upstreams.end();) {
    SenderUpstream &U = It->second;
    bool Expired = !U.Runs.empty() && Now > U.LeaseExpiry;
    if (U.Released && Expired) {
      // A run that was accepted may have ended as done since, which only the
      // next sender has read.
      for (const auto &[Key, Run] : U.Runs) {
        Lost.insert(Key.Job);
        releaseDetachedRun(State, Key.Job);
      }
      State.UpstreamsLost = true;
      It = State.Upstreams.erase(It);
      continue;
    }
    ++It;
    while (!U.UnansweredStarts.empty() &&
           Now - U.UnansweredStarts.front().first > LateOrderTime)
      U.UnansweredStarts.pop_front();
    if (!Expired)
      continue;
    logUpstream(Out, U,
                "leases have expired, runs=" + std::to_string(U.Runs.size()));
    for (const auto &[Key, Run] : U.Runs)
      if (Run.Phase == RunPhase::Starting)
        U.UnansweredStarts.emplace_back(Now, Key);
    abortAllRuns(State, U, Now, Out);
  }
  for (const JobId &Id : Lost)
    finishJob(State, Id, JobOutcome::Lost, ClaimLostReason, Now, Out);
}

void applyStartAnswer(SenderState &State, const StartAnswered &Event,
                      SteadyTime Now, std::optional<CellId> &FencedCell,
                      InstanceEffects &Out) {
  SenderUpstream *U = findUpstream(State, Event.Upstream, Event.Token);
  if (!U)
    return;
  if (U->Released)
    return applyReleasedStart(State, *U, Event, Now, Out);
  // The report of the process that follows shows which runs have ended.
  if (!Event.OtherStartedAt)
    checkProcess(State, *U, Event.Status, Now, Out);
  else if (*Event.OtherStartedAt != U->StartedAt)
    beginSync(*U, Now);
  auto It = U->Runs.find(Event.Key);
  if (It == U->Runs.end())
    return;
  SenderRun &Run = It->second;
  // The answer may be of a former process, whose clock has no meaning now.
  bool ClockUsable = Event.ClockMs && !Run.ProcessChanged;
  if (ClockUsable)
    updateClockOffset(*U, *Event.ClockMs, Now);
  if (Event.Status == OrderStatus::Accepted) {
    Run.Phase = RunPhase::Running;
    Run.Accepted = Now;
    State.PlacementDue |= State.StartsHeld;
    recordPossibleRun(State, Event.Key.Job);
    U->RenewalLost.reset();
    U->UnansweredCalls = 0;
    if (!U->RenewalPending)
      U->NextRenewal = Now;
    return;
  }
  ++State.Counts.RunsRejected;
  logStartAnswer(*U, Event, Out);
  if (Event.Status == OrderStatus::Unknown) {
    Run.Phase = RunPhase::Unconfirmed;
    recordPossibleRun(State, Event.Key.Job);
    U->UnansweredStarts.emplace_back(Now, Event.Key);
    // If the start arrives after the stop, the upstream rejects it.
    orderStop(*U, Run, Now, Out);
    U->NextRenewal = std::min(U->NextRenewal, Now);
    return;
  }
  switch (Event.Status) {
  case OrderStatus::NoRoom:
    U->BlockedUntil = std::max(U->BlockedUntil, Now + FullUpstreamPause);
    break;
  case OrderStatus::Unhealthy:
    recordFailure(*U, Event.Key.Job, Now, Out);
    U->BlockedUntil = std::max(U->BlockedUntil, Now + FullUpstreamPause);
    break;
  case OrderStatus::NothingSent:
  case OrderStatus::Refused:
    recordNoAnswer(State, *U, true, Now, Out);
    break;
  case OrderStatus::OtherProcess:
    if (!Event.OtherStartedAt) {
      U->Phase = UpstreamPhase::Unresponsive;
      U->NextRenewal = Now + RetryDelay;
    }
    break;
  case OrderStatus::TooLate:
    if (!Run.ProcessChanged)
      U->ClockOffset.reset();
    if (ClockUsable)
      updateClockOffset(*U, *Event.ClockMs, Now);
    break;
  case OrderStatus::Fenced:
    recordFencing(State, *U, FencedCell);
    break;
  default:
    break;
  }
  // The upstream is full though this sender has no other run on it; its lists
  // show the runs that it has.
  if (Event.Status == OrderStatus::NoRoom && !U->RenewalPending &&
      U->Runs.size() == 1)
    sendRenewal(State, *U, Duration::zero(), std::chrono::milliseconds(0), Now,
                Out);
  finishRun(State, *U, Event.Key, RunOutcome::Aborted, Now, Out,
            isRejection(Event.Status));
}

void applyStopAnswer(SenderState &State, const StopAnswered &Event,
                     SteadyTime Now, std::optional<CellId> &FencedCell,
                     InstanceEffects &Out) {
  SenderUpstream *U = findUpstream(State, Event.Upstream, Event.Token);
  if (!U || U->Released)
    return;
  if (Event.Status == OrderStatus::Fenced) {
    recordFencing(State, *U, FencedCell);
  }
  checkProcess(State, *U, Event.Status, Now, Out);
  auto It = U->Runs.find(Event.Key);
  if (It == U->Runs.end())
    return;
  It->second.StopPending = false;
  if (Event.Status == OrderStatus::Unknown && !It->second.StopRepeated) {
    // The time-out has closed the connections that may be silent as well. The
    // caller of the job may submit it again elsewhere soon.
    It->second.StopRepeated = true;
    orderStop(*U, It->second, Now, Out);
  }
  if (Event.Status != OrderStatus::Accepted)
    return;
  It->second.StopAcknowledged = Now;
  State.PlacementDue = true;
  ++State.Counts.RunsStopped;
  // The upstream lists the end of the run within the stop timeout.
  if (!U->RenewalPending)
    U->NextRenewal =
        std::min(U->NextRenewal, Now + Duration(State.Bounds.StopTimeout) +
                                     std::chrono::milliseconds(5));
}

} // namespace snipeshunt
