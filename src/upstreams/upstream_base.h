/// \file State of this instance as a sender: upstreams with their slots, speed
/// and health, and the attempts in progress.
#ifndef SNIPESHUNT_UPSTREAMS_UPSTREAM_BASE_H
#define SNIPESHUNT_UPSTREAMS_UPSTREAM_BASE_H

#include "scheduling/queue_base.h"
#include "upstreams/upstream_type.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace snipeshunt {

/// One upstream, whether or not this instance is its sender.
struct Upstream {
  /// The slots are those of its own status once that has been read, or set by
  /// operators.
  ListedUpstream Listed;
  Address Sender;     ///< Instance that sends to it; empty without one.
  bool Owned = false; ///< This instance is its sender.
  /// It takes no new tasks, according to the list, its status or a reply.
  bool Leaving = false;
  /// Time of the last status answer; unset until the first one since this
  /// instance became its sender.
  std::optional<SteadyTime> StatusReadAt;
  bool StatusPending = false;  ///< A status request is in flight.
  SteadyTime NextStatusPoll{}; ///< Earliest time of the next status request.
  uint32_t SlotsInUse = 0;     ///< Slots in use by tasks of this instance.
  uint32_t LongSlotsInUse = 0; ///< Part of these that long tasks use.
  /// Learned; tasks take half the time at 2 that they take at 1.
  double Speed = 1.0;
  uint64_t SpeedSamples = 0;        ///< Runs that the speed was learned from.
  uint32_t ConsecutiveFailures = 0; ///< Failed attempts since the last success.
  SteadyTime LastFailure{};         ///< End of the last failed attempt.
  /// It gets one task at a time, the probe, with a pause after each failed one.
  bool Probing = false;
  SteadyTime ProbePauseStart{}; ///< Start of the current pause between probes.
  SteadyTime NextProbeAt{};     ///< Earliest start of the next probe.
  /// Current pause between probes, without jitter; doubled by each failed
  /// probe.
  Duration ProbePause{0};
  /// It gets no task until then, after a busy reply or a failed connect.
  SteadyTime BlockedUntil{};
};

/// A request to start a task, until its end is known.
struct Attempt {
  WaitingTask Task;   ///< As taken from the queue, for a retry.
  Address Upstream;   ///< Endpoint of the upstream.
  SteadyTime Started; ///< Time of the start.
};

/// All upstreams, and the tasks that this instance runs on them.
struct UpstreamTable {
  std::map<Address, Upstream> All; ///< By endpoint.
  std::unordered_map<AttemptId, Attempt> Attempts;
  std::unordered_map<TaskKey, AttemptId> AttemptsByTask;
  uint64_t NextAttempt = 1; ///< Id of the next attempt.
  /// Times of the starts within the window of the retry budget, oldest first.
  std::deque<SteadyTime> RecentStarts;
  /// Earliest start times of the retries within the window, some of which may
  /// be in the future, in the order in which they were queued.
  std::deque<SteadyTime> RecentRetries;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_UPSTREAM_BASE_H
