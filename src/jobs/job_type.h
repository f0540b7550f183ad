/// \file Jobs, tasks and answers as plain types.
#ifndef SNIPESHUNT_JOBS_JOB_TYPE_H
#define SNIPESHUNT_JOBS_JOB_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"

#include <memory>
#include <string>
#include <vector>

namespace snipeshunt {

/// What a caller says of one task.
struct TaskSpec {
  TaskKind Kind;       ///< Tasks of a kind run alike long.
  std::string Payload; ///< Opaque to the dispatcher.
  std::chrono::milliseconds ExpectedTime{0}; ///< Declared run time; 0 is none.
  uint32_t Accelerators = 0;                 ///< Accelerators it needs.
};

/// Shared by the job, the queues and the running attempt.
using TaskSpecPtr = std::shared_ptr<const TaskSpec>;

/// A submission as its body says it.
struct ParsedSubmission {
  Team Owner;
  std::chrono::milliseconds Patience{0}; ///< Time limit; 0 takes the default.
  bool PatienceGiven = false;            ///< The caller chose the time limit.
  std::vector<TaskSpecPtr> Tasks;
};

/// How one attempt or one handed-over task ended.
enum class TaskEnd {
  Finished,   ///< The upstream gave a result.
  Failed,     ///< The upstream reported a failure.
  NotStarted, ///< It is proved that no upstream started it.
  Unknown,    ///< It may have started.
};

/// The end of a task, with its output or the reason.
struct TaskResult {
  TaskEnd End = TaskEnd::Unknown;
  std::string Output; ///< Output when finished, else the reason.
};

/// Where a task of a running job is.
enum class TaskState {
  Waiting,    ///< In this instance's queue.
  Running,    ///< Sent to an upstream by this instance.
  HandedOver, ///< Given to another instance.
  Finished,
  Failed,
  Unknown,
};

/// Outcome of a submission as the caller sees it.
enum class Outcome { Complete, Failed, NotRun, Unknown, Running };

/// An answer in the form in which it is sent and retained.
struct StoredAnswer {
  Outcome Result = Outcome::Unknown;
  int Status = 504; ///< HTTP status.
  std::string Body; ///< JSON text.
};

using StoredAnswerPtr = std::shared_ptr<const StoredAnswer>;

/// Limits on a submission's body.
struct JobBodyLimits {
  size_t MaxTasks = 200;
  std::chrono::milliseconds DefaultPatience{30000};
  std::chrono::milliseconds MaxPatience{600000};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_JOB_TYPE_H
