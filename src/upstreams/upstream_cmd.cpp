/// \file State changes of this instance as a sender.
#include "upstreams/upstream_cmd.h"

#include "admission/admission_func.h"
#include "configuration/configuration_func.h"
#include "handover/handover_cmd.h"
#include "jobs/job_cmd.h"
#include "reducer/policy_func.h"
#include "scheduling/dispatch_cmd.h"
#include "tickets/ticket_func.h"
#include "upstreams/health_cmd.h"
#include "upstreams/ownership_func.h"

#include <algorithm>
#include <set>

namespace snipeshunt {

namespace {

void recordUpstreamEvent(TimelineKind Kind, const Address &Endpoint,
                         EffectList &Out) {
  Out.push_back(RecordTimeline{Kind, "", "", "upstream=" + Endpoint.Value});
}

void setLeaving(Upstream &U, bool Leaving, EffectList &Out) {
  if (U.Leaving != Leaving && Leaving)
    recordUpstreamEvent(TimelineKind::UpstreamLeaving, U.Listed.Endpoint, Out);
  U.Leaving = Leaving;
}

/// Returns the instances of each data centre that may be senders: live members
/// that are alive or suspected, and this instance unless it is draining.
std::map<DataCentre, std::vector<Address>>
sendersByCentre(const InstanceState &State) {
  std::map<DataCentre, std::vector<Address>> Senders;
  if (State.Members.OwnState == MemberState::Live ||
      State.Members.OwnState == MemberState::Joining)
    Senders[State.Settings.Centre].push_back(State.Settings.Advertise);
  for (const auto &[Endpoint, M] : State.Members.Members) {
    bool AliveOrSuspect =
        M.Health == MemberHealth::Alive || M.Health == MemberHealth::Suspect;
    if (AliveOrSuspect && M.State == MemberState::Live)
      Senders[M.Location.Centre].push_back(Endpoint);
  }
  return Senders;
}

TaskResult toTaskResult(AttemptResult Result) {
  switch (Result.End) {
  case AttemptEnd::Finished:
    return {TaskEnd::Finished, std::move(Result.Output)};
  case AttemptEnd::Failed:
    return {TaskEnd::Failed, std::move(Result.Output)};
  case AttemptEnd::Unknown:
    return {TaskEnd::Unknown, std::move(Result.Output)};
  case AttemptEnd::Busy:
  case AttemptEnd::Leaving:
  case AttemptEnd::NothingSent:
    return {TaskEnd::NotStarted, std::move(Result.Output)};
  }
  return {TaskEnd::Unknown, ""};
}

TimelineKind timelineKind(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Finished:
    return TimelineKind::TaskFinished;
  case AttemptEnd::Failed:
    return TimelineKind::TaskFailed;
  case AttemptEnd::Unknown:
    return TimelineKind::TaskUnknown;
  default:
    return TimelineKind::TaskNotRun;
  }
}

void countAttemptEnd(Counters &Counts, AttemptEnd End) {
  if (End == AttemptEnd::Finished)
    ++Counts.TasksFinished;
  else if (End == AttemptEnd::Unknown)
    ++Counts.TasksUnknown;
  else if (End != AttemptEnd::Failed)
    ++Counts.TasksNotRun;
}

/// Frees the slot of an attempt that has ended.
void releaseSlot(InstanceState &State, const Attempt &A) {
  auto It = State.Upstreams.All.find(A.Upstream);
  if (It == State.Upstreams.All.end())
    return;
  --It->second.SlotsInUse;
  if (A.Task.Long)
    --It->second.LongSlotsInUse;
}

/// Marks upstreams as leaving that are in neither the list nor the settings,
/// and removes them once no task runs on them.
void dropUnlisted(InstanceState &State, std::set<Address> Listed,
                  EffectList &Out) {
  for (const UpstreamSettings &S : State.Settings.Upstreams)
    Listed.insert(S.Endpoint);
  for (auto It = State.Upstreams.All.begin();
       It != State.Upstreams.All.end();) {
    if (Listed.count(It->first)) {
      ++It;
      continue;
    }
    // Set in `Listed` too, so that its own status can't clear it; only a new
    // listing does.
    It->second.Listed.Leaving = true;
    setLeaving(It->second, true, Out);
    It = It->second.SlotsInUse == 0 ? State.Upstreams.All.erase(It)
                                    : std::next(It);
  }
}

} // namespace

void addConfiguredUpstreams(InstanceState &State) {
  for (const UpstreamSettings &S : State.Settings.Upstreams) {
    Upstream U;
    U.Listed = {S.Endpoint, S.Centre, static_cast<uint32_t>(S.Slots),
                static_cast<uint32_t>(S.Accelerators), false};
    State.Upstreams.All.emplace(S.Endpoint, std::move(U));
  }
}

void applyUpstreamList(InstanceState &State,
                       const std::vector<ListedUpstream> &List,
                       EffectList &Out) {
  std::set<Address> Listed;
  for (const ListedUpstream &Record : List) {
    Listed.insert(Record.Endpoint);
    Upstream &U = State.Upstreams.All[Record.Endpoint];
    bool HasStatus = U.StatusReadAt.has_value();
    uint32_t Slots = U.Listed.Slots;
    U.Listed = Record;
    // The list lags; the number of slots from the upstream's own status is
    // newer.
    if (HasStatus)
      U.Listed.Slots = Slots;
    if (Record.Leaving)
      setLeaving(U, true, Out);
  }
  dropUnlisted(State, std::move(Listed), Out);
  updateOwnership(State, Out);
}

