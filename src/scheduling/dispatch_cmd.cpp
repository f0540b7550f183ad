/// \file Assignment of waiting tasks to free slots of own upstreams and of
/// peers.
#include "scheduling/dispatch_cmd.h"

#include "admission/admission_func.h"
#include "configuration/configuration_func.h"
#include "handover/handover_cmd.h"
#include "jobs/job_cmd.h"
#include "reducer/policy_func.h"
#include "tickets/ticket_func.h"
#include "upstreams/health_cmd.h"
#include "upstreams/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Number of tasks that can't start now and are passed over in one search of a
// lane. Bounds the time per event when the queue is full of them.
constexpr size_t MaxSkippedTasks = 64;
// Round trip to another data centre; one way takes 1 to 1.5 ms.
constexpr Duration CentreRoundTrip = std::chrono::milliseconds(3);
// Long tasks go first while they use less than this share of the slots, so that
// they don't starve.
constexpr double MinLongShare = 0.1;

// A task waits for a faster slot only if it would end within this share of its
// run time on the free slot. The estimates are too inaccurate to act on smaller
// gains.
constexpr double FasterFinishShare = 0.67;

using Candidates = std::vector<Upstream *>;

bool fits(const Upstream &U, const TaskSpec &Spec) {
  return Spec.Accelerators == 0 || U.Listed.Accelerators >= Spec.Accelerators;
}

/// Returns true if the placement rule prefers \p L over \p R.
bool isBetterUpstream(PlacementRule Rule, const Upstream &L,
                      const Upstream &R) {
  if (Rule == PlacementRule::LeastOutstanding)
    return L.SlotsInUse < R.SlotsInUse;
  return L.Speed > R.Speed;
}

Upstream *chooseUpstream(const InstanceState &State, const Candidates &Free,
                         const TaskSpec &Spec, uint64_t Seed) {
  Candidates Fitting;
  for (Upstream *U : Free)
    if (fits(*U, Spec))
      Fitting.push_back(U);
  if (Fitting.empty())
    return nullptr;
  PlacementRule Rule = State.Policy.Placement;
  if (Rule == PlacementRule::Random)
    return Fitting[Seed % Fitting.size()];
  return *std::min_element(Fitting.begin(), Fitting.end(),
                           [Rule](const Upstream *L, const Upstream *R) {
                             return isBetterUpstream(Rule, *L, *R);
                           });
}

void startTask(InstanceState &State, const TaskKey &Key, Upstream &U,
               SteadyTime Now, EffectList &Out) {
  WaitingTask Task = *State.Queue.erase(Key);
  ++U.SlotsInUse;
  if (Task.Long)
    ++U.LongSlotsInUse;
  AttemptId Id{State.Upstreams.NextAttempt++};
  setTaskState(State, Key, TaskState::Running);
  recordStart(State, Now);
  ++State.Counts.TasksStarted;
  Out.push_back(RecordTimeline{TimelineKind::TaskStarted,
                               jobText(Key.Home, Key.Job), taskText(Key),
                               "upstream=" + U.Listed.Endpoint.Value});
  Out.push_back(StartTask{Id, Key, U.Listed.Endpoint, Task.Spec,
                          Task.StartBefore,
                          taskTimeoutOf(State, Task.Spec->Kind)});
  State.Upstreams.AttemptsByTask[Key] = Id;
  State.Upstreams.Attempts.emplace(
      Id, Attempt{std::move(Task), U.Listed.Endpoint, Now});
}

/// Slots of the upstreams that this instance sends to.
struct SlotUse {
  uint32_t Slots = 0; ///< All slots.
  uint32_t Long = 0;  ///< Slots in use by long tasks.
};

SlotUse slotUse(const InstanceState &State) {
  SlotUse Use;
  for (const auto &[Endpoint, U] : State.Upstreams.All)
    if (U.Owned && !U.Leaving) {
      Use.Slots += U.Listed.Slots;
      Use.Long += U.LongSlotsInUse;
    }
  return Use;
}

/// Returns the lanes that may use the next slot, in order of preference (true
/// is the lane of long tasks).
std::vector<bool> laneOrder(const InstanceState &State, const SlotUse &Use) {
  if (!State.Policy.Lanes)
    return {false, true};
  double Long = Use.Long;
  if (Long + 1 > longShare(State) * Use.Slots && Long > 0)
    return {false};
  if (Long < MinLongShare * Use.Slots)
    return {true, false};
  return {false, true};
}

Candidates freeUpstreams(InstanceState &State, SteadyTime Now) {
  Candidates Free;
  for (auto &[Endpoint, U] : State.Upstreams.All)
    if (acceptsTask(State, U, Now))
      Free.push_back(&U);
  return Free;
}

