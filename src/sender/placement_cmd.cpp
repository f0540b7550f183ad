/// \file Starting waiting tasks on upstreams that have room.
#include "sender/placement_cmd.h"

#include "sender/estimate_func.h"
#include "sender/forecast.h"
#include "sender/job_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Upstreams whose expected ends differ by less are alike; the one that the task
// fills best is taken, so that large tasks still find room.
constexpr double AlikeFactor = 1.15;

/// Whether the task may run on the upstream once there is room.
bool mayRunOn(const OwnUpstream &U, const JobOrder &Order, const SenderTask &T,
              SteadyTime Now) {
  if (!takesStarts(U, Now) || U.MissingSince != SteadyTime{} ||
      !U.ClockOffset || U.Unanswered > 0)
    return false;
  if (U.Entry.Service != Order.Service)
    return false;
  if (!Order.Step.Requirement.empty() &&
      Order.Step.Requirement != U.Entry.Kind &&
      Order.Step.Requirement != U.Entry.Rack)
    return false;
  if (Order.Step.MaxPerUpstream > 0) {
    auto Same = std::count_if(U.Runs.begin(), U.Runs.end(), [&](const auto &E) {
      return E.first.Job == Order.Id;
    });
    if (static_cast<uint32_t>(Same) >= Order.Step.MaxPerUpstream)
      return false;
  }
  return !T.Avoid.count(U.Entry.Id);
}

bool acceptsStart(const OwnUpstream &U, const JobOrder &Order,
                  const SenderTask &T, SteadyTime Now) {
  if (U.Probing && !U.Runs.empty())
    return false;
  return U.Free.covers(Order.Step.Each) && mayRunOn(U, Order, T, Now);
}

/// The upstream on which the task is expected to end first.
OwnUpstream *choosePlace(SenderState &State, const SenderJob &J,
                         const SenderTask &T, SteadyTime Now,
                         Duration &Expected) {
  OwnUpstream *Best = nullptr;
  for (auto &[Id, U] : State.Upstreams) {
    if (!acceptsStart(U, J.Order, T, Now))
      continue;
    Duration Here = expectedOn(State.Learned, J.Order, U);
    bool Better = !Best;
    if (Best) {
      double Ratio = toSeconds(Here) / std::max(1e-6, toSeconds(Expected));
      bool Alike = Ratio < AlikeFactor && Ratio > 1 / AlikeFactor;
      Better = Alike ? U.Free.CpuMillis < Best->Free.CpuMillis : Ratio < 1;
    }
    if (Better) {
      Best = &U;
      Expected = Here;
    }
  }
  return Best;
}

/// Starts the waiting tasks of one job as far as there is room. A task for
/// which only a slow upstream has room may go on waiting for a faster one.
void startTasksOf(SenderState &State, SenderJob &J,
                  std::optional<PlaceForecast> &Forecast, SteadyTime Now,
                  InstanceEffects &Out) {
  for (uint32_t Index = 0; Index < J.Tasks.size() && J.Waiting > 0; ++Index) {
    SenderTask &T = J.Tasks[Index];
    if (T.State != SenderTaskState::Waiting)
      continue;
    Duration Expected{0};
    OwnUpstream *U = choosePlace(State, J, T, Now, Expected);
    if (!U && !T.Avoid.empty() &&
        T.Avoid.size() + 1 >= State.Upstreams.size()) {
      // It has been tried everywhere; a second try beats none.
      T.Avoid.clear();
      U = choosePlace(State, J, T, Now, Expected);
    }
    if (!U) {
      // Tasks of a job are alike, so the next one finds no room either, but
      // for upstreams that this one avoids.
      if (T.Avoid.empty())
        return;
      continue;
    }
    if (!Forecast)
      Forecast.emplace(State, Now);
    if (Forecast->reserveBetter(J, Expected, [&](const OwnUpstream &Other) {
          return mayRunOn(Other, J.Order, T, Now);
        }))
      continue;
    T.State = SenderTaskState::Started;
    T.Where = U->Entry.Id;
    ++T.Run;
    --J.Waiting;
    J.Started = true;
    ++State.Counts.RunsStarted;
    orderStart(*U, J, {J.Order.Id, 0, Index, T.Run}, Expected, State.Bounds,
               Now, Out);
  }
}

} // namespace

void startWaitingTasks(SenderState &State,
                       const std::function<bool(const SenderJob &)> &Wanted,
                       SteadyTime Now, InstanceEffects &Out) {
  if (!State.Changed)
    return;
  State.Changed = false;
  std::optional<PlaceForecast> Forecast; // Most passes need none.
  for (const auto &[Rank, J] : rankedQueue(State, Now))
    if (!State.Remnants.count(J->Order.Id) && Wanted(*J))
      startTasksOf(State, *J, Forecast, Now, Out);
}

} // namespace snipeshunt
