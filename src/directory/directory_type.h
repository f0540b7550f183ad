/// \file Contents of the platform's store for a fleet of cells: the operators'
/// configuration, the upstreams and the instances.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_TYPE_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_TYPE_H

#include "orders/order_type.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipeshunt {

/// Revision of the store as a whole; rises with each change.
using StoreRevision = StrongId<struct StoreRevisionTag>;
/// Lease in the store; the store deletes keys under it when it ends.
using StoreLease = StrongId<struct StoreLeaseTag>;

/// Collections in the store that an instance reads.
enum class StoreCollection { Configuration, Upstreams, Instances, Evacuations };
constexpr size_t CollectionCount = 4;

/// The evacuated data centres, as the store has them at a revision.
struct EvacuationSet {
  std::set<DataCentre> Centres;
  StoreRevision Revision;
};

/// Begin or end of the evacuation of a data centre.
struct EvacuationChange {
  DataCentre Centre;
  bool Ended = false;
};

/// A queue of the operators' configuration, and the requests that it takes.
struct Route {
  std::string Name;         ///< Name of the queue.
  std::string Host;         ///< Host header of its requests.
  std::string Prefix;       ///< Start of the path of its requests.
  ServiceName Service;      ///< Runs its tasks.
  int32_t Priority = 0;     ///< 0 is the highest; see `QueueShares`.
  uint32_t MaxAttempts = 1; ///< Failures of one task that fail the job.
  /// The objective of a job is `Stretch` times the run time of its longest
  /// task, plus `Slack`.
  double Stretch = 1;
  Duration Slack{0};
};

/// Limits inside which clients are served. The defaults are those of the
/// platform's documentation.
struct ClientLimits {
  size_t MaxHeaderBytes = 16384;
  size_t MaxBodyBytes = 262144;
  /// From the first byte of a request to the end of its header.
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};

  bool operator==(const ClientLimits &Other) const {
    return MaxHeaderBytes == Other.MaxHeaderBytes &&
           MaxBodyBytes == Other.MaxBodyBytes &&
           HeaderTimeout == Other.HeaderTimeout &&
           IdleTimeout == Other.IdleTimeout;
  }
};

/// The operators' configuration. `Version` rises with each change.
struct FleetConfiguration {
  uint64_t Version = 0;
  std::vector<Route> Routes;
  /// Unset in a peer's copy: instances of earlier versions reject a snapshot
  /// with further fields.
  std::optional<ClientLimits> Limits;
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
  /// The open connections to the store may have fallen silent.
  bool OnNewConnection = false;
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
  bool WantsEvacuation = false; ///< See `PeerPing::WantsEvacuation`.
};

// Events.

/// A peer's copy of the store's contents was received.
struct SnapshotFetched {
  std::optional<FleetConfiguration> Configuration;
  std::vector<UpstreamRecord> Upstreams;
  std::optional<EvacuationSet> Evacuation; ///< Absent if the peer has none.
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
  std::set<DataCentre> Evacuated;
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
  std::vector<EvacuationChange> Evacuations; ///< In the order of the changes.
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
