/// \file State changes of a sender's jobs.
#include "sender/job_cmd.h"

#include "core/duration_func.h"
#include "sender/crash_cmd.h"
#include "sender/estimate_func.h"
#include "sender/remote_cancel_cmd.h"
#include "sender/room_share_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace snipeshunt {

namespace {

constexpr const char *EvacuatedReason = "its data centre is evacuated";
constexpr const char *PausedReason =
    "starts are withheld until the evacuated data centres are known";
constexpr const char *CrashReason =
    "upstreams crashed under one of its tasks in an earlier submission";

void answer(SenderState &State, const JobId &Id, const JobWaiter &Waiter,
            JobResult Result, SteadyTime Now, InstanceEffects &Out) {
  // Nobody has use for the crashes of a job that is done, and instances of an
  // older version can't read them.
  if (Result.Outcome != JobOutcome::Done)
    Result.Crashes = crashesOf(State.Crashes, Id);
  Result.Load = senderLoad(State, Now);
  if (Result.Outcome == JobOutcome::NotRun)
    Result.RetryAfter = std::max(MinRetryAfter, Result.Load.Delay);
  // Requests of this instance's own entry are marked, so that the instance
  // reducer delivers their answers itself instead of sending them.
  RequestId Request = Waiter.Request;
  if (Waiter.Local)
    Request.Value |= LocalRequestBit;
  Out.push_back(AnswerJob{Request, std::move(Result)});
}

void logJob(InstanceEffects &Out, const JobId &Id, std::string Message) {
  Out.push_back(LogDecision{DecisionPart::Sender, Id.Value, std::move(Message),
                            /*Frequent=*/true});
}

/// Returns the result of an earlier submission of a job, or null.
const RetainedResult *retainedResult(const SenderState &State, const JobId &Id,
                                     SteadyTime Now) {
  auto It = State.RetainedResults.find(Id);
  bool Retained = It != State.RetainedResults.end() &&
                  Now - It->second.Ended <= ResultRetention;
  return Retained ? &It->second : nullptr;
}

/// Retains a result and expires old ones.
void retainResult(SenderState &State, const JobId &Id, RetainedResult Result) {
  SteadyTime Now = Result.Ended;
  State.RetainedResults[Id] = std::move(Result);
  State.RetainedResultOrder.emplace_back(Now, Id);
  while (!State.RetainedResultOrder.empty() &&
         (Now - State.RetainedResultOrder.front().first > ResultRetention ||
          State.RetainedResultOrder.size() > MaxRetainedResults)) {
    auto Retained =
        State.RetainedResults.find(State.RetainedResultOrder.front().second);
    if (Retained != State.RetainedResults.end() &&
        Retained->second.Ended == State.RetainedResultOrder.front().first)
      State.RetainedResults.erase(Retained);
    State.RetainedResultOrder.pop_front();
  }
}

/// Returns true if tasks were started for an earlier submission of a job that
/// is rejected. Its result is retained anew, since the job may be submitted
/// again.
bool renewStartedResult(SenderState &State, const JobId &Id, SteadyTime Now) {
  const RetainedResult *Earlier = retainedResult(State, Id, Now);
  if (!Earlier || Earlier->LastRun == 0)
    return false;
  RetainedResult Renewed = *Earlier;
  Renewed.Ended = Now;
  retainResult(State, Id, std::move(Renewed));
  return true;
}

void rejectJob(SenderState &State, const JobOrder &Order,
               const JobWaiter &Waiter, std::string Reason, bool Moved,
               SteadyTime Now, InstanceEffects &Out) {
  ++State.Counts.JobsRejected;
  JobResult Result;
  Result.Outcome = JobOutcome::NotRun;
  Result.Reason = std::move(Reason);
  Result.Moved = Moved;
  Result.Leaving = State.Draining;
  Result.MayHaveRun = renewStartedResult(State, Order.Id, Now) ||
                      !crashesOf(State.Crashes, Order.Id).empty();
  Result.Cancelled = isCancelledRemotely(State.Cancelled, Order.Id, Now);
  logJob(Out, Order.Id,
         (Result.MayHaveRun ? "rejected, started for an earlier submission: "
                            : "rejected, nothing was started: ") +
             Result.Reason);
  answer(State, Order.Id, Waiter, std::move(Result), Now, Out);
}

/// Returns true if the total capacity of an upstream covers a task of \p Order,
/// or the list of upstreams is still being read.
bool fitsAnyUpstream(const SenderState &State, const JobOrder &Order) {
  return State.UpstreamListPending ||
         std::any_of(State.Upstreams.begin(), State.Upstreams.end(),
                     [&](const auto &Entry) {
                       const SenderUpstream &U = Entry.second;
                       return !State.Withheld.Centres.count(U.Record.Centre) &&
                              U.Phase != UpstreamPhase::Fenced &&
                              U.Record.Service == Order.Service &&
                              U.Record.Capacity.covers(Order.Step.PerTask);
                     });
}

SenderJob makeJob(const SenderState &State, const JobOrder &Order,
                  const JobWaiter &Waiter, SteadyTime Now) {
  SenderJob J;
  J.Order = Order;
  J.Waiter = Waiter;
  J.Tasks.resize(Order.Step.Count);
  J.WaitingTasks = J.UnfinishedTasks = Order.Step.Count;
  J.Arrived = Now - Order.Age;
  J.Deadline = Now + Order.Remaining;
  J.ExpectedRunTime = typicalRunTime(State.Learned, Order);
  Duration Objective = scaled(J.ExpectedRunTime, Order.Stretch) + Order.Slack;
  J.Objective = J.Arrived + Objective;
  J.LatestUsefulEnd =
      std::min(J.Deadline, J.Arrived + scaled(Objective, MaxLatenessFactor));
  return J;
}

int64_t waitingCpu(const SenderJob &J) {
  return J.Order.Step.PerTask.CpuMillis * static_cast<int64_t>(J.WaitingTasks);
}

/// Expected processor time of the waiting tasks, in thousandths of
/// core-seconds.
double waitingWork(const SenderJob &J) {
  return static_cast<double>(waitingCpu(J)) * toSeconds(J.ExpectedRunTime);
}

// Resolution and number of the steps in which the ends of runs are counted. Of
// a job that waits for longer, the exact time does not matter.
constexpr Duration EndStep = std::chrono::milliseconds(10);
constexpr size_t EndSteps = 32;

/// Capacity and use of the upstreams that are or will soon be usable.
struct CapacityUsage {
  bool Unknown = false;   ///< The list of upstreams is being read.
  int64_t TotalCpu = 0;   ///< Thousandths of a core.
  int64_t FreeCpu = 0;    ///< Thousandths of a core.
  double RunningWork = 0; ///< Rest of the runs, as in `waitingWork`.
};

/// When capacity for tasks of one job becomes free.
struct FreeTimes {
  int64_t PerTask = 1;   ///< Need of a task in thousandths of a core, above 0.
  int64_t FreeTasks = 0; ///< Tasks that could start now.
  /// Thousandths of a core that runs free, by the step in which they are
  /// expected to end.
  std::array<int64_t, EndSteps> FreedCpu{};

