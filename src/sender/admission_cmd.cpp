/// \file Admission of jobs to a sender.
#include "sender/admission_cmd.h"

#include "core/duration_func.h"
#include "sender/caller_cancel_cmd.h"
#include "sender/capacity_func.h"
#include "sender/crash_cmd.h"
#include "sender/estimate_func.h"
#include "sender/job_cmd.h"
#include "sender/job_memory_func.h"
#include "sender/queue_func.h"
#include "sender/queue_share_cmd.h"
#include "sender/result_cmd.h"
#include "sender/sender_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeshunt {

namespace {

constexpr const char *CrashReason =
    "upstreams crashed under one of its tasks in an earlier submission";

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
  Result.Cancelled = isCancelledByCaller(State.Cancelled, Order.Id, Now);
  logJob(Out, DecisionPart::Sender, Order.Id,
         (Result.MayHaveRun ? "rejected, started for an earlier submission: "
                            : "rejected, nothing was started: ") +
             Result.Reason);
  answerWaiter(State, Order.Id, Waiter, std::move(Result), Now, Out);
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
  logJob(Out, DecisionPart::Sender, Order.Id,
         "duplicate submission attached to the unfinished job");
  JobResult Result;
  Result.Reason = "superseded by a later submission of the job";
  answerWaiter(State, Order.Id, Earlier, std::move(Result), Now, Out);
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
  logJob(Out, DecisionPart::Sender, Order.Id, "not started: " + Result.Reason);
  answerWaiter(State, Order.Id, Waiter, std::move(Result), Now, Out);
}

/// Answers a submission of a job that has ended with the result \p Earlier.
void answerRetained(SenderState &State, const JobOrder &Order,
                    const JobWaiter &Waiter, const RetainedResult &Earlier,
                    SteadyTime Now, InstanceEffects &Out) {
  JobResult Result;
  Result.Outcome = Earlier.Outcome;
  Result.Reason = "retained result of an earlier submission";
  // Under a configuration that allows more attempts, these have not failed
  // the job, and a new start would allow as many again.
  if (Earlier.Outcome == JobOutcome::Failed &&
      Earlier.MaxAttempts < Order.MaxAttempts)
    Result.Outcome = JobOutcome::Lost;
  logJob(Out, DecisionPart::Sender, Order.Id,
         "duplicate submission answered with the retained result");
  answerWaiter(State, Order.Id, Waiter, std::move(Result), Now, Out);
}

/// Returns why this sender can't run a job at all, or null.
const char *unavailableReason(const SenderState &State, const JobOrder &Order) {
  if (State.Draining)
    return "sender is shutting down";
  if (State.Withheld.ReturnsJobs)
    return withheldReason(State.Withheld);
  if (!fitsAnyUpstream(State, Order))
    return "no upstream of this sender fits its tasks";
  return nullptr;
}

/// Returns why there is no capacity for a job, or an empty text. Records the
/// job in the shares of the queues.
std::string noCapacityReason(SenderState &State, const SenderJob &J,
                             const ExpectedWait &Wait,
                             const DataCentre &EntryCentre, SteadyTime Now) {
  // During an overload, late jobs would take capacity from jobs in time.
  bool InTime = endsInTime(J, Wait.Delay, Now) &&
                (!State.Shares.Overloaded || Wait.FreeNow || !Wait.Late);
  if (State.Shares.Enabled) {
    OfferedJob Offer{J.Order.Queue, J.Order.Priority, EntryCentre,
                     waitingWork(J)};
    bool InShare = offerJob(State.Shares, Offer, Now) || Wait.FreeNow;
    recordShareOutcome(State.Shares, Offer, InTime && InShare);
    if (!InShare)
      return "overload, its queue has used its share";
  }
  if (InTime)
    return "";
  return "cannot finish in time: queue_delay_ms=" +
         std::to_string(toMilliseconds(Wait.Delay)) +
         " expected_ms=" + std::to_string(toMilliseconds(J.ExpectedRunTime));
}

/// Adds an admitted job to the queue. \p Earlier is the result of an earlier
/// submission; null if there is none.
void enqueueJob(SenderState &State, SenderJob J, const RetainedResult *Earlier,
                SteadyTime Now) {
  // Upstreams reject runs that are not newer than an ended one, so the numbers
  // go on rising over submissions of the same job.
  if (Earlier) {
    for (SenderTask &T : J.Tasks)
      T.Run = Earlier->LastRun;
    J.MayHaveRun = Earlier->LastRun > 0;
  }
  if (!J.AdmittedLate)
    addDecaying(State.Offered, waitingWork(J), Now, OfferedDecaySeconds);
  ++State.Counts.JobsAccepted;
  State.JobsByWaiter[J.Waiter] = J.Order.Id;
  State.JobMemory += J.Memory;
  JobId Id = J.Order.Id;
  State.Jobs.emplace(std::move(Id), std::move(J));
  State.PlacementDue = true;
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
  if (Earlier && Earlier->Outcome != JobOutcome::Lost)
    return answerRetained(State, Order, Waiter, *Earlier, Now, Out);
  size_t Memory = jobMemory(Order);
  if (!hasJobMemory(State, Memory)) {
    ++State.Counts.JobsOutOfMemory;
    return rejectJob(State, Order, Waiter, "the memory for jobs is in use",
                     /*Moved=*/true, Now, Out);
  }
  SenderJob J = makeJob(State, Order, Waiter, Now);
  J.Memory = Memory;
  if (applyCrashHistory(State.Crashes, J))
    return endUnstarted(State, Order, Waiter, Now, Out);
  if (const char *Reason = unavailableReason(State, Order)) {
    if (State.Withheld.ReturnsJobs)
      State.Counts.StartsWithheld += Order.Step.Count;
    return rejectJob(State, Order, Waiter, Reason, /*Moved=*/true, Now, Out);
  }
  ExpectedWait Wait = expectedWait(State, J, Now);
  std::string Reason = noCapacityReason(State, J, Wait, EntryCentre, Now);
  if (!Reason.empty())
    return rejectJob(State, Order, Waiter, std::move(Reason), /*Moved=*/true,
                     Now, Out);
  J.AdmittedLate = Wait.Late;
  enqueueJob(State, std::move(J), Earlier, Now);
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

} // namespace snipeshunt
