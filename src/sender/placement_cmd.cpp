/// \file Placement of waiting tasks on upstreams with free capacity.
#include "sender/placement_cmd.h"

#include "sender/estimate_func.h"
#include "sender/forecast.h"
#include "sender/job_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Upstreams whose expected run times differ by less are considered equal. Of
// these, the one with the least free capacity is chosen (best fit), so that
// large tasks still find room elsewhere.
constexpr double SimilarityFactor = 1.15;

/// Returns true if the task may run on the upstream, regardless of free
/// capacity.
bool isEligible(const SenderUpstream &U, const JobOrder &Order,
                const SenderTask &T, SteadyTime Now) {
  if (!acceptsStarts(U, Now) || U.UnlistedSince != SteadyTime{} ||
      !U.ClockOffset || U.UnansweredCalls > 0)
    return false;
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

/// Returns true if the task may be started on the upstream now.
bool canStartNow(const SenderUpstream &U, const JobOrder &Order,
                 const SenderTask &T, SteadyTime Now) {
  if (U.Probing && !U.Runs.empty())
    return false;
  return U.Free.covers(Order.Step.PerTask) && isEligible(U, Order, T, Now);
}

/// Returns the upstream on which the task is expected to end first, or null.
/// \p Expected is set to its run time there.
SenderUpstream *chooseUpstream(SenderState &State, const SenderJob &J,
                               const SenderTask &T, SteadyTime Now,
                               Duration &Expected) {
  SenderUpstream *Best = nullptr;
  for (auto &[Id, U] : State.Upstreams) {
    if (!canStartNow(U, J.Order, T, Now))
      continue;
    Duration RunTimeHere = expectedRunTime(State.Learned, J.Order, U);
    bool Better = !Best;
    if (Best) {
      double Ratio =
          toSeconds(RunTimeHere) / std::max(1e-6, toSeconds(Expected));
      bool Similar = Ratio < SimilarityFactor && Ratio > 1 / SimilarityFactor;
      Better = Similar ? U.Free.CpuMillis < Best->Free.CpuMillis : Ratio < 1;
    }
    if (Better) {
      Best = &U;
      Expected = RunTimeHere;
    }
  }
  return Best;
}

/// Starts the waiting tasks of one job as far as there is free capacity. A task
/// that fits only on a slow upstream may wait for a faster one instead.
void startJobTasks(SenderState &State, SenderJob &J,
                   std::optional<SlotForecast> &Forecast, SteadyTime Now,
                   InstanceEffects &Out) {
  for (uint32_t Index = 0; Index < J.Tasks.size() && J.WaitingTasks > 0;
       ++Index) {
    SenderTask &T = J.Tasks[Index];
    if (T.State != SenderTaskState::Waiting)
      continue;
    Duration Expected{0};
    SenderUpstream *U = chooseUpstream(State, J, T, Now, Expected);
    if (!U && !T.AvoidedUpstreams.empty() &&
        T.AvoidedUpstreams.size() + 1 >= State.Upstreams.size()) {
      // It avoids all upstreams but at most one; a retry on any beats none.
      T.AvoidedUpstreams.clear();
      U = chooseUpstream(State, J, T, Now, Expected);
    }
    if (!U) {
      // The other tasks of the job have the same needs, so they fit nowhere
      // either, unless on upstreams that this task avoids.
      if (T.AvoidedUpstreams.empty())
        return;
      continue;
    }
    if (!Forecast)
      Forecast.emplace(State, Now);
    if (Forecast->reserveEarlierSlot(
            J, Expected, [&](const SenderUpstream &Other) {
              return isEligible(Other, J.Order, T, Now);
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
  std::optional<SlotForecast>
      Forecast; // Made on demand; most passes need none.
  for (const auto &[Rank, J] : rankedQueue(State, Now))
    if (!State.DetachedRuns.count(J->Order.Id) && MayStart(*J))
      startJobTasks(State, *J, Forecast, Now, Out);
}

} // namespace snipeshunt
