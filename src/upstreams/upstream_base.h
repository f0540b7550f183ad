/// \file State of the sender: upstreams, their slots, speed and health.
#ifndef SNIPESHUNT_UPSTREAMS_UPSTREAM_BASE_H
#define SNIPESHUNT_UPSTREAMS_UPSTREAM_BASE_H

#include "scheduling/queue_base.h"
#include "upstreams/upstream_type.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace snipeshunt {

/// One upstream as this instance knows it.
struct Upstream {
  ListedUpstream Listed;
  Address Sender;                         ///< Instance that sends to it.
  bool Owned = false;                     ///< This instance is its sender.
  bool Leaving = false;                   ///< By list, status or reply.
  std::optional<SteadyTime> StatusReadAt; ///< Last status while owned.
  bool StatusPending = false;             ///< A status request is open.
  SteadyTime NextStatusPoll{};            ///< When its status is due.
  uint32_t SlotsInUse = 0;                ///< Slots in use by this instance.
  uint32_t LongSlotsInUse = 0;            ///< Of these, by long tasks.
  double Speed = 1.0;                     ///< Learned; 2 halves run times.
  uint64_t SpeedSamples = 0;
  uint32_t ConsecutiveFailures = 0;
  SteadyTime LastFailure{};     ///< End of the last attempt that failed.
  bool Probing = false;         ///< Gets one task at a time, with pauses.
  SteadyTime ProbePauseStart{}; ///< Start of the last pause between probes.
  SteadyTime NextProbeAt{};     ///< Earliest start of the next probe.
  Duration ProbePause{0};       ///< Grows with each failed probe.
  SteadyTime BlockedUntil{};    ///< After a busy reply or a refused connection.
};

/// One request to start a task, until it ends.
struct Attempt {
  WaitingTask Task;
  Address Upstream;
  SteadyTime Started;
};

/// All upstreams and the tasks that run on them.
struct UpstreamTable {
  std::map<Address, Upstream> All;
  std::unordered_map<AttemptId, Attempt> Attempts;
  std::unordered_map<TaskKey, AttemptId> AttemptsByTask;
  uint64_t NextAttempt = 1;
  /// Starts and retries of the retry budget's window.
  std::deque<SteadyTime> RecentStarts;
  std::deque<SteadyTime> RecentRetries;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_UPSTREAM_BASE_H
