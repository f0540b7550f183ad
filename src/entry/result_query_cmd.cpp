/// \file Queries for results whose answers may have been lost.
#include "entry/result_query_cmd.h"

#include "core/duration_func.h"
#include "entry/entry_cmd.h"
#include "sender/sender_table.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace snipeshunt {

namespace {

// Time after which the result of a job is asked for: its objective, within
// these limits. The answers of most jobs come earlier, so most jobs cost no
// query; a wrong estimate does not delay it for longer than the upper limit.
constexpr Duration MinQueryAge = std::chrono::milliseconds(500);
constexpr Duration MaxQueryAge = std::chrono::milliseconds(2000);
// Period of result queries to a sender that has overdue jobs.
constexpr Duration QueryPeriod = std::chrono::milliseconds(500);
// Limit on the jobs in a query. Only the oldest open ones of a sender are asked
// for. The limit is below the number of connections to a sender, so that all of
// them have been sent and none still waits for a connection.
constexpr size_t MaxQueriedJobs = 64;
// A job that its sender does not have is lost, if the sender says so twice with
// this pause and this long after the job was sent. A first reply can overtake
// the job, or the answer that rejects it.
constexpr Duration MissingPause = std::chrono::milliseconds(200);
constexpr Duration MinMissingAge = std::chrono::milliseconds(1000);

/// Returns the time from which the result of a job is asked for.
SteadyTime queryTime(const EntryJob &J) {
  return J.Forwarded +
         std::clamp(objectiveOf(J.Order), MinQueryAge, MaxQueryAge);
}

} // namespace

void queryResults(const EntryState &State, const EntryContext &Context,
                  SteadyTime Now, InstanceEffects &Out) {
  std::map<Address, std::vector<JobReference>> Overdue;
  for (const auto &[Forward, J] : State.Jobs) {
    auto P = Context.Cells.Peers.find(J.Sender);
    if (P != Context.Cells.Peers.end() && Now >= P->second.NextResultQuery &&
        Now >= queryTime(J))
      Overdue[J.Sender].push_back({J.Order.Id, J.Order.Number});
  }
  for (auto &[Sender, Jobs] : Overdue) {
    Peer &P = Context.Cells.Peers.at(Sender);
    if (P.OpenJobs.size() > MaxQueriedJobs) {
      uint64_t End = *std::next(P.OpenJobs.begin(), MaxQueriedJobs);
      Jobs.erase(
          std::remove_if(Jobs.begin(), Jobs.end(),
                         [End](const auto &Job) { return Job.Number >= End; }),
          Jobs.end());
    }
    if (Jobs.empty())
      continue;
    P.NextResultQuery = Now + QueryPeriod;
    Out.push_back(
        SendResultQuery{Sender,
                        {Context.Cells.Self.Endpoint, Context.Cells.Incarnation,
                         std::move(Jobs)}});
  }
}

void applyResultReply(EntryState &State, const EntryContext &Context,
                      const ResultQueryAnswered &Event, SteadyTime Now,
                      InstanceEffects &Out) {
  for (const ClosedJob &Closed : Event.Reply.Jobs) {
    auto It = std::find_if(State.Jobs.begin(), State.Jobs.end(),
                           [&](const auto &Entry) {
                             return Entry.second.Sender == Event.Sender &&
                                    Entry.second.Order.Number == Closed.Number;
                           });
    // The answer has arrived since, or the job was abandoned.
    if (It == State.Jobs.end())
      continue;
    RequestId Forward = It->first;
    EntryJob &J = It->second;
    if (Closed.Result) {
      ++State.Counts.Fetched;
      logJob(Out, DecisionPart::Entry, J.Order.Id,
             "the answer of sender=" + Event.Sender.Value +
                 " was lost, its result was fetched after_ms=" +
                 std::to_string(toMilliseconds(Now - J.Forwarded)));
      Out.push_back(AbandonForward{Event.Sender, Forward, /*Silent=*/true});
      applyForwardAnswer(State, Context, {Event.Sender, Forward, Closed.Result},
                         Now, Out);
      continue;
    }
    if (J.MissingSince == SteadyTime{})
      J.MissingSince = Now;
    if (Now - J.MissingSince < MissingPause ||
        Now - J.Forwarded < MinMissingAge)
      continue;
    abandonAtSender(Context, J, Forward, Now, Out, /*Silent=*/true);
    endJob(State, Context, Forward, AnswerStatus::Lost, Duration::zero(),
           "the sender has neither the job nor its result", Now, Out);
  }
}

} // namespace snipeshunt
