/// \file The home's side of the handover protocol.
#include "handover/handover_cmd.h"

#include "jobs/job_cmd.h"
#include "membership/member_cmd.h"
#include "scheduling/queue_cmd.h"
#include "tickets/ticket_func.h"
#include "upstreams/health_cmd.h"
#include "upstreams/upstream_cmd.h"

#include <algorithm>
#include <utility>

namespace snipeshunt {

namespace {

// Base of the delay before an unanswered message is sent again. Each send
// doubles the delay: it is 400 ms after the first.
constexpr Duration BaseResendDelay = std::chrono::milliseconds(200);
// Limits the delay to 3.2 s.
constexpr uint32_t MaxBackoffShift = 4;

Duration resendDelay(uint32_t Sends) {
  return BaseResendDelay * (1 << std::min(Sends, MaxBackoffShift));
}

OutgoingBatch *findBatch(InstanceState &State, IncarnationId Receiver,
                         HandoverSequence Sequence) {
  auto Channel = State.Handovers.Outgoing.find(Receiver);
  if (Channel == State.Handovers.Outgoing.end())
    return nullptr;
  auto Batch = Channel->second.Batches.find(Sequence);
  return Batch == Channel->second.Batches.end() ? nullptr : &Batch->second;
}

/// Returns the number below which all batches are settled, so that the receiver
/// may discard their records.
HandoverSequence settledBelow(const OutgoingChannel &Channel) {
  if (Channel.Batches.empty())
    return {Channel.NextSequence};
  return Channel.Batches.begin()->first;
}

HandoverTask toHandoverTask(const WaitingTask &Task, SteadyTime Now) {
  HandoverTask Handed;
  Handed.Job = Task.Key.Job;
  Handed.Index = Task.Key.Index;
  Handed.Owner = Task.Owner;
  Handed.Spec = Task.Spec;
  Handed.StartWithin = std::chrono::duration_cast<std::chrono::milliseconds>(
      Task.StartBefore - Now);
  Handed.Waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now - Task.Enqueued);
  return Handed;
}

void sendBatch(InstanceState &State, OutgoingChannel &Channel,
               OutgoingBatch &Batch, SteadyTime Now, EffectList &Out) {
  Batch.Message.SettledBelow = settledBelow(Channel);
  Batch.Message.Load = currentLoad(State, Now);
  recordReportedLoad(State, Channel.Endpoint, Batch.Message.Load);
  Batch.InFlight = true;
  ++Batch.SendCount;
  ++State.Counts.HandoverMessages;
  Out.push_back(SendHandover{Channel.Endpoint, Batch.Message});
}

void sendRevoke(InstanceState &State, OutgoingChannel &Channel,
                OutgoingBatch &Batch, EffectList &Out) {
  RevokeMessage Message;
  Message.Home = State.Incarnation;
  Message.Receiver = Batch.Message.Receiver;
  Message.Sequence = Batch.Message.Sequence;
  Message.Tasks.assign(Batch.Revoking.begin(), Batch.Revoking.end());
  Batch.InFlight = true;
  Out.push_back(SendRevoke{Channel.Endpoint, std::move(Message)});
}

/// Removes \p Key from its batch. Returns false if it was settled before.
bool settle(InstanceState &State, OutgoingChannel &Channel,
            HandoverSequence Sequence, const TaskKey &Key) {
  auto Batch = Channel.Batches.find(Sequence);
  if (Batch == Channel.Batches.end() || !Batch->second.Unsettled.erase(Key))
    return false;
  Batch->second.Revoking.erase(Key);
  State.Handovers.HandedOver.erase(Key);
  if (Batch->second.Unsettled.empty())
    Channel.Batches.erase(Batch);
  return true;
}

/// Queues a task again that its receiver has not started, or fails its job if
/// the start deadline has passed.
void requeueReturnedTask(InstanceState &State, const HandoverMessage &Message,
                         const TaskKey &Key, const std::string &Reason,
                         SteadyTime Now, uint64_t Seed, EffectList &Out) {
  for (const HandoverTask &Handed : Message.Tasks) {
    if (Handed.Job != Key.Job || Handed.Index != Key.Index)
      continue;
    auto Record = State.Jobs.Records.find(Key.Job);
    if (Record == State.Jobs.Records.end() || !Record->second.Running)
      return;
    const Job &J = *Record->second.Running;
    WaitingTask Task;
    Task.Key = Key;
    Task.Spec = Handed.Spec;
    Task.Owner = Handed.Owner;
    Task.Enqueued = J.Tasks[Key.Index.Value].FirstQueued;
    Task.StartBefore = J.Deadline;
    Task.Span = J.Span;
    // The retry budget is for attempts on upstreams and does not apply here: a
    // sender that shuts down returns all of its waiting tasks at once.
    if (!requeueTask(State, Task, Now, Now, Seed))
      finishTask(State, Key, {TaskEnd::NotStarted, Reason}, Now, Out);
    return;
  }
}

/// Settles all tasks of a batch that its receiver has not accepted and queues
/// them again.
void requeueBatch(InstanceState &State, IncarnationId Receiver,
                  HandoverSequence Sequence, const std::string &Reason,
                  SteadyTime Now, uint64_t Seed, EffectList &Out) {
  OutgoingChannel &Channel = State.Handovers.Outgoing[Receiver];
  HandoverMessage Message = Channel.Batches[Sequence].Message;
  std::set<TaskKey> Keys = Channel.Batches[Sequence].Unsettled;
  for (const TaskKey &Key : Keys)
    if (settle(State, Channel, Sequence, Key))
      requeueReturnedTask(State, Message, Key, Reason, Now, Seed++, Out);
}

/// Settles all tasks of a batch with an unknown result, since its receiver has
/// no record of them and won't report them.
void failBatch(InstanceState &State, IncarnationId Receiver,
               HandoverSequence Sequence, SteadyTime Now, EffectList &Out) {
  OutgoingChannel &Channel = State.Handovers.Outgoing[Receiver];
  std::set<TaskKey> Keys = Channel.Batches[Sequence].Unsettled;
  for (const TaskKey &Key : Keys)
    settle(State, Channel, Sequence, Key);
  for (const TaskKey &Key : Keys)
    finishTask(State, Key,
               {TaskEnd::Unknown, "instance " + Channel.Endpoint.Value +
                                      " has no record of the task any more"},
               Now, Out);
}

Member *findMemberToUpdate(InstanceState &State, IncarnationId Incarnation) {
  for (auto &[Endpoint, M] : State.Members.Members)
    if (M.Incarnation == Incarnation)
      return &M;
  return nullptr;
}

void applyLoad(InstanceState &State, IncarnationId From,
               const LoadReport &Load) {
  if (Member *M = findMemberToUpdate(State, From))
    M->Load = Load;
}

} // namespace

