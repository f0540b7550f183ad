/// \file Placement of waiting tasks on upstreams with free capacity.
#include "sender/placement_cmd.h"

#include "core/duration_func.h"
#include "sender/estimate_func.h"
#include "sender/forecast.h"
#include "sender/job_cmd.h"
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

/// Returns true if the upstream takes starts, regardless of free capacity.
bool isUsable(const SenderState &State, const SenderUpstream &U,
              SteadyTime Now) {
  // A start prolongs the lease of all runs on the upstream.
  return acceptsStarts(U, Now) && U.UnlistedSince == SteadyTime{} &&
         U.ClockOffset && U.UnansweredCalls == 0 && !mustLapse(State, U);
}

/// Returns true if the task may run on the upstream, regardless of the state
/// and the free capacity of the upstream.
bool fitsTask(const SenderUpstream &U, const JobOrder &Order,
              const SenderTask &T) {
  if (U.Record.Service != Order.Service)
    return false;
  if (!Order.Step.Requirement.empty() &&
      Order.Step.Requirement != U.Record.Kind &&
      Order.Step.Requirement != U.Record.Rack)
    return false;
  if (Order.Step.MaxPerUpstream > 0) {
    auto Same = std::count_if(U.Runs.begin(), U.Runs.end(), [&](const auto &E) {
      return E.first.Job == Order.Id;
    });
    if (static_cast<uint32_t>(Same) >= Order.Step.MaxPerUpstream)
      return false;
  }
  return !T.AvoidedUpstreams.count(U.Record.Id);
}

/// An upstream with free capacity, in one placement pass.
struct StartableUpstream {
  SenderUpstream *Upstream;
  /// Run time there relative to an upstream of average speed.
  double RunFactor;
};

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

/// Returns the upstreams that accept starts and have \p Need processors free,
/// in thousandths. Most are full under load, so that the tasks of the queue are
/// compared with few.
std::vector<StartableUpstream>
startableUpstreams(SenderState &State, int64_t Need, SteadyTime Now) {
  std::vector<StartableUpstream> Found;
  State.Counts.UpstreamsVisited += State.Upstreams.size();
  for (auto &[Id, U] : State.Upstreams)
    if (U.Free.CpuMillis >= Need && !(U.Probing && !U.Runs.empty()) &&
        isUsable(State, U, Now))
      Found.push_back({&U, std::exp(logRunTimeFactor(State.Learned, U))});
  return Found;
}

/// Returns the upstream on which the task is expected to end first, or null.
/// \p Expected is set to its run time there.
SenderUpstream *chooseUpstream(SenderState &State, const SenderJob &J,
                               const SenderTask &T, Duration TypicalRunTime,
                               const std::vector<StartableUpstream> &Startable,
                               Duration &Expected) {
  State.Counts.UpstreamsVisited += Startable.size();
  SenderUpstream *Best = nullptr;
  double BestFactor = 0;
  for (const StartableUpstream &S : Startable) {
    SenderUpstream &U = *S.Upstream;
    if (!U.Free.covers(J.Order.Step.PerTask) ||
        (U.Probing && !U.Runs.empty()) || !fitsTask(U, J.Order, T))
      continue;
    bool Better = !Best;
    if (Best) {
      double Ratio = S.RunFactor / BestFactor;
      bool Similar = Ratio < SimilarityFactor && Ratio > 1 / SimilarityFactor;
      Better = Similar ? U.Free.CpuMillis < Best->Free.CpuMillis : Ratio < 1;
    }
    if (Better) {
      Best = &U;
      BestFactor = S.RunFactor;
    }
  }
  Expected = scaled(TypicalRunTime, BestFactor);
  return Best;
}

/// State of one placement pass.
struct PlacementPass {
  std::vector<StartableUpstream> Startable;
  std::optional<SlotForecast> Forecast; ///< Made when a task first needs it.
};

/// Starts the waiting tasks of one job as far as there is free capacity. A task
/// that fits only on a slow upstream may wait for a faster one instead.
void startJobTasks(SenderState &State, SenderJob &J, PlacementPass &Pass,
                   SteadyTime Now, InstanceEffects &Out) {
  Duration Typical = typicalRunTime(State.Learned, J.Order);
  for (uint32_t Index = 0; Index < J.Tasks.size() && J.WaitingTasks > 0;
       ++Index) {
    SenderTask &T = J.Tasks[Index];
    if (T.State != SenderTaskState::Waiting)
      continue;
    Duration Expected{0};
    SenderUpstream *U =
        chooseUpstream(State, J, T, Typical, Pass.Startable, Expected);
    if (!U && !T.AvoidedUpstreams.empty() &&
        T.AvoidedUpstreams.size() + 1 >= State.Upstreams.size()) {
      // It avoids all upstreams but at most one; a retry on any beats none.
      T.AvoidedUpstreams.clear();
      U = chooseUpstream(State, J, T, Typical, Pass.Startable, Expected);
    }
    if (!U) {
      // The other tasks of the job have the same needs, so they fit nowhere
      // either, unless on upstreams that this task avoids.
      if (T.AvoidedUpstreams.empty())
        return;
      continue;
    }
    if (!Pass.Forecast)
      Pass.Forecast.emplace(State, Now);
    if (Pass.Forecast->reserveEarlierSlot(
            J, Expected, [&](const SenderUpstream &Other) {
              return isUsable(State, Other, Now) && fitsTask(Other, J.Order, T);
            }))
      continue;
    T.State = SenderTaskState::Started;
    T.Upstream = U->Record.Id;
    ++T.Run;
    --J.WaitingTasks;
    J.Started = true;
    ++State.Counts.RunsStarted;
    orderStart(*U, J, {J.Order.Id, 0, Index, T.Run}, Expected, State.Bounds,
               Now, Out);
  }
}

} // namespace

void startWaitingTasks(SenderState &State,
                       const std::function<bool(const SenderJob &)> &MayStart,
                       SteadyTime Now, InstanceEffects &Out) {
  if (!State.PlacementDue)
    return;
  State.PlacementDue = false;
  std::optional<int64_t> Need = smallestNeed(State);
  if (!Need)
    return;
  PlacementPass Pass;
  Pass.Startable = startableUpstreams(State, *Need, Now);
  if (Pass.Startable.empty())
    return;
  for (const auto &[Rank, J] : rankedQueue(State, Now))
    if (!State.DetachedRuns.count(J->Order.Id) && MayStart(*J))
      startJobTasks(State, *J, Pass, Now, Out);
}

} // namespace snipeshunt
