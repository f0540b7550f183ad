/// \file Callers' requests on jobs whose ids the callers choose.
#ifndef SNIPESHUNT_ENTRY_ENTRY_TYPE_H
#define SNIPESHUNT_ENTRY_ENTRY_TYPE_H

#include "sender/sender_type.h"

#include <string>

namespace snipeshunt {

/// How a caller's request is answered.
enum class AnswerStatus {
  Done,      ///< The job succeeded.
  Failed,    ///< A task failed as often as allowed.
  NotRun,    ///< Refused; nothing was started.
  Lost,      ///< Given up after a start; it may run again from the start.
  Expired,   ///< The caller's deadline passed after a start.
  NoRoute,   ///< No such queue.
  NoSuchJob, ///< The job isn't known.
  Running,   ///< State of a known job.
  Cancelled, ///< The job was stopped.
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

/// Answer a caller.
struct AnswerCaller {
  RequestId Request;
  AnswerStatus Status = AnswerStatus::Lost;
  std::chrono::seconds RetryAfter{0}; ///< When to come back, if not run.
  uint64_t Count = 0;                 ///< Of waiting jobs.
  bool Close = false; ///< Close the connection after the answer.
  Duration Took{0};   ///< Since the request came in.
};

/// Hand a job to its sender.
struct ForwardJob {
  Address Sender;
  RequestId Request;
  JobOrder Order;
  Duration Timeout{0};
};

// Events.

/// A job as its caller describes it.
struct JobSubmission {
  JobId Id;
  std::string Spec;
  StepDemand Step;
  /// Name of a feature that the job needs and that isn't supported.
  std::string UnsupportedFeature;
};

/// A caller submits a job.
struct JobSubmitted {
  RequestId Request;
  Route Queue;
  JobSubmission Job;
  Duration Patience{0}; ///< How long the caller waits.
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
  std::string Queue;
};

/// A caller closed its connection before the answer.
struct JobCallerDisconnected {
  RequestId Request;
};

/// A sender answered, or not.
struct ForwardAnswered {
  Address Sender;
  RequestId Request;
  std::optional<JobResult> Result;
  bool NothingSent = false; ///< The sender can't have seen the job.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_ENTRY_TYPE_H
