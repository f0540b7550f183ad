/// \file Expected run times on upstreams of different speed.
#include "sender/estimate_func.h"

#include "sender/sender_table.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

namespace {

// A slow upstream stands out after a few runs, but one long run says little.
constexpr double UpstreamLearnRate = 0.25;
// Run times below this are mostly the time that orders and ends travel.
constexpr double ShortestSeconds = 0.002;

double lookUp(const std::map<std::string, LearnedFactor> &Table,
              const std::string &Name) {
  auto It = Table.find(Name);
  return It == Table.end() ? 0 : It->second.Value;
}

/// Moves \p F by \p Error, in larger steps while little is known.
void adjust(LearnedFactor &F, double Error) {
  ++F.Samples;
  F.Value += Error * std::max(LearnRate, 0.5 / F.Samples);
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// A kind of which little is known is taken as faster than the others, so that
/// new upstreams get work.
constexpr uint32_t FewSamples = 4;
constexpr double UnknownBonus = 0.5;

double speedOf(const LearnedTimes &Learned, const std::string &Kind) {
  auto It = Learned.Kinds.find(Kind);
  bool Unknown = It == Learned.Kinds.end() || It->second.Samples < FewSamples;
  return lookUp(Learned.Kinds, Kind) + (Unknown ? UnknownBonus : 0);
}

double declared(const JobOrder &Order) {
  return std::max(ShortestSeconds, toSeconds(Order.Step.Estimate));
}

} // namespace

Duration expectedOn(const LearnedTimes &Learned, const JobOrder &Order,
                    const OwnUpstream &U) {
  double Factor =
      lookUp(Learned.Queues, Order.Queue) + logRunFactor(Learned, U);
  return fromSeconds(declared(Order) * std::exp(Factor));
}

double logRunFactor(const LearnedTimes &Learned, const OwnUpstream &U) {
  return std::max(0.0, U.Slowness) - speedOf(Learned, U.Entry.Kind);
}

Duration expectedAnywhere(const LearnedTimes &Learned, const JobOrder &Order) {
  return fromSeconds(declared(Order) *
                     std::exp(lookUp(Learned.Queues, Order.Queue)));
}

void learnFromRun(LearnedTimes &Learned, const JobOrder &Order, OwnUpstream &U,
                  Duration Observed) {
  LearnedFactor &Queue = Learned.Queues[Order.Queue];
  LearnedFactor &Speed = Learned.Kinds[U.Entry.Kind];
  double Limit = std::log(MaxLearnedFactor);
  double Seen = std::log(std::max(ShortestSeconds, toSeconds(Observed)) /
                         declared(Order));
  double Error = std::clamp(Seen - (Queue.Value - Speed.Value), -Limit, Limit);
  U.Slowness += UpstreamLearnRate * (Error - U.Slowness);
  // An upstream that is out of order says nothing of its kind.
  if (std::abs(Error) >= std::log(SlowFactor))
    return;
  adjust(Queue, Error);
  adjust(Speed, -Error);
}

} // namespace snipeshunt
