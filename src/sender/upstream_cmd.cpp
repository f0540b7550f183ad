/// \file State changes of a sender's upstreams and their runs.
#include "sender/upstream_cmd.h"

#include "sender/estimate_func.h"
#include "sender/job_cmd.h"
#include "sender/sender_table.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Stops are repeated until they are answered.
constexpr Duration StopRepeat = std::chrono::milliseconds(200);

int64_t steadyMs(SteadyTime T) { return toMilliseconds(T.time_since_epoch()); }

int64_t driftSince(SteadyTime Since, SteadyTime Now) {
  return static_cast<int64_t>(static_cast<double>(toMilliseconds(Now - Since)) *
                              ClockSlowness);
}

void readClock(OwnUpstream &U, int64_t ClockMs, SteadyTime Now) {
  int64_t Offset = ClockMs - steadyMs(Now);
  // The answer that travelled least shows the clock best. An older offset may
  // be too high by the drift of a slow clock.
  if (U.ClockOffset)
    Offset = std::max(Offset, *U.ClockOffset - driftSince(U.ClockRead, Now));
  U.ClockOffset = Offset;
  U.ClockRead = Now;
}

/// End of a lease that begins now, on the upstream's clock.
int64_t leaseDeadline(const OwnUpstream &U, const FleetBounds &Bounds,
                      SteadyTime Now) {
  return steadyMs(Now) + *U.ClockOffset - driftSince(U.ClockRead, Now) +
         Bounds.MaxLease.count();
}

/// Latest end of a lease that was sent at \p Sent.
SteadyTime lapseAfter(const FleetBounds &Bounds, SteadyTime Sent) {
  Duration Lease = Bounds.MaxLease;
  return Sent + Lease +
         std::chrono::duration_cast<Duration>(Lease * ClockSlowness) +
         LapseMargin;
}

/// Takes a run off its upstream and tells its job.
void settleRun(SenderState &State, OwnUpstream &U, const RunKey &Key,
               RunFate Fate, SteadyTime Now, InstanceEffects &Out) {
  auto It = U.Runs.find(Key);
  if (It == U.Runs.end())
    return;
  U.Free += It->second.Need;
  U.Runs.erase(It);
  State.Changed = true;
  forgetRemnant(State, Key.Job);
  applyRunFate(State, U.Entry.Id, Key, Fate, Now, Out);
}

void settleAllRuns(SenderState &State, OwnUpstream &U, SteadyTime Now,
                   InstanceEffects &Out) {
  std::vector<RunKey> Keys;
  for (const auto &[Key, Run] : U.Runs)
    Keys.push_back(Key);
  for (const RunKey &Key : Keys)
    settleRun(State, U, Key, RunFate::Gone, Now, Out);
}

/// Gives an unhealthy upstream a pause, longer each time.
void startProbing(OwnUpstream &U, const char *Why, SteadyTime Now,
                  InstanceEffects &Out) {
  U.ProbeDelay =
      U.Probing ? std::min(U.ProbeDelay * 2, LongestProbePause) : ProbePause;
  U.Probing = true;
  U.BlockedUntil = Now + U.ProbeDelay;
  logUpstream(Out, U,
              std::string("gets one run at a time: ") + Why +
                  " failures=" + std::to_string(U.Failures) +
                  " pause_ms=" + std::to_string(toMilliseconds(U.ProbeDelay)));
}

void noteFailure(OwnUpstream &U, const JobId &Job, SteadyTime Now,
                 InstanceEffects &Out) {
  // Tasks of one job may fail everywhere.
  if (U.LastFailedJob == Job && U.Failures > 0)
    return;
  U.LastFailedJob = Job;
  if (++U.Failures >= FailuresBeforeProbe || U.Probing)
    startProbing(U, "runs fail", Now, Out);
}

