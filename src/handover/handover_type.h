/// \file Messages by which the home of a job hands tasks over to a receiver,
/// another instance that starts them on its upstreams. A home and a receiver
/// are identified by their incarnations.
#ifndef SNIPESHUNT_HANDOVER_HANDOVER_TYPE_H
#define SNIPESHUNT_HANDOVER_HANDOVER_TYPE_H

#include "jobs/job_type.h"

#include <vector>

namespace snipeshunt {

/// Load of an instance, carried by heartbeats and by the messages and replies
/// of handovers and reports.
struct LoadReport {
  /// Slots that can take a short task now, less those that waiting tasks will
  /// use.
  uint32_t FreeSlots = 0;
  uint32_t TotalSlots = 0;   ///< Usable slots, those in use included.
  uint32_t WaitingTasks = 0; ///< Tasks in the instance's queue.
  /// Estimated wait of a task that is queued now.
  std::chrono::milliseconds ExpectedWait{0};
};

/// One task of a handover.
struct HandoverTask {
  TicketSequence Job; ///< The job's ticket at its home.
  TaskIndex Index;
  Team Owner; ///< Team that submitted the job.
  TaskSpecPtr Spec;
  /// Start deadline, counted from the receipt since instances share no clock.
  std::chrono::milliseconds StartWithin{0};
  /// Wait so far; keeps the task's rank in the receiver's queue.
  std::chrono::milliseconds Waited{0};
};

/// `task.hand_over`: a batch of tasks for the receiver's upstreams. It is sent
/// again until it is answered, and the receiver recognises copies by
/// `Sequence`.
struct HandoverMessage {
  IncarnationId Home;
  Address HomeAddress;       ///< Where reports are sent.
  IncarnationId Receiver;    ///< Any other incarnation rejects the message.
  HandoverSequence Sequence; ///< Number of the batch.
  /// All batches below this number are settled: the home expects no more
  /// results of them, and the receiver may discard its records.
  HandoverSequence SettledBelow;
  std::vector<HandoverTask> Tasks;
  LoadReport Load;
};

/// A receiver's answer to a handover. The numeric values are sent, so their
/// order must not change.
enum class HandoverStatus {
  Accepted,   ///< The tasks were queued, now or by an earlier copy.
  Rejected,   ///< The tasks have not started and never will.
  BelowFloor, ///< The receiver has no record of the batch any more; its tasks
              ///< may have started.
  WrongIncarnation, ///< The message is for an earlier process at this address.
};

/// Reply to `task.hand_over`.
struct HandoverReply {
  HandoverStatus Status = HandoverStatus::Accepted;
  LoadReport Load;
};

/// Result of one handed-over task, as the receiver reports it.
struct TaskReport {
  HandoverSequence Sequence; ///< Batch in which the task was received.
  TaskKey Key;
  TaskResult Result;
};

/// `task.report`: results for the home. Sent again until it is acknowledged.
struct ReportMessage {
  IncarnationId Home;
  IncarnationId Receiver; ///< The reporting incarnation.
  std::vector<TaskReport> Reports;
  LoadReport Load;
};

/// `task.revoke`: withdraws those of `Tasks`, all in batch `Sequence`, that
/// have not started. Sent again until it is answered.
struct RevokeMessage {
  IncarnationId Home;
  IncarnationId Receiver;
  HandoverSequence Sequence;
  std::vector<TaskKey> Tasks;
};

/// Reply to `task.revoke`.
struct RevokeReply {
  bool WrongIncarnation = false; ///< Sent to an earlier process.
  std::vector<TaskKey> Revoked;  ///< Have not started and never will.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HANDOVER_HANDOVER_TYPE_H