/// A slot in use and the time until it is expected to be free.
struct BusySlot {
  double FreeIn = 0; ///< Seconds from now.
  double Speed = 1;
};

/// Returns the slots in use that a task may wait for; none unless the policy
/// lets tasks wait for faster slots.
std::vector<BusySlot> busySlots(const InstanceState &State, SteadyTime Now) {
  std::vector<BusySlot> Slots;
  if (State.Policy.Placement != PlacementRule::EarliestFinish ||
      !State.Policy.WaitForFaster)
    return Slots;
  for (const auto &[Id, A] : State.Upstreams.Attempts) {
    auto U = State.Upstreams.All.find(A.Upstream);
    if (U == State.Upstreams.All.end() || U->second.Leaving ||
        U->second.ConsecutiveFailures > 0)
      continue;
    double Expected = toSeconds(A.Task.Estimate) / U->second.Speed;
    double Remaining = Expected - toSeconds(Now - A.Started);
    // The task has run for twice its estimate, so the estimate is useless; it
    // may hang until its timeout.
    if (Remaining < -Expected)
      continue;
    Slots.push_back({std::max(0.0, Remaining), U->second.Speed});
  }
  return Slots;
}

/// Looks in \p Slots for a faster slot on which \p Task ends sufficiently
/// earlier than on a free slot of \p FreeSpeed. Returns true and adds the run
/// time of \p Task to the one with the earliest end if there is one.
bool reserveFasterSlot(std::vector<BusySlot> &Slots, const WaitingTask &Task,
                       double FreeSpeed) {
  double Best = toSeconds(Task.Estimate) / FreeSpeed * FasterFinishShare;
  BusySlot *Chosen = nullptr;
  for (BusySlot &S : Slots) {
    double Finish = S.FreeIn + toSeconds(Task.Estimate) / S.Speed;
    if (S.Speed > FreeSpeed && Finish < Best) {
      Best = Finish;
      Chosen = &S;
    }
  }
  if (!Chosen)
    return false;
  Chosen->FreeIn = Best;
  return true;
}

/// Starts the first task of a lane that fits a free slot. Returns its upstream,
/// or null if no task was started.
Upstream *startFromLane(InstanceState &State, bool Long, const Candidates &Free,
                        SteadyTime Now, uint64_t Seed, EffectList &Out) {
  Upstream *Target = nullptr;
  TaskKey Key;
  size_t Skipped = 0;
  std::vector<BusySlot> Busy = busySlots(State, Now);
  State.Queue.visit(Long, [&](const WaitingTask &Task) {
    if (Task.NotBefore <= Now && Task.StartBefore > Now)
      Target = chooseUpstream(State, Free, *Task.Spec, Seed);
    // Tasks that need accelerators don't wait for a faster slot.
    if (Target && Task.Spec->Accelerators == 0 &&
        reserveFasterSlot(Busy, Task, Target->Speed))
      Target = nullptr;
    Key = Task.Key;
    return !Target && ++Skipped < MaxSkippedTasks;
  });
  if (Target)
    startTask(State, Key, *Target, Now, Out);
  return Target;
}

/// Returns true if tasks of this home may be handed over to \p M.
bool mayReceiveTasks(const InstanceState &State, const Member &M) {
  bool Allowed =
      M.Location.Centre == State.Settings.Centre ||
      acceptsForeignWork(State.Configuration.InForce, M.Location.Centre);
  return Allowed && M.Health == MemberHealth::Alive &&
         M.State == MemberState::Live;
}

/// Returns the peers with free slots: those of this data centre first, then by
/// number of free slots.
std::vector<Member *> receiversByPreference(InstanceState &State) {
  std::vector<Member *> Found;
  for (auto &[Endpoint, M] : State.Members.Members)
    if (mayReceiveTasks(State, M) && M.Load.FreeSlots > 0)
      Found.push_back(&M);
  std::sort(Found.begin(), Found.end(), [&](const Member *L, const Member *R) {
    bool LocalL = L->Location.Centre == State.Settings.Centre;
    bool LocalR = R->Location.Centre == State.Settings.Centre;
    return std::make_tuple(!LocalL, -int64_t{L->Load.FreeSlots},
                           L->Location.Endpoint.Value) <
           std::make_tuple(!LocalR, -int64_t{R->Load.FreeSlots},
                           R->Location.Endpoint.Value);
  });
  return Found;
}

