/// \file Matching waiting tasks with free slots, here and at peers.
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

// A round of dispatch looks at this many tasks that fit no free slot, so that
// a queue full of them costs a bounded time per event.
constexpr size_t MaxSkippedTasks = 64;
// Round trip to another data centre: 1 to 1.5 ms one way.
constexpr Duration CentreRoundTrip = std::chrono::milliseconds(3);
// Long tasks get at least this share of the slots, so that they don't starve.
constexpr double MinLongShare = 0.1;

// A task waits for a faster slot only to end within this share of its time on
// the free one; estimates are too rough for less.
constexpr double FasterFinishShare = 0.67;

using Candidates = std::vector<Upstream *>;

bool fits(const Upstream &U, const TaskSpec &Spec) {
  return Spec.Accelerators == 0 || U.Listed.Accelerators >= Spec.Accelerators;
}

/// Whether \p L is the better place for a task than \p R.
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

struct SlotUse {
  uint32_t Slots = 0;
  uint32_t Long = 0;
};

SlotUse slotUse(const InstanceState &State) {
  SlotUse Use;
  for (const auto &[Where, U] : State.Upstreams.All)
    if (U.Owned && !U.Leaving) {
      Use.Slots += U.Listed.Slots;
      Use.Long += U.LongSlotsInUse;
    }
  return Use;
}

/// The lanes in the order in which they may use the next slot.
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
  for (auto &[Where, U] : State.Upstreams.All)
    if (acceptsTask(State, U, Now))
      Free.push_back(&U);
  return Free;
}

/// A slot in use, and when it is expected to be free.
struct BusySlot {
  double FreeIn = 0; ///< In seconds.
  double Speed = 1;
};

/// Slots in use that may be worth waiting for.
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
    // The estimate of an overdue task is worth nothing; the task may hang
    // until its timeout.
    if (Remaining < -Expected)
      continue;
    Slots.push_back({std::max(0.0, Remaining), U->second.Speed});
  }
  return Slots;
}

/// Reserves the slot on which \p Task ends before it would on a free slot of
/// \p FreeSpeed, if there is one.
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

/// Starts the first task of a lane that fits a free slot; gives its place.
Upstream *startFromLane(InstanceState &State, bool Long, const Candidates &Free,
                        SteadyTime Now, uint64_t Seed, EffectList &Out) {
  Upstream *Target = nullptr;
  TaskKey Key;
  size_t Skipped = 0;
  std::vector<BusySlot> Busy = busySlots(State, Now);
  State.Queue.visit(Long, [&](const WaitingTask &Task) {
    if (Task.NotBefore <= Now && Task.StartBefore > Now)
      Target = chooseUpstream(State, Free, *Task.Spec, Seed);
    // What needs an accelerator takes the slot that it can get.
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

/// Whether tasks of this home may go to \p M.
bool mayReceiveTasks(const InstanceState &State, const Member &M) {
  bool Allowed =
      M.Location.Centre == State.Settings.Centre ||
      acceptsForeignWork(State.Configuration.InForce, M.Location.Centre);
  return Allowed && M.Health == MemberHealth::Alive &&
         M.State == MemberState::Live;
}

/// Peers with free slots: those of this data centre first, then by free slots.
std::vector<Member *> receiversByPreference(InstanceState &State) {
  std::vector<Member *> Found;
  for (auto &[Where, M] : State.Members.Members)
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

/// Up to \p MaxTasks tasks of this home that \p M can take now.
std::vector<TaskKey> selectTasksFor(const InstanceState &State, const Member &M,
                                    size_t MaxTasks, SteadyTime Now) {
  std::vector<TaskKey> Keys;
  // While a slot is free here, the others wait for a faster one.
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

/// The peer with slots whose queue is the shortest.
Member *peerWithShortestWait(InstanceState &State) {
  Member *Best = nullptr;
  for (auto &[Where, M] : State.Members.Members)
    if (mayReceiveTasks(State, M) && M.Load.TotalSlots > 0 &&
        (!Best || M.Load.ExpectedWait < Best->Load.ExpectedWait))
      Best = &M;
  return Best;
}

/// An instance without slots of its own must queue its tasks at peers: while
/// these have tasks of their own, they never announce a free slot.
void queueAtPeers(InstanceState &State, SteadyTime Now, EffectList &Out) {
  while (Member *M = peerWithShortestWait(State)) {
    size_t Batch = std::max<size_t>(1, M->Load.TotalSlots / 4);
    std::vector<TaskKey> Keys = selectTasksFor(State, *M, Batch, Now);
    if (Keys.empty())
      return;
    Duration Before = State.Queue.work();
    handOverBatch(State, *M, Keys, Now, Out);
    // Speeds of the peer's upstreams are not known here.
    M->Load.ExpectedWait += std::chrono::ceil<std::chrono::milliseconds>(
        (Before - State.Queue.work()) / int64_t{M->Load.TotalSlots});
  }
}

} // namespace

void startTasks(InstanceState &State, SteadyTime Now, uint64_t Seed,
                EffectList &Out) {
  if (State.Queue.size() == 0)
    return;
  // One pass over all upstreams serves the whole round, since a start changes
  // nothing but its own upstream.
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
