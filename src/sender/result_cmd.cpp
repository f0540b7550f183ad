/// \file Answers to the jobs of a sender, and results that are kept for later
/// questions.
#include "sender/result_cmd.h"

#include "sender/caller_cancel_cmd.h"
#include "sender/capacity_func.h"
#include "sender/crash_cmd.h"
#include "sender/sender_table.h"

#include <algorithm>

namespace snipeshunt {

void answerWaiter(SenderState &State, const JobId &Id, const JobWaiter &Waiter,
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

const RetainedResult *retainedResult(const SenderState &State, const JobId &Id,
                                     SteadyTime Now) {
  auto It = State.RetainedResults.find(Id);
  bool Retained = It != State.RetainedResults.end() &&
                  Now - It->second.Ended <= ResultRetention;
  return Retained ? &It->second : nullptr;
}

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

bool renewStartedResult(SenderState &State, const JobId &Id, SteadyTime Now) {
  const RetainedResult *Earlier = retainedResult(State, Id, Now);
  if (!Earlier || Earlier->LastRun == 0)
    return false;
  RetainedResult Renewed = *Earlier;
  Renewed.Ended = Now;
  retainResult(State, Id, std::move(Renewed));
  return true;
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
                         isCancelledByCaller(State.Cancelled, Job.Id, Now);
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

} // namespace snipeshunt