  /// Time until \p Tasks could start if no other task waited.
  Duration timeUntilFree(int64_t Tasks) const {
    int64_t Missing = (Tasks - FreeTasks) * PerTask;
    size_t Step = 0;
    while (Missing > 0 && Step < EndSteps)
      Missing -= FreedCpu[Step++];
    return EndStep * static_cast<int64_t>(Step);
  }
};

/// \p Times is filled in unless it is null.
CapacityUsage measureCapacity(const SenderState &State, SteadyTime Now,
                              FreeTimes *Times = nullptr) {
  CapacityUsage Usage;
  if (State.Withheld.ReturnsJobs)
    return Usage;
  Usage.Unknown = State.UpstreamListPending;
  for (const auto &[Id, U] : State.Upstreams) {
    if (U.Phase == UpstreamPhase::Unresponsive ||
        U.Phase == UpstreamPhase::Fenced || U.Record.Draining ||
        State.Withheld.Centres.count(U.Record.Centre))
      continue;
    // Upstreams of a newly claimed cell count too, as they will soon be ready.
    Usage.TotalCpu += U.Record.Capacity.CpuMillis;
    if (acceptsStarts(U, Now)) {
      Usage.FreeCpu += U.Free.CpuMillis;
      if (Times)
        Times->FreeTasks += U.Free.CpuMillis / Times->PerTask;
    }
    for (const auto &[Key, Run] : U.Runs) {
      Duration Left =
          std::max(Duration::zero(), Run.ExpectedRunTime - (Now - Run.Ordered));
      Usage.RunningWork +=
          static_cast<double>(Run.Need.CpuMillis) * toSeconds(Left);
      if (Times)
        Times->FreedCpu[std::min<size_t>(Left / EndStep, EndSteps - 1)] +=
            Run.Need.CpuMillis;
    }
  }
  return Usage;
}

/// Expected wait of a task behind waiting tasks that need \p Cpu thousandths of
/// a core and \p Work thousandths of core-seconds in total.
Duration delayBehind(const CapacityUsage &Usage, int64_t Cpu, double Work) {
  if (Usage.Unknown)
    return Duration::zero();
  if (Usage.TotalCpu == 0)
    return NoUpstreamDelay;
  if (Cpu <= Usage.FreeCpu / 2)
    return Duration::zero();
  double Usable = static_cast<double>(Usage.TotalCpu) * UsableCpuShare;
  return fromSeconds((Work + Usage.RunningWork * FirstEndShare) / Usable);
}

double decayedWork(const OfferedWork &Offered, SteadyTime Now) {
  return Offered.Work *
         std::exp(-toSeconds(Now - Offered.Updated) / OfferedDecaySeconds);
}

void recordOfferedWork(OfferedWork &Offered, const SenderJob &J,
                       SteadyTime Now) {
  Offered.Work = decayedWork(Offered, Now) + waitingWork(J);
  Offered.Updated = Now;
}

/// Share of the capacity that jobs in time leave to late jobs.
double spareShare(const SenderState &State, const CapacityUsage &Usage,
                  SteadyTime Now) {
  double Rate = decayedWork(State.Offered, Now) / OfferedDecaySeconds;
  double Usable = static_cast<double>(Usage.TotalCpu) * UsableCpuShare;
  return Usable <= 0 ? MinSpareShare
                     : std::clamp(1 - Rate / Usable, MinSpareShare, 1.0);
}

/// Expected wait of a new job.
struct ExpectedWait {
  Duration Delay{0};
  bool Late = false; ///< The job would miss its objective.
  /// During an overload: capacity is free that no other job waits for.
  bool FreeNow = false;
};

/// Expected wait of \p J behind the jobs that rank before it.
ExpectedWait expectedWait(const SenderState &State, const SenderJob &J,
                          SteadyTime Now) {
  QueueRank Own = rankOf(State, J, Now);
  int64_t Cpu = 0;
  double Work = 0;
  int64_t LateCpu = 0;
  double LateWork = 0;
  for (const auto &[Id, Other] : State.Jobs) {
    if (Other.WaitingTasks == 0)
      continue;
    QueueRank Rank = rankOf(State, Other, Now);
    if (Rank < Own) {
      Cpu += waitingCpu(Other);
      Work += waitingWork(Other);
    }
    LateCpu += waitingCpu(Other);
    LateWork += waitingWork(Other);
  }
  FreeTimes Times;
  Times.PerTask = std::max<int64_t>(1, J.Order.Step.PerTask.CpuMillis);
  bool Overloaded = State.Shares.Overloaded;
  CapacityUsage Usage =
      measureCapacity(State, Now, Overloaded ? &Times : nullptr);
  ExpectedWait Wait;
  Wait.Delay = delayBehind(Usage, Cpu, Work);
  auto Tasks = static_cast<int64_t>(J.WaitingTasks);
  Wait.FreeNow = Overloaded && LateCpu + Tasks * Times.PerTask <=
                                   Times.FreeTasks * Times.PerTask;
  if (Overloaded && Usage.TotalCpu > 0 && Wait.Delay > Duration::zero()) {
    // The estimate above takes the runs as one amount of work, so that a few
    // long ones look like a wait of 100 ms for a job that needs eight of sixty
    // slots. Its last task decides, so all of them have to be free.
    double Usable = static_cast<double>(Usage.TotalCpu) * UsableCpuShare;
    Wait.Delay = fromSeconds(Work / Usable) + Times.timeUntilFree(Tasks);
  }
  Wait.Late = Now + Wait.Delay > J.Objective - J.ExpectedRunTime;
  // A late job also waits for jobs in time that arrive after it.
  if (Wait.Late)
    Wait.Delay = scaled(delayBehind(Usage, LateCpu, LateWork),
                        1 / spareShare(State, Usage, Now));
  return Wait;
}

/// Computes the shares of the queues anew. Called for each tick.
void advanceShares(SenderState &State, SteadyTime Now, InstanceEffects &Out) {
  if (!isShareUpdateDue(State.Shares, Now))
    return;
  ShareCapacity Capacity;
  // Expected run times are for upstreams of average speed.
  for (const auto &[Id, U] : State.Upstreams) {
    if (!acceptsStarts(U, Now))
      continue;
    int64_t Cpu = U.Record.Capacity.CpuMillis;
    double Speed = std::exp(-logRunTimeFactor(State.Learned, U));
    Capacity.Total += static_cast<double>(Cpu) * Speed;
    Capacity.Busy += static_cast<double>(Cpu - U.Free.CpuMillis) * Speed;
  }
  for (const auto &[Id, J] : State.Jobs)
    Capacity.WaitingWork += waitingWork(J);
  updateShares(State.Shares, Capacity, Now, Out);
}

/// Returns true if a job that waits for \p Delay can end by `LatestUsefulEnd`.
bool endsInTime(const SenderJob &J, Duration Delay, SteadyTime Now) {
  return Now + Delay + scaled(J.ExpectedRunTime, StartMargin) <
         J.LatestUsefulEnd;
}

/// Ids of the jobs for which \p Chosen holds. They are collected first, since
/// ending a job erases it from the table.
template <typename Predicate>
std::vector<JobId> jobsWhere(const SenderState &State, Predicate Chosen) {
  std::vector<JobId> Found;
  for (const auto &[Id, J] : State.Jobs)
    if (Chosen(J))
      Found.push_back(Id);
  return Found;
}

uint32_t lastRunOf(const SenderJob &J) {
  uint32_t Last = 0;
  for (const SenderTask &T : J.Tasks)
    Last = std::max(Last, T.Run);
  return Last;
}

/// Lists the failed runs of \p J, for logs: number, upstream and start of its
/// process. It shows on what an answer that the job failed rests.
std::string failedRunsText(const SenderJob &J) {
  std::string Text;
  for (size_t Index = 0; Index < J.Tasks.size(); ++Index)
    for (const FailedRun &Failed : J.Tasks[Index].FailedRuns)
      Text += (Text.empty() ? " failed_runs=" : ",") + std::to_string(Index) +
              "#" + std::to_string(Failed.Run) + "@" + Failed.Upstream.Value +
              "/" + std::to_string(Failed.StartedAt);
  return Text;
}

/// Makes a duplicate submission the waiter of an unfinished job, and answers
/// the earlier waiter.
void joinJob(SenderState &State, SenderJob &J, const JobOrder &Order,
             const JobWaiter &Waiter, SteadyTime Now, InstanceEffects &Out) {
  JobWaiter Earlier = J.Waiter;
  State.JobsByWaiter.erase(Earlier);
  J.Waiter = Waiter;
  J.Order.Entry = Order.Entry;
  J.Order.Incarnation = Order.Incarnation;
  J.Order.Number = Order.Number;
  // The later submission may be under a configuration that allows more.
  J.Order.MaxAttempts = std::max(J.Order.MaxAttempts, Order.MaxAttempts);
  J.Deadline = std::max(J.Deadline, Now + Order.Remaining);
  State.JobsByWaiter[Waiter] = Order.Id;
  logJob(Out, Order.Id, "duplicate submission attached to the unfinished job");
  JobResult Result;
  Result.Reason = "superseded by a later submission of the job";
  answer(State, Order.Id, Earlier, std::move(Result), Now, Out);
  if (applyCrashHistory(State.Crashes, J))
    finishJob(State, Order.Id, JobOutcome::Lost, CrashReason, Now, Out);
}

/// Answers a job that is not started again because of the crashes in an earlier
/// submission. Tasks have been started then, and none is known to have failed.
void endUnstarted(SenderState &State, const JobOrder &Order,
                  const JobWaiter &Waiter, SteadyTime Now,
                  InstanceEffects &Out) {
  ++State.Counts.JobsLost;
  JobResult Result;
  Result.Outcome = JobOutcome::Lost;
  Result.Reason = CrashReason;
  logJob(Out, Order.Id, "not started: " + Result.Reason);
  answer(State, Order.Id, Waiter, std::move(Result), Now, Out);
}

} // namespace

