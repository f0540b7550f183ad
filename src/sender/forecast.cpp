/// \file Forecast of when capacity on busy upstreams becomes free.
#include "sender/forecast.h"

#include "core/duration_func.h"
#include "sender/estimate_func.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

namespace {

// Run times have a long tail: the rest of a run that is overdue is estimated as
// at least this share of the time that it has taken so far.
constexpr double OverdueRestShare = 0.3;
// Expected ends are rough estimates, so waiting must save at least this share
// of the time.
constexpr double MinGain = 0.15;

} // namespace

Duration expectedRest(const SenderRun &Run, SteadyTime Now) {
  Duration Taken = Now - Run.Ordered;
  return std::max(Run.ExpectedRunTime - Taken, scaled(Taken, OverdueRestShare));
}

SlotForecast::SlotForecast(
    const SenderState &State, SteadyTime Now,
    const std::function<bool(const SenderUpstream &)> &IsUsable) {
  for (const auto &[Id, U] : State.Upstreams) {
    if (U.Runs.empty() || U.Probing || !IsUsable(U))
      continue;
    double RunFactor = std::exp(logRunTimeFactor(State.Learned, U));
    for (const auto &[Key, Run] : U.Runs) {
      Resources FreeAfter = U.Free;
      FreeAfter += Run.Need;
      Slots.push_back({&U, FreeAfter, expectedRest(Run, Now), RunFactor});
    }
  }
  std::sort(Slots.begin(), Slots.end(),
            [](const Slot &L, const Slot &R) { return L.Wait < R.Wait; });
}

bool SlotForecast::reserveEarlierSlot(
    const SenderJob &J, Duration RunTimeHere,
    const std::function<bool(const SenderUpstream &)> &IsAllowed) {
  auto Best = Slots.end();
  Duration Limit = scaled(RunTimeHere, 1 - MinGain);
  // The limit falls with each better slot, so most of the slots are skipped.
  for (auto It = Slots.begin(); It != Slots.end() && It->Wait < Limit; ++It) {
    if (!It->FreeAfter.covers(J.Order.Step.PerTask) ||
        !IsAllowed(*It->Upstream))
      continue;
    Duration End = It->Wait + scaled(J.ExpectedRunTime, It->RunFactor);
    if (End >= Limit)
      continue;
    Best = It;
    Limit = End;
  }
  if (Best == Slots.end())
    return false;
  Slots.erase(Best);
  return true;
}

} // namespace snipeshunt
