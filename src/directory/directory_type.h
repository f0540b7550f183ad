/// \file What the platform's store holds for a fleet of cells: the operators'
/// configuration, the upstreams and the instances.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_TYPE_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_TYPE_H

#include "orders/order_type.h"

#include <string>
#include <vector>

namespace snipeshunt {

/// Revision of the whole store; rises with each change.
using StoreRevision = StrongId<struct StoreRevisionTag>;
/// Lease in the store; keys under it vanish with it.
using StoreLease = StrongId<struct StoreLeaseTag>;

/// Parts of the store that an instance reads.
enum class StoreCollection { Configuration, Upstreams, Instances };
constexpr size_t CollectionCount = 3;

/// A queue of the operators' configuration.
struct Route {
  std::string Name;
  std::string Host;   ///< Host header of its requests.
  std::string Prefix; ///< Start of the path of its requests.
  ServiceName Service;
  int32_t Priority = 0;     ///< 0 goes first.
  uint32_t MaxAttempts = 1; ///< Runs of one task that may fail.
  /// The objective is this many times the longest task, and `Slack` more.
  double Stretch = 1;
  Duration Slack{0};
};

/// The operators' configuration.
struct FleetConfiguration {
  uint64_t Version = 0;
  std::vector<Route> Routes;
};

/// An instance as it registers itself.
struct InstanceRecord {
  Address Endpoint; ///< Where other instances reach it.
  DataCentre Centre;
  double Weight = 0; ///< Share of a core that it has.
};

// Effects.

/// Read a whole collection.
struct ReadCollection {
  StoreCollection Collection = StoreCollection::Configuration;
  bool AllowStale = false; ///< An answer that is seconds old will do.
  uint64_t Sequence = 0;
};

/// Wait for a change in a collection.
struct WatchCollection {
  StoreCollection Collection = StoreCollection::Configuration;
  StoreRevision AfterRevision;
  std::chrono::milliseconds Wait{0};
  uint64_t Sequence = 0;
};

/// Take a lease for this instance's entry.
struct AcquireLease {
  std::chrono::milliseconds Lifetime{0};
};

/// Write this instance's entry under a lease.
struct PublishInstance {
  InstanceRecord Record;
  StoreLease Lease;
};

/// Prolong the lease of this instance's entry.
struct RenewLease {
  StoreLease Lease;
};

/// Give up the lease; the entry vanishes.
struct EndLease {
  StoreLease Lease;
};

/// Ask a peer for what it has read, while the store does not answer.
struct FetchSnapshot {
  Address Endpoint;
};

// Events.

/// What a peer has read from the store.
struct SnapshotFetched {
  std::optional<FleetConfiguration> Configuration;
  std::vector<UpstreamRecord> Upstreams;
};

/// How a call to the store ended.
enum class StoreStatus {
  Done,
  Gone,      ///< The history or the lease is no longer there.
  Throttled, ///< Too many calls; nothing was done.
  Failed,    ///< No answer or a failure; a write may have been done.
};

/// A collection was read, or not. Only the member for the collection is set.
struct CollectionReadAnswered {
  StoreCollection Collection = StoreCollection::Configuration;
  uint64_t Sequence = 0;
  StoreStatus Status = StoreStatus::Failed;
  StoreRevision Revision;
  std::optional<FleetConfiguration> Configuration;
  std::vector<UpstreamRecord> Upstreams;
  std::vector<InstanceRecord> Instances;
  size_t UnreadableRecords = 0; ///< Entries that were left out.
};

/// A watch returned.
struct WatchAnswered {
  StoreCollection Collection = StoreCollection::Configuration;
  uint64_t Sequence = 0;
  StoreStatus Status = StoreStatus::Failed;
  StoreRevision Revision;
  bool Changed = false;
  /// The newest configuration among the changes.
  std::optional<FleetConfiguration> Configuration;
};

/// A lease was granted, or not.
struct LeaseAnswered {
  StoreStatus Status = StoreStatus::Failed;
  StoreLease Lease;
};

/// The entry was written, or not.
struct PublishAnswered {
  StoreStatus Status = StoreStatus::Failed;
};

/// The lease was prolonged, or not.
struct LeaseRenewalAnswered {
  StoreStatus Status = StoreStatus::Failed;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_DIRECTORY_TYPE_H
