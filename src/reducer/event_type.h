/// \file Events: the inputs of the reducer.
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

/// Periodic wake-up, on which all time limits are checked.
struct Tick {};

/// `POST /v1/tickets`.
struct TicketsRequested {
  RequestId Request;
  uint32_t Count = 1;
};

/// Operation that a caller requests on a job.
enum class JobVerb { Submit, Query, Cancel };

/// A request on `/v1/jobs/{ticket}`.
struct JobRequested {
  RequestId Request;
  JobVerb Verb = JobVerb::Submit;
  std::string TicketText;
  std::string Body;
  uint64_t BodyHash = 0;  ///< XXH64 of `Body`.
  bool Forwarded = false; ///< Another instance has forwarded it.
  bool Wait = true;       ///< Hold the answer until the job ends.
};

/// A caller disconnected before its answer was sent.
struct CallerDisconnected {
  RequestId Request;
};

/// A forwarded request was answered, or failed without an answer.
struct ForwardEnded {
  RequestId Request;
  std::optional<StoredAnswer> Answer; ///< Absent if none came.
};

/// An attempt to start a task ended.
struct AttemptEnded {
  AttemptId Attempt;
  AttemptResult Result;
};

/// `GET /v1/status` of an upstream was answered, or failed.
struct StatusRead {
  Address Upstream;
  std::optional<UpstreamStatus> Status;
};

/// The platform's list was read.
struct PlatformListRead {
  std::vector<MemberAddress> Instances;  ///< Without those that are leaving.
  std::vector<Address> LeavingInstances; ///< The reducer ignores these.
  std::vector<ListedUpstream> Upstreams;
};

/// A peer hands tasks over to this instance.
struct HandoverReceived {
  RequestId Request;
  HandoverMessage Message;
};

/// A handover was answered. Without a reply it may have arrived or not.
struct HandoverAnswered {
  IncarnationId Receiver;
  HandoverSequence Sequence;
  std::optional<HandoverReply> Reply;
  bool NothingSent = false; ///< Nothing of it has been sent.
};

/// A receiver reports results of tasks that this home has handed over.
struct ReportReceived {
  RequestId Request;
  ReportMessage Message;
};

/// A report to a home was answered, or failed.
struct ReportAnswered {
  IncarnationId Home;
  bool Acknowledged = false; ///< A reply came.
  /// Another process runs at the home's address.
  bool WrongIncarnation = false;
  std::optional<LoadReport> Load; ///< Of the home, if it replied.
};

/// A home takes tasks back that it has handed over.
struct RevokeReceived {
  RequestId Request;
  RevokeMessage Message;
};

/// A revoke was answered, or failed without a reply.
struct RevokeAnswered {
  IncarnationId Receiver;
  HandoverSequence Sequence;
  std::optional<RevokeReply> Reply;
};

/// A peer has sent a heartbeat; the reply is this instance's own.
struct HeartbeatReceived {
  RequestId Request;
  Heartbeat Message;
};

/// A heartbeat was answered, or failed without a reply.
struct HeartbeatAnswered {
  Address Endpoint;
  std::optional<Heartbeat> Reply;
};

/// A configuration document was received from the platform's service or from a
/// peer. It may be older than the one in force.
struct ConfigurationReceived {
  Revision RevisionNumber;
  std::string Text;
};

/// The platform's service answers this instance, or has stopped answering.
struct PlatformReachabilityObserved {
  bool Reachable = true;
};

/// A peer fetches the configuration in force.
struct ConfigurationRequested {
  RequestId Request;
};

/// A departing instance transfers retained answers to this one.
struct AnswersReceived {
  RequestId Request;
  IncarnationId From; ///< The departing instance.
  struct RetainedAnswer {
    IncarnationId Home; ///< Issued the ticket; not `From` if imported there.
    TicketSequence Sequence;
    uint64_t BodyHash = 0;
    std::chrono::milliseconds ExpiresIn{0}; ///< Remaining time of retention.
    StoredAnswer Answer; ///< With an empty body if it was evicted.
  };
  std::vector<RetainedAnswer> Answers;
  bool Last = false; ///< No further chunk follows.
};

/// The successor replied to a chunk of retained answers, or did not reply.
struct AnswerTransferEnded {
  bool Accepted = false;
};

/// An operator or a signal requests a graceful shutdown.
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
  uint64_t Seed = 0; ///< Source of all random choices.
  EventBody Body;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_EVENT_TYPE_H
