/// \file Messages that move tasks between the home and a sender.
#ifndef SNIPESHUNT_HANDOVER_HANDOVER_TYPE_H
#define SNIPESHUNT_HANDOVER_HANDOVER_TYPE_H

#include "jobs/job_type.h"

#include <vector>

namespace snipeshunt {

/// Load of an instance, carried by every message between instances.
struct LoadReport {
  uint32_t FreeSlots = 0;    ///< Slots that can take a short task now.
  uint32_t TotalSlots = 0;   ///< Usable slots, busy ones included.
  uint32_t WaitingTasks = 0; ///< Tasks in its queue.
  std::chrono::milliseconds ExpectedWait{0}; ///< Of a task that joins now.
};

/// One task of a handover.
struct HandoverTask {
  TicketSequence Job;
  TaskIndex Index;
  Team Owner;
  TaskSpecPtr Spec;
  std::chrono::milliseconds StartWithin{0}; ///< From receipt, steady clock.
  std::chrono::milliseconds Waited{0};      ///< Wait so far, for the order.
};

/// `task.hand_over`: tasks for another instance's upstreams.
struct HandoverMessage {
  IncarnationId Home;
  Address HomeAddress;
  IncarnationId Receiver;
  HandoverSequence Sequence;
  HandoverSequence SettledBelow; ///< All batches below are settled.
  std::vector<HandoverTask> Tasks;
  LoadReport Load;
};

/// How a receiver took a handover.
enum class HandoverStatus {
  Accepted,         ///< Queued, or known already.
  Rejected,         ///< Not started and never will be.
  BelowFloor,       ///< Too old to be known; nothing is said of its tasks.
  WrongIncarnation, ///< Meant for an earlier process.
};

/// Answer to a handover.
struct HandoverReply {
  HandoverStatus Status = HandoverStatus::Accepted;
  LoadReport Load;
};

/// Result of one handed-over task.
struct TaskReport {
  HandoverSequence Sequence;
  TaskKey Key;
  TaskResult Result;
};

/// `task.report`: results for the home.
struct ReportMessage {
  IncarnationId Home;
  IncarnationId Receiver; ///< The reporting incarnation.
  std::vector<TaskReport> Reports;
  LoadReport Load;
};

/// `task.revoke`: takes tasks back that have not started.
struct RevokeMessage {
  IncarnationId Home;
  IncarnationId Receiver;
  HandoverSequence Sequence;
  std::vector<TaskKey> Tasks;
};

/// Answer to a revoke: the tasks that have not started and never will.
struct RevokeReply {
  bool WrongIncarnation = false;
  std::vector<TaskKey> Revoked;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HANDOVER_HANDOVER_TYPE_H
