/// \file State changes of a sender's jobs.
#include "sender/job_cmd.h"

#include "core/duration_func.h"
#include "sender/caller_cancel_cmd.h"
#include "sender/capacity_func.h"
#include "sender/crash_cmd.h"
#include "sender/queue_func.h"
#include "sender/result_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

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

/// Stops the runs of a job that ends. They are detached until they have ended.
void stopRuns(SenderState &State, const JobId &Id, SteadyTime Now,
              InstanceEffects &Out) {
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
}

void countOutcome(SenderCounters &Counts, JobOutcome Outcome) {
  switch (Outcome) {
  case JobOutcome::Done:
    ++Counts.JobsDone;
    break;
  case JobOutcome::Failed:
    ++Counts.JobsFailed;
    break;
  case JobOutcome::NotRun:
    ++Counts.JobsRejected;
    break;
  case JobOutcome::Lost:
    ++Counts.JobsLost;
    break;
  }
}

} // namespace

const char *withheldReason(const WithheldStarts &Withheld) {
  return Withheld.Evacuated
             ? "its data centre is evacuated"
             : "starts are withheld until the evacuated data centres are known";
}

void finishJob(SenderState &State, const JobId &Id, JobOutcome Outcome,
               const std::string &Reason, SteadyTime Now, InstanceEffects &Out,
               bool Moved) {
  auto It = State.Jobs.find(Id);
  if (It == State.Jobs.end())
    return;
  SenderJob J = std::move(It->second);
  State.Jobs.erase(It);
  State.JobMemory -= J.Memory;
  State.JobsByWaiter.erase(J.Waiter);
  stopRuns(State, Id, Now, Out);
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
  countOutcome(State.Counts, Outcome);
  logJob(Out, DecisionPart::Sender, Id,
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
      isCancelledByCaller(State.Cancelled, Id, Now);
  answerWaiter(State, Id, J.Waiter, std::move(Result), Now, Out);
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

void expireSenderJobs(SenderState &State, SteadyTime Now,
                      InstanceEffects &Out) {
  std::vector<JobId> Expired = jobsWhere(State, [Now](const SenderJob &J) {
    return J.Started && Now >= J.Deadline;
  });
  // A waiting job is rejected as soon as the queue ahead of it makes it too
  // late. Rejected jobs no longer count as a delay of the jobs behind them.
  std::vector<JobId> TooLate;
  CapacityUsage Usage = measureCapacity(State, Now);
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
              withheldReason(Withheld), Now, Out,
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

} // namespace snipeshunt
