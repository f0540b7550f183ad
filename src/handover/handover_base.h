/// \file State of handovers on both sides.
#ifndef SNIPESHUNT_HANDOVER_HANDOVER_BASE_H
#define SNIPESHUNT_HANDOVER_HANDOVER_BASE_H

#include "handover/handover_type.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace snipeshunt {

/// A batch that the home has given away and that is not settled yet.
struct OutgoingBatch {
  HandoverMessage Message;     ///< As sent, for repeats.
  std::set<TaskKey> Unsettled; ///< Tasks without a result.
  std::set<TaskKey> Revoking;  ///< Tasks to take back.
  bool Acknowledged = false;
  bool InFlight = false; ///< A handover or revoke request is open.
  uint32_t SendCount = 0;
  SteadyTime ResendAt; ///< Next repeat of the handover or revoke.
};

/// All batches to one incarnation of a receiver.
struct OutgoingChannel {
  Address Endpoint;
  uint64_t NextSequence = 1;
  std::map<HandoverSequence, OutgoingBatch> Batches;
};

/// State of one received task.
enum class ReceivedTaskState { Unfinished, Ended, Revoked };

/// The tasks of one job in a received batch.
struct ReceivedJob {
  size_t Unfinished = 0; ///< Tasks waiting or running here.
  /// Results kept back until the last task of the job ends.
  std::vector<TaskReport> PendingResults;
  SteadyTime FirstEndedAt{}; ///< When the first of these ended.
};

/// A batch that this instance has received.
struct IncomingBatch {
  bool Rejected = false;
  /// A revoke came before the handover; these tasks must not be queued.
  std::set<TaskKey> Tombstones;
  std::unordered_map<TaskKey, ReceivedTaskState> Tasks;
  std::map<TicketSequence, ReceivedJob> Jobs;
};

/// All batches from one incarnation of a home.
struct IncomingChannel {
  Address Endpoint;
  HandoverSequence Floor{1}; ///< Batches below are settled and forgotten.
  std::map<HandoverSequence, IncomingBatch> Batches;
  std::vector<TaskReport> Unreported; ///< Results not yet acknowledged.
  size_t ReportsInFlight = 0;         ///< Leading entries in an open request.
  SteadyTime ResendAt;
  SteadyTime LastMessage;
};

/// All handovers.
struct HandoverTable {
  std::unordered_map<IncarnationId, OutgoingChannel> Outgoing;
  std::unordered_map<IncarnationId, IncomingChannel> Incoming;
  /// Replaced homes, until their tickets have expired. Late copies of their
  /// handovers are refused.
  std::unordered_map<IncarnationId, SteadyTime> ClosedHomes;
  /// Where each handed-over task of this home is.
  std::unordered_map<TaskKey, std::pair<IncarnationId, HandoverSequence>>
      HandedOver;
  /// Batch of each received task.
  std::unordered_map<TaskKey, HandoverSequence> ReceivedTasks;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HANDOVER_HANDOVER_BASE_H