void acceptJob(SenderState &State, const JobOrder &Order, JobWaiter Waiter,
               SteadyTime Now, InstanceEffects &Out,
               const DataCentre &EntryCentre) {
  mergeCrashes(State.Crashes, Order.Id, Order.Crashes, Now);
  auto Existing = State.Jobs.find(Order.Id);
  if (Existing != State.Jobs.end())
    return joinJob(State, Existing->second, Order, Waiter, Now, Out);
  const RetainedResult *Earlier = retainedResult(State, Order.Id, Now);
  if (Earlier && Earlier->Outcome != JobOutcome::Lost) {
    JobResult Result;
    Result.Outcome = Earlier->Outcome;
    Result.Reason = "retained result of an earlier submission";
    // Under a configuration that allows more attempts, these have not failed
    // the job, and a new start would allow as many again.
    if (Earlier->Outcome == JobOutcome::Failed &&
        Earlier->MaxAttempts < Order.MaxAttempts)
      Result.Outcome = JobOutcome::Lost;
    logJob(Out, Order.Id,
           "duplicate submission answered with the retained result");
    return answer(State, Order.Id, Waiter, std::move(Result), Now, Out);
  }
  SenderJob J = makeJob(State, Order, Waiter, Now);
  if (applyCrashHistory(State.Crashes, J))
    return endUnstarted(State, Order, Waiter, Now, Out);
  if (State.Draining)
    return rejectJob(State, Order, Waiter, "sender is shutting down", true, Now,
                     Out);
  if (State.Withheld.ReturnsJobs) {
    State.Counts.StartsWithheld += Order.Step.Count;
    return rejectJob(State, Order, Waiter,
                     State.Withheld.Evacuated ? EvacuatedReason : PausedReason,
                     true, Now, Out);
  }
  if (!fitsAnyUpstream(State, Order))
    return rejectJob(State, Order, Waiter,
                     "no upstream of this sender fits its tasks", true, Now,
                     Out);
  ExpectedWait Wait = expectedWait(State, J, Now);
  Duration Delay = Wait.Delay;
  // During an overload, late jobs would take capacity from jobs in time.
  bool InTime = endsInTime(J, Delay, Now) &&
                (!State.Shares.Overloaded || Wait.FreeNow || !Wait.Late);
  if (State.Shares.Enabled) {
    OfferedJob Offer{Order.Queue, Order.Priority, EntryCentre, waitingWork(J)};
    bool InShare =
        offerJob(State.Shares, Offer, Now) != ShareDecision::BeyondShare ||
        Wait.FreeNow;
    recordShareOutcome(State.Shares, Offer, InTime && InShare, Now);
    if (!InShare)
      return rejectJob(State, Order, Waiter,
                       "overload, its queue has used its share", true, Now,
                       Out);
  }
  if (!InTime)
    return rejectJob(
        State, Order, Waiter,
        "cannot finish in time: queue_delay_ms=" +
            std::to_string(toMilliseconds(Delay)) +
            " expected_ms=" + std::to_string(toMilliseconds(J.ExpectedRunTime)),
        true, Now, Out);
  // Upstreams reject runs that are not newer than an ended one, so the numbers
  // go on rising over submissions of the same job.
  if (Earlier) {
    for (SenderTask &T : J.Tasks)
      T.Run = Earlier->LastRun;
    J.MayHaveRun = Earlier->LastRun > 0;
  }
  J.AdmittedLate = Wait.Late;
  if (!J.AdmittedLate)
    recordOfferedWork(State.Offered, J, Now);
  ++State.Counts.JobsAccepted;
  State.JobsByWaiter[Waiter] = Order.Id;
  State.Jobs.emplace(Order.Id, std::move(J));
  State.PlacementDue = true;
}

