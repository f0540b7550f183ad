/// \file Estimates of run times per task kind.
#include "scheduling/estimate_func.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Assumed for a kind without samples, setting or declared time; most tasks take
// 50 ms to 1 s.
constexpr Duration DefaultRuntime = std::chrono::milliseconds(300);
// Weight of a new sample in the moving average. The first samples weigh more:
// sample n has weight 1/n.
constexpr double MinSampleWeight = 0.05;
// Declared times are often wrong by a factor of ten, so a few samples already
// replace them.
constexpr uint64_t MinSamples = 3;
// Callers choose the names of kinds; the bound limits the memory they can use.
constexpr size_t MaxKinds = 4096;

} // namespace

Duration estimateRuntime(const RuntimeEstimates &Estimates,
                         const TaskSpec &Spec,
                         std::optional<std::chrono::milliseconds> Assumed) {
  auto It = Estimates.Kinds.find(Spec.Kind);
  if (It != Estimates.Kinds.end() && It->second.Samples >= MinSamples)
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(It->second.MeanSeconds));
  if (Assumed)
    return *Assumed;
  if (Spec.ExpectedTime.count() > 0)
    return Spec.ExpectedTime;
  return DefaultRuntime;
}

void updateRuntimeEstimate(RuntimeEstimates &Estimates, const TaskKind &Kind,
                           Duration Observed, double Speed) {
  if (Estimates.Kinds.size() >= MaxKinds && !Estimates.Kinds.count(Kind))
    return;
  RuntimeEstimates::KindEstimate &E = Estimates.Kinds[Kind];
  double Sample = toSeconds(Observed) * Speed;
  ++E.Samples;
  double SampleWeight =
      std::max(MinSampleWeight, 1.0 / static_cast<double>(E.Samples));
  E.MeanSeconds += (Sample - E.MeanSeconds) * SampleWeight;
}

} // namespace snipeshunt
