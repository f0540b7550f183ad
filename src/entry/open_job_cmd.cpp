/// \file Questions to other instances about jobs that are not open here.
#include "entry/open_job_cmd.h"

#include "cells/cell_table.h"
#include "cells/peer_func.h"
#include "sender/caller_cancel_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Longest wait of a caller. Callers count a cancellation as not acknowledged
// after 3 s or more; a second try after the retry pause of 1 s still fits. Two
// queries that time out after 350 ms fit as well.
constexpr Duration QuestionLimit = std::chrono::milliseconds(1000);
// Pause before a failed query is repeated. Most fail because an idle connection
// was reset, which a new connection mends at once.
constexpr Duration QueryRetryPause = std::chrono::milliseconds(50);
// Failed queries in a row that show that an instance does not answer. One may
// fail on a connection that was reset.
constexpr uint32_t FailuresBeforeSilence = 2;
// Limit on the open questions. Each takes about 200 bytes, and 8 more for each
// instance that is asked; callers above the limit are told to ask again.
constexpr size_t MaxQuestions = 4096;
// Time for which an instance is told of a cancellation again if it does not
// answer. Later, only a new process or a new sender is told.
constexpr Duration AnnouncementLimit = std::chrono::seconds(3);

void finishQuestion(EntryState &State, JobQuestion &Q, AnswerStatus Status,
                    InstanceEffects &Out) {
  if (Q.Answered)
    return;
  Q.Answered = true;
  if (Status == AnswerStatus::Unknown)
    ++State.Elsewhere.Unresolved;
  Out.push_back(
      LogDecision{DecisionPart::Entry, Q.Job.Id.Value,
                  std::string(Q.Job.Cancel ? "cancel" : "query") +
                      " of a job that is not open here, answered verdict=" +
                      answerStatusName(Status),
                  /*Frequent=*/true});
  answerAbout(State, Q.Caller, Status, Out);
}

/// Counts the answer of one instance to a question. \p Open is absent if the
/// instance can't tell.
void countAnswer(EntryState &State, uint64_t Key, std::optional<bool> Open,
                 InstanceEffects &Out) {
  auto It = State.Elsewhere.Questions.find(Key);
  if (It == State.Elsewhere.Questions.end())
    return;
  JobQuestion &Q = It->second;
  if (Open.value_or(false))
    finishQuestion(
        State, Q,
        Q.Job.Cancel ? AnswerStatus::Cancelled : AnswerStatus::Running, Out);
  Q.Unknown = Q.Unknown || !Open;
  if (--Q.Awaited > 0)
    return;
  finishQuestion(State, Q,
                 Q.Unknown ? AnswerStatus::Unknown : AnswerStatus::NoSuchJob,
                 Out);
  State.Elsewhere.Questions.erase(It);
}

/// Sends the questions that wait for an instance, unless a query is open.
void sendQuery(OpenJobState &State, const Address &Receiver,
               QuestionChannel &Channel, SteadyTime Now, InstanceEffects &Out) {
  if (Channel.OpenQuery != 0 || Now < Channel.NextQuery)
    return;
  SendOpenJobQuery Effect;
  while (!Channel.Waiting.empty() && Channel.Sent.size() < MaxQueriedOpenJobs) {
    uint64_t Key = Channel.Waiting.front();
    Channel.Waiting.pop_front();
    auto Q = State.Questions.find(Key);
    if (Q == State.Questions.end())
      continue;
    Channel.Sent.push_back(Key);
    Effect.Query.Jobs.push_back(Q->second.Job);
  }
  if (Channel.Sent.empty())
    return;
  Effect.Receiver = Receiver;
  Effect.Number = Channel.OpenQuery = State.NextQuery++;
  Out.push_back(std::move(Effect));
}

/// Returns true if the instance has learned which others there are.
bool hasDiscoveredPeers(const CellState &Cells, SteadyTime Now) {
  return Cells.InstanceListRead != SteadyTime{} ||
         Now - Cells.Started >= DiscoveryTime;
}

