/// \file Placement of waiting tasks on upstreams with free capacity.
#include "sender/placement_cmd.h"

#include "core/duration_func.h"
#include "sender/estimate_func.h"
#include "sender/forecast.h"
#include "sender/lease_table.h"
#include "sender/queue_func.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

namespace {

// Upstreams whose expected run times differ by less are considered equal. Of
// these, the one with the least free capacity is chosen (best fit), so that
// large tasks still find room elsewhere.
constexpr double SimilarityFactor = 1.15;

/// Returns true if the record of the upstream is that of its present process,
/// which may have less capacity than the one before. The reports of an upstream
/// don't contain its capacity, and often arrive before its record is read.
bool hasCurrentRecord(const SenderState &State, const SenderUpstream &U) {
  return !lacksStart(State, U, U.Record) &&
         (U.StartedAt == 0 || U.Record.StartedAt == 0 ||
          U.Record.StartedAt == U.StartedAt);
}

/// Returns true if the upstream takes starts, regardless of free capacity.
bool isUsable(const SenderState &State, const SenderUpstream &U,
              SteadyTime Now) {
  // A start prolongs the lease of all runs on the upstream.
  return acceptsStarts(U, Now) &&
         !State.Withheld.Centres.count(U.Record.Centre) &&
         hasCurrentRecord(State, U) && U.UnlistedSince == SteadyTime{} &&
         U.ClockOffset && U.UnansweredCalls == 0 && !mustLapse(State, U);
}

/// Returns true if the present process of the upstream has the label. Its
/// predecessor may have been of another kind, so a record without the start of
/// its process shows nothing.
bool hasLabel(const SenderUpstream &U, const std::string &Label) {
  return U.Record.StartedAt != 0 && U.Record.StartedAt == U.StartedAt &&
         (Label == U.Record.Kind || Label == U.Record.Rack);
}

/// Returns true if the task may run on the upstream, regardless of the state
/// and the free capacity of the upstream.
bool fitsTask(const SenderUpstream &U, const JobOrder &Order,
              const SenderTask &T) {
  if (U.Record.Service != Order.Service)
    return false;
  if (!Order.Step.Requirement.empty() && !hasLabel(U, Order.Step.Requirement))
    return false;
  if (Order.Step.MaxPerUpstream > 0) {
    uint32_t Same = 0;
    for (auto It = U.Runs.lower_bound(RunKey{Order.Id, 0, 0, 0});
         It != U.Runs.end() && It->first.Job == Order.Id; ++It)
      if (++Same >= Order.Step.MaxPerUpstream)
        return false;
  }
  return !T.AvoidedUpstreams.count(U.Record.Id);
}

/// An upstream with free capacity, in one placement pass.
struct StartableUpstream {
  SenderUpstream *Upstream;
  /// Run time there relative to an upstream of average speed.
  double RunFactor;
  Duration Lease; ///< `grantableLease` for its present runs.
  size_t UnansweredStarts;
};

/// Starts without an answer.
struct UnansweredStarts {
  size_t Count = 0;
  size_t SpecBytes = 0; ///< Size of their specs.
};

UnansweredStarts unansweredStarts(const SenderUpstream &U) {
  UnansweredStarts Found;
  for (const auto &[Key, Run] : U.Runs) {
    if (Run.Phase != RunPhase::Starting)
      continue;
    ++Found.Count;
    Found.SpecBytes += Run.SpecBytes;
  }
  return Found;
}

/// Returns the processors that the smallest waiting task needs, or nothing if
/// no task waits.
std::optional<int64_t> smallestNeed(const SenderState &State) {
  std::optional<int64_t> Smallest;
  for (const auto &[Id, J] : State.Jobs)
    if (J.WaitingTasks > 0)
      Smallest = std::min(Smallest.value_or(INT64_MAX),
                          J.Order.Step.PerTask.CpuMillis);
  return Smallest;
}

/// Returns the upstreams that accept starts, have \p Need processors free, in
/// thousandths, and whose present runs allow a lease that is long enough. Most
/// are full under load, so that the tasks of the queue are compared with few.
/// Adds to \p UnansweredBytes the specs in the unanswered starts on all.
std::vector<StartableUpstream>
startableUpstreams(SenderState &State, int64_t Need,
                   const ContactLookup &LastContact, SteadyTime Now,
                   size_t &UnansweredBytes) {
  std::vector<StartableUpstream> Found;
  State.Counts.UpstreamsVisited += State.Upstreams.size();
  for (auto &[Id, U] : State.Upstreams) {
    UnansweredStarts Unanswered = unansweredStarts(U);
    UnansweredBytes += Unanswered.SpecBytes;
    if (U.Free.CpuMillis < Need || (U.Probing && !U.Runs.empty()) ||
        !isUsable(State, U, Now))
      continue;
    Duration Lease = grantableLease(State, U, LastContact, Now);
    if (Lease >= minStartLease(State.Bounds))
      Found.push_back({&U, std::exp(logRunTimeFactor(State.Learned, U)), Lease,
                       Unanswered.Count});
  }
  return Found;
}

/// State of one placement pass.
struct PlacementPass {
  const ContactLookup &LastContact;
  std::vector<StartableUpstream> Startable;
  /// Upstreams that must become free of runs for a suspected task.
  std::set<UpstreamId> Reserved;
  std::optional<SlotForecast> Forecast; ///< Made when a task first needs it.
  size_t UnansweredBytes = 0;           ///< Specs in the unanswered starts.
};

/// Returns true if no further run may be started on \p S for now, however much
/// capacity it has. Records why tasks wait.
bool isHeld(SenderState &State, const StartableUpstream &S) {
  bool Held = S.UnansweredStarts >= MaxUnansweredStarts;
  State.StartsHeld |= Held;
  return Held || S.Upstream->Runs.size() >= MaxRunsPerUpstream;
}

/// Returns true if runs of a job with this last contact get a lease that is
/// long enough. The entry of the job is silent otherwise.
bool allowsStart(const SenderState &State, SteadyTime LastContact,
                 SteadyTime Now) {
  return leaseFor(State, LastContact, Now) >= minStartLease(State.Bounds);
}

/// Returns the upstream on which the task is expected to end first, or null.
/// \p Contact is the last contact with the entry of the job.
StartableUpstream *chooseUpstream(SenderState &State, const SenderJob &J,
                                  const SenderTask &T, PlacementPass &Pass,
                                  SteadyTime Contact) {
  State.Counts.UpstreamsVisited += Pass.Startable.size();
  StartableUpstream *Best = nullptr;
  for (StartableUpstream &S : Pass.Startable) {
    const SenderUpstream &U = *S.Upstream;
    if (!U.Free.covers(J.Order.Step.PerTask) ||
        (U.Probing && !U.Runs.empty()) || !fitsTask(U, J.Order, T) ||
        outlastsContact(State, U, Contact) || isHeld(State, S))
      continue;
    bool Better = !Best;
    if (Best) {
      double Ratio = S.RunFactor / Best->RunFactor;
      bool Similar = Ratio < SimilarityFactor && Ratio > 1 / SimilarityFactor;
      Better = Similar ? U.Free.CpuMillis < Best->Upstream->Free.CpuMillis
                       : Ratio < 1;
    }
    if (Better)
      Best = &S;
  }
  return Best;
}

/// Starts a waiting task on \p U.
void startTask(SenderState &State, SenderJob &J, uint32_t Index,
               SenderUpstream &U, Duration Expected, Duration Lease,
               SteadyTime Now, InstanceEffects &Out) {
  SenderTask &T = J.Tasks[Index];
  T.State = SenderTaskState::Started;
  T.Upstream = U.Record.Id;
  ++T.Run;
  --J.WaitingTasks;
  J.Started = true;
  ++State.Counts.RunsStarted;
  RunKey Key{J.Order.Id, 0, Index, T.Run};
  orderStart(U, J, Key, Expected, Lease, State.Bounds, Now, Out);
  if (T.Crashes > 0)
    U.ExclusiveRun = Key;
}

/// Returns the time until an upstream is expected to have no runs.
Duration timeUntilFree(const SenderUpstream &U, SteadyTime Now) {
  Duration Time{0};
  for (const auto &[Key, Run] : U.Runs)
    Time = std::max(Time, expectedRest(Run, Now));
  return Time;
}

/// Returns the upstream for a task that must run alone: one without runs on
/// which it is expected to end first, or the one that becomes free of runs
/// first. Null if no upstream fits the task.
SenderUpstream *chooseExclusively(SenderState &State, const SenderJob &J,
                                  const SenderTask &T,
                                  const PlacementPass &Pass, SteadyTime Contact,
                                  SteadyTime Now) {
  State.Counts.UpstreamsVisited += State.Upstreams.size();
  SenderUpstream *Best = nullptr;
  std::pair<Duration, double> BestCost;
  for (auto &[Id, U] : State.Upstreams) {
    if (!isUsable(State, U, Now) || Pass.Reserved.count(Id) ||
        !U.Record.Capacity.covers(J.Order.Step.PerTask) ||
        !fitsTask(U, J.Order, T) || outlastsContact(State, U, Contact))
      continue;
    std::pair<Duration, double> Cost{timeUntilFree(U, Now),
                                     logRunTimeFactor(State.Learned, U)};
    if (!Best || Cost < BestCost) {
      Best = &U;
      BestCost = Cost;
    }
  }
  return Best;
}

/// Starts a task that is suspected of a crash on an upstream without other
/// runs. Under load there is none, so one is reserved, on which nothing is
/// started until its runs have ended.
void startSuspectedTask(SenderState &State, SenderJob &J, uint32_t Index,
                        PlacementPass &Pass, SteadyTime Contact, SteadyTime Now,
                        InstanceEffects &Out) {
  SenderTask &T = J.Tasks[Index];
  SenderUpstream *U = chooseExclusively(State, J, T, Pass, Contact, Now);
  if (!U && T.AvoidedUpstreams.size() + 1 >= State.Upstreams.size()) {
    T.AvoidedUpstreams.clear();
    U = chooseExclusively(State, J, T, Pass, Contact, Now);
  }
  if (!U)
    return;
  if (U->Runs.empty()) {
    Duration Expected = scaled(typicalRunTime(State.Learned, J.Order),
                               std::exp(logRunTimeFactor(State.Learned, *U)));
    startTask(State, J, Index, *U, Expected, leaseFor(State, Contact, Now), Now,
              Out);
  } else if (Pass.Reserved.size() <
             std::max<size_t>(1,
                              State.Upstreams.size() / UpstreamsPerReserved)) {
    Pass.Reserved.insert(U->Record.Id);
  }
}

/// Starts the tasks in \p Queue that are suspected of a crash, as far as
/// upstreams are free for them, and takes those off the startable ones.
void startSuspectedTasks(SenderState &State,
                         const std::vector<SenderJob *> &Queue,
                         PlacementPass &Pass, SteadyTime Now,
                         InstanceEffects &Out) {
  bool Any = false;
  for (SenderJob *J : Queue) {
    if (!J->HasSuspectedTasks)
      continue;
    Any = true;
    SteadyTime Contact = Pass.LastContact(*J);
    if (!allowsStart(State, Contact, Now))
      continue;
    for (uint32_t Index = 0; Index < J->Tasks.size(); ++Index)
      if (J->Tasks[Index].State == SenderTaskState::Waiting &&
          J->Tasks[Index].Crashes > 0)
        startSuspectedTask(State, *J, Index, Pass, Contact, Now, Out);
  }
  if (!Any)
    return;
  auto Taken = [&](const StartableUpstream &S) {
    return Pass.Reserved.count(S.Upstream->Record.Id) ||
           hasExclusiveRun(*S.Upstream);
  };
  Pass.Startable.erase(
      std::remove_if(Pass.Startable.begin(), Pass.Startable.end(), Taken),
      Pass.Startable.end());
}

/// Starts the waiting tasks of one job as far as there is free capacity. A task
/// that fits only on a slow upstream may wait for a faster one instead.
void startJobTasks(SenderState &State, SenderJob &J, PlacementPass &Pass,
                   SteadyTime Now, InstanceEffects &Out) {
  SteadyTime Contact = Pass.LastContact(J);
  if (!allowsStart(State, Contact, Now))
    return;
  Duration Typical = typicalRunTime(State.Learned, J.Order);
  for (uint32_t Index = 0; Index < J.Tasks.size() && J.WaitingTasks > 0;
       ++Index) {
    SenderTask &T = J.Tasks[Index];
    if (T.State != SenderTaskState::Waiting || T.Crashes > 0)
      continue;
    StartableUpstream *Chosen = chooseUpstream(State, J, T, Pass, Contact);
    if (!Chosen && !T.AvoidedUpstreams.empty() &&
        T.AvoidedUpstreams.size() + 1 >= State.Upstreams.size()) {
      // It avoids all upstreams but at most one; a retry on any beats none.
      T.AvoidedUpstreams.clear();
      Chosen = chooseUpstream(State, J, T, Pass, Contact);
    }
    if (!Chosen) {
      // The other tasks of the job have the same needs, so they fit nowhere
      // either, unless on upstreams that this task avoids.
      if (T.AvoidedUpstreams.empty())
        return;
      continue;
    }
    Duration Expected = scaled(Typical, Chosen->RunFactor);
    if (!Pass.Forecast)
      Pass.Forecast.emplace(State, Now, [&](const SenderUpstream &Other) {
        return isUsable(State, Other, Now) &&
               !Pass.Reserved.count(Other.Record.Id);
      });
    if (Pass.Forecast->reserveEarlierSlot(J, Expected,
                                          [&](const SenderUpstream &Other) {
                                            return fitsTask(Other, J.Order, T);
                                          }))
      continue;
    size_t SpecBytes = J.Order.Spec.size();
    if (Pass.UnansweredBytes > 0 &&
        Pass.UnansweredBytes + SpecBytes > MaxUnansweredBytes) {
      State.StartsHeld = true;
      return;
    }
    Pass.UnansweredBytes += SpecBytes;
    ++Chosen->UnansweredStarts;
    Chosen->Lease = std::min(Chosen->Lease, leaseFor(State, Contact, Now));
    startTask(State, J, Index, *Chosen->Upstream, Expected, Chosen->Lease, Now,
              Out);
  }
}

} // namespace

void startWaitingTasks(SenderState &State,
                       const std::function<bool(const SenderJob &)> &MayStart,
                       const ContactLookup &LastContact, SteadyTime Now,
                       InstanceEffects &Out) {
  if (!State.PlacementDue || State.Withheld.Paused)
    return;
  State.PlacementDue = false;
  State.StartsHeld = false;
  std::optional<int64_t> Need = smallestNeed(State);
  if (!Need)
    return;
  PlacementPass Pass{LastContact, {}, {}, {}};
  Pass.Startable =
      startableUpstreams(State, *Need, LastContact, Now, Pass.UnansweredBytes);
  if (Pass.Startable.empty())
    return;
  std::vector<SenderJob *> Queue;
  for (const auto &[Rank, J] : rankedQueue(State, Now))
    if (!State.DetachedRuns.count(J->Order.Id) && MayStart(*J))
      Queue.push_back(J);
  startSuspectedTasks(State, Queue, Pass, Now, Out);
  for (SenderJob *J : Queue)
    startJobTasks(State, *J, Pass, Now, Out);
}

} // namespace snipeshunt
