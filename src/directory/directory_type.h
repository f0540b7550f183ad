/// \file Contents of the platform's store for a fleet of cells: the operators'
/// configuration, the upstreams and the instances.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_TYPE_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_TYPE_H

#include "orders/order_type.h"

#include <string>
#include <vector>

namespace snipeshunt {

/// Revision of the store as a whole; rises with each change.
using StoreRevision = StrongId<struct StoreRevisionTag>;
/// Lease in the store; the store deletes keys under it when it ends.
using StoreLease = StrongId<struct StoreLeaseTag>;

/// Collections in the store that an instance reads.
enum class StoreCollection { Configuration, Upstreams, Instances };
constexpr size_t CollectionCount = 3;

/// A queue of the operators' configuration, and the requests that it takes.
struct Route {
  std::string Name;         ///< Name of the queue.
  std::string Host;         ///< Host header of its requests.
  std::string Prefix;       ///< Start of the path of its requests.
  ServiceName Service;      ///< Runs its tasks.
  int32_t Priority = 0;     ///< 0 is the highest; see `RoomShares`.
  uint32_t MaxAttempts = 1; ///< Failures of one task that fail the job.
  /// The objective of a job is `Stretch` times the run time of its longest
  /// task, plus `Slack`.
  double Stretch = 1;
  Duration Slack{0};
};

/// The operators' configuration. `Version` rises with each change.
struct FleetConfiguration {
  uint64_t Version = 0;
  std::vector<Route> Routes;
};

/// An instance's record in the store, written by the instance itself.
struct InstanceRecord {
  Address Endpoint; ///< Where it accepts connections of other instances.
  DataCentre Centre;
  double Weight = 0; ///< Share of a core that the process has.
};

// Effects.

/// Read a whole collection.
struct ReadCollection {
  StoreCollection Collection = StoreCollection::Configuration;
  bool AllowStale = false; ///< The answer may be seconds old, which is cheaper.
  uint64_t Sequence = 0;   ///< Returned with the answer.
};

/// Wait for a change in a collection.
struct WatchCollection {
  StoreCollection Collection = StoreCollection::Configuration;
  StoreRevision AfterRevision;       ///< Only later changes count.
  std::chrono::milliseconds Wait{0}; ///< The store answers after this time.
  uint64_t Sequence = 0;             ///< Returned with the answer.
};

/// Acquire a lease for this instance's record.
struct AcquireLease {
  std::chrono::milliseconds Lifetime{0};
};

/// Write this instance's record under a lease.
struct PublishInstance {
  InstanceRecord Record;
  StoreLease Lease;
};

/// Renew the lease of this instance's record.
struct RenewLease {
  StoreLease Lease;
};

/// Release the lease, with which the store deletes this instance's record.
struct EndLease {
  StoreLease Lease;
};

/// Ask a peer for the configuration and the upstreams that it has read, while
/// the store does not answer.
struct FetchSnapshot {
  Address Endpoint;
};

// Events.

/// A peer's copy of the store's contents was received.
struct SnapshotFetched {
  std::optional<FleetConfiguration> Configuration;
  std::vector<UpstreamRecord> Upstreams;
};

/// Outcome of a call to the store.
enum class StoreStatus {
  Done,
  Gone,      ///< The store no longer has the history or the lease.
  Throttled, ///< Rejected by the store's rate limit; nothing was done.
  Failed,    ///< No answer, or an error; a write may have been done.
};

/// A read was answered, or has failed. Only the member for the collection is
/// set.
struct CollectionReadAnswered {
  StoreCollection Collection = StoreCollection::Configuration;
  uint64_t Sequence = 0;
  StoreStatus Status = StoreStatus::Failed;
  StoreRevision Revision; ///< Of the collection that was read.
  std::optional<FleetConfiguration> Configuration;
  std::vector<UpstreamRecord> Upstreams;
  std::vector<InstanceRecord> Instances;
  size_t UnreadableRecords = 0; ///< Invalid records, which were skipped.
};

/// A watch returned with changes or without, or has failed.
struct WatchAnswered {
  StoreCollection Collection = StoreCollection::Configuration;
  uint64_t Sequence = 0;
  StoreStatus Status = StoreStatus::Failed;
  StoreRevision Revision; ///< From which to watch next.
  bool Changed = false;   ///< At least one record has changed.
  /// The newest valid configuration among the changes.
  std::optional<FleetConfiguration> Configuration;
};

/// A lease was granted, or the call has failed.
struct LeaseAnswered {
  StoreStatus Status = StoreStatus::Failed;
  StoreLease Lease;
};

/// The record was written, or the call has failed.
struct PublishAnswered {
  StoreStatus Status = StoreStatus::Failed;
};

/// The lease was renewed, or the call has failed.
struct LeaseRenewalAnswered {
  StoreStatus Status = StoreStatus::Failed;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_DIRECTORY_TYPE_H
