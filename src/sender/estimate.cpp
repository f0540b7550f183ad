/// \file Expected run times on upstreams of different speed.
#include "sender/estimate_func.h"

#include "core/duration_func.h"
#include "sender/sender_table.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

namespace {

// A slow upstream shows after a few runs, while a single long run is no
// evidence.
constexpr double UpstreamLearningRate = 0.25;
// Shorter run times consist mostly of the transit time of orders and reports.
constexpr double MinRunSeconds = 0.002;

double lookUp(const std::map<std::string, LearnedFactor> &Table,
              const std::string &Name) {
  auto It = Table.find(Name);
  return It == Table.end() ? 0 : It->second.Value;
}

/// Corrects \p F by a share of \p Error, which is larger for the first samples.
void adjust(LearnedFactor &F, double Error) {
  ++F.Samples;
  F.Value += Error * std::max(LearningRate, 0.5 / F.Samples);
}

/// A kind with few samples is assumed to be faster, so that new upstreams are
/// used.
constexpr uint32_t MinSamples = 4;
constexpr double UnknownSpeedBonus = 0.5;

double logSpeed(const LearnedTimes &Learned, const std::string &Kind) {
  auto It = Learned.Kinds.find(Kind);
  bool Unknown = It == Learned.Kinds.end() || It->second.Samples < MinSamples;
  return lookUp(Learned.Kinds, Kind) + (Unknown ? UnknownSpeedBonus : 0);
}

double declaredSeconds(const JobOrder &Order) {
  return std::max(MinRunSeconds, toSeconds(Order.Step.Estimate));
}

} // namespace

Duration expectedRunTime(const LearnedTimes &Learned, const JobOrder &Order,
                         const SenderUpstream &U) {
  double Factor =
      lookUp(Learned.Queues, Order.Queue) + logRunTimeFactor(Learned, U);
  return fromSeconds(declaredSeconds(Order) * std::exp(Factor));
}

double logRunTimeFactor(const LearnedTimes &Learned, const SenderUpstream &U) {
  return std::max(0.0, U.LogSlowdown) - logSpeed(Learned, U.Record.Kind);
}

Duration typicalRunTime(const LearnedTimes &Learned, const JobOrder &Order) {
  return fromSeconds(declaredSeconds(Order) *
                     std::exp(lookUp(Learned.Queues, Order.Queue)));
}

void recordRunTime(LearnedTimes &Learned, const JobOrder &Order,
                   SenderUpstream &U, Duration Observed) {
  LearnedFactor &Queue = Learned.Queues[Order.Queue];
  LearnedFactor &Speed = Learned.Kinds[U.Record.Kind];
  double Limit = std::log(MaxLearnedFactor);
  double LogObserved = std::log(std::max(MinRunSeconds, toSeconds(Observed)) /
                                declaredSeconds(Order));
  double Error =
      std::clamp(LogObserved - (Queue.Value - Speed.Value), -Limit, Limit);
  U.LogSlowdown += UpstreamLearningRate * (Error - U.LogSlowdown);
  // A faulty upstream gives no evidence about its kind or the queue.
  if (std::abs(Error) >= std::log(SlowFactor))
    return;
  adjust(Queue, Error);
  adjust(Speed, -Error);
}

} // namespace snipeshunt