void handOverBatch(InstanceState &State, Member &To,
                   const std::vector<TaskKey> &Keys, SteadyTime Now,
                   EffectList &Out) {
  OutgoingChannel &Channel = State.Handovers.Outgoing[To.Incarnation];
  Channel.Endpoint = To.Location.Endpoint;
  HandoverSequence Sequence{Channel.NextSequence++};
  OutgoingBatch &Batch = Channel.Batches[Sequence];
  Batch.Message.Home = State.Incarnation;
  Batch.Message.HomeAddress = State.Settings.Advertise;
  Batch.Message.Receiver = To.Incarnation;
  Batch.Message.Sequence = Sequence;
  for (const TaskKey &Key : Keys) {
    WaitingTask Task = *State.Queue.erase(Key);
    Batch.Message.Tasks.push_back(toHandoverTask(Task, Now));
    Batch.Unsettled.insert(Key);
    State.Handovers.HandedOver[Key] = {To.Incarnation, Sequence};
    setTaskState(State, Key, TaskState::HandedOver);
    ++State.Counts.TasksHandedOver;
    Out.push_back(RecordTimeline{TimelineKind::TaskHandedOver,
                                 jobText(Key.Home, Key.Job), taskText(Key),
                                 "to=" + To.Location.Endpoint.Value});
  }
  sendBatch(State, Channel, Batch, Now, Out);
}

void revokeTasks(InstanceState &State, const std::vector<TaskKey> &Keys,
                 SteadyTime Now, EffectList &Out) {
  std::set<std::pair<IncarnationId, HandoverSequence>> AffectedBatches;
  for (const TaskKey &Key : Keys) {
    auto Found = State.Handovers.HandedOver.find(Key);
    if (Found == State.Handovers.HandedOver.end())
      continue;
    auto [Receiver, Sequence] = Found->second;
    findBatch(State, Receiver, Sequence)->Revoking.insert(Key);
    AffectedBatches.insert(Found->second);
  }
  for (const auto &[Receiver, Sequence] : AffectedBatches) {
    OutgoingBatch &Batch = *findBatch(State, Receiver, Sequence);
    // If a handover is in flight, the revoke is sent on the first tick after
    // its answer.
    Batch.ResendAt = Now;
    if (!Batch.InFlight)
      sendRevoke(State, State.Handovers.Outgoing[Receiver], Batch, Out);
  }
}

void applyHandoverAnswer(InstanceState &State, const HandoverAnswered &Event,
                         SteadyTime Now, uint64_t Seed, EffectList &Out) {
  OutgoingBatch *Batch = findBatch(State, Event.Receiver, Event.Sequence);
  if (Event.Reply)
    applyLoad(State, Event.Receiver, Event.Reply->Load);
  if (!Batch)
    return;
  Batch->InFlight = false;
  Batch->ResendAt = Now + resendDelay(Batch->SendCount);
  if (!Event.Reply) {
    // A failure to send proves that nothing arrived only if it was the first
    // send.
    if (Event.NothingSent && Batch->SendCount == 1) {
      if (Member *M = findMemberToUpdate(State, Event.Receiver))
        M->Load.FreeSlots = 0;
      requeueBatch(State, Event.Receiver, Event.Sequence,
                   "the receiver could not be reached", Now, Seed, Out);
    }
    return;
  }
  switch (Event.Reply->Status) {
  case HandoverStatus::Accepted:
    Batch->Acknowledged = true;
    break;
  case HandoverStatus::Rejected:
    requeueBatch(State, Event.Receiver, Event.Sequence,
                 "the receiver rejected the batch", Now, Seed, Out);
    break;
  case HandoverStatus::BelowFloor:
    // A batch that is unsettled here is below the floor only if the receiver
    // has discarded its records of this home as dead or replaced. It won't
    // report what has started.
    failBatch(State, Event.Receiver, Event.Sequence, Now, Out);
    break;
  case HandoverStatus::WrongIncarnation:
    failReceiver(State, Event.Receiver, Now, Out);
    break;
  }
}

