/// \file Jobs as the entry hands them to a sender.
#ifndef SNIPESHUNT_SENDER_SENDER_TYPE_H
#define SNIPESHUNT_SENDER_SENDER_TYPE_H

#include "cells/cell_type.h"

#include <string>
#include <vector>

namespace snipeshunt {

/// Tasks of a step, which are alike.
struct StepDemand {
  uint32_t Count = 1;          ///< Tasks.
  Resources PerTask;           ///< What one task needs.
  Duration Estimate{0};        ///< Declared run time; often far off.
  std::string Rack;            ///< Where the data is; empty for anywhere.
  std::string Requirement;     ///< Label that an upstream must have; or empty.
  uint32_t MaxPerUpstream = 0; ///< Tasks on one upstream; 0 is no limit.
};

/// A job for a sender.
struct JobOrder {
  JobId Id;
  Address Entry;             ///< Instance that waits for the result.
  IncarnationId Incarnation; ///< Process of the entry.
  uint64_t Number = 0;       ///< Among the entry's jobs; rises.
  std::string Queue;         ///< Name of the route.
  ServiceName Service;
  int32_t Priority = 0;
  uint32_t MaxAttempts = 1;
  double Stretch = 1;    ///< See `Route`.
  Duration Slack{0};     ///< See `Route`.
  Duration Remaining{0}; ///< Until the caller's deadline.
  Duration Age{0};       ///< Since the caller's request came in.
  std::string Spec;
  StepDemand Step;
};

/// How a job ended.
enum class JobOutcome {
  Done,   ///< All tasks succeeded.
  Failed, ///< A task failed as often as allowed.
  NotRun, ///< Nothing was started.
  Lost,   ///< It was given up after a start.
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
  Duration RetryAfter{0}; ///< When to come back, if not run.
  bool Moved = false;     ///< Another sender should be asked at once.
  bool Leaving = false;   ///< This sender takes no more jobs.
  SenderLoad Load;
};

// Effects.

/// Answer the entry that handed over a job.
struct AnswerJob {
  RequestId Request;
  JobResult Result;
};

// Events.

/// An entry hands over a job.
struct JobArrived {
  RequestId Request;
  JobOrder Order;
};

/// The connection on which a job came has closed.
struct JobAbandoned {
  RequestId Request;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_SENDER_TYPE_H
