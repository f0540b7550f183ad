/// \file Effects: what the reducer requests from the process.
#ifndef SNIPESHUNT_REDUCER_EFFECT_TYPE_H
#define SNIPESHUNT_REDUCER_EFFECT_TYPE_H

#include "handover/handover_type.h"
#include "membership/member_type.h"
#include "reducer/event_type.h"
#include "timeline/timeline_type.h"

#include <string>
#include <variant>
#include <vector>

namespace snipeshunt {

/// Answer `POST /v1/tickets`. No tickets means that the instance is shutting
/// down.
struct ReplyTickets {
  RequestId Request;
  std::vector<std::string> Tickets;
};

/// Answer a caller's request on a job.
struct ReplyToCaller {
  RequestId Request;
  StoredAnswerPtr Answer;
};

/// Forward a request on a job to its home, or to the successor of a departed
/// home.
struct ForwardRequest {
  RequestId Request; ///< The caller's request.
  Address Home;      ///< Instance to forward to.
  JobVerb Verb;
  std::string TicketText;
  std::string Body;
  bool Wait = true; ///< Hold the answer until the job ends.
};

/// Send a task to an upstream; ends with `AttemptEnded`.
struct StartTask {
  AttemptId Attempt;
  TaskKey Key;
  Address Upstream;
  TaskSpecPtr Spec;
  SteadyTime StartBefore; ///< Not sent after this time.
  Duration Timeout{};     ///< Time limit of the run.
};

/// Query the status of an upstream; ends with `StatusRead`.
struct PollStatus {
  Address Upstream;
};

/// Hand tasks over to a receiver; ends with `HandoverAnswered`.
struct SendHandover {
  Address Endpoint;
  HandoverMessage Message;
};

/// Answer a handover.
struct ReplyHandover {
  RequestId Request;
  HandoverReply Reply;
};

/// Send results of handed-over tasks to their home; ends with `ReportAnswered`.
struct SendReport {
  Address Endpoint;
  ReportMessage Message;
};

/// Answer a report.
struct ReplyReport {
  RequestId Request;
  bool WrongIncarnation = false; ///< The report is for an earlier process.
  LoadReport Load;               ///< Of this instance.
};

/// Take tasks back from a receiver; ends with `RevokeAnswered`.
struct SendRevoke {
  Address Endpoint;
  RevokeMessage Message;
};

/// Answer a revoke.
struct ReplyRevoke {
  RequestId Request;
  RevokeReply Reply;
};

/// Send a heartbeat; ends with `HeartbeatAnswered`.
struct SendHeartbeat {
  Address Endpoint;
  Heartbeat Message;
};

/// Answer a heartbeat with this instance's own.
struct ReplyHeartbeat {
  RequestId Request;
  Heartbeat Message;
};

/// Fetch the configuration in force from a peer; ends with
/// `ConfigurationReceived`, or without an event if no document comes.
struct FetchConfiguration {
  Address Endpoint;
};

/// Answer a peer's fetch of the configuration.
struct ReplyConfiguration {
  RequestId Request;
  Revision RevisionNumber; ///< In force; 0 if there is none.
  std::string Text;        ///< The document as it was received.
};

/// Start or stop watching the configuration in the platform's service. Changes
/// arrive as `ConfigurationReceived`.
struct WatchConfiguration {
  bool Enabled = false;
  Revision From; ///< Revision in force at the start.
};

/// Transfer a chunk of the retained answers to the successor; ends with
/// `AnswerTransferEnded`.
struct SendAnswers {
  Address Endpoint;
  std::vector<AnswersReceived::RetainedAnswer> Answers;
  bool Last = false; ///< No further chunk follows.
};

/// Answer a peer that transfers retained answers.
struct ReplyAnswers {
  RequestId Request;
  bool Accepted = true;
};

/// Record an event in the timeline. Fields that don't apply are empty.
struct RecordTimeline {
  TimelineKind Kind;
  std::string Job;
  std::string Task;
  std::string Detail;
};

/// End the process; the shutdown is complete.
struct ExitProcess {};

using Effect = std::variant<ReplyTickets, ReplyToCaller, ForwardRequest,
                            StartTask, PollStatus, SendHandover, ReplyHandover,
                            SendReport, ReplyReport, SendRevoke, ReplyRevoke,
                            SendHeartbeat, ReplyHeartbeat, FetchConfiguration,
                            ReplyConfiguration, WatchConfiguration, SendAnswers,
                            ReplyAnswers, RecordTimeline, ExitProcess>;

using EffectList = std::vector<Effect>;

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_EFFECT_TYPE_H
