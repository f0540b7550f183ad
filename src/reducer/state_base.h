/// \file State of one instance.
#ifndef SNIPESHUNT_REDUCER_STATE_BASE_H
#define SNIPESHUNT_REDUCER_STATE_BASE_H

#include "configuration/configuration_base.h"
#include "handover/handover_base.h"
#include "jobs/job_base.h"
#include "membership/member_base.h"
#include "reducer/policy_type.h"
#include "scheduling/queue_base.h"
#include "settings/settings_type.h"
#include "upstreams/upstream_base.h"

#include <unordered_map>

namespace snipeshunt {

/// Counters for `/metrics`, all since the start of the process.
struct Counters {
  uint64_t JobsSubmitted = 0;
  uint64_t JobsRejected = 0;
  uint64_t JobsCompleted = 0;
  uint64_t JobsFailed = 0;
  uint64_t JobsForwarded = 0;
  uint64_t TasksStarted = 0;
  uint64_t TasksFinished = 0;
  uint64_t TasksNotRun = 0;
  uint64_t TasksUnknown = 0;
  uint64_t TasksHandedOver = 0;
  uint64_t HandoverMessages = 0;
  uint64_t ReportMessages = 0;
  uint64_t Retries = 0;
};

/// A caller's request that was forwarded and has no answer yet.
struct ForwardedRequest {
  Address Home;              ///< Instance that it was forwarded to.
  IncarnationId Incarnation; ///< Process that is expected there.
  std::string TicketText;
};

/// Progress of a graceful shutdown.
struct DrainState {
  SteadyTime Started; ///< When the shutdown was requested.
  /// Instance that receives the retained answers; set with the first chunk.
  std::optional<IncarnationId> Successor;
  Address SuccessorEndpoint;
  size_t AnswersAccepted = 0; ///< Answers that the successor has accepted.
  bool SendPending = false;   ///< A chunk has no reply yet.
  size_t ChunkSize = 0;       ///< Answers in that chunk.
  SteadyTime LeftAt{};        ///< When `Left` was announced; 0 before.
};

/// The whole state of an instance; only the reducer changes it.
struct InstanceState {
  DaemonSettings Settings;
  PolicyOptions Policy;      ///< Scheduling rules, replaceable for baselines.
  IncarnationId Incarnation; ///< Of this process.
  JobTable Jobs;
  WaitingQueue Queue;
  RuntimeEstimates Estimates;
  UpstreamTable Upstreams;
  HandoverTable Handovers;
  Roster Members;
  ConfigurationState Configuration;
  bool WatchesConfiguration = false; ///< Watches it for its data centre.
  std::unordered_map<RequestId, ForwardedRequest> Forwards;
  std::optional<DrainState> Drain; ///< Set once a shutdown has started.
  Counters Counts;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_STATE_BASE_H
