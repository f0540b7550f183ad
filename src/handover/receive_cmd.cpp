/// \file Receiver side of handovers.
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

constexpr Duration ReportRepeat = std::chrono::milliseconds(200);
// Bounds how much the home does not know when its job fails, or when this
// instance dies.
constexpr Duration MaxReportDelay = std::chrono::seconds(1);
// Keeps one report well under the body limit of a request.
constexpr size_t MaxReportBytes = 512 << 10;
// A start deadline further away than any patience is not meant seriously and
// would overflow the clock.
constexpr std::chrono::milliseconds MaxStartWithin{3600000};

TaskKey keyOf(const HandoverMessage &Message, const HandedTask &Task) {
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
    for (const auto &[Key, TaskIs] : Batch.Tasks) {
      // A task that came back unstarted may be held again in a later batch.
      auto Held = State.Handovers.Held.find(Key);
      if (Held == State.Handovers.Held.end() || Held->second != Sequence)
        continue;
      // The home has given it up; starting it would serve nobody.
      State.Queue.erase(Key);
      State.Handovers.Held.erase(Held);
    }
    Channel.Batches.erase(Channel.Batches.begin());
  }
}

void holdTask(InstanceState &State, const HandoverMessage &Message,
              const HandedTask &Handed, IncomingBatch &Batch, SteadyTime Now,
              EffectList &Out) {
  TaskKey Key = keyOf(Message, Handed);
  if (Batch.Tombstones.count(Key)) {
    Batch.Tasks[Key] = ReceivedState::Revoked;
    return;
  }
  Batch.Tasks[Key] = ReceivedState::Held;
  ++Batch.Jobs[Key.Job].Open;
  State.Handovers.Held[Key] = Message.Sequence;
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

/// Whether \p Home is the process that its address was last heard as. Records
/// of other homes are forgotten in time, and a copy of their handovers that
/// arrives even later must not run.
bool homePresent(const InstanceState &State, IncarnationId Home) {
  const Member *M = findMember(State, Home);
  return M && (M->Health == MemberHealth::Alive ||
               M->Health == MemberHealth::Suspect);
}

/// Returns tasks that found no free slot here and wait less at their home.
void returnExcess(InstanceState &State, const HandoverMessage &Message,
                  size_t FreeBefore, SteadyTime Now) {
  if (Message.Load.ExpectedWait > expectedWait(State))
    return;
  for (size_t I = FreeBefore; I < Message.Tasks.size(); ++I) {
    TaskKey Key = keyOf(Message, Message.Tasks[I]);
    if (State.Queue.erase(Key))
      finishHeldTask(State, Key, {TaskEnd::NotStarted, "no free slot"}, Now);
  }
}

HandoverVerdict takeBatch(InstanceState &State, const HandoverMessage &Message,
                          SteadyTime Now, EffectList &Out) {
  if (Message.Receiver != State.Incarnation)
    return HandoverVerdict::WrongIncarnation;
  // A late copy from a home that has been replaced must not run again.
  if (State.Handovers.ClosedHomes.count(Message.Home))
    return HandoverVerdict::BelowFloor;
  IncomingChannel &Channel = State.Handovers.Incoming[Message.Home];
  Channel.Where = Message.HomeAddress;
  Channel.LastMessage = Now;
  raiseFloor(State, Channel, Message.SettledBelow);
  if (Message.Sequence < Channel.Floor)
    return HandoverVerdict::BelowFloor;
  IncomingBatch &Batch = Channel.Batches[Message.Sequence];
  if (Batch.Refused)
    return HandoverVerdict::Refused;
  if (!Batch.Tasks.empty())
    return HandoverVerdict::Accepted;
  size_t Limit = static_cast<size_t>(State.Settings.Limits.QueueLimitTasks);
  if (State.Drain || !homePresent(State, Message.Home) ||
      State.Queue.size() + Message.Tasks.size() > Limit) {
    // Remembered, so that a late copy of the message is refused as well.
    Batch.Refused = true;
    return HandoverVerdict::Refused;
  }
  size_t Free = currentLoad(State, Now).FreeSlots;
  for (const HandedTask &Handed : Message.Tasks)
    holdTask(State, Message, Handed, Batch, Now, Out);
  if (State.Policy.ReturnExcess)
    returnExcess(State, Message, Free, Now);
  return HandoverVerdict::Accepted;
}

void reportFinished(IncomingChannel &Channel, ReceivedJob &Job) {
  std::move(Job.Finished.begin(), Job.Finished.end(),
            std::back_inserter(Channel.Unreported));
  Job.Finished.clear();
}

/// Reports what was kept back for too long.
void reportDelayed(IncomingChannel &Channel, SteadyTime Now) {
  for (auto &[Sequence, Batch] : Channel.Batches)
    for (auto &[Number, Job] : Batch.Jobs)
      if (!Job.Finished.empty() && Now - Job.Since > MaxReportDelay)
        reportFinished(Channel, Job);
}

/// Takes a held task out of the queue, if it has not started.
bool revokeHeld(InstanceState &State, IncomingChannel &Channel,
                IncomingBatch &Batch, const TaskKey &Key) {
  auto Known = Batch.Tasks.find(Key);
  if (Known == Batch.Tasks.end()) {
    Batch.Tombstones.insert(Key);
    return true;
  }
  if (Known->second == ReceivedState::Revoked)
    return true;
  if (Known->second == ReceivedState::Ended)
    return false;
  if (!State.Queue.erase(Key)) {
    // Its attempt is open; if that proves not to have started, none follows.
    Batch.Tombstones.insert(Key);
    return false;
  }
  Known->second = ReceivedState::Revoked;
  State.Handovers.Held.erase(Key);
  ReceivedJob &Job = Batch.Jobs[Key.Job];
  if (--Job.Open == 0)
    reportFinished(Channel, Job);
  return true;
}

std::vector<TaskKey>
heldTasks(const InstanceState &State,
          const std::function<bool(const WaitingTask &)> &Wanted) {
  std::vector<TaskKey> Keys;
  for (bool Long : {false, true})
    State.Queue.visit(Long, [&](const WaitingTask &Task) {
      if (Task.Key.Home != State.Incarnation && Wanted(Task))
        Keys.push_back(Task.Key);
      return true;
    });
  return Keys;
}

/// Leading unreported results that fit into one message.
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
  Reply.Reply.Verdict = takeBatch(State, Event.Message, Now, Out);
  Reply.Reply.Load = currentLoad(State, Now);
  noteToldLoad(State, Event.Message.HomeAddress, Reply.Reply.Load);
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
  // Records of a home that is gone were dropped, so nothing can be said of what
  // its tasks did.
  auto Known = State.Handovers.Incoming.find(Message.Home);
  bool Recorded = Known != State.Handovers.Incoming.end() &&
                  Known->second.Batches.count(Message.Sequence) &&
                  !Known->second.Batches[Message.Sequence].Tasks.empty();
  bool Forgotten = State.Handovers.ClosedHomes.count(Message.Home) ||
                   (!Recorded && !homePresent(State, Message.Home));
  if (Forgotten) {
    Out.push_back(std::move(Reply));
    return;
  }
  IncomingChannel &Channel = State.Handovers.Incoming[Message.Home];
  Channel.LastMessage = Now;
  // Below the floor everything is settled; there is nothing to take back.
  if (!(Message.Sequence < Channel.Floor)) {
    IncomingBatch &Batch = Channel.Batches[Message.Sequence];
    for (const TaskKey &Key : Message.Tasks)
      if (Key.Home == Message.Home && revokeHeld(State, Channel, Batch, Key))
        Reply.Reply.Revoked.push_back(Key);
  }
  Out.push_back(std::move(Reply));
}