void finishJob(SenderState &State, const JobId &Id, JobOutcome Outcome,
               const std::string &Reason, SteadyTime Now, InstanceEffects &Out,
               bool Moved) {
  auto It = State.Jobs.find(Id);
  if (It == State.Jobs.end())
    return;
  SenderJob J = std::move(It->second);
  State.Jobs.erase(It);
  State.JobsByWaiter.erase(J.Waiter);
  // All upstreams are searched: a task may have left an unconfirmed run on an
  // upstream other than its last.
  uint32_t DetachedRuns = 0;
  for (auto &[Upstream, U] : State.Upstreams)
    for (auto &[Key, Run] : U.Runs) {
      if (Key.Job != Id)
        continue;
      ++DetachedRuns;
      if (!Run.StopRequested)
        orderStop(U, Run, Now, Out);
    }
  if (DetachedRuns > 0)
    State.DetachedRuns[Id] = DetachedRuns;
  State.PlacementDue = true;
  // The numbers of runs go on from those of earlier submissions.
  uint32_t LastRun = lastRunOf(J);
  bool RunEarlier = Outcome == JobOutcome::NotRun &&
                    (J.MayHaveRun || !crashesOf(State.Crashes, Id).empty());
  if (Outcome != JobOutcome::NotRun || RunEarlier)
    retainResult(State, Id,
                 {RunEarlier ? JobOutcome::Lost : Outcome, Now, LastRun,
                  J.Order.Entry, J.Order.Incarnation, J.Order.Number,
                  J.Order.MaxAttempts});
  switch (Outcome) {
  case JobOutcome::Done:
    ++State.Counts.JobsDone;
    break;
  case JobOutcome::Failed:
    ++State.Counts.JobsFailed;
    break;
  case JobOutcome::NotRun:
    ++State.Counts.JobsRejected;
    break;
  case JobOutcome::Lost:
    ++State.Counts.JobsLost;
    break;
  }
  logJob(Out, Id,
         std::string("ended outcome=") + jobOutcomeName(Outcome) +
             " reason=\"" + Reason +
             "\" tasks=" + std::to_string(J.Tasks.size()) +
             " open=" + std::to_string(J.UnfinishedTasks) +
             " took_ms=" + std::to_string(toMilliseconds(Now - J.Arrived)) +
             " objective_ms=" +
             std::to_string(toMilliseconds(J.Objective - J.Arrived)) +
             (Outcome == JobOutcome::Failed ? failedRunsText(J) : ""));
  JobResult Result;
  Result.Outcome = Outcome;
  Result.Reason = Reason;
  if (Outcome == JobOutcome::NotRun) {
    Result.Leaving = State.Draining;
    Result.Moved = Moved || State.Draining;
    Result.MayHaveRun = RunEarlier;
  }
  Result.Cancelled =
      (Outcome == JobOutcome::Lost || Outcome == JobOutcome::NotRun) &&
      isCancelledRemotely(State.Cancelled, Id, Now);
  answer(State, Id, J.Waiter, std::move(Result), Now, Out);
}

