/// \file Everything that can happen to an instance.
#ifndef SNIPESHUNT_REDUCER_EVENT_TYPE_H
#define SNIPESHUNT_REDUCER_EVENT_TYPE_H

#include "core/clock.h"
#include "core/error_type.h"
#include "handover/handover_type.h"
#include "jobs/job_type.h"
#include "membership/member_type.h"
#include "upstreams/upstream_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipeshunt {

/// Periodic wake-up.
struct Tick {};

/// `POST /v1/tickets`.
struct TicketsRequested {
  RequestId Request;
  uint32_t Count = 1;
};

/// What a caller asks about a job.
enum class JobVerb { Submit, Query, Cancel };

/// A request on `/v1/jobs/{ticket}`.
struct JobRequested {
  RequestId Request;
  JobVerb Verb = JobVerb::Submit;
  std::string TicketText;
  std::string Body;
  uint64_t BodyHash = 0;
  bool Forwarded = false; ///< Another instance passed it on.
  bool Wait = true;       ///< Hold the answer until the job ends.
};

/// A caller hung up before its answer.
struct CallerDisconnected {
  RequestId Request;
};

/// The home answered a forwarded request, or did not.
struct ForwardEnded {
  RequestId Request;
  std::optional<StoredAnswer> Answer; ///< Absent when none came.
};

/// An attempt to start a task ended.
struct AttemptEnded {
  AttemptId Attempt;
  AttemptResult Result;
};

/// `GET /v1/status` of an upstream was answered, or not.
struct StatusRead {
  Address Upstream;
  std::optional<UpstreamStatus> Status;
};

/// The platform's list was read.
struct PlatformListRead {
  std::vector<MemberAddress> Instances;
  std::vector<Address> LeavingInstances;
  std::vector<ListedUpstream> Upstreams;
};

/// A handover came in.
struct HandoverReceived {
  RequestId Request;
  HandoverMessage Message;
};

/// A handover was answered; no reply means that its fate is open.
struct HandoverAnswered {
  IncarnationId Receiver;
  HandoverSequence Sequence;
  std::optional<HandoverReply> Reply;
  bool NothingSent = false;
};

/// Results of handed-over tasks came in.
struct ReportReceived {
  RequestId Request;
  ReportMessage Message;
};

/// A report was acknowledged, or not.
struct ReportAnswered {
  IncarnationId Home;
  bool Acknowledged = false;
  bool WrongIncarnation = false;
  std::optional<LoadReport> Load;
};

/// A revoke came in.
struct RevokeReceived {
  RequestId Request;
  RevokeMessage Message;
};

/// A revoke was answered, or not.
struct RevokeAnswered {
  IncarnationId Receiver;
  HandoverSequence Sequence;
  std::optional<RevokeReply> Reply;
};

/// A heartbeat came in; it is answered with this instance's own.
struct HeartbeatReceived {
  RequestId Request;
  Heartbeat Message;
};

/// A heartbeat was answered, or not.
struct HeartbeatAnswered {
  Address Endpoint;
  std::optional<Heartbeat> Reply;
};

/// A configuration document came from the platform or from a peer.
struct ConfigurationReceived {
  Revision RevisionNumber;
  std::string Text;
};

/// Whether the platform's service answers this instance has changed.
struct PlatformReachabilityObserved {
  bool Reachable = true;
};

/// A peer asks for the document in force.
struct ConfigurationRequested {
  RequestId Request;
};

/// A departing instance hands over retained answers.
struct AnswersReceived {
  RequestId Request;
  IncarnationId From;
  struct RetainedAnswer {
    IncarnationId Home; ///< Issued the ticket; not `From` if inherited by it.
    TicketSequence Sequence;
    uint64_t BodyHash = 0;
    std::chrono::milliseconds ExpiresIn{0};
    StoredAnswer Answer;
  };
  std::vector<RetainedAnswer> Answers;
  bool Last = false; ///< The table is whole.
};

/// A peer took a part of the retained answers, or did not.
struct AnswerTransferEnded {
  bool Accepted = false;
};

/// An operator or a signal asks for a graceful shutdown.
struct DrainRequested {};

using EventBody =
    std::variant<Tick, TicketsRequested, JobRequested, CallerDisconnected,
                 ForwardEnded, AttemptEnded, StatusRead, PlatformListRead,
                 HandoverReceived, HandoverAnswered, ReportReceived,
                 ReportAnswered, RevokeReceived, RevokeAnswered,
                 HeartbeatReceived, HeartbeatAnswered, ConfigurationReceived,
                 PlatformReachabilityObserved, ConfigurationRequested,
                 AnswersReceived, AnswerTransferEnded, DrainRequested>;

/// An event with the time and the randomness that its handling may use.
struct Event {
  SteadyTime Now;
  uint64_t Seed = 0;
  EventBody Body;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_EVENT_TYPE_H
