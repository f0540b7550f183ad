/// \file Everything that the reducer can ask the process to do.
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

/// Answer `POST /v1/tickets`; no tickets means that none are issued.
struct ReplyTickets {
  RequestId Request;
  std::vector<std::string> Tickets;
};

/// Answer a request on a job.
struct ReplyToCaller {
  RequestId Request;
  StoredAnswerPtr Answer;
};

/// Pass a job request on to its home.
struct ForwardRequest {
  RequestId Request;
  Address Home;
  JobVerb Verb;
  std::string TicketText;
  std::string Body;
  bool Wait = true;
};

/// Send a task to an upstream.
struct StartTask {
  AttemptId Attempt;
  TaskKey Key;
  Address Upstream;
  TaskSpecPtr Spec;
  SteadyTime StartBefore; ///< Checked again right before sending.
  Duration Timeout{};
};

/// Query the status of an upstream.
struct PollStatus {
  Address Upstream;
};

/// Send a handover.
struct SendHandover {
  Address Endpoint;
  HandoverMessage Message;
};

/// Answer a handover.
struct ReplyHandover {
  RequestId Request;
  HandoverReply Reply;
};

/// Send results to a home.
struct SendReport {
  Address Endpoint;
  ReportMessage Message;
};

/// Answer a report.
struct ReplyReport {
  RequestId Request;
  bool WrongIncarnation = false;
  LoadReport Load;
};

/// Take tasks back from a receiver.
struct SendRevoke {
  Address Endpoint;
  RevokeMessage Message;
};

/// Answer a revoke.
struct ReplyRevoke {
  RequestId Request;
  RevokeReply Reply;
};

/// Send a heartbeat.
struct SendHeartbeat {
  Address Endpoint;
  Heartbeat Message;
};

/// Answer a heartbeat.
struct ReplyHeartbeat {
  RequestId Request;
  Heartbeat Message;
};

/// Fetch the configuration in force from a peer.
struct FetchConfiguration {
  Address Endpoint;
};

/// Answer a peer's fetch.
struct ReplyConfiguration {
  RequestId Request;
  Revision RevisionNumber;
  std::string Text;
};

/// Start or stop watching the configuration in the platform's service.
struct WatchConfiguration {
  bool Enabled = false;
  Revision From;
};

/// Hand retained answers to a peer.
struct SendAnswers {
  Address Endpoint;
  std::vector<AnswersReceived::RetainedAnswer> Answers;
  bool Last = false;
};

/// Answer a peer that hands over retained answers.
struct ReplyAnswers {
  RequestId Request;
  bool Accepted = true;
};

/// Record an event in the timeline.
struct RecordTimeline {
  TimelineKind Kind;
  std::string Job;
  std::string Task;
  std::string Detail;
};

/// End the process; all work is done.
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
