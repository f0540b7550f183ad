/// \file Scheduling rules, which baselines and experiments can replace.
#ifndef SNIPESHUNT_REDUCER_POLICY_TYPE_H
#define SNIPESHUNT_REDUCER_POLICY_TYPE_H

namespace snipeshunt {

/// Order of waiting tasks within a lane.
enum class OrderRule {
  FirstInFirstOut,   ///< By the time of queueing.
  ShortestRemaining, ///< By start of the wait plus remaining work of the job.
  EarliestDue,       ///< By the time at which `MaxStretch` is reached.
};

/// Choice among upstreams with a free slot.
enum class PlacementRule {
  Random,           ///< Any, drawn at random.
  LeastOutstanding, ///< With the fewest slots in use by this instance.
  EarliestFinish,   ///< The fastest one.
};

/// The rules in force.
struct PolicyOptions {
  OrderRule Order = OrderRule::EarliestDue;
  PlacementRule Placement = PlacementRule::EarliestFinish;
  bool Lanes = true;  ///< Long tasks use at most their share of the slots.
  bool Probes = true; ///< Failing upstreams get only probes.
  /// Jobs should end within this multiple of their response time on an empty
  /// system.
  double MaxStretch = 3;
  bool RejectLate = true; ///< Reject jobs that would not end within it.
  /// Tasks may wait for a slot of a faster upstream.
  bool WaitForFaster = true;
  bool ReturnExcess = true; ///< Receivers return tasks without a free slot.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_POLICY_TYPE_H
