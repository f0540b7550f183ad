/// \file The receiver's side of the handover protocol.
#include "handover/handover_cmd.h"

#include "admission/admission_func.h"
#include "membership/member_cmd.h"
#include "scheduling/queue_cmd.h"
#include "tickets/ticket_func.h"
#include "upstreams/upstream_cmd.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace snipeshunt {

namespace {

// Delay before an unanswered report is sent again.
constexpr Duration ReportResendDelay = std::chrono::milliseconds(200);
// Longest time for which results wait for the rest of their job. Bounds the
// results that the home lacks when the job fails or this instance stops.
constexpr Duration MaxReportDelay = std::chrono::seconds(1);
// Size of the outputs in one report, well below the default max_body_bytes of
// 1 MiB.
constexpr size_t MaxReportBytes = 512 << 10;
// Upper bound of the times in a handover. Larger ones exceed any patience and
// could overflow the clock.
constexpr std::chrono::milliseconds MaxStartWithin{3600000};

TaskKey keyOf(const HandoverMessage &Message, const HandoverTask &Task) {
  return {Message.Home, Task.Job, Task.Index};
}

void raiseFloor(InstanceState &State, IncomingChannel &Channel,
                HandoverSequence Floor) {
  if (Floor < Channel.Floor)
    return;
  Channel.Floor = Floor;
  while (!Channel.Batches.empty() &&
         Channel.Batches.begin()->first < Channel.Floor) {
    const auto &[Sequence, Batch] = *Channel.Batches.begin();
    for (const auto &[Key, TaskStatus] : Batch.Tasks) {
      // A task that was returned without a start may have been received again
      // in a later batch.
      auto Received = State.Handovers.ReceivedTasks.find(Key);
      if (Received == State.Handovers.ReceivedTasks.end() ||
          Received->second != Sequence)
        continue;
      // The home has settled the task, so its result is not needed.
      State.Queue.erase(Key);
      State.Handovers.ReceivedTasks.erase(Received);
    }
    Channel.Batches.erase(Channel.Batches.begin());
  }
}

void queueReceivedTask(InstanceState &State, const HandoverMessage &Message,
                       const HandoverTask &Handed, IncomingBatch &Batch,
                       SteadyTime Now, EffectList &Out) {
  TaskKey Key = keyOf(Message, Handed);
  if (Batch.Tombstones.count(Key)) {
    Batch.Tasks[Key] = ReceivedTaskState::Revoked;
    return;
  }
  Batch.Tasks[Key] = ReceivedTaskState::Unfinished;
  ++Batch.Jobs[Key.Job].Unfinished;
  State.Handovers.ReceivedTasks[Key] = Message.Sequence;
  WaitingTask Task;
  Task.Key = Key;
  Task.Spec = Handed.Spec;
  Task.Owner = Handed.Owner;
  Task.Enqueued = Now - std::min(Handed.Waited, MaxStartWithin);
  Task.StartBefore = Now + std::min(Handed.StartWithin, MaxStartWithin);
  queueTask(State, std::move(Task), 1, Now);
  Out.push_back(RecordTimeline{TimelineKind::TaskReceived,
                               jobText(Key.Home, Key.Job), taskText(Key),
                               "from=" + Message.HomeAddress.Value});
}

/// Returns true if \p Home is the current process at its address, alive or
/// suspected. The records of other homes are evicted some time later, after
/// which a late copy of their handovers could not be recognised, so it must not
/// run.
bool isHomeAliveOrSuspect(const InstanceState &State, IncarnationId Home) {
  const Member *M = findMember(State, Home);
  return M && (M->Health == MemberHealth::Alive ||
               M->Health == MemberHealth::Suspect);
}

/// Returns the tasks of a new batch beyond the \p FreeBefore slots that were
/// free, unless their home reports a longer expected wait than this instance
/// has.
void returnExcess(InstanceState &State, const HandoverMessage &Message,
                  size_t FreeBefore, SteadyTime Now) {
  if (Message.Load.ExpectedWait > expectedWait(State))
    return;
  for (size_t I = FreeBefore; I < Message.Tasks.size(); ++I) {
    TaskKey Key = keyOf(Message, Message.Tasks[I]);
    if (State.Queue.erase(Key))
      finishReceivedTask(State, Key,
                         {TaskEnd::NotStarted, "the receiver had no free slot"},
                         Now);
  }
}

HandoverStatus receiveBatch(InstanceState &State,
                            const HandoverMessage &Message, SteadyTime Now,
                            EffectList &Out) {
  if (Message.Receiver != State.Incarnation)
    return HandoverStatus::WrongIncarnation;
  // A late copy of a batch of a replaced home must not run again.
  if (State.Handovers.ClosedHomes.count(Message.Home))
    return HandoverStatus::BelowFloor;
  IncomingChannel &Channel = State.Handovers.Incoming[Message.Home];
  Channel.Endpoint = Message.HomeAddress;
  Channel.LastMessage = Now;
  raiseFloor(State, Channel, Message.SettledBelow);
  if (Message.Sequence < Channel.Floor)
    return HandoverStatus::BelowFloor;
  IncomingBatch &Batch = Channel.Batches[Message.Sequence];
  if (Batch.Rejected)
    return HandoverStatus::Rejected;
  if (!Batch.Tasks.empty())
    return HandoverStatus::Accepted;
  size_t Limit = static_cast<size_t>(State.Settings.Limits.QueueLimitTasks);
  if (State.Drain || !isHomeAliveOrSuspect(State, Message.Home) ||
      State.Queue.size() + Message.Tasks.size() > Limit) {
    // Recorded, so that a late copy of the message is rejected as well.
    Batch.Rejected = true;
    return HandoverStatus::Rejected;
  }
  size_t Free = currentLoad(State, Now).FreeSlots;
  for (const HandoverTask &Handed : Message.Tasks)
    queueReceivedTask(State, Message, Handed, Batch, Now, Out);
  if (State.Policy.ReturnExcess)
    returnExcess(State, Message, Free, Now);
  return HandoverStatus::Accepted;
}

void queueResults(IncomingChannel &Channel, ReceivedJob &Job) {
  std::move(Job.PendingResults.begin(), Job.PendingResults.end(),
            std::back_inserter(Channel.Unreported));
  Job.PendingResults.clear();
}

/// Queues results for reporting that were withheld longer than
/// `MaxReportDelay`.
void queueDelayedResults(IncomingChannel &Channel, SteadyTime Now) {
  for (auto &[Sequence, Batch] : Channel.Batches)
    for (auto &[Number, Job] : Batch.Jobs)
      if (!Job.PendingResults.empty() &&
          Now - Job.FirstEndedAt > MaxReportDelay)
        queueResults(Channel, Job);
}

/// Removes a received task from the queue. Returns true if it has not started
/// and never will.
bool revokeReceivedTask(InstanceState &State, IncomingChannel &Channel,
                        IncomingBatch &Batch, const TaskKey &Key) {
  auto Found = Batch.Tasks.find(Key);
  if (Found == Batch.Tasks.end()) {
    Batch.Tombstones.insert(Key);
    return true;
  }
  if (Found->second == ReceivedTaskState::Revoked)
    return true;
  if (Found->second == ReceivedTaskState::Ended)
    return false;
  if (!State.Queue.erase(Key)) {
    // An attempt is in progress. If it turns out not to have started the task,
    // there is no retry.
    Batch.Tombstones.insert(Key);
    return false;
  }
  Found->second = ReceivedTaskState::Revoked;
  State.Handovers.ReceivedTasks.erase(Key);
  ReceivedJob &Job = Batch.Jobs[Key.Job];
  if (--Job.Unfinished == 0)
    queueResults(Channel, Job);
  return true;
}

std::vector<TaskKey>
findReceivedTasks(const InstanceState &State,
                  const std::function<bool(const WaitingTask &)> &Matches) {
  std::vector<TaskKey> Keys;
  for (bool Long : {false, true})
    State.Queue.visit(Long, [&](const WaitingTask &Task) {
      if (Task.Key.Home != State.Incarnation && Matches(Task))
        Keys.push_back(Task.Key);
      return true;
    });
  return Keys;
}

/// Returns the leading unreported results that fit into one message.
std::vector<TaskReport> nextReports(const IncomingChannel &Channel) {
  std::vector<TaskReport> Reports;
  size_t Bytes = 0;
  for (const TaskReport &Report : Channel.Unreported) {
    Bytes += Report.Result.Output.size() + 128;
    if (Bytes > MaxReportBytes && !Reports.empty())
      break;
    Reports.push_back(Report);
  }
  return Reports;
}

} // namespace