void finishHeldTask(InstanceState &State, const TaskKey &Key, TaskResult Result,
                    SteadyTime Now) {
  auto Held = State.Handovers.Held.find(Key);
  auto Channel = State.Handovers.Incoming.find(Key.Home);
  if (Held == State.Handovers.Held.end() ||
      Channel == State.Handovers.Incoming.end())
    return;
  HandoverSequence Sequence = Held->second;
  State.Handovers.Held.erase(Held);
  IncomingBatch &Batch = Channel->second.Batches[Sequence];
  Batch.Tasks[Key] = ReceivedState::Ended;
  ReceivedJob &Job = Batch.Jobs[Key.Job];
  --Job.Open;
  if (Job.Finished.empty())
    Job.Since = Now;
  // The home answers only when it has every result, so the results of one job
  // go together. A failure ends the job and is reported at once.
  bool Report = Job.Open == 0 || Result.End != TaskEnd::Finished;
  Job.Finished.push_back({Sequence, Key, std::move(Result)});
  if (Report)
    reportFinished(Channel->second, Job);
}

bool heldTaskWanted(const InstanceState &State, const TaskKey &Key) {
  auto Held = State.Handovers.Held.find(Key);
  auto Channel = State.Handovers.Incoming.find(Key.Home);
  if (Held == State.Handovers.Held.end() ||
      Channel == State.Handovers.Incoming.end())
    return false;
  auto Batch = Channel->second.Batches.find(Held->second);
  return Batch != Channel->second.Batches.end() &&
         !Batch->second.Tombstones.count(Key);
}

void expireHeldTasks(InstanceState &State, SteadyTime Now) {
  for (auto &[Home, Channel] : State.Handovers.Incoming)
    reportDelayed(Channel, Now);
  std::vector<TaskKey> Late = heldTasks(
      State, [&](const WaitingTask &Task) { return Task.StartBefore <= Now; });
  for (const TaskKey &Key : Late) {
    State.Queue.erase(Key);
    finishHeldTask(State, Key,
                   {TaskEnd::NotStarted, "no slot in time at the sender"}, Now);
  }
}