void applyEnd(SenderState &State, OwnUpstream &U, const EndReport &End,
              SteadyTime Now, InstanceEffects &Out) {
  auto It = U.Runs.find(End.Key);
  if (It == U.Runs.end())
    return;
  OwnRun &Run = It->second;
  RunFate Fate = RunFate::Gone;
  if (End.How == RunEnd::Done) {
    Fate = RunFate::Done;
    ++State.Counts.RunsDone;
    auto Job = State.Jobs.find(End.Key.Job);
    if (Job != State.Jobs.end())
      learnFromRun(State.Learned, Job->second.Order, U, Now - Run.Ordered);
    noteSuccess(U);
  } else if (End.How == RunEnd::Failed) {
    Fate = RunFate::Failed;
    ++State.Counts.RunsFailed;
    noteFailure(U, End.Key.Job, Now, Out);
  }
  if (End.How != RunEnd::Done)
    Out.push_back(LogDecision{
        DecisionPart::Upstreams, End.Key.Job.Value,
        "run=" + runText(End.Key) + " upstream=" + U.Entry.Id.Value +
            " ended how=" + runEndName(End.How) +
            " after_ms=" + std::to_string(toMilliseconds(Now - Run.Ordered)),
        /*Frequent=*/true});
  settleRun(State, U, End.Key, Fate, Now, Out);
}

/// Whether a report that was asked for at \p Asked and doesn't list the run
/// proves that it is over.
bool absenceProvesEnd(const OwnRun &Run, const FleetBounds &Bounds,
                      SteadyTime Asked) {
  if (Run.StopAcknowledged)
    return *Run.StopAcknowledged + Bounds.StopTimeout < Asked;
  if (Run.Phase == RunPhase::Running)
    return Run.Accepted < Asked;
  // A start is refused once its own lease is over.
  return lapseAfter(Bounds, Run.Ordered) < Asked;
}

void applyRunning(SenderState &State, OwnUpstream &U,
                  const std::vector<RunningReport> &Running, SteadyTime Now,
                  InstanceEffects &Out) {
  std::set<RunKey> Listed;
  for (const RunningReport &R : Running) {
    Listed.insert(R.Key);
    auto It = U.Runs.find(R.Key);
    if (It == U.Runs.end()) {
      U.Foreign.try_emplace(R.Key, SteadyTime{});
      continue;
    }
    OwnRun &Run = It->second;
    if (Run.Percent != R.Percent || Run.Progressed == SteadyTime{}) {
      Run.Percent = R.Percent;
      Run.Progressed = Now;
    }
  }
  for (auto It = U.Foreign.begin(); It != U.Foreign.end();)
    It = Listed.count(It->first) ? std::next(It) : U.Foreign.erase(It);
  std::vector<RunKey> Ended;
  for (const auto &[Key, Run] : U.Runs)
    if (!Listed.count(Key) &&
        absenceProvesEnd(Run, State.Bounds, U.RenewalSent))
      Ended.push_back(Key);
  for (const RunKey &Key : Ended)
    settleRun(State, U, Key, RunFate::Gone, Now, Out);
}

/// Stops runs that stand still, so that they can run elsewhere.
void stopStuckRuns(SenderState &State, OwnUpstream &U, SteadyTime Now,
                   InstanceEffects &Out) {
  for (auto &[Key, Run] : U.Runs) {
    if (Run.Phase != RunPhase::Running || Run.StopWanted)
      continue;
    Duration Taken = Now - Run.Accepted;
    bool Overdue = toSeconds(Taken) > StuckFactor * toSeconds(Run.Expected) &&
                   Taken > StuckTime;
    bool Still =
        Run.Progressed != SteadyTime{} && Now - Run.Progressed > StuckTime;
    if (!Overdue || !Still)
      continue;
    ++State.Counts.RunsStuck;
    Out.push_back(LogDecision{
        DecisionPart::Upstreams, Key.Job.Value,
        "run=" + runText(Key) + " stands still upstream=" + U.Entry.Id.Value +
            " percent=" + std::to_string(Run.Percent) +
            " taken_ms=" + std::to_string(toMilliseconds(Taken)) +
            " expected_ms=" + std::to_string(toMilliseconds(Run.Expected))});
    noteFailure(U, Key.Job, Now, Out);
    orderStop(U, Run, Now, Out);
  }
}