void applyHandover(InstanceState &State, const HandoverReceived &Event,
                   SteadyTime Now, EffectList &Out) {
  ReplyHandover Reply{Event.Request, {}};
  Reply.Reply.Status = receiveBatch(State, Event.Message, Now, Out);
  Reply.Reply.Load = currentLoad(State, Now);
  recordReportedLoad(State, Event.Message.HomeAddress, Reply.Reply.Load);
  Out.push_back(Reply);
}

void applyRevoke(InstanceState &State, const RevokeReceived &Event,
                 SteadyTime Now, EffectList &Out) {
  ReplyRevoke Reply{Event.Request, {}};
  const RevokeMessage &Message = Event.Message;
  if (Message.Receiver != State.Incarnation) {
    Reply.Reply.WrongIncarnation = true;
    Out.push_back(std::move(Reply));
    return;
  }
  // Without records of the home nothing is known about its tasks, so none of
  // them can be reported as revoked.
  auto Found = State.Handovers.Incoming.find(Message.Home);
  bool Recorded = Found != State.Handovers.Incoming.end() &&
                  Found->second.Batches.count(Message.Sequence) &&
                  !Found->second.Batches[Message.Sequence].Tasks.empty();
  bool RecordsDiscarded =
      State.Handovers.ClosedHomes.count(Message.Home) ||
      (!Recorded && !isHomeAliveOrSuspect(State, Message.Home));
  if (RecordsDiscarded) {
    Out.push_back(std::move(Reply));
    return;
  }
  IncomingChannel &Channel = State.Handovers.Incoming[Message.Home];
  Channel.LastMessage = Now;
  // Batches below the floor are settled, with nothing left to revoke.
  if (!(Message.Sequence < Channel.Floor)) {
    IncomingBatch &Batch = Channel.Batches[Message.Sequence];
    for (const TaskKey &Key : Message.Tasks)
      if (Key.Home == Message.Home &&
          revokeReceivedTask(State, Channel, Batch, Key))
        Reply.Reply.Revoked.push_back(Key);
  }
  Out.push_back(std::move(Reply));
}

