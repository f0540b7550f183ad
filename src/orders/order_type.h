/// \file Orders to upstreams that start a task at once and report its end in
/// the answer to a later lease renewal.
#ifndef SNIPESHUNT_ORDERS_ORDER_TYPE_H
#define SNIPESHUNT_ORDERS_ORDER_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"
#include "core/resources_type.h"
#include "core/shared_text.h"

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
/// Fencing token: rises with each change of an upstream's sender. An upstream
/// rejects orders whose token is lower than the highest that it has received.
using FencingToken = StrongId<struct FencingTag>;

/// Identifies a run: one start of one task.
struct RunKey {
  JobId Job;
  uint32_t Step = 0;  ///< Step of the job, from 0.
  uint32_t Index = 0; ///< Task of the step, from 0.
  uint32_t Run = 0;   ///< Number of the start of the task, from 1.

  friend bool operator<(const RunKey &L, const RunKey &R) {
    return std::tie(L.Job, L.Step, L.Index, L.Run) <
           std::tie(R.Job, R.Step, R.Index, R.Run);
  }
  friend bool operator==(const RunKey &L, const RunKey &R) {
    return L.Job == R.Job && L.Step == R.Step && L.Index == R.Index &&
           L.Run == R.Run;
  }
};

/// Returns `job/step/index#run`, for logs.
inline std::string runText(const RunKey &Key) {
  return Key.Job.Value + "/" + std::to_string(Key.Step) + "/" +
         std::to_string(Key.Index) + "#" + std::to_string(Key.Run);
}

/// An upstream's record in the store, written by the upstream itself.
struct UpstreamRecord {
  UpstreamId Id;
  Address Endpoint; ///< Where it accepts orders.
  DataCentre Centre;
  ServiceName Service;
  Resources Capacity; ///< In total, for all its runs.
  std::string Kind;   ///< Upstreams of a kind are alike in speed.
  std::string Rack;
  bool Draining = false; ///< It is leaving and must get no more starts.
  int64_t StartedAt = 0; ///< Start of the process, Unix ms; 0 if unknown.
};

/// How a run ended, as its upstream reports it.
enum class RunEnd {
  Done,    ///< The task succeeded.
  Failed,  ///< The task or the upstream failed.
  Stopped, ///< A sender ordered it to stop.
  Lapsed,  ///< Its lease expired.
  Broken,  ///< Another member of its gang ended, or none started.
};

/// Returns the name of \p Outcome, for logs.
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
  int32_t Percent = 0; ///< Progress, 0 to 100.
};

/// A record in an upstream's list of ended runs.
struct EndReport {
  uint64_t Number = 0; ///< Sequence number in the list; rises.
  RunKey Key;
  RunEnd Outcome = RunEnd::Failed;
};

/// An upstream's state, reported in answer to a lease renewal.
struct UpstreamReport {
  int64_t ClockMs = 0;   ///< The upstream's own clock, in milliseconds.
  int64_t StartedAt = 0; ///< Start of the process, Unix ms; 0 if unknown.
  std::vector<RunningReport> Running;
  std::vector<EndReport> Ended; ///< Ends that are not acknowledged yet.
  uint64_t LastNumber = 0;      ///< Highest sequence number of an end so far.
};

/// Outcome of an order.
enum class OrderStatus {
  Accepted,     ///< Carried out, now or before.
  NoRoom,       ///< The upstream is full; nothing was started.
  Fenced,       ///< A newer sender has fenced this one off.
  Outdated,     ///< The run has ended or was stopped, or a later one has.
  TooLate,      ///< The lease had ended already on the upstream's clock.
  Unhealthy,    ///< The upstream is unhealthy; nothing was started.
  OtherProcess, ///< Another process has the upstream's address now.
  Rejected,     ///< The order is invalid, or rejected for another reason.
  NothingSent,  ///< No byte of the order has left this process.
  Refused,      ///< As `NothingSent`: no process accepts connections there.
  Unknown,      ///< No usable answer; the order may still be carried out.
};

/// Returns the name of \p Status, for logs.
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
  case OrderStatus::Refused:
    return "refused";
  case OrderStatus::Unknown:
    return "no_answer";
  }
  return "";
}

// Effects.

/// Names the only process of an upstream that may receive an order or an
/// acknowledgement. The order goes over a connection that was open by
/// `KnownAt`, which leads to that process or to none, or over one on which the
/// process has just reported its start. If another process reports, an order is
/// not sent; an acknowledgement is left out of its renewal.
struct ProcessCondition {
  int64_t StartedAt = 0; ///< Start of the process, Unix ms.
  SteadyTime KnownAt{};  ///< When the process was last known to be there.
};

/// Order an upstream to start a run under a lease.
struct StartRun {
  UpstreamId Upstream;
  Address Endpoint;
  FencingToken Token;
  RunKey Key;
  SharedText Spec;             ///< Opaque to the dispatcher.
  int64_t LeaseDeadlineMs = 0; ///< End of the lease, on the upstream's clock.
  /// Which process may receive the order; any if it is unset.
  std::optional<ProcessCondition> OnlyTo;
};

/// Order an upstream to stop a run.
struct StopRun {
  UpstreamId Upstream;
  Address Endpoint;
  FencingToken Token;
  RunKey Key;
};

/// Read the lists of an upstream, acknowledge ends and renew the lease of its
/// runs.
struct RenewUpstream {
  UpstreamId Upstream;
  Address Endpoint;
  FencingToken Token;
  uint64_t AcknowledgeUpTo = 0; ///< Number up to which ends were applied.
  /// The process whose ends are acknowledged; any if it is unset. Over other
  /// connections nothing is acknowledged: the numbers of ends start anew with
  /// each process, and the next one would forget ends that nobody has read.
  std::optional<ProcessCondition> AcknowledgeOnlyTo;
  /// As in `StartRun`; the lease is not renewed if it is unset.
  std::optional<int64_t> LeaseDeadlineMs;
  /// The upstream waits for an end this long before it answers.
  std::chrono::milliseconds Wait{0};
  uint64_t Sequence = 0; ///< Returned with the answer.
};

// Events.

/// A start was answered, or has failed.
struct StartAnswered {
  UpstreamId Upstream;
  FencingToken Token;
  RunKey Key;
  OrderStatus Status = OrderStatus::Unknown;
  std::optional<int64_t> ClockMs; ///< The upstream's clock, if answered.
  /// Start of the process that answered in place of the one that the order
  /// was for, Unix ms. The order was not sent.
  std::optional<int64_t> OtherStartedAt;
};

/// A stop was answered, or has failed.
struct StopAnswered {
  UpstreamId Upstream;
  FencingToken Token;
  RunKey Key;
  OrderStatus Status = OrderStatus::Unknown;
};

/// A renewal was answered, or has failed.
struct RenewalAnswered {
  UpstreamId Upstream;
  FencingToken Token;
  uint64_t Sequence = 0;
  OrderStatus Status = OrderStatus::Unknown;
  std::optional<UpstreamReport> Report; ///< Present when accepted.
  /// Number up to which the renewal has acknowledged ends; 0 if it was sent
  /// without an acknowledgement.
  uint64_t AcknowledgedUpTo = 0;
  /// Time for which the renewal waited at the upstream until that closed the
  /// connection without an answer; unset otherwise.
  std::optional<Duration> LostAfter;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_ORDERS_ORDER_TYPE_H