void rejectCancelledJob(SenderState &State, const JobOrder &Order,
                        const JobWaiter &Waiter, SteadyTime Now,
                        InstanceEffects &Out) {
  // A result states more, and its job is not started again.
  const RetainedResult *Earlier = retainedResult(State, Order.Id, Now);
  if (Earlier && Earlier->Outcome != JobOutcome::Lost)
    return acceptJob(State, Order, Waiter, Now, Out);
  rejectJob(State, Order, Waiter, "cancelled by its caller",
            /*Moved=*/false, Now, Out);
}

void abandonJob(SenderState &State, const JobWaiter &Waiter, SteadyTime Now,
                InstanceEffects &Out) {
  auto It = State.JobsByWaiter.find(Waiter);
  if (It == State.JobsByWaiter.end())
    return;
  JobId Id = It->second;
  finishJob(State, Id, JobOutcome::Lost, "no longer awaited by its caller", Now,
            Out);
}

void cancelAbandonedJobs(
    SenderState &State,
    const std::function<bool(const SenderJob &)> &IsOrphaned, SteadyTime Now,
    InstanceEffects &Out) {
  for (const JobId &Id : jobsWhere(State, [&](const SenderJob &J) {
         return !J.Waiter.Local && IsOrphaned(J);
       }))
    finishJob(State, Id, JobOutcome::Lost,
              "its entry instance is unreachable or no longer awaits it", Now,
              Out);
}