void finishReceivedTask(InstanceState &State, const TaskKey &Key,
                        TaskResult Result, SteadyTime Now) {
  auto Received = State.Handovers.ReceivedTasks.find(Key);
  auto Channel = State.Handovers.Incoming.find(Key.Home);
  if (Received == State.Handovers.ReceivedTasks.end() ||
      Channel == State.Handovers.Incoming.end())
    return;
  HandoverSequence Sequence = Received->second;
  State.Handovers.ReceivedTasks.erase(Received);
  IncomingBatch &Batch = Channel->second.Batches[Sequence];
  Batch.Tasks[Key] = ReceivedTaskState::Ended;
  ReceivedJob &Job = Batch.Jobs[Key.Job];
  --Job.Unfinished;
  if (Job.PendingResults.empty())
    Job.FirstEndedAt = Now;
  // The home answers its caller only when it has all results, so those of one
  // job are reported together. A failure ends the job and is reported at once.
  bool Report = Job.Unfinished == 0 || Result.End != TaskEnd::Finished;
  Job.PendingResults.push_back({Sequence, Key, std::move(Result)});
  if (Report)
    queueResults(Channel->second, Job);
}

bool isReceivedTaskAwaited(const InstanceState &State, const TaskKey &Key) {
  auto Received = State.Handovers.ReceivedTasks.find(Key);
  auto Channel = State.Handovers.Incoming.find(Key.Home);
  if (Received == State.Handovers.ReceivedTasks.end() ||
      Channel == State.Handovers.Incoming.end())
    return false;
  auto Batch = Channel->second.Batches.find(Received->second);
  return Batch != Channel->second.Batches.end() &&
         !Batch->second.Tombstones.count(Key);
}

void expireReceivedTasks(InstanceState &State, SteadyTime Now) {
  for (auto &[Home, Channel] : State.Handovers.Incoming)
    queueDelayedResults(Channel, Now);
  std::vector<TaskKey> Overdue = findReceivedTasks(
      State, [&](const WaitingTask &Task) { return Task.StartBefore <= Now; });
  for (const TaskKey &Key : Overdue) {
    State.Queue.erase(Key);
    finishReceivedTask(
        State, Key,
        {TaskEnd::NotStarted,
         "the receiver had no free slot before the start deadline"},
        Now);
  }
}

void returnReceivedTasks(InstanceState &State,
                         std::optional<IncarnationId> Home,
                         const std::string &Reason, SteadyTime Now,
                         EffectList &Out) {
  std::vector<TaskKey> Keys =
      findReceivedTasks(State, [&](const WaitingTask &Task) {
        return !Home || Task.Key.Home == *Home;
      });
  for (const TaskKey &Key : Keys) {
    State.Queue.erase(Key);
    Out.push_back(RecordTimeline{TimelineKind::TaskReturned,
                                 jobText(Key.Home, Key.Job), taskText(Key),
                                 ""});
    finishReceivedTask(State, Key, {TaskEnd::NotStarted, Reason}, Now);
  }
}

