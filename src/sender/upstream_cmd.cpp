/// \file State changes of a sender's upstreams and their runs.
#include "sender/upstream_cmd.h"

#include "sender/crash_cmd.h"
#include "sender/estimate_func.h"
#include "sender/job_cmd.h"
#include "sender/lease_table.h"
#include "sender/sender_table.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

namespace {

// Interval at which a stop is repeated until the upstream accepts it, except
// for the first repetition.
constexpr Duration StopRetryInterval = std::chrono::milliseconds(200);

constexpr const char *ClaimLostReason = "the claim to its cell was lost";

int64_t steadyMs(SteadyTime T) { return toMilliseconds(T.time_since_epoch()); }

/// Highest drift of an upstream's clock since \p Since, in milliseconds,
/// rounded up.
int64_t maxDriftSince(SteadyTime Since, SteadyTime Now) {
  return static_cast<int64_t>(std::ceil(
      static_cast<double>(toMilliseconds(Now - Since)) * MaxClockDrift));
}

/// Updates the clock offset with a clock reading that was just received.
void updateClockOffset(SenderUpstream &U, int64_t ClockMs, SteadyTime Now) {
  int64_t Offset = ClockMs - steadyMs(Now);
  // Transit makes a sample too low, so the highest is the most accurate. An
  // older sample may since be too high by the drift of a slow clock. It is kept
  // with its own time, so that the drift counts over the whole span: rounded at
  // each answer, it would be lost.
  if (U.ClockOffset &&
      Offset < *U.ClockOffset - maxDriftSince(U.ClockOffsetUpdated, Now))
    return;
  U.ClockOffset = Offset;
  U.ClockOffsetUpdated = Now;
}

/// End of a lease of length \p Lease that begins now, on the upstream's clock
/// in milliseconds. The drift is subtracted, so that the lease isn't longer.
int64_t leaseDeadline(const SenderUpstream &U, Duration Lease, SteadyTime Now) {
  return steadyMs(Now) + *U.ClockOffset -
         maxDriftSince(U.ClockOffsetUpdated, Now) + toMilliseconds(Lease);
}

/// Latest end of a lease of length \p Lease that was sent at \p Sent, on the
/// clock of this process.
SteadyTime leaseEnd(Duration Lease, SteadyTime Sent) {
  return Sent + onOwnClock(Lease);
}

/// Time after the end of a lease until its runs count as ended.
Duration expiryMargin(const FleetBounds &Bounds) {
  return Duration(Bounds.StopTimeout) + LeaseExpiryReserve;
}

/// Notes that a lease of length \p Lease is sent to \p U. Earlier ones may end
/// later.
void recordLease(SenderUpstream &U, const FleetBounds &Bounds, Duration Lease,
                 SteadyTime Now) {
  U.LeaseExpiry =
      std::max(U.LeaseExpiry, leaseEnd(Lease, Now) + expiryMargin(Bounds));
}

/// Records that a task of the job may have run.
void recordPossibleRun(SenderState &State, const JobId &Id) {
  auto Job = State.Jobs.find(Id);
  if (Job != State.Jobs.end())
    Job->second.MayHaveRun = true;
}

/// Removes a run from its upstream and applies its outcome to its job.
/// \p Rejected: the upstream has not accepted the start and will not carry it
/// out.
void finishRun(SenderState &State, SenderUpstream &U, const RunKey &Key,
               RunOutcome Outcome, SteadyTime Now, InstanceEffects &Out,
               bool Rejected = false) {
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

/// Applies a reported end to the run and, for a run that succeeded or failed,
/// to the health of its upstream.
void applyEndReport(SenderState &State, SenderUpstream &U, const EndReport &End,
                    SteadyTime Now, InstanceEffects &Out) {
  auto It = U.Runs.find(End.Key);
  if (It == U.Runs.end())
    return;
  SenderRun &Run = It->second;
  RunOutcome Outcome = RunOutcome::Aborted;
  if (End.Outcome == RunEnd::Done) {
    Outcome = RunOutcome::Done;
    ++State.Counts.RunsDone;
    auto Job = State.Jobs.find(End.Key.Job);
    if (Job != State.Jobs.end())
      recordRunTime(State.Learned, Job->second.Order, U, Now - Run.Ordered);
    recordSuccess(U);
  } else if (End.Outcome == RunEnd::Failed) {
    Outcome = RunOutcome::Failed;
    ++State.Counts.RunsFailed;
    recordFailure(U, End.Key.Job, Now, Out);
  }
  if (End.Outcome != RunEnd::Done)
    Out.push_back(LogDecision{
        DecisionPart::Upstreams, End.Key.Job.Value,
        "run=" + runText(End.Key) + " upstream=" + U.Record.Id.Value +
            " ended how=" + runEndName(End.Outcome) +
            " after_ms=" + std::to_string(toMilliseconds(Now - Run.Ordered)),
        /*Frequent=*/true});
  finishRun(State, U, End.Key, Outcome, Now, Out);
}

/// Returns true if a report that was requested at \p ReportRequested and
/// doesn't list the run proves that the run has ended or will not begin.
bool absenceProvesEnd(const SenderRun &Run, const FleetBounds &Bounds,
                      SteadyTime ReportRequested) {
  if (Run.StopAcknowledged)
    return *Run.StopAcknowledged + Bounds.StopTimeout < ReportRequested;
  if (Run.Phase == RunPhase::Running)
    return Run.Accepted < ReportRequested;
  // An upstream rejects a start once the lease in it has expired, unless its
  // clock has started anew since.
  return !Run.ProcessChanged &&
         leaseEnd(longestLease(Bounds), Run.Ordered) + expiryMargin(Bounds) <
             ReportRequested;
}

/// Updates the progress of the reported runs, records unknown ones as orphaned,
/// and ends runs whose absence from the report proves that they are over.
void applyRunningReports(SenderState &State, SenderUpstream &U,
                         const std::vector<RunningReport> &Running,
                         SteadyTime Now, InstanceEffects &Out) {
  std::set<RunKey> Listed;
  for (const RunningReport &R : Running) {
    Listed.insert(R.Key);
    auto It = U.Runs.find(R.Key);
    if (It == U.Runs.end()) {
      U.OrphanedRuns.try_emplace(R.Key, SteadyTime{});
      continue;
    }
    SenderRun &Run = It->second;
    if (Run.Percent != R.Percent || Run.LastProgress == SteadyTime{}) {
      Run.Percent = R.Percent;
      Run.LastProgress = Now;
    }
  }
  for (auto It = U.OrphanedRuns.begin(); It != U.OrphanedRuns.end();)
    It = Listed.count(It->first) ? std::next(It) : U.OrphanedRuns.erase(It);
  std::vector<RunKey> Ended;
  for (const auto &[Key, Run] : U.Runs)
    if (!Listed.count(Key) &&
        absenceProvesEnd(Run, State.Bounds, U.RenewalSent))
      Ended.push_back(Key);
  for (const RunKey &Key : Ended)
    finishRun(State, U, Key, RunOutcome::Aborted, Now, Out);
}

/// Stops stalled runs, so that their tasks can be started elsewhere.
void stopStalledRuns(SenderState &State, SenderUpstream &U, SteadyTime Now,
                     InstanceEffects &Out) {
  for (auto &[Key, Run] : U.Runs) {
    if (Run.Phase != RunPhase::Running || Run.StopRequested)
      continue;
    Duration Taken = Now - Run.Accepted;
    bool Overdue =
        toSeconds(Taken) > StallFactor * toSeconds(Run.ExpectedRunTime) &&
        Taken > StallTimeout;
    bool Stalled = Run.LastProgress != SteadyTime{} &&
                   Now - Run.LastProgress > StallTimeout;
    if (!Overdue || !Stalled)
      continue;
    ++State.Counts.RunsStalled;
    Out.push_back(LogDecision{
        DecisionPart::Upstreams, Key.Job.Value,
        "run=" + runText(Key) + " stalled upstream=" + U.Record.Id.Value +
            " percent=" + std::to_string(Run.Percent) + " taken_ms=" +
            std::to_string(toMilliseconds(Taken)) + " expected_ms=" +
            std::to_string(toMilliseconds(Run.ExpectedRunTime))});
    recordFailure(U, Key.Job, Now, Out);
    orderStop(U, Run, Now, Out);
  }
}

/// Counts a call without an answer and schedules the next one. \p NothingSent:
/// the call has not left this process, so the upstream is unreachable.
void recordNoAnswer(SenderState &State, SenderUpstream &U, bool NothingSent,
                    SteadyTime Now, InstanceEffects &Out) {
  ++U.UnansweredCalls;
  if (U.Phase == UpstreamPhase::Ready &&
      (U.UnansweredCalls >= 2 || NothingSent)) {
    U.Phase = UpstreamPhase::Unresponsive;
    logUpstream(Out, U,
                "is unresponsive, runs=" + std::to_string(U.Runs.size()));
  }
  Duration Pause = std::min<Duration>(
      RetryDelay * (1U << std::min(U.UnansweredCalls, 4U)) / 2, MaxRetryDelay);
  // Runs need a renewal before their lease expires, so the retry comes sooner.
  U.NextRenewal = U.Runs.empty() ? Now + Pause : Now + RetryDelay / 3;
}

/// Records a crash if the answer to an order shows that the process of \p U has
/// ended.
void checkProcess(SenderState &State, SenderUpstream &U, OrderStatus Status,
                  SteadyTime Now, InstanceEffects &Out) {
  if (Status == OrderStatus::Refused)
    recordCrash(State, U, CrashSign::Refused, nullptr, Now, Out);
  else if (Status == OrderStatus::OtherProcess)
    recordCrash(State, U, CrashSign::OtherProcess, nullptr, Now, Out);
}

/// Marks \p U as fenced off and reports its cell, once: a second report could
/// release a claim that was made since.
void recordFencing(SenderState &State, SenderUpstream &U,
                   std::optional<CellId> &FencedCell) {
  if (U.Phase == UpstreamPhase::Fenced)
    return;
  FencedCell = U.Cell;
  U.Phase = UpstreamPhase::Fenced;
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

/// Returns the upstream, or null if it is unknown or has another token.
SenderUpstream *findUpstream(SenderState &State, const UpstreamId &Id,
                             FencingToken Token) {
  auto It = State.Upstreams.find(Id);
  // Answers to orders under an earlier claim do not apply to this one.
  if (It == State.Upstreams.end() || It->second.Token != Token)
    return nullptr;
  return &It->second;
}

/// Sends a renewal. \p Lease is the length to which the lease is renewed;
/// unless it is positive, only the lists are read and ends acknowledged.
void sendRenewal(SenderState &State, SenderUpstream &U, Duration Lease,
                 std::chrono::milliseconds Wait, SteadyTime Now,
                 InstanceEffects &Out) {
  RenewUpstream Effect;
  Effect.Upstream = U.Record.Id;
  Effect.Endpoint = U.Record.Endpoint;
  Effect.Token = U.Token;
  Effect.AcknowledgeUpTo = U.AcknowledgeUpTo;
  // An upstream that doesn't state its process can't be told from the next one.
  if (U.ProcessKnownAt != SteadyTime{})
    Effect.AcknowledgeOnlyTo = ProcessCondition{U.StartedAt, U.ProcessKnownAt};
  Effect.Wait = Wait;
  Effect.Sequence = ++U.RenewalSequence;
  U.RenewalWaits = Wait.count() > 0;
  if (Lease > Duration::zero() && U.ClockOffset) {
    Effect.LeaseDeadlineMs = leaseDeadline(U, Lease, Now);
    recordLease(U, State.Bounds, Lease, Now);
  }
  U.RenewalPending = true;
  U.RenewalSent = Now;
  ++State.Counts.Renewals;
  Out.push_back(std::move(Effect));
}

/// Sends a renewal to a ready upstream if it has runs, or if there are ends to
/// acknowledge or orphaned runs to check.
void renewReadyUpstream(SenderState &State, SenderUpstream &U,
                        const ContactLookup &LastContact, SteadyTime Now,
                        InstanceEffects &Out) {
  bool Runs = std::any_of(U.Runs.begin(), U.Runs.end(), [](const auto &E) {
    return E.second.Phase != RunPhase::Starting;
  });
  if (Runs) {
    Duration Lease = mustLapse(State, U)
                         ? Duration::zero()
                         : grantableLease(State, U, LastContact, Now);
    sendRenewal(State, U, Lease, RenewalWait, Now, Out);
    return;
  }
  bool AcknowledgeDue = U.AcknowledgeUpTo > U.AcknowledgedUpTo &&
                        Now - U.FirstUnacknowledged >= AcknowledgeDelay;
  if (AcknowledgeDue || !U.OrphanedRuns.empty())
    sendRenewal(State, U, Duration::zero(), std::chrono::milliseconds(0), Now,
                Out);
}

/// Sends the stops of runs and orphaned runs that are due.
void repeatStops(SenderUpstream &U, SteadyTime Now, InstanceEffects &Out) {
  for (auto &[Key, Run] : U.Runs)
    if (Run.StopRequested && !Run.StopPending && !Run.StopAcknowledged &&
        Now - Run.StopSent >= StopRetryInterval)
      orderStop(U, Run, Now, Out);
  for (auto &[Key, Sent] : U.OrphanedRuns) {
    if (Sent != SteadyTime{} && Now - Sent < StopRetryInterval)
      continue;
    Sent = Now;
    Out.push_back(StopRun{U.Record.Id, U.Record.Endpoint, U.Token, Key});
  }
}

} // namespace

bool mustLapse(const SenderState &State, const SenderUpstream &U) {
  // The callers of these runs may submit their jobs again elsewhere, and the
  // stops may have been lost. Only the end of the lease is certain then.
  if (!U.OrphanedRuns.empty())
    return true;
  return !State.DetachedRuns.empty() &&
         std::any_of(U.Runs.begin(), U.Runs.end(), [&](const auto &Entry) {
           const SenderRun &Run = Entry.second;
           return Run.StopRequested && !Run.StopAcknowledged &&
                  State.DetachedRuns.count(Run.Key.Job);
         });
}

Duration grantableLease(const SenderState &State, const SenderUpstream &U,
                        const ContactLookup &LastContact, SteadyTime Now) {
  Duration Lease = longestLease(State.Bounds);
  for (const auto &[Key, Run] : U.Runs) {
    // An accepted stop ends the run before any lease.
    auto Job = State.Jobs.find(Key.Job);
    if (Run.StopAcknowledged || Job == State.Jobs.end())
      continue;
    Lease = std::min(Lease, leaseFor(State, LastContact(Job->second), Now));
  }
  return Lease;
}

Duration leaseFor(const SenderState &State, SteadyTime LastContact,
                  SteadyTime Now) {
  Duration Left = LastContact + contactLease(State.Bounds) - Now;
  return std::min(longestLease(State.Bounds), onUpstreamClock(Left));
}

bool outlastsContact(const SenderState &State, const SenderUpstream &U,
                     SteadyTime LastContact) {
  return U.LeaseExpiry - expiryMargin(State.Bounds) >
         LastContact + contactLease(State.Bounds);
}

void orderStart(SenderUpstream &U, const SenderJob &J, const RunKey &Key,
                Duration Expected, Duration Lease, const FleetBounds &Bounds,
                SteadyTime Now, InstanceEffects &Out) {
  SenderRun Run;
  Run.Key = Key;
  Run.Need = J.Order.Step.PerTask;
  Run.Ordered = Now;
  Run.ExpectedRunTime = Expected;
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

void renewUpstreams(
    SenderState &State,
    const std::function<bool(const UpstreamId &)> &HeldByPredecessor,
    const ContactLookup &LastContact, SteadyTime Now, InstanceEffects &Out) {
  for (auto &[Id, U] : State.Upstreams) {
    if (U.Phase == UpstreamPhase::AwaitingPredecessor) {
      if (HeldByPredecessor(Id))
        continue;
      beginSync(U, Now);
    }
    if (U.Phase == UpstreamPhase::Fenced)
      continue;
    repeatStops(U, Now, Out);
    if (U.RenewalPending || Now < U.NextRenewal)
      continue;
    if (U.Phase == UpstreamPhase::Ready)
      renewReadyUpstream(State, U, LastContact, Now, Out);
    else
      sendRenewal(State, U, Duration::zero(), std::chrono::milliseconds(0), Now,
                  Out);
  }
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

void applyRenewal(SenderState &State, const RenewalAnswered &Event,
                  SteadyTime Now, std::optional<CellId> &FencedCell,
                  InstanceEffects &Out) {
  SenderUpstream *U = findUpstream(State, Event.Upstream, Event.Token);
  if (!U || Event.Sequence != U->RenewalSequence || U->Released)
    return;
  U->RenewalPending = false;
  if (Event.Status == OrderStatus::Fenced) {
    recordFencing(State, *U, FencedCell);
    return;
  }
  // Only a renewal that waited for an end, and followed an answer of the same
  // process, would have reported each end.
  if (Event.LostAfter && !U->RenewalLost && U->RenewalWaits &&
      U->UnansweredCalls == 0 && !U->FormerProcess) {
    U->RenewalLost = Now;
    U->LostRenewalWait = *Event.LostAfter;
  }
  if (Event.Status != OrderStatus::Accepted || !Event.Report) {
    checkProcess(State, *U, Event.Status, Now, Out);
    recordNoAnswer(State, *U,
                   Event.Status == OrderStatus::NothingSent ||
                       Event.Status == OrderStatus::Refused,
                   Now, Out);
    // The next call tells whether the upstream has crashed.
    if (Event.LostAfter && U->UnansweredCalls <= MaxEarlyRenewals)
      U->NextRenewal = Now + (U->UnansweredCalls == 1 ? Duration::zero()
                                                      : EarlyRenewalDelay);
    if (Event.Status == OrderStatus::OtherProcess)
      U->Phase = UpstreamPhase::Unresponsive;
    return;
  }
  const UpstreamReport &Report = *Event.Report;
  if (U->StartedAt != 0 && Report.StartedAt != 0 &&
      Report.StartedAt != U->StartedAt) {
    U->FormerProcess = U->StartedAt;
    resetIncarnation(*U, Report.StartedAt, Out);
  }
  if (U->FormerProcess) {
    recordCrash(State, *U, CrashSign::NewReport, &Report, Now, Out);
    U->FormerProcess.reset();
  }
  U->LastReport = Now;
  U->RenewalLost.reset();
  // The process has survived the runs whose leases expired.
  U->LapsedRuns.clear();
  if (U->CrashRecorded)
    retractCrashes(State, *U);
  if (Report.StartedAt != 0) {
    U->StartedAt = Report.StartedAt;
    U->ProcessKnownAt = U->RenewalSent;
  }
  updateClockOffset(*U, Report.ClockMs, Now);
  U->UnansweredCalls = 0;
  // The acknowledgement may have been left out, or named ends of the process
  // before.
  U->AcknowledgedUpTo =
      std::max(U->AcknowledgedUpTo,
               std::min(Event.AcknowledgedUpTo, U->AcknowledgeUpTo));
  // Limits further renewals of an idle upstream that only acknowledge ends.
  if (U->AcknowledgedUpTo < U->AcknowledgeUpTo)
    U->FirstUnacknowledged = Now;
  for (const EndReport &End : Report.Ended)
    if (End.Number > U->AcknowledgeUpTo)
      applyEndReport(State, *U, End, Now, Out);
  if (Report.LastNumber > U->AcknowledgeUpTo) {
    if (U->AcknowledgeUpTo == U->AcknowledgedUpTo)
      U->FirstUnacknowledged = Now;
    U->AcknowledgeUpTo = Report.LastNumber;
  }
  // An earlier sender may have renewed the lease until this one's renewal
  // fenced it off.
  if (U->Phase == UpstreamPhase::Syncing)
    recordLease(*U, State.Bounds, longestLease(State.Bounds), Now);
  applyRunningReports(State, *U, Report.Running, Now, Out);
  stopStalledRuns(State, *U, Now, Out);
  U->NextRenewal = Now;
  if (U->Phase == UpstreamPhase::Ready)
    return;
  if (U->OrphanedRuns.empty()) {
    if (U->Phase == UpstreamPhase::Unresponsive)
      logUpstream(Out, *U, "responds again");
    U->Phase = UpstreamPhase::Ready;
    State.PlacementDue = true;
    return;
  }
  if (U->Phase != UpstreamPhase::Clearing)
    logUpstream(Out, *U,
                "has orphaned runs of an earlier sender, stopped=" +
                    std::to_string(U->OrphanedRuns.size()));
  U->Phase = UpstreamPhase::Clearing;
  U->NextRenewal = Now + Duration(State.Bounds.StopTimeout) / 2;
}

} // namespace snipeshunt
