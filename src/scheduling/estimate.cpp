/// \file Run-time estimates per task kind.
#include "scheduling/estimate_func.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Most tasks take 50 ms to 1 s.
constexpr Duration DefaultRuntime = std::chrono::milliseconds(300);
// Weight of a new sample once enough are in.
constexpr double MinSampleWeight = 0.05;
// Declared times are often wrong by a factor of ten, so few samples replace
// them.
constexpr uint64_t MinSamples = 3;
// Kinds are named by callers; this bounds what they can make us remember.
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
