/// \file Orders to upstreams that start tasks now and report their ends later.
#ifndef SNIPESHUNT_ORDERS_ORDER_TYPE_H
#define SNIPESHUNT_ORDERS_ORDER_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"
#include "core/resources_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Name under which an upstream registers; a restart may reuse it.
using UpstreamId = StrongId<struct UpstreamTag, std::string>;
/// Id of a job, chosen by its caller.
using JobId = StrongId<struct JobIdTag, std::string>;
/// Name of a service, the group of upstreams that run a route's tasks.
using ServiceName = StrongId<struct ServiceTag, std::string>;
/// Number that rises with each change of an upstream's sender. An upstream
/// ignores orders with a lower number than the highest that it has seen.
using FencingToken = StrongId<struct FencingTag>;

/// One start of one task.
struct RunKey {
  JobId Job;
  uint32_t Step = 0;  ///< Step of the job.
  uint32_t Index = 0; ///< Position in the step.
  uint32_t Run = 0;   ///< Counts the starts of the task, from 1.

  friend bool operator<(const RunKey &L, const RunKey &R) {
    return std::tie(L.Job, L.Step, L.Index, L.Run) <
           std::tie(R.Job, R.Step, R.Index, R.Run);
  }
  friend bool operator==(const RunKey &L, const RunKey &R) {
    return L.Job == R.Job && L.Step == R.Step && L.Index == R.Index &&
           L.Run == R.Run;
  }
};

/// `job/step/index#run`, for logs.
inline std::string runText(const RunKey &Key) {
  return Key.Job.Value + "/" + std::to_string(Key.Step) + "/" +
         std::to_string(Key.Index) + "#" + std::to_string(Key.Run);
}

/// An upstream as it registers itself.
struct UpstreamRecord {
  UpstreamId Id;
  Address Endpoint;
  DataCentre Centre;
  ServiceName Service;
  Resources Capacity;
  std::string Kind; ///< Upstreams of a kind are alike in speed.
  std::string Rack;
  bool Draining = false; ///< It is about to leave.
  int64_t StartedAt = 0; ///< Start of the process, Unix milliseconds.
};

/// How a run ended, as its upstream says.
enum class RunEnd {
  Done,    ///< The task succeeded.
  Failed,  ///< The task or the upstream failed.
  Stopped, ///< By order.
  Lapsed,  ///< The lease ran out.
  Broken,  ///< Another member of its gang ended, or none came.
};

/// Name of \p Outcome, for logs.
inline const char *runEndName(RunEnd Outcome) {
  switch (Outcome) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lapsed:
    return "lapsed";
  case RunEnd::Broken:
    return "broken";
  }
  return "";
}

/// A run that an upstream reports as running.
struct RunningReport {
  RunKey Key;
  int32_t Percent = 0; ///< Share of the work that is done.
};

/// The end of a run in an upstream's list of ends.
struct EndReport {
  uint64_t Number = 0; ///< Position in the list.
  RunKey Key;
  RunEnd Outcome = RunEnd::Failed;
};

/// An upstream's answer to a lease renewal.
struct UpstreamReport {
  int64_t ClockMs = 0;   ///< The upstream's own clock.
  int64_t StartedAt = 0; ///< Start of the process, Unix milliseconds.
  std::vector<RunningReport> Running;
  std::vector<EndReport> Ended; ///< Ends that were not acknowledged.
  uint64_t LastNumber = 0;      ///< Highest number among all ends.
};

/// How an order was answered.
enum class OrderStatus {
  Accepted,     ///< Carried out, now or before.
  NoRoom,       ///< The upstream is full; nothing was started.
  Fenced,       ///< A newer sender has given orders.
  Outdated,     ///< The run is not newer than one that ended or was stopped.
  TooLate,      ///< The deadline had passed on the upstream's clock.
  Unhealthy,    ///< The upstream is unhealthy; nothing was started.
  OtherProcess, ///< Another process has the upstream's address now.
  Rejected,     ///< The order itself is not acceptable.
  NothingSent,  ///< No byte of the order has left this process.
  Unknown,      ///< No answer; the order may be carried out yet.
};

/// Name of \p Status, for logs.
inline const char *orderStatusName(OrderStatus Status) {
  switch (Status) {
  case OrderStatus::Accepted:
    return "accepted";
  case OrderStatus::NoRoom:
    return "no_room";
  case OrderStatus::Fenced:
    return "fenced";
  case OrderStatus::Outdated:
    return "outdated";
  case OrderStatus::TooLate:
    return "too_late";
  case OrderStatus::Unhealthy:
    return "unhealthy";
  case OrderStatus::OtherProcess:
    return "other_process";
  case OrderStatus::Rejected:
    return "rejected";
  case OrderStatus::NothingSent:
    return "nothing_sent";
  case OrderStatus::Unknown:
    return "no_answer";
  }
  return "";
}

// Effects.

/// Order an upstream to start a run.
struct StartRun {
  UpstreamId Upstream;
  Address Endpoint;
  FencingToken Token;
  RunKey Key;
  std::string Spec; ///< Opaque to the dispatcher.
  int64_t LeaseDeadlineMs =
      0; ///< End of the lease on the upstream's clock, ms.
};

/// Order an upstream to stop a run.
struct StopRun {
  UpstreamId Upstream;
  Address Endpoint;
  FencingToken Token;
  RunKey Key;
};

/// Renew the lease of an upstream and read its lists.
struct RenewUpstream {
  UpstreamId Upstream;
  Address Endpoint;
  FencingToken Token;
  uint64_t AcknowledgeUpTo = 0;           ///< Ends that may be forgotten.
  std::optional<int64_t> LeaseDeadlineMs; ///< New end of the lease, if renewed.
  std::chrono::milliseconds Wait{0};      ///< Wait for an end this long.
  uint64_t Sequence = 0;                  ///< Comes back with the answer.
};

// Events.

/// A start was answered, or not.
struct StartAnswered {
  UpstreamId Upstream;
  FencingToken Token;
  RunKey Key;
  OrderStatus Status = OrderStatus::Unknown;
  std::optional<int64_t> ClockMs;
};

/// A stop was answered, or not.
struct StopAnswered {
  UpstreamId Upstream;
  FencingToken Token;
  RunKey Key;
  OrderStatus Status = OrderStatus::Unknown;
};

/// A renewal was answered, or not.
struct RenewalAnswered {
  UpstreamId Upstream;
  FencingToken Token;
  uint64_t Sequence = 0;
  OrderStatus Status = OrderStatus::Unknown;
  std::optional<UpstreamReport> Report; ///< Present when accepted.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_ORDERS_ORDER_TYPE_H