/// Tells instances of a cancellation, without a caller that awaits the answers.
void announceTo(OpenJobState &State, const std::vector<Address> &Receivers,
                const JobId &Job, SteadyTime Now) {
  if (Receivers.empty())
    return;
  uint64_t Key = State.NextQuestion++;
  JobQuestion &Q = State.Questions[Key];
  Q.Job = {Job, /*Cancel=*/true};
  Q.Limit = Now + AnnouncementLimit;
  Q.Awaited = Receivers.size();
  Q.Answered = true;
  for (const Address &Receiver : Receivers)
    State.Channels[Receiver].Waiting.push_back(Key);
}

/// Returns the process of an instance, as far as it is known.
IncarnationId processOf(const CellState &Cells, const Address &Endpoint) {
  auto P = Cells.Peers.find(Endpoint);
  return P == Cells.Peers.end() ? IncarnationId{} : P->second.Incarnation;
}

/// Sends the recent cancellations to instances that have become senders since,
/// and to new processes.
void informNewSenders(OpenJobState &State, const CellState &Cells,
                      Duration Grace, SteadyTime Now) {
  while (!State.RecentCancels.empty() &&
         Now - State.RecentCancels.front().first > CancelledJobRetention)
    State.RecentCancels.pop_front();
  if (State.RecentCancels.empty()) {
    State.Informed.clear();
    return;
  }
  for (const Address &Receiver : possibleSenders(Cells, Grace, Now)) {
    IncarnationId Process = processOf(Cells, Receiver);
    auto [Known, IsNew] = State.Informed.emplace(Receiver, Process);
    bool Replaced = !IsNew && Process != IncarnationId{} &&
                    Known->second != IncarnationId{} &&
                    Known->second != Process;
    if (Process != IncarnationId{})
      Known->second = Process;
    if (!IsNew && !Replaced)
      continue;
    for (const auto &[At, Job] : State.RecentCancels)
      announceTo(State, {Receiver}, Job, Now);
  }
}

/// Records a cancellation for instances that become senders later.
void recordRecentCancel(OpenJobState &State, const CellState &Cells,
                        const JobId &Job, const std::vector<Address> &Receivers,
                        Duration Grace, SteadyTime Now) {
  // Receivers that are new are told of the earlier ones before they count as
  // informed.
  informNewSenders(State, Cells, Grace, Now);
  for (const Address &Receiver : Receivers)
    State.Informed.emplace(Receiver, processOf(Cells, Receiver));
  if (State.RecentCancels.size() >= MaxQuestions)
    State.RecentCancels.pop_front();
  State.RecentCancels.emplace_back(Now, Job);
}

} // namespace

void askForJob(EntryState &State, const CellState &Cells, RequestId Caller,
               const QueriedJob &Job, Duration Grace, SteadyTime Now,
               InstanceEffects &Out) {
  OpenJobState &S = State.Elsewhere;
  ++S.Asked;
  JobQuestion Q;
  Q.Caller = Caller;
  Q.Job = Job;
  Q.Limit = Now + QuestionLimit;
  // No sender accepts such a job.
  if (Job.Id.Value.size() > MaxJobIdLength)
    return finishQuestion(State, Q, AnswerStatus::NoSuchJob, Out);
  if (S.Questions.size() >= MaxQuestions)
    return finishQuestion(State, Q, AnswerStatus::Unknown, Out);
  std::vector<Address> Receivers = possibleSenders(Cells, Grace, Now);
  // Without any sender, the job may be waiting for one at another entry.
  Q.Unknown = !hasDiscoveredPeers(Cells, Now) ||
              (Receivers.empty() && Cells.Claims.empty());
  if (Job.Cancel)
    recordRecentCancel(S, Cells, Job.Id, Receivers, Grace, Now);
  if (Receivers.empty())
    return finishQuestion(
        State, Q, Q.Unknown ? AnswerStatus::Unknown : AnswerStatus::NoSuchJob,
        Out);
  Q.Awaited = Receivers.size();
  uint64_t Key = S.NextQuestion++;
  S.Questions.emplace(Key, std::move(Q));
  for (const Address &Receiver : Receivers) {
    QuestionChannel &Channel = S.Channels[Receiver];
    Channel.Waiting.push_back(Key);
    sendQuery(S, Receiver, Channel, Now, Out);
  }
}

