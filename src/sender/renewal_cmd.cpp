/// \file Renewals of upstreams and the reports in their answers.
#include "sender/renewal_cmd.h"

#include "sender/crash_cmd.h"
#include "sender/estimate_func.h"
#include "sender/job_cmd.h"
#include "sender/lease_table.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>
#include <set>

namespace snipeshunt {

namespace {

// Interval at which a stop is repeated until the upstream accepts it, except
// for the first repetition.
constexpr Duration StopRetryInterval = std::chrono::milliseconds(200);

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

/// Applies a renewal that got no report.
void applyFailedRenewal(SenderState &State, SenderUpstream &U,
                        const RenewalAnswered &Event, SteadyTime Now,
                        InstanceEffects &Out) {
  checkProcess(State, U, Event.Status, Now, Out);
  recordNoAnswer(State, U,
                 Event.Status == OrderStatus::NothingSent ||
                     Event.Status == OrderStatus::Refused,
                 Now, Out);
  // The next call tells whether the upstream has crashed.
  if (Event.LostAfter && U.UnansweredCalls <= MaxEarlyRenewals)
    U.NextRenewal =
        Now + (U.UnansweredCalls == 1 ? Duration::zero() : EarlyRenewalDelay);
  if (Event.Status == OrderStatus::OtherProcess)
    U.Phase = UpstreamPhase::Unresponsive;
}

/// Applies what a report shows of the upstream's process: whether it is another
/// one, and its clock.
void applyReportedProcess(SenderState &State, SenderUpstream &U,
                          const UpstreamReport &Report, SteadyTime Now,
                          InstanceEffects &Out) {
  if (U.StartedAt != 0 && Report.StartedAt != 0 &&
      Report.StartedAt != U.StartedAt) {
    U.FormerProcess = U.StartedAt;
    resetIncarnation(U, Report.StartedAt, Out);
  }
  if (U.FormerProcess) {
    recordCrash(State, U, CrashSign::NewReport, &Report, Now, Out);
    U.FormerProcess.reset();
  }
  U.LastReport = Now;
  U.RenewalLost.reset();
  // The process has survived the runs whose leases expired.
  U.LapsedRuns.clear();
  if (U.CrashRecorded)
    retractCrashes(State, U);
  if (Report.StartedAt != 0) {
    U.StartedAt = Report.StartedAt;
    U.ProcessKnownAt = U.RenewalSent;
  }
  updateClockOffset(U, Report.ClockMs, Now);
  U.UnansweredCalls = 0;
}

/// Applies the reported ends and records what is to be acknowledged.
void applyReportedEnds(SenderState &State, SenderUpstream &U,
                       const RenewalAnswered &Event, SteadyTime Now,
                       InstanceEffects &Out) {
  const UpstreamReport &Report = *Event.Report;
  // The acknowledgement may have been left out, or named ends of the process
  // before.
  U.AcknowledgedUpTo = std::max(
      U.AcknowledgedUpTo, std::min(Event.AcknowledgedUpTo, U.AcknowledgeUpTo));
  // Limits further renewals of an idle upstream that only acknowledge ends.
  if (U.AcknowledgedUpTo < U.AcknowledgeUpTo)
    U.FirstUnacknowledged = Now;
  for (const EndReport &End : Report.Ended)
    if (End.Number > U.AcknowledgeUpTo)
      applyEndReport(State, U, End, Now, Out);
  if (Report.LastNumber > U.AcknowledgeUpTo) {
    if (U.AcknowledgeUpTo == U.AcknowledgedUpTo)
      U.FirstUnacknowledged = Now;
    U.AcknowledgeUpTo = Report.LastNumber;
  }
}

/// Sets the phase of an upstream after a report, and the time of its next
/// renewal.
void updatePhase(SenderState &State, SenderUpstream &U, SteadyTime Now,
                 InstanceEffects &Out) {
  U.NextRenewal = Now;
  if (U.Phase == UpstreamPhase::Ready)
    return;
  if (U.OrphanedRuns.empty()) {
    if (U.Phase == UpstreamPhase::Unresponsive)
      logUpstream(Out, U, "responds again");
    U.Phase = UpstreamPhase::Ready;
    State.PlacementDue = true;
    return;
  }
  if (U.Phase != UpstreamPhase::Clearing)
    logUpstream(Out, U,
                "has orphaned runs of an earlier sender, stopped=" +
                    std::to_string(U.OrphanedRuns.size()));
  U.Phase = UpstreamPhase::Clearing;
  U.NextRenewal = Now + Duration(State.Bounds.StopTimeout) / 2;
}

} // namespace

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
  if (Event.Status != OrderStatus::Accepted || !Event.Report)
    return applyFailedRenewal(State, *U, Event, Now, Out);
  applyReportedProcess(State, *U, *Event.Report, Now, Out);
  applyReportedEnds(State, *U, Event, Now, Out);
  // An earlier sender may have renewed the lease until this one's renewal
  // fenced it off.
  if (U->Phase == UpstreamPhase::Syncing)
    recordLease(*U, State.Bounds, longestLease(State.Bounds), Now);
  applyRunningReports(State, *U, Event.Report->Running, Now, Out);
  stopStalledRuns(State, *U, Now, Out);
  updatePhase(State, *U, Now, Out);
}

} // namespace snipeshunt
