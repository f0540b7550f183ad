/// \file The whole state of one instance.
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

/// Counts that `/metrics` shows; derived values are computed when asked for.
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

/// A caller's request that was passed on to its home.
struct ForwardedRequest {
  Address Home;
  IncarnationId Incarnation;
  std::string TicketText;
};

/// Progress of a graceful shutdown.
struct DrainState {
  SteadyTime Started;
  std::optional<IncarnationId> Successor; ///< Chosen receiver of the answers.
  Address SuccessorEndpoint;
  size_t AnswersAccepted = 0; ///< Entries that the heir has accepted.
  bool SendPending = false;   ///< A part is under way.
  size_t ChunkSize = 0;       ///< Entries of the part under way.
  SteadyTime LeftAt{};        ///< When `Left` was announced.
};

/// State that only the reducer changes.
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
  bool WatchesConfiguration =
      false; ///< Watches the configuration for its centre.
  std::unordered_map<RequestId, ForwardedRequest> Forwards;
  std::optional<DrainState> Drain;
  Counters Counts;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_REDUCER_STATE_BASE_H
