/// \file Jobs that entry instances hand to senders, and the senders' answers.
#ifndef SNIPESHUNT_SENDER_SENDER_TYPE_H
#define SNIPESHUNT_SENDER_SENDER_TYPE_H

#include "cells/cell_type.h"
#include "core/shared_text.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Largest number of tasks of a job. The users' jobs have up to 200; the bound
/// keeps one job from exhausting the memory of its sender.
constexpr uint32_t MaxTasks = 10000;
/// Largest spec of a job, in bytes.
constexpr size_t MaxSpecBytes = 1 << 20;
/// Largest need of a task and largest capacity of an upstream, in the units of
/// `Resources`. Sums over all tasks of all jobs then don't overflow.
constexpr int64_t MaxResourceAmount = INT32_MAX;

/// The identical tasks of a step.
struct StepDemand {
  uint32_t Count = 1;          ///< Number of tasks.
  Resources PerTask;           ///< Needs of one task.
  Duration Estimate{0};        ///< Declared run time of one task; often wrong.
  std::string Rack;            ///< Rack of the data; senders ignore it.
  std::string Requirement;     ///< Required kind or rack; empty for any.
  uint32_t MaxPerUpstream = 0; ///< Limit of tasks on one upstream; 0 for none.
};

/// How certain it is that an upstream crashed while it ran a task.
enum class CrashEvidence {
  Possible,   ///< The run may not have begun, or may have ended before.
  InProgress, ///< It was in progress when connections ended; a cut can look so.
};

/// Returns the name of \p Evidence, for logs.
inline const char *crashEvidenceName(CrashEvidence Evidence) {
  switch (Evidence) {
  case CrashEvidence::Possible:
    return "possible";
  case CrashEvidence::InProgress:
    return "in_progress";
  }
  return "";
}

/// A crash of an upstream for which a task is suspected.
struct TaskCrash {
  uint32_t Index = 0; ///< Task of the step, from 0.
  UpstreamId Upstream;
  int64_t StartedAt = 0; ///< Start of the process that ended, Unix ms.
  CrashEvidence Evidence = CrashEvidence::Possible;

  friend bool operator==(const TaskCrash &L, const TaskCrash &R) {
    return L.Index == R.Index && L.Upstream == R.Upstream &&
           L.StartedAt == R.StartedAt && L.Evidence == R.Evidence;
  }
};

/// A job that an entry instance hands to a sender.
struct JobOrder {
  JobId Id;
  Address Entry;             ///< Instance that took the job from the caller.
  IncarnationId Incarnation; ///< Process of the entry instance.
  uint64_t Number = 0;       ///< Rises with each job that the entry hands over.
  std::string Queue;         ///< Name of the route.
  ServiceName Service;
  int32_t Priority = 0;     ///< See `Route`.
  uint32_t MaxAttempts = 1; ///< See `Route`.
  double Stretch = 1;       ///< See `Route`.
  Duration Slack{0};        ///< See `Route`.
  Duration Remaining{0};    ///< Time left until the caller's deadline.
  Duration Age{0};          ///< Time since the entry received the request.
  SharedText Spec;          ///< Passed to the upstreams as it is.
  StepDemand Step;
  std::vector<TaskCrash> Crashes; ///< Known from earlier submissions.
};

/// How a job ended.
enum class JobOutcome {
  Done,   ///< All tasks succeeded.
  Failed, ///< A task failed `MaxAttempts` times.
  NotRun, ///< Nothing was started.
  Lost,   ///< It was abandoned; tasks may have run.
};

/// Name of \p Outcome, for logs.
inline const char *jobOutcomeName(JobOutcome Outcome) {
  switch (Outcome) {
  case JobOutcome::Done:
    return "done";
  case JobOutcome::Failed:
    return "failed";
  case JobOutcome::NotRun:
    return "not_run";
  case JobOutcome::Lost:
    return "lost";
  }
  return "";
}

/// A sender's answer.
struct JobResult {
  JobOutcome Outcome = JobOutcome::Lost;
  std::string Reason;     ///< For logs.
  Duration RetryAfter{0}; ///< When the caller may retry a job that was not run.
  bool Moved = false;     ///< The entry should try another sender at once.
  bool Leaving = false;   ///< This sender is shutting down.
  SenderLoad Load;        ///< Of the sender, at the time of the answer.
  std::vector<TaskCrash> Crashes; ///< Known of the job's tasks.
  /// With `JobOutcome::NotRun`: an upstream of the sender may have run tasks of
  /// the job, for this or an earlier submission.
  bool MayHaveRun = false;
  /// A caller has cancelled the job, so the entry must not ask for it again.
  bool Cancelled = false;
};

/// Names a job that an entry instance has handed over.
struct JobReference {
  JobId Id;
  uint64_t Number = 0; ///< `JobOrder::Number`.
};

/// Asks a sender for the results of jobs whose answers may have been lost. It
/// starts nothing.
struct ResultQuery {
  Address Entry;             ///< Instance that handed over the jobs.
  IncarnationId Incarnation; ///< Its process.
  std::vector<JobReference> Jobs;
};

/// A job of a result query that is not open at the sender.
struct ClosedJob {
  uint64_t Number = 0; ///< `JobOrder::Number`.
  /// Absent if the job has not arrived, or its result is not retained.
  std::optional<JobResult> Result;
};

/// Answer to a result query. It leaves out the jobs that are open and those
/// that have ended a moment ago, whose answers are on their way.
struct ResultReply {
  std::vector<ClosedJob> Jobs;
};

// Effects.

/// Answer the entry instance that handed over a job.
struct AnswerJob {
  RequestId Request;
  JobResult Result;
};

/// Send a result query to a sender.
struct SendResultQuery {
  Address Sender;
  ResultQuery Query;
};

/// Answer a result query.
struct AnswerResultQuery {
  RequestId Request; ///< From `ResultQueryArrived`.
  ResultReply Reply;
};

// Events.

/// An entry instance hands over a job.
struct JobArrived {
  RequestId Request;
  JobOrder Order;
};

/// The connection on which a job was handed over has closed.
struct JobAbandoned {
  RequestId Request;
};

/// An entry instance asks for results.
struct ResultQueryArrived {
  RequestId Request; ///< Returned in `AnswerResultQuery`.
  ResultQuery Query;
};

/// A sender has answered a result query.
struct ResultQueryAnswered {
  Address Sender;
  ResultReply Reply;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_SENDER_TYPE_H