void returnHeldTasks(InstanceState &State, std::optional<IncarnationId> Home,
                     const std::string &Reason, SteadyTime Now,
                     EffectList &Out) {
  std::vector<TaskKey> Keys = heldTasks(State, [&](const WaitingTask &Task) {
    return !Home || Task.Key.Home == *Home;
  });
  for (const TaskKey &Key : Keys) {
    State.Queue.erase(Key);
    Out.push_back(RecordTimeline{TimelineKind::TaskReturned,
                                 jobText(Key.Home, Key.Job), taskText(Key),
                                 ""});
    finishHeldTask(State, Key, {TaskEnd::NotStarted, Reason}, Now);
  }
}

void returnUnservableTasks(InstanceState &State, SteadyTime Now,
                           EffectList &Out) {
  if (State.Queue.size() == 0 || currentLoad(State, Now).TotalSlots > 0)
    return;
  // A change of ownership or a shutdown can take the upstreams away from tasks
  // that wait here; only their homes may give them to another instance.
  returnHeldTasks(State, std::nullopt, "the sender has no slots", Now, Out);
}

void sendReports(InstanceState &State, SteadyTime Now, EffectList &Out) {
  for (auto &[Home, Channel] : State.Handovers.Incoming) {
    if (Channel.Unreported.empty() || Channel.ReportsInFlight > 0 ||
        Channel.RepeatAt > Now)
      continue;
    ReportMessage Message;
    Message.Home = Home;
    Message.Receiver = State.Incarnation;
    Message.Reports = nextReports(Channel);
    Message.Load = currentLoad(State, Now);
    noteToldLoad(State, Channel.Where, Message.Load);
    Channel.ReportsInFlight = Message.Reports.size();
    ++State.Counts.ReportMessages;
    Out.push_back(SendReport{Channel.Where, std::move(Message)});
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
    dropIncoming(State, Event.Home, Now);
    return;
  }
  if (!Event.Acknowledged) {
    Channel.RepeatAt = Now + ReportRepeat;
    return;
  }
  Channel.RepeatAt = SteadyTime{};
  Channel.Unreported.erase(Channel.Unreported.begin(),
                           Channel.Unreported.begin() +
                               static_cast<std::ptrdiff_t>(Sent));
  if (Event.Load)
    for (auto &[Where, M] : State.Members.Members)
      if (M.Incarnation == Event.Home)
        M.Load = *Event.Load;
}

void dropIncoming(InstanceState &State, IncarnationId Home, SteadyTime Now) {
  State.Handovers.ClosedHomes[Home] =
      Now + State.Settings.Limits.TicketLifetime;
  std::vector<TaskKey> Keys = heldTasks(
      State, [&](const WaitingTask &Task) { return Task.Key.Home == Home; });
  for (const TaskKey &Key : Keys)
    State.Queue.erase(Key);
  auto It = State.Handovers.Incoming.find(Home);
  if (It == State.Handovers.Incoming.end())
    return;
  for (const auto &[Sequence, Batch] : It->second.Batches)
    for (const auto &[Key, TaskIs] : Batch.Tasks)
      State.Handovers.Held.erase(Key);
  State.Handovers.Incoming.erase(It);
}

void forgetSilentHomes(InstanceState &State, SteadyTime Now) {
  auto &Incoming = State.Handovers.Incoming;
  std::set<IncarnationId> Holding;
  for (const auto &[Key, Sequence] : State.Handovers.Held)
    Holding.insert(Key.Home);
  for (auto It = Incoming.begin(); It != Incoming.end();) {
    auto &[Home, Channel] = *It;
    bool Old = Channel.LastMessage + State.Settings.Limits.TicketLifetime < Now;
    // An open report names its results by their places.
    if (!Old || homePresent(State, Home) || Holding.count(Home) ||
        Channel.ReportsInFlight > 0) {
      ++It;
      continue;
    }
    // A home that was only paused or cut off may come back, and with it late
    // copies of its handovers. The floor stays to refuse them.
    if (!Channel.Batches.empty())
      raiseFloor(State, Channel, {Channel.Batches.rbegin()->first.Value + 1});
    Channel.Unreported.clear();
    It = findMember(State, Home) ? std::next(It) : Incoming.erase(It);
  }
}

void forgetClosedHomes(InstanceState &State, SteadyTime Now) {
  auto &Closed = State.Handovers.ClosedHomes;
  for (auto It = Closed.begin(); It != Closed.end();)
    It = It->second < Now ? Closed.erase(It) : std::next(It);
}

} // namespace snipeshunt
