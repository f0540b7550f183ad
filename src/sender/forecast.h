/// \file Forecast of when capacity on busy upstreams becomes free.
#ifndef SNIPESHUNT_SENDER_FORECAST_H
#define SNIPESHUNT_SENDER_FORECAST_H

#include "sender/sender_base.h"

#include <functional>
#include <vector>

namespace snipeshunt {

/// Time until a run is expected to end.
Duration expectedRest(const SenderRun &Run, SteadyTime Now);

/// Expected ends of the current runs. Each frees a slot that can be reserved
/// for one waiting task. A forecast is made anew for each placement pass.
///
/// This is earliest-finish list scheduling: waiting for a fast upstream often
/// gives an earlier end than starting on a slow one at once. Slots are reserved
/// in the order of the queue, so that tasks beyond the slots of the fast
/// upstreams go to the slow ones.
class SlotForecast {
public:
  /// \p IsUsable returns true if tasks may be started on an upstream in this
  /// pass.
  SlotForecast(const SenderState &State, SteadyTime Now,
               const std::function<bool(const SenderUpstream &)> &IsUsable);

  /// Returns true if a task of \p J is expected to end clearly earlier by
  /// waiting for a slot than by starting now with a run time of \p RunTimeHere,
  /// and reserves that slot. \p IsAllowed returns true if the task may run on
  /// a usable upstream.
  bool reserveEarlierSlot(
      const SenderJob &J, Duration RunTimeHere,
      const std::function<bool(const SenderUpstream &)> &IsAllowed);

private:
  struct Slot {
    const SenderUpstream *Upstream; ///< Where the run is.
    Resources FreeAfter; ///< Free capacity of the upstream after the run.
    Duration Wait;       ///< Time until the run is expected to end.
    /// Run time there relative to an upstream of average speed.
    double RunFactor;
  };

  std::vector<Slot> Slots; ///< By rising `Wait`.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_FORECAST_H
