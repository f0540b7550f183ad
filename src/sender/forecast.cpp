/// \file When places on busy upstreams come free.
#include "sender/forecast.h"

#include "sender/estimate_func.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

namespace {

// A run that has taken longer than expected has at least this share of the time
// that it took still to go: run times have a long tail.
constexpr double OverdueShare = 0.3;
// Waiting has to save this share of the time, because expected ends are rough.
constexpr double LeastGain = 0.15;

Duration expectedRest(const OwnRun &Run, SteadyTime Now) {
  Duration Taken = Now - Run.Ordered;
  auto Tail = std::chrono::duration_cast<Duration>(Taken * OverdueShare);
  return std::max(Run.Expected - Taken, Tail);
}

} // namespace

PlaceForecast::PlaceForecast(const SenderState &State, SteadyTime Now) {
  for (const auto &[Id, U] : State.Upstreams) {
    if (!takesStarts(U, Now) || U.Probing)
      continue;
    double RunFactor = std::exp(logRunFactor(State.Learned, U));
    for (const auto &[Key, Run] : U.Runs) {
      Resources Room = U.Free;
      Room += Run.Need;
      Places.push_back({&U, Room, expectedRest(Run, Now), RunFactor});
    }
  }
}

bool PlaceForecast::reserveBetter(
    const SenderJob &J, Duration Here,
    const std::function<bool(const OwnUpstream &)> &Allowed) {
  auto Best = Places.end();
  auto Limit = std::chrono::duration_cast<Duration>(Here * (1 - LeastGain));
  for (auto It = Places.begin(); It != Places.end(); ++It) {
    if (It->Wait >= Limit || !It->Room.covers(J.Order.Step.Each) ||
        !Allowed(*It->Upstream))
      continue;
    Duration End = It->Wait + std::chrono::duration_cast<Duration>(
                                  J.Expected * It->RunFactor);
    if (End >= Limit)
      continue;
    Best = It;
    Limit = End;
  }
  if (Best == Places.end())
    return false;
  Places.erase(Best);
  return true;
}

} // namespace snipeshunt