ResultReply answerResultQuery(const SenderState &State,
                              const ResultQuery &Query, SteadyTime Now) {
  // A job or a result of a later submission has another order.
  auto IsOrdered = [&Query](const auto &Order, const JobReference &Job) {
    return Order.Entry == Query.Entry &&
           Order.Incarnation == Query.Incarnation && Order.Number == Job.Number;
  };
  std::optional<SenderLoad> Load;
  ResultReply Reply;
  for (const JobReference &Job : Query.Jobs) {
    auto Open = State.Jobs.find(Job.Id);
    if (Open != State.Jobs.end() && IsOrdered(Open->second.Order, Job))
      continue;
    ClosedJob Closed{Job.Number, std::nullopt};
    auto Retained = State.RetainedResults.find(Job.Id);
    if (Retained != State.RetainedResults.end() &&
        Now - Retained->second.Ended <= ResultRetention &&
        (Retained->second.Outcome == JobOutcome::Done ||
         IsOrdered(Retained->second, Job))) {
      if (Now - Retained->second.Ended < AnswerTransitTime)
        continue;
      JobResult &Result = Closed.Result.emplace();
      Result.Outcome = Retained->second.Outcome;
      Result.Reason = "retained result, its answer did not arrive";
      Result.Cancelled = Result.Outcome == JobOutcome::Lost &&
                         isCancelledRemotely(State.Cancelled, Job.Id, Now);
      Result.Leaving = State.Draining;
      if (!Load)
        Load = senderLoad(State, Now);
      Result.Load = *Load;
      if (Result.Outcome != JobOutcome::Done)
        Result.Crashes = crashesOf(State.Crashes, Job.Id);
    }
    Reply.Jobs.push_back(std::move(Closed));
  }
  return Reply;
}

