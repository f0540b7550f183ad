/// \file State of handovers, on the side of the home (outgoing) and of the
/// receiver (incoming).
#ifndef SNIPESHUNT_HANDOVER_HANDOVER_BASE_H
#define SNIPESHUNT_HANDOVER_HANDOVER_BASE_H

#include "handover/handover_type.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace snipeshunt {

/// A batch that was handed over and has tasks without a result.
struct OutgoingBatch {
  HandoverMessage Message;     ///< As last sent, to send it again.
  std::set<TaskKey> Unsettled; ///< Tasks whose result has not been received.
  /// Unsettled tasks whose job has ended, to be revoked.
  std::set<TaskKey> Revoking;
  /// The receiver accepted the handover; it is not sent again.
  bool Acknowledged = false;
  bool InFlight = false; ///< A handover or revoke request is unanswered.
  /// Handovers sent and revokes answered or failed; sets the backoff.
  uint32_t SendCount = 0;
  SteadyTime ResendAt; ///< Earliest time to send the handover or revoke again.
};

/// The unsettled batches sent to one incarnation of a receiver.
struct OutgoingChannel {
  Address Endpoint; ///< Address of the receiver.
  /// Number of the next batch; numbers are never reused.
  uint64_t NextSequence = 1;
  std::map<HandoverSequence, OutgoingBatch> Batches;
};

/// State of one received task.
enum class ReceivedTaskState {
  Unfinished, ///< Waiting or running here.
  Ended,      ///< Has a result, or was returned without a start.
  Revoked,    ///< Withdrawn by its home before it started.
};

/// The tasks of one job in a received batch.
struct ReceivedJob {
  size_t Unfinished = 0; ///< Number of tasks that wait or run here.
  /// Results withheld until the last task ends, one fails, or they are delayed
  /// too long.
  std::vector<TaskReport> PendingResults;
  SteadyTime FirstEndedAt{}; ///< When the first of `PendingResults` was added.
};

/// A batch that this instance has received, or that a revoke has referred to.
struct IncomingBatch {
  bool Rejected = false; ///< The answer was `Rejected`; copies get the same.
  /// Tasks that must not be queued (again): the revoke arrived before the
  /// handover, or while an attempt was in progress.
  std::set<TaskKey> Tombstones;
  /// Empty until the handover arrives.
  std::unordered_map<TaskKey, ReceivedTaskState> Tasks;
  std::map<TicketSequence, ReceivedJob> Jobs; ///< The same tasks by job.
};

/// The batches received from one incarnation of a home.
struct IncomingChannel {
  Address Endpoint; ///< Address of the home, where reports are sent.
  /// Batches with lower numbers are settled or expired; their records are
  /// discarded.
  HandoverSequence Floor{1};
  std::map<HandoverSequence, IncomingBatch> Batches;
  /// Results to report; removed when the home acknowledges them.
  std::vector<TaskReport> Unreported;
  /// Number of leading results in the unanswered report; 0 without one.
  size_t ReportsInFlight = 0;
  SteadyTime ResendAt;    ///< Earliest next report after an unanswered one.
  SteadyTime LastMessage; ///< Receipt of the last handover or revoke.
};

/// All handovers of this instance.
struct HandoverTable {
  /// By receiver.
  std::unordered_map<IncarnationId, OutgoingChannel> Outgoing;
  /// By home.
  std::unordered_map<IncarnationId, IncomingChannel> Incoming;
  /// Incarnations of homes that were replaced, with the time at which their
  /// tickets have expired. Late copies of their handovers are rejected until
  /// then.
  std::unordered_map<IncarnationId, SteadyTime> ClosedHomes;
  /// Receiver and batch of each unsettled task that this home has handed over.
  std::unordered_map<TaskKey, std::pair<IncarnationId, HandoverSequence>>
      HandedOver;
  /// Batch of each task of another home that waits or runs here.
  std::unordered_map<TaskKey, HandoverSequence> ReceivedTasks;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HANDOVER_HANDOVER_BASE_H