bool hasUpstreamFor(const InstanceState &State, const Member &M,
                    const TaskSpec &Spec) {
  if (Spec.Accelerators == 0)
    return true;
  return std::any_of(State.Upstreams.All.begin(), State.Upstreams.All.end(),
                     [&](const auto &Item) {
                       return Item.second.Sender == M.Location.Endpoint &&
                              fits(Item.second, Spec);
                     });
}

/// Returns at most \p MaxTasks tasks of this home that \p M can run, in queue
/// order.
std::vector<TaskKey> selectTasksFor(const InstanceState &State, const Member &M,
                                    size_t MaxTasks, SteadyTime Now) {
  std::vector<TaskKey> Keys;
  // While a slot is free here, the tasks that have not taken it wait for a
  // faster slot of this instance.
  bool KeepForLocalSlots =
      State.Policy.WaitForFaster &&
      std::any_of(State.Upstreams.All.begin(), State.Upstreams.All.end(),
                  [&](const auto &Item) {
                    return acceptsTask(State, Item.second, Now);
                  });
  for (bool Long : {false, true}) {
    size_t Skipped = 0;
    State.Queue.visit(Long, [&](const WaitingTask &Task) {
      bool Ready = (!KeepForLocalSlots || Task.Spec->Accelerators > 0) &&
                   Task.Key.Home == State.Incarnation &&
                   Task.NotBefore <= Now && Task.StartBefore > Now;
      if (Ready && hasUpstreamFor(State, M, *Task.Spec))
        Keys.push_back(Task.Key);
      else
        ++Skipped;
      return Keys.size() < MaxTasks && Skipped < MaxSkippedTasks;
    });
    if (Keys.size() >= MaxTasks)
      break;
  }
  return Keys;
}

/// Returns the peer with slots that reports the shortest expected wait, or
/// null.
Member *peerWithShortestWait(InstanceState &State) {
  Member *Best = nullptr;
  for (auto &[Endpoint, M] : State.Members.Members)
    if (mayReceiveTasks(State, M) && M.Load.TotalSlots > 0 &&
        (!Best || M.Load.ExpectedWait < Best->Load.ExpectedWait))
      Best = &M;
  return Best;
}

/// Hands tasks over to peers without free slots. An instance that sends to no
/// upstream depends on this: while its peers have waiting tasks of their own,
/// they never report a free slot.
void queueAtPeers(InstanceState &State, SteadyTime Now, EffectList &Out) {
  while (Member *M = peerWithShortestWait(State)) {
    size_t Batch = std::max<size_t>(1, M->Load.TotalSlots / 4);
    std::vector<TaskKey> Keys = selectTasksFor(State, *M, Batch, Now);
    if (Keys.empty())
      return;
    Duration Before = State.Queue.work();
    handOverBatch(State, *M, Keys, Now, Out);
    // The speeds of the peer's upstreams are not known here; speed 1 is
    // assumed.
    M->Load.ExpectedWait += std::chrono::ceil<std::chrono::milliseconds>(
        (Before - State.Queue.work()) / int64_t{M->Load.TotalSlots});
  }
}

} // namespace

void startTasks(InstanceState &State, SteadyTime Now, uint64_t Seed,
                EffectList &Out) {
  if (State.Queue.size() == 0)
    return;
  // The lists are computed once for all starts, since a start changes only the
  // upstream that it uses.
  Candidates Free = freeUpstreams(State, Now);
  SlotUse Use = slotUse(State);
  while (State.Queue.size() > 0 && !Free.empty()) {
    Upstream *Target = nullptr;
    for (bool Long : laneOrder(State, Use)) {
      Target = startFromLane(State, Long, Free, Now, Seed++, Out);
      Use.Long += Target && Long ? 1 : 0;
      if (Target)
        break;
    }
    if (!Target)
      return;
    if (!acceptsTask(State, *Target, Now))
      Free.erase(std::find(Free.begin(), Free.end(), Target));
  }
}

void handOverTasks(InstanceState &State, SteadyTime Now, EffectList &Out) {
  if (State.Queue.size() == 0)
    return;
  for (Member *M : receiversByPreference(State)) {
    bool SameCentre = M->Location.Centre == State.Settings.Centre;
    if (!SameCentre && State.Members.OwnState == MemberState::Live &&
        M->Load.ExpectedWait + CentreRoundTrip >= expectedWait(State))
      continue;
    std::vector<TaskKey> Keys =
        selectTasksFor(State, *M, M->Load.FreeSlots, Now);
    if (Keys.empty())
      continue;
    M->Load.FreeSlots -= static_cast<uint32_t>(Keys.size());
    handOverBatch(State, *M, Keys, Now, Out);
  }
  if (currentLoad(State, Now).TotalSlots == 0)
    queueAtPeers(State, Now, Out);
}

} // namespace snipeshunt