void announceCancel(EntryState &State, const CellState &Cells, const JobId &Job,
                    Duration Grace, SteadyTime Now, InstanceEffects &Out) {
  OpenJobState &S = State.Elsewhere;
  if (Job.Value.size() > MaxJobIdLength)
    return;
  std::vector<Address> Receivers = possibleSenders(Cells, Grace, Now);
  recordRecentCancel(S, Cells, Job, Receivers, Grace, Now);
  if (S.Questions.size() >= MaxQuestions)
    return;
  announceTo(S, Receivers, Job, Now);
  for (const Address &Receiver : Receivers)
    sendQuery(S, Receiver, S.Channels[Receiver], Now, Out);
}

void applyOpenJobReply(EntryState &State, const CellState &Cells,
                       const OpenJobQueryAnswered &Event, Duration Grace,
                       SteadyTime Now, InstanceEffects &Out) {
  OpenJobState &S = State.Elsewhere;
  auto It = S.Channels.find(Event.Receiver);
  if (It == S.Channels.end() || It->second.OpenQuery != Event.Number)
    return;
  QuestionChannel &Channel = It->second;
  Channel.OpenQuery = 0;
  std::vector<uint64_t> Keys = std::move(Channel.Sent);
  Channel.Sent.clear();
  bool Answered = Event.Reply || Event.NotUnderstood;
  Channel.Failures = Answered ? 0 : Channel.Failures + 1;
  auto P = Cells.Peers.find(Event.Receiver);
  // A cut can refuse connections to a process that lives.
  bool Ended =
      (Event.ConnectionRefused || Channel.Failures >= FailuresBeforeSilence) &&
      P != Cells.Peers.end() &&
      isGone(Cells, Event.Receiver, P->second, Grace, Now);
  if (Answered || Ended) {
    bool Readable =
        Event.Reply &&
        std::all_of(Event.Reply->Open.begin(), Event.Reply->Open.end(),
                    [&](uint32_t I) { return I < Keys.size(); });
    std::vector<bool> Open(Keys.size(), false);
    if (Readable)
      for (uint32_t I : Event.Reply->Open)
        Open[I] = true;
    bool Known = Readable || Ended;
    for (size_t I = 0; I < Keys.size(); ++I)
      countAnswer(State, Keys[I],
                  Known ? std::optional<bool>(Open[I]) : std::nullopt, Out);
  } else {
    Channel.Waiting.insert(Channel.Waiting.begin(), Keys.begin(), Keys.end());
    Channel.NextQuery = Now + QueryRetryPause;
  }
  if (Channel.Waiting.empty())
    S.Channels.erase(It);
  else
    sendQuery(S, Event.Receiver, Channel, Now, Out);
}

void advanceQuestions(EntryState &State, const CellState &Cells, Duration Grace,
                      SteadyTime Now, InstanceEffects &Out) {
  OpenJobState &S = State.Elsewhere;
  informNewSenders(S, Cells, Grace, Now);
  for (auto It = S.Channels.begin(); It != S.Channels.end();) {
    auto &[Receiver, Channel] = *It;
    sendQuery(S, Receiver, Channel, Now, Out);
    bool IsIdle = Channel.OpenQuery == 0 && Channel.Waiting.empty();
    It = IsIdle ? S.Channels.erase(It) : std::next(It);
  }
  for (auto It = S.Questions.begin(); It != S.Questions.end();) {
    if (Now < It->second.Limit) {
      ++It;
      continue;
    }
    finishQuestion(State, It->second, AnswerStatus::Unknown, Out);
    It = S.Questions.erase(It);
  }
}

void endQuestions(EntryState &State, InstanceEffects &Out) {
  for (auto &[Key, Q] : State.Elsewhere.Questions)
    finishQuestion(State, Q, AnswerStatus::Unknown, Out);
  State.Elsewhere.Questions.clear();
}

} // namespace snipeshunt