void returnUnservableTasks(InstanceState &State, SteadyTime Now,
                           EffectList &Out) {
  if (State.Queue.size() == 0 || currentLoad(State, Now).TotalSlots > 0)
    return;
  // An ownership change or a drain can leave this instance without upstreams
  // for tasks that wait here; only their homes may hand them over to another.
  returnReceivedTasks(State, std::nullopt, "the receiver has no usable slots",
                      Now, Out);
}

void sendReports(InstanceState &State, SteadyTime Now, EffectList &Out) {
  for (auto &[Home, Channel] : State.Handovers.Incoming) {
    if (Channel.Unreported.empty() || Channel.ReportsInFlight > 0 ||
        Channel.ResendAt > Now)
      continue;
    ReportMessage Message;
    Message.Home = Home;
    Message.Receiver = State.Incarnation;
    Message.Reports = nextReports(Channel);
    Message.Load = currentLoad(State, Now);
    recordReportedLoad(State, Channel.Endpoint, Message.Load);
    Channel.ReportsInFlight = Message.Reports.size();
    ++State.Counts.ReportMessages;
    Out.push_back(SendReport{Channel.Endpoint, std::move(Message)});
  }
}

void applyReportAnswer(InstanceState &State, const ReportAnswered &Event,
                       SteadyTime Now) {
  auto It = State.Handovers.Incoming.find(Event.Home);
  if (It == State.Handovers.Incoming.end())
    return;
  IncomingChannel &Channel = It->second;
  size_t Sent = std::exchange(Channel.ReportsInFlight, 0);
  if (Event.WrongIncarnation) {
    closeHomeChannel(State, Event.Home, Now);
    return;
  }
  if (!Event.Acknowledged) {
    Channel.ResendAt = Now + ReportResendDelay;
    return;
  }
  Channel.ResendAt = SteadyTime{};
  Channel.Unreported.erase(Channel.Unreported.begin(),
                           Channel.Unreported.begin() +
                               static_cast<std::ptrdiff_t>(Sent));
  if (Event.Load)
    for (auto &[Endpoint, M] : State.Members.Members)
      if (M.Incarnation == Event.Home)
        M.Load = *Event.Load;
}

void closeHomeChannel(InstanceState &State, IncarnationId Home,
                      SteadyTime Now) {
  State.Handovers.ClosedHomes[Home] =
      Now + State.Settings.Limits.TicketLifetime;
  std::vector<TaskKey> Keys = findReceivedTasks(
      State, [&](const WaitingTask &Task) { return Task.Key.Home == Home; });
  for (const TaskKey &Key : Keys)
    State.Queue.erase(Key);
  auto It = State.Handovers.Incoming.find(Home);
  if (It == State.Handovers.Incoming.end())
    return;
  for (const auto &[Sequence, Batch] : It->second.Batches)
    for (const auto &[Key, TaskStatus] : Batch.Tasks)
      State.Handovers.ReceivedTasks.erase(Key);
  State.Handovers.Incoming.erase(It);
}

void evictUnreachableHomes(InstanceState &State, SteadyTime Now) {
  auto &Incoming = State.Handovers.Incoming;
  std::set<IncarnationId> HomesWithTasks;
  for (const auto &[Key, Sequence] : State.Handovers.ReceivedTasks)
    HomesWithTasks.insert(Key.Home);
  for (auto It = Incoming.begin(); It != Incoming.end();) {
    auto &[Home, Channel] = *It;
    bool Expired =
        Channel.LastMessage + State.Settings.Limits.TicketLifetime < Now;
    // The answer to a report in flight removes its results by position.
    if (!Expired || isHomeAliveOrSuspect(State, Home) ||
        HomesWithTasks.count(Home) || Channel.ReportsInFlight > 0) {
      ++It;
      continue;
    }
    // A home that was only paused or unreachable may return, and late copies of
    // its handovers may arrive. The raised floor stays to reject them.
    if (!Channel.Batches.empty())
      raiseFloor(State, Channel, {Channel.Batches.rbegin()->first.Value + 1});
    Channel.Unreported.clear();
    It = findMember(State, Home) ? std::next(It) : Incoming.erase(It);
  }
}

void evictClosedHomes(InstanceState &State, SteadyTime Now) {
  auto &Closed = State.Handovers.ClosedHomes;
  for (auto It = Closed.begin(); It != Closed.end();)
    It = It->second < Now ? Closed.erase(It) : std::next(It);
}

} // namespace snipeshunt