void noteSilence(SenderState &State, OwnUpstream &U, bool Refused,
                 SteadyTime Now, InstanceEffects &Out) {
  ++U.Unanswered;
  if (U.Phase == UpstreamPhase::Ready && (U.Unanswered >= 2 || Refused)) {
    U.Phase = UpstreamPhase::Silent;
    logUpstream(Out, U,
                "does not answer, runs=" + std::to_string(U.Runs.size()));
  }
  Duration Pause = std::min<Duration>(
      RetryPause * (1U << std::min(U.Unanswered, 4U)) / 2, LongestRetryPause);
  // While runs are under way, the lease leaves time for another try.
  U.NextRenewal = U.Runs.empty() ? Now + Pause : Now + RetryPause / 3;
}

void noteFence(OwnUpstream &U, std::optional<CellId> &Fenced) {
  Fenced = U.Cell;
  U.Phase = UpstreamPhase::Fenced;
}

OwnUpstream *findUpstream(SenderState &State, const UpstreamId &Id,
                          FencingToken Token) {
  auto It = State.Upstreams.find(Id);
  // An answer to orders under an earlier claim says nothing of this one.
  if (It == State.Upstreams.end() || It->second.Token != Token)
    return nullptr;
  return &It->second;
}

void sendRenewal(SenderState &State, OwnUpstream &U, bool Prolong,
                 std::chrono::milliseconds Wait, SteadyTime Now,
                 InstanceEffects &Out) {
  RenewUpstream Effect;
  Effect.Upstream = U.Entry.Id;
  Effect.Where = U.Entry.Where;
  Effect.Token = U.Token;
  Effect.AcknowledgeUpTo = U.AcknowledgeUpTo;
  Effect.Wait = Wait;
  Effect.Sequence = ++U.RenewalSequence;
  if (Prolong && U.ClockOffset) {
    Effect.DeadlineClock = leaseDeadline(U, State.Bounds, Now);
    U.LapseBy = lapseAfter(State.Bounds, Now);
  }
  U.RenewalPending = true;
  U.RenewalSent = Now;
  ++State.Counts.Renewals;
  Out.push_back(std::move(Effect));
}

void renewReady(SenderState &State, OwnUpstream &U, SteadyTime Now,
                InstanceEffects &Out) {
  bool Runs = std::any_of(U.Runs.begin(), U.Runs.end(), [](const auto &E) {
    return E.second.Phase != RunPhase::Starting;
  });
  if (Runs) {
    // Foreign runs must not be prolonged; they are stopped first.
    sendRenewal(State, U, U.Foreign.empty(), RenewalWait, Now, Out);
    return;
  }
  bool AcknowledgeDue = U.AcknowledgeUpTo > U.AcknowledgedUpTo &&
                        Now - U.FirstUnacknowledged >= AcknowledgeDelay;
  if (AcknowledgeDue || !U.Foreign.empty())
    sendRenewal(State, U, false, std::chrono::milliseconds(0), Now, Out);
}

void repeatStops(OwnUpstream &U, SteadyTime Now, InstanceEffects &Out) {
  for (auto &[Key, Run] : U.Runs)
    if (Run.StopWanted && !Run.StopPending && !Run.StopAcknowledged &&
        Now - Run.StopSent >= StopRepeat)
      orderStop(U, Run, Now, Out);
  for (auto &[Key, Sent] : U.Foreign) {
    if (Sent != SteadyTime{} && Now - Sent < StopRepeat)
      continue;
    Sent = Now;
    Out.push_back(StopRun{U.Entry.Id, U.Entry.Where, U.Token, Key});
  }
}

} // namespace

void orderStart(OwnUpstream &U, const SenderJob &J, const RunKey &Key,
                Duration Expected, const FleetBounds &Bounds, SteadyTime Now,
                InstanceEffects &Out) {
  OwnRun Run;
  Run.Key = Key;
  Run.Need = J.Order.Step.Each;
  Run.Ordered = Now;
  Run.Expected = Expected;
  U.Free -= Run.Need;
  U.Runs[Key] = Run;
  U.LapseBy = lapseAfter(Bounds, Now);
  StartRun Effect;
  Effect.Upstream = U.Entry.Id;
  Effect.Where = U.Entry.Where;
  Effect.Token = U.Token;
  Effect.Key = Key;
  Effect.Spec = J.Order.Spec;
  Effect.DeadlineClock = leaseDeadline(U, Bounds, Now);
  Out.push_back(std::move(Effect));
}

