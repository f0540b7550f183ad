/// \file Types of jobs, tasks and answers.
#ifndef SNIPESHUNT_JOBS_JOB_TYPE_H
#define SNIPESHUNT_JOBS_JOB_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"

#include <memory>
#include <string>
#include <vector>

namespace snipeshunt {

/// One task as the caller has submitted it.
struct TaskSpec {
  TaskKind Kind;       ///< Tasks of one kind have similar run times.
  std::string Payload; ///< Opaque to the dispatcher.
  std::chrono::milliseconds ExpectedTime{0}; ///< Declared run time; 0 if none.
  uint32_t Accelerators = 0;                 ///< Accelerators it needs.
};

/// Shared by the job, the queues and the running attempt.
using TaskSpecPtr = std::shared_ptr<const TaskSpec>;

/// The parsed body of a submission.
struct ParsedSubmission {
  Team Owner; ///< Team whose quota and weight apply.
  /// Time limit of the job, from its acceptance; the default if none was given.
  std::chrono::milliseconds Patience{0};
  bool PatienceGiven = false;     ///< The caller has given the time limit.
  std::vector<TaskSpecPtr> Tasks; ///< In the order of the body.
};

/// How one attempt or one handed-over task ended.
enum class TaskEnd {
  Finished,   ///< The upstream returned an output.
  Failed,     ///< The upstream reported a failure.
  NotStarted, ///< No upstream has started it, for certain.
  Unknown,    ///< It may have started; its result is unknown.
};

/// The end of a task, with its output or the reason.
struct TaskResult {
  TaskEnd End = TaskEnd::Unknown;
  std::string Output; ///< Output when finished, else the reason.
};

/// State of a task at the home of its job.
enum class TaskState {
  Waiting,    ///< In this instance's queue.
  Running,    ///< Sent to an upstream by this instance.
  HandedOver, ///< Sent to another instance, which has not reported its end.
  Finished,   ///< Its output is known.
  Failed,     ///< The upstream reported a failure.
  Unknown,    ///< It may have started; its result is unknown.
};

/// Outcome in the answer to a request on a job.
enum class Outcome {
  Complete, ///< All tasks have finished.
  Failed,   ///< Ended by a failure, a limit or its cancellation.
  NotRun,   ///< The submission was rejected; no task has started.
  Unknown,  ///< The answer does not say whether tasks have started.
  Running,  ///< The job has not ended.
};

/// An answer in the form in which it is sent and retained.
struct StoredAnswer {
  Outcome Result = Outcome::Unknown; ///< As `Body` states it.
  int Status = 504;                  ///< HTTP status.
  std::string Body;                  ///< JSON text.
};

using StoredAnswerPtr = std::shared_ptr<const StoredAnswer>;

/// Limits on a submission's body.
struct JobBodyLimits {
  size_t MaxTasks = 200; ///< Tasks in one job.
  /// Time limit of a job whose body gives none.
  std::chrono::milliseconds DefaultPatience{30000};
  /// Longest time limit that a body may give.
  std::chrono::milliseconds MaxPatience{600000};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_JOB_TYPE_H