void expireSenderJobs(SenderState &State, SteadyTime Now,
                      InstanceEffects &Out) {
  std::vector<JobId> Expired = jobsWhere(State, [Now](const SenderJob &J) {
    return J.Started && Now >= J.Deadline;
  });
  // A waiting job is rejected as soon as the queue ahead of it makes it too
  // late. Rejected jobs no longer count as a delay of the jobs behind them.
  std::vector<JobId> TooLate;
  CapacityUsage Usage = measureCapacity(State, Now);
  advanceShares(State, Now, Out);
  double Spare = spareShare(State, Usage, Now);
  int64_t Cpu = 0;
  double Work = 0;
  for (const auto &[Rank, J] : rankedQueue(State, Now)) {
    Duration Delay = scaled(delayBehind(Usage, Cpu, Work), CertainDelayShare);
    if (Rank.LateClass > 0)
      Delay = scaled(Delay, 1 / Spare);
    if (!J->Started && !endsInTime(*J, Delay, Now)) {
      TooLate.push_back(J->Order.Id);
      continue;
    }
    Cpu += waitingCpu(*J);
    Work += waitingWork(*J);
  }
  for (const JobId &Id : Expired)
    finishJob(State, Id, JobOutcome::Lost, "the caller's deadline has passed",
              Now, Out);
  for (const JobId &Id : TooLate)
    finishJob(State, Id, JobOutcome::NotRun, "no upstream becomes free in time",
              Now, Out);
}

void returnWaitingJobs(SenderState &State, SteadyTime Now,
                       InstanceEffects &Out) {
  for (const JobId &Id : jobsWhere(State, [](const SenderJob &J) {
         return !J.MayHaveRun && J.WaitingTasks == J.Tasks.size();
       }))
    finishJob(State, Id, JobOutcome::NotRun, "sender is shutting down", Now,
              Out);
}

void returnWithheldJobs(SenderState &State, SteadyTime Now,
                        InstanceEffects &Out) {
  const WithheldStarts &Withheld = State.Withheld;
  if (!Withheld.ReturnsJobs)
    return;
  // A pause may end before the caller's deadline, so jobs that have run wait
  // for that.
  for (const JobId &Id : jobsWhere(State, [&](const SenderJob &J) {
         return J.WaitingTasks == J.UnfinishedTasks &&
                (Withheld.Evacuated || !J.MayHaveRun);
       })) {
    const SenderJob &J = State.Jobs.at(Id);
    State.Counts.StartsWithheld += J.WaitingTasks;
    finishJob(State, Id, J.MayHaveRun ? JobOutcome::Lost : JobOutcome::NotRun,
              Withheld.Evacuated ? EvacuatedReason : PausedReason, Now, Out,
              /*Moved=*/true);
  }
}