void orderStop(OwnUpstream &U, OwnRun &Run, SteadyTime Now,
               InstanceEffects &Out) {
  Run.StopWanted = true;
  if (Run.StopPending || Run.StopAcknowledged)
    return;
  Run.StopPending = true;
  Run.StopSent = Now;
  Out.push_back(StopRun{U.Entry.Id, U.Entry.Where, U.Token, Run.Key});
}

void renewUpstreams(SenderState &State,
                    const std::function<bool(const UpstreamId &)> &Held,
                    SteadyTime Now, InstanceEffects &Out) {
  for (auto &[Id, U] : State.Upstreams) {
    if (U.Phase == UpstreamPhase::Waiting) {
      if (Held(Id))
        continue;
      beginLooking(U, Now);
    }
    if (U.Phase == UpstreamPhase::Fenced)
      continue;
    repeatStops(U, Now, Out);
    if (U.RenewalPending || Now < U.NextRenewal)
      continue;
    if (U.Phase == UpstreamPhase::Ready)
      renewReady(State, U, Now, Out);
    else
      sendRenewal(State, U, false, std::chrono::milliseconds(0), Now, Out);
  }
}

void settleLapsedRuns(SenderState &State, SteadyTime Now,
                      InstanceEffects &Out) {
  for (auto &[Id, U] : State.Upstreams) {
    if (U.Runs.empty() || Now <= U.LapseBy)
      continue;
    logUpstream(Out, U,
                "leases have lapsed, runs=" + std::to_string(U.Runs.size()));
    settleAllRuns(State, U, Now, Out);
  }
}

void applyStartAnswer(SenderState &State, const StartAnswered &Event,
                      SteadyTime Now, std::optional<CellId> &Fenced,
                      InstanceEffects &Out) {
  OwnUpstream *U = findUpstream(State, Event.Upstream, Event.Token);
  if (!U)
    return;
  if (Event.ClockMs)
    readClock(*U, *Event.ClockMs, Now);
  auto It = U->Runs.find(Event.Key);
  if (It == U->Runs.end())
    return;
  OwnRun &Run = It->second;
  if (Event.Verdict == OrderVerdict::Accepted) {
    Run.Phase = RunPhase::Running;
    Run.Accepted = Now;
    U->Unanswered = 0;
    if (!U->RenewalPending)
      U->NextRenewal = Now;
    return;
  }
  ++State.Counts.RunsRejected;
  Out.push_back(LogDecision{
      DecisionPart::Upstreams, Event.Key.Job.Value,
      "run=" + runText(Event.Key) + " upstream=" + U->Entry.Id.Value +
          " not accepted verdict=" + orderVerdictName(Event.Verdict),
      /*Frequent=*/true});
  if (Event.Verdict == OrderVerdict::Unknown) {
    Run.Phase = RunPhase::Doubtful;
    // The stop makes the upstream refuse the start if it comes later.
    orderStop(*U, Run, Now, Out);
    U->NextRenewal = std::min(U->NextRenewal, Now);
    return;
  }
  switch (Event.Verdict) {
  case OrderVerdict::NoRoom:
    U->BlockedUntil = std::max(U->BlockedUntil, Now + FullPause);
    break;
  case OrderVerdict::Overloaded:
    noteFailure(*U, Event.Key.Job, Now, Out);
    U->BlockedUntil = std::max(U->BlockedUntil, Now + FullPause);
    break;
  case OrderVerdict::NothingSent:
    noteSilence(State, *U, true, Now, Out);
    break;
  case OrderVerdict::OtherLife:
    U->Phase = UpstreamPhase::Silent;
    U->NextRenewal = Now + RetryPause;
    break;
  case OrderVerdict::TooLate:
    U->ClockOffset.reset();
    if (Event.ClockMs)
      readClock(*U, *Event.ClockMs, Now);
    break;
  case OrderVerdict::Fenced:
    noteFence(*U, Fenced);
    break;
  default:
    break;
  }
  // The upstream looks no fuller than before, so it is asked for its lists.
  if (Event.Verdict == OrderVerdict::NoRoom && !U->RenewalPending &&
      U->Runs.size() == 1)
    sendRenewal(State, *U, false, std::chrono::milliseconds(0), Now, Out);
  settleRun(State, *U, Event.Key, RunFate::Gone, Now, Out);
}