void applyRevokeAnswer(InstanceState &State, const RevokeAnswered &Event,
                       SteadyTime Now, EffectList &Out) {
  OutgoingBatch *Batch = findBatch(State, Event.Receiver, Event.Sequence);
  if (!Batch)
    return;
  Batch->InFlight = false;
  Batch->ResendAt = Now + resendDelay(++Batch->SendCount);
  if (!Event.Reply)
    return;
  if (Event.Reply->WrongIncarnation) {
    failReceiver(State, Event.Receiver, Now, Out);
    return;
  }
  // Tasks that could not be revoked have started and are settled by the report.
  // The handover is sent again, since its answer shows whether the receiver
  // still has the batch.
  Batch->Revoking.clear();
  Batch->Acknowledged = false;
  OutgoingChannel &Channel = State.Handovers.Outgoing[Event.Receiver];
  for (const TaskKey &Key : Event.Reply->Revoked) {
    if (!settle(State, Channel, Event.Sequence, Key))
      continue;
    Out.push_back(RecordTimeline{TimelineKind::TaskRevoked,
                                 jobText(Key.Home, Key.Job), taskText(Key),
                                 ""});
    finishTask(State, Key, {TaskEnd::NotStarted, "revoked"}, Now, Out);
  }
}

void applyReport(InstanceState &State, const ReportReceived &Event,
                 SteadyTime Now, uint64_t Seed, EffectList &Out) {
  const ReportMessage &Message = Event.Message;
  ReplyReport Reply{Event.Request, Message.Home != State.Incarnation, {}};
  applyLoad(State, Message.Receiver, Message.Load);
  auto Channel = State.Handovers.Outgoing.find(Message.Receiver);
  if (!Reply.WrongIncarnation && Channel != State.Handovers.Outgoing.end())
    for (const TaskReport &Report : Message.Reports) {
      OutgoingBatch *Batch =
          findBatch(State, Message.Receiver, Report.Sequence);
      if (!Batch)
        continue;
      HandoverMessage Sent = Batch->Message;
      if (!settle(State, Channel->second, Report.Sequence, Report.Key))
        continue;
      if (Report.Result.End == TaskEnd::NotStarted)
        requeueReturnedTask(State, Sent, Report.Key, Report.Result.Output, Now,
                            Seed++, Out);
      else
        finishTask(State, Report.Key, Report.Result, Now, Out);
    }
  Reply.Load = currentLoad(State, Now);
  if (const Member *M = findMemberToUpdate(State, Message.Receiver))
    recordReportedLoad(State, M->Location.Endpoint, Reply.Load);
  Out.push_back(Reply);
}

void failReceiver(InstanceState &State, IncarnationId Receiver, SteadyTime Now,
                  EffectList &Out) {
  auto It = State.Handovers.Outgoing.find(Receiver);
  if (It == State.Handovers.Outgoing.end())
    return;
  // The channel stays, since the receiver may only have been unreachable:
  // batch numbers must not be reused when it answers again.
  std::map<HandoverSequence, OutgoingBatch> FailedBatches =
      std::exchange(It->second.Batches, {});
  Address Endpoint = It->second.Endpoint;
  for (const auto &[Sequence, Batch] : FailedBatches)
    for (const TaskKey &Key : Batch.Unsettled)
      State.Handovers.HandedOver.erase(Key);
  for (const auto &[Sequence, Batch] : FailedBatches)
    for (const TaskKey &Key : Batch.Unsettled)
      finishTask(State, Key,
                 {TaskEnd::Unknown, "instance " + Endpoint.Value +
                                        " stopped or became unreachable"},
                 Now, Out);
}

void scheduleResendsNow(InstanceState &State, SteadyTime Now) {
  for (auto &[Receiver, Channel] : State.Handovers.Outgoing)
    for (auto &[Sequence, Batch] : Channel.Batches) {
      Batch.Acknowledged = false;
      Batch.ResendAt = Now;
    }
}

void resendHandovers(InstanceState &State, SteadyTime Now, EffectList &Out) {
  for (auto &[Receiver, Channel] : State.Handovers.Outgoing)
    for (auto &[Sequence, Batch] : Channel.Batches) {
      if (Batch.InFlight || Batch.ResendAt > Now)
        continue;
      if (!Batch.Revoking.empty())
        sendRevoke(State, Channel, Batch, Out);
      else if (!Batch.Acknowledged)
        sendBatch(State, Channel, Batch, Now, Out);
    }
}

} // namespace snipeshunt
