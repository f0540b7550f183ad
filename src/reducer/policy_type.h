/// \file Scheduling rules that can be replaced, for baselines and experiments.
#ifndef SNIPESHUNT_REDUCER_POLICY_TYPE_H
#define SNIPESHUNT_REDUCER_POLICY_TYPE_H

namespace snipeshunt {

/// Order of waiting tasks.
enum class OrderRule { FirstInFirstOut, ShortestRemaining, EarliestDue };

/// Choice among upstreams with a free slot.
enum class PlacementRule { Random, LeastOutstanding, EarliestFinish };

/// The rules in force.
struct PolicyOptions {
  OrderRule Order = OrderRule::EarliestDue;
  PlacementRule Placement = PlacementRule::EarliestFinish;
  bool Lanes = true;  ///< Long tasks use only their share of the slots.
  bool Probes = true; ///< Failing upstreams get only probes.
  /// Jobs are to end within this multiple of their response on an empty system.
  double MaxStretch = 3;
  bool RejectLate = true;    ///< Refuse jobs that would not end within it.
  bool WaitForFaster = true; ///< Tasks may wait for a faster slot.
  bool ReturnExcess = true;  ///< Receivers return what finds no free slot.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_POLICY_TYPE_H