void applyStopAnswer(SenderState &State, const StopAnswered &Event,
                     SteadyTime Now, std::optional<CellId> &Fenced,
                     InstanceEffects &Out) {
  OwnUpstream *U = findUpstream(State, Event.Upstream, Event.Token);
  if (!U)
    return;
  if (Event.Verdict == OrderVerdict::Fenced) {
    noteFence(*U, Fenced);
  }
  auto It = U->Runs.find(Event.Key);
  if (It == U->Runs.end())
    return;
  It->second.StopPending = false;
  if (Event.Verdict != OrderVerdict::Accepted)
    return;
  It->second.StopAcknowledged = Now;
  ++State.Counts.RunsStopped;
  // Its end is listed within the stop timeout.
  if (!U->RenewalPending)
    U->NextRenewal =
        std::min(U->NextRenewal, Now + Duration(State.Bounds.StopTimeout) +
                                     std::chrono::milliseconds(5));
}

void applyRenewal(SenderState &State, const RenewalAnswered &Event,
                  SteadyTime Now, std::optional<CellId> &Fenced,
                  InstanceEffects &Out) {
  OwnUpstream *U = findUpstream(State, Event.Upstream, Event.Token);
  if (!U || Event.Sequence != U->RenewalSequence)
    return;
  U->RenewalPending = false;
  if (Event.Verdict == OrderVerdict::Fenced) {
    noteFence(*U, Fenced);
    return;
  }
  if (Event.Verdict != OrderVerdict::Accepted || !Event.Report) {
    noteSilence(State, *U, Event.Verdict == OrderVerdict::NothingSent, Now,
                Out);
    if (Event.Verdict == OrderVerdict::OtherLife)
      U->Phase = UpstreamPhase::Silent;
    return;
  }
  const UpstreamReport &Report = *Event.Report;
  if (U->Born != 0 && Report.Born != 0 && Report.Born != U->Born)
    resetLife(*U, Report.Born, Out);
  if (Report.Born != 0)
    U->Born = Report.Born;
  readClock(*U, Report.ClockMs, Now);
  U->Unanswered = 0;
  U->AcknowledgedUpTo = std::max(U->AcknowledgedUpTo, U->AcknowledgeUpTo);
  for (const EndReport &End : Report.Ended)
    if (End.Number > U->AcknowledgeUpTo)
      applyEnd(State, *U, End, Now, Out);
  if (Report.LastNumber > U->AcknowledgeUpTo) {
    if (U->AcknowledgeUpTo == U->AcknowledgedUpTo)
      U->FirstUnacknowledged = Now;
    U->AcknowledgeUpTo = Report.LastNumber;
  }
  applyRunning(State, *U, Report.Running, Now, Out);
  stopStuckRuns(State, *U, Now, Out);
  U->NextRenewal = Now;
  if (U->Phase == UpstreamPhase::Ready)
    return;
  if (U->Foreign.empty()) {
    if (U->Phase == UpstreamPhase::Silent)
      logUpstream(Out, *U, "answers again");
    U->Phase = UpstreamPhase::Ready;
    State.Changed = true;
    return;
  }
  if (U->Phase != UpstreamPhase::Clearing)
    logUpstream(Out, *U,
                "has runs of an earlier sender, stopped=" +
                    std::to_string(U->Foreign.size()));
  U->Phase = UpstreamPhase::Clearing;
  U->NextRenewal = Now + Duration(State.Bounds.StopTimeout) / 2;
}

} // namespace snipeshunt