void applyStatus(InstanceState &State, const StatusRead &Event, SteadyTime Now,
                 EffectList &Out) {
  auto It = State.Upstreams.All.find(Event.Upstream);
  if (It == State.Upstreams.All.end())
    return;
  Upstream &U = It->second;
  U.StatusPending = false;
  if (!Event.Status)
    return;
  U.StatusReadAt = Now;
  std::optional<int64_t> SlotsOverride =
      upstreamSlots(State.Configuration.InForce, Event.Upstream);
  U.Listed.Slots = SlotsOverride ? static_cast<uint32_t>(*SlotsOverride)
                                 : Event.Status->Slots;
  U.Listed.Accelerators = Event.Status->Accelerators;
  setLeaving(U, Event.Status->Leaving || U.Listed.Leaving, Out);
}

void updateOwnership(InstanceState &State, EffectList &Out) {
  std::map<DataCentre, std::vector<Address>> Senders = sendersByCentre(State);
  for (auto &[Endpoint, U] : State.Upstreams.All) {
    std::optional<Address> Owner =
        rendezvousOwner(Endpoint.Value, Senders[U.Listed.Centre]);
    U.Sender = Owner.value_or(Address{});
    bool Owned = U.Sender == State.Settings.Advertise;
    if (Owned == U.Owned)
      continue;
    U.Owned = Owned;
    // A new sender must read the status before it starts the first task.
    U.StatusReadAt.reset();
    recordUpstreamEvent(Owned ? TimelineKind::UpstreamOwned
                              : TimelineKind::UpstreamReleased,
                        Endpoint, Out);
  }
}

void pollStatuses(InstanceState &State, SteadyTime Now, EffectList &Out) {
  for (auto &[Endpoint, U] : State.Upstreams.All) {
    if (!U.Owned || U.StatusPending || U.NextStatusPoll > Now)
      continue;
    U.StatusPending = true;
    U.NextStatusPoll = Now + State.Settings.Limits.StatusPollInterval;
    Out.push_back(PollStatus{Endpoint});
  }
}

bool acceptsTask(const InstanceState &State, const Upstream &U,
                 SteadyTime Now) {
  if (!U.Owned || U.Leaving || U.BlockedUntil > Now || !U.StatusReadAt)
    return false;
  if (Now - *U.StatusReadAt > State.Settings.Limits.StatusMaxAge)
    return false;
  if (U.SlotsInUse >= U.Listed.Slots ||
      upstreamExcluded(State, U.Listed.Endpoint))
    return false;
  if (!State.Policy.Probes)
    return true;
  // After a failure the upstream gets one task at a time, so that few jobs fail
  // on a broken upstream before it reaches the limit for probing.
  if (U.ConsecutiveFailures > 0 && U.SlotsInUse > 0)
    return false;
  return !U.Probing || U.NextProbeAt <= Now;
}

void endAttempt(InstanceState &State, const AttemptEnded &Event, SteadyTime Now,
                uint64_t Seed, EffectList &Out) {
  auto It = State.Upstreams.Attempts.find(Event.Attempt);
  if (It == State.Upstreams.Attempts.end())
    return;
  Attempt A = std::move(It->second);
  State.Upstreams.Attempts.erase(It);
  State.Upstreams.AttemptsByTask.erase(A.Task.Key);
  releaseSlot(State, A);
  recordAttemptEnd(State, A, Event.Result.End, Now, Seed, Out);
  countAttemptEnd(State.Counts, Event.Result.End);
  Out.push_back(RecordTimeline{
      timelineKind(Event.Result.End), jobText(A.Task.Key.Home, A.Task.Key.Job),
      taskText(A.Task.Key), "upstream=" + A.Upstream.Value});
  TaskResult Result = toTaskResult(Event.Result);
  bool Own = A.Task.Key.Home == State.Incarnation;
  bool Awaited = Own ? isTaskAwaited(State, A.Task.Key)
                     : isReceivedTaskAwaited(State, A.Task.Key);
  if (Result.End == TaskEnd::NotStarted && Awaited &&
      retryTask(State, A.Task, Now, Seed))
    return;
  if (Own)
    finishTask(State, A.Task.Key, std::move(Result), Now, Out);
  else
    finishReceivedTask(State, A.Task.Key, std::move(Result), Now);
}

LoadReport currentLoad(const InstanceState &State, SteadyTime Now) {
  LoadReport Load;
  for (const auto &[Endpoint, U] : State.Upstreams.All) {
    if (!U.Owned || U.Leaving)
      continue;
    // The slots of a failing upstream are not usable until a probe succeeds.
    if (!U.Probing)
      Load.TotalSlots += U.Listed.Slots;
    if (acceptsTask(State, U, Now))
      Load.FreeSlots +=
          U.ConsecutiveFailures > 0 ? 1 : U.Listed.Slots - U.SlotsInUse;
  }
  size_t Waiting = State.Queue.size();
  // Tasks that wait here will use these slots, so they are not reported as
  // free.
  Load.FreeSlots -= std::min<size_t>(Load.FreeSlots, Waiting);
  Load.WaitingTasks = static_cast<uint32_t>(Waiting);
  Load.ExpectedWait = std::chrono::duration_cast<std::chrono::milliseconds>(
      expectedWait(State));
  return Load;
}

} // namespace snipeshunt
