/// \file Requests of callers, and the jobs that the entry instance forwards to
/// senders. Callers choose the ids of their jobs.
#ifndef SNIPESHUNT_ENTRY_ENTRY_TYPE_H
#define SNIPESHUNT_ENTRY_ENTRY_TYPE_H

#include "sender/open_job_type.h"
#include "sender/sender_type.h"

#include <string>

namespace snipeshunt {

/// How a caller's request is answered.
enum class AnswerStatus {
  Done,      ///< The job succeeded.
  Failed,    ///< A task failed as often as allowed.
  NotRun,    ///< The job was rejected; none of its tasks was started.
  Lost,      ///< Abandoned after a possible start; it may be run again.
  Expired,   ///< The caller's deadline passed after a possible start.
  NoRoute,   ///< No queue matches the request.
  NoSuchJob, ///< No instance has such a job open.
  Unknown,   ///< Whether the job is open isn't known; the caller asks again.
  Running,   ///< Answer to a query: the job has not ended.
  Cancelled, ///< Answer to a cancel: the job is being stopped.
  Count,     ///< Number of waiting jobs of a queue.
};

/// Name of \p Status, for logs and metrics.
inline const char *answerStatusName(AnswerStatus Status) {
  switch (Status) {
  case AnswerStatus::Done:
    return "done";
  case AnswerStatus::Failed:
    return "failed";
  case AnswerStatus::NotRun:
    return "not_run";
  case AnswerStatus::Lost:
    return "lost";
  case AnswerStatus::Expired:
    return "expired";
  case AnswerStatus::NoRoute:
    return "no_route";
  case AnswerStatus::NoSuchJob:
    return "no_such_job";
  case AnswerStatus::Unknown:
    return "unknown";
  case AnswerStatus::Running:
    return "running";
  case AnswerStatus::Cancelled:
    return "cancelled";
  case AnswerStatus::Count:
    return "count";
  }
  return "";
}

// Effects.

/// Answer a caller's request.
struct AnswerCaller {
  RequestId Request;
  AnswerStatus Status = AnswerStatus::Lost;
  /// Pause after which the caller should try again, if the job was rejected or
  /// the answer to a query or cancel is not known.
  std::chrono::seconds RetryAfter{0};
  uint64_t Count =
      0; ///< Waiting jobs of the queue, with `AnswerStatus::Count`.
  bool Close = false; ///< Close the connection after the answer.
  Duration Took{0};   ///< Since the job was submitted; 0 for other requests.
};

/// Forward a job to its sender.
struct ForwardJob {
  Address Sender;
  RequestId Request; ///< Comes back in `ForwardAnswered`.
  JobOrder Order;
  Duration Timeout{0}; ///< For the sender's answer.
};

/// Close the connection on which a job was forwarded, so that its sender stops
/// the job. Answers that arrive later are ignored.
struct AbandonForward {
  Address Sender;
  RequestId Request; ///< From `ForwardJob`.
  /// The connection has lost a message. Others to the sender may have fallen
  /// silent with it, so the idle ones are closed as well.
  bool Silent = false;
};

// Events.

/// A job as its caller describes it.
struct JobSubmission {
  JobId Id;
  SharedText Spec; ///< Opaque to the dispatcher; given to upstreams.
  StepDemand Step;
  /// Feature that the job needs and that isn't supported; usually empty.
  std::string UnsupportedFeature;
};

/// A caller submits a job.
struct JobSubmitted {
  RequestId Request;
  Route Queue; ///< Route of the configuration that the request matches.
  JobSubmission Job;
  Duration Patience{0}; ///< Time limit of the job, from the caller.
};

/// A caller asks for a job's state.
struct JobQueried {
  RequestId Request;
  JobId Id;
};

/// A caller cancels a job.
struct JobCancelled {
  RequestId Request;
  JobId Id;
};

/// A caller asks how many jobs of a queue wait.
struct QueueCounted {
  RequestId Request;
  std::string Queue; ///< Name of the route.
};

/// A caller closed its connection before the answer.
struct JobCallerDisconnected {
  RequestId Request;
};

/// A sender answered a forwarded job, or the request failed.
struct ForwardAnswered {
  Address Sender;
  RequestId Request;               ///< From `ForwardJob`.
  std::optional<JobResult> Result; ///< Absent if the request failed.
  /// No byte of the request was sent, so the sender has not received the job.
  bool NothingSent = false;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_ENTRY_TYPE_H