void returnStrandedJobs(SenderState &State, SteadyTime Now,
                        InstanceEffects &Out) {
  if (!State.UpstreamsLost || State.UpstreamListPending)
    return;
  State.UpstreamsLost = false;
  // Started tasks are left to the answers and reports of their upstreams.
  for (const JobId &Id : jobsWhere(State, [&](const SenderJob &J) {
         return J.WaitingTasks == J.UnfinishedTasks &&
                !fitsAnyUpstream(State, J.Order);
       }))
    finishJob(State, Id,
              State.Jobs.at(Id).MayHaveRun ? JobOutcome::Lost
                                           : JobOutcome::NotRun,
              "this sender has no upstream left for its tasks", Now, Out,
              /*Moved=*/true);
}

void applyRunOutcome(SenderState &State, const UpstreamId &Upstream,
                     const RunKey &Key, RunOutcome Outcome, SteadyTime Now,
                     InstanceEffects &Out) {
  auto It = State.Jobs.find(Key.Job);
  if (It == State.Jobs.end() || Key.Index >= It->second.Tasks.size())
    return;
  SenderJob &J = It->second;
  SenderTask &T = J.Tasks[Key.Index];
  if (T.State != SenderTaskState::Started || T.Run != Key.Run ||
      T.Upstream != Upstream)
    return;
  if (Outcome == RunOutcome::Done) {
    T.State = SenderTaskState::Done;
    if (--J.UnfinishedTasks == 0)
      finishJob(State, Key.Job, JobOutcome::Done, "all tasks succeeded", Now,
                Out);
    return;
  }
  T.State = SenderTaskState::Waiting;
  ++J.WaitingTasks;
  T.AvoidedUpstreams.insert(Upstream);
  if (Outcome != RunOutcome::Failed)
    return;
  T.FailedRuns.push_back(
      {Key.Run, Upstream, State.Upstreams.at(Upstream).StartedAt});
  if (T.FailedRuns.size() >= J.Order.MaxAttempts)
    finishJob(State, Key.Job, JobOutcome::Failed,
              "task " + std::to_string(Key.Index) + " failed " +
                  std::to_string(T.FailedRuns.size()) + " times",
              Now, Out);
}

QueueRank rankOf(const SenderState &State, const SenderJob &J, SteadyTime Now) {
  SteadyTime LatestStart = J.Objective - J.ExpectedRunTime;
  // Estimates are rough, so a slight delay does not lower a job's rank.
  SteadyTime Limit =
      LatestStart + scaled(J.Objective - J.Arrived, LateStartTolerance);
  bool Late = !J.Started && (J.AdmittedLate || Limit < Now);
  return {Late ? 1 : 0,
          rankPriority(State.Shares, J.Order.Priority,
                       LatestStart < Now + LateSoonTime, J.Started),
          LatestStart, J.Order.Id};
}

std::vector<std::pair<QueueRank, SenderJob *>> rankedQueue(SenderState &State,
                                                           SteadyTime Now) {
  std::vector<std::pair<QueueRank, SenderJob *>> Queue;
  for (auto &[Id, J] : State.Jobs)
    if (J.WaitingTasks > 0)
      Queue.emplace_back(rankOf(State, J, Now), &J);
  std::sort(Queue.begin(), Queue.end(),
            [](const auto &L, const auto &R) { return L.first < R.first; });
  return Queue;
}

SenderLoad senderLoad(const SenderState &State, SteadyTime Now) {
  CapacityUsage Usage = measureCapacity(State, Now);
  SenderLoad Load;
  Load.TotalCpu = Usage.TotalCpu;
  Load.FreeCpu = Usage.FreeCpu;
  double WaitingWork = 0;
  int64_t WaitingCpu = 0;
  for (const auto &[Id, J] : State.Jobs) {
    if (J.WaitingTasks == 0)
      continue;
    ++Load.Waiting;
    if (rankOf(State, J, Now).LateClass > 0)
      continue;
    WaitingCpu += waitingCpu(J);
    WaitingWork += waitingWork(J);
  }
  Load.Delay = delayBehind(Usage, WaitingCpu, WaitingWork);
  return Load;
}

uint64_t countWaitingJobs(const SenderState &State, const std::string &Queue) {
  uint64_t Count = 0;
  for (const auto &[Id, J] : State.Jobs)
    if (!J.Started && J.Order.Queue == Queue)
      ++Count;
  return Count;
}

} // namespace snipeshunt
