/// \file When places on busy upstreams come free.
#ifndef SNIPESHUNT_SENDER_FORECAST_H
#define SNIPESHUNT_SENDER_FORECAST_H

#include "sender/sender_base.h"

#include <functional>
#include <vector>

namespace snipeshunt {

/// Expected ends of runs, each of which may be kept for one waiting task.
///
/// Earliest-finish list scheduling: a task on a slow upstream often ends after
/// one that first waits for a fast upstream. Tasks take their places in the
/// order of the queue, so a long queue for the fast ones sends the rest to the
/// slow ones.
class SlotForecast {
public:
  SlotForecast(const SenderState &State, SteadyTime Now);

  /// Whether a task of \p J is expected to end clearly earlier by waiting for a
  /// place than by running for \p RunTimeHere from now on. Keeps that place for
  /// it. \p IsAllowed says whether the task may run on an upstream.
  bool reserveEarlierSlot(
      const SenderJob &J, Duration RunTimeHere,
      const std::function<bool(const SenderUpstream &)> &IsAllowed);

private:
  struct Slot {
    const SenderUpstream *Upstream;
    Resources FreeAfter; ///< Free on the upstream once the run has ended.
    Duration Wait;       ///< Until then.
    /// Run time there against that on an upstream of middle speed.
    double RunFactor;
  };

  std::vector<Slot> Slots;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_FORECAST_H
