/// \file State of reading the platform's store and of this instance's record in
/// it.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_BASE_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_BASE_H

#include "directory/directory_type.h"
#include "directory/evacuation_base.h"

#include <array>
#include <optional>

namespace snipeshunt {

/// What the reader of a collection does: wait until the next call is due, await
/// a read, or await a watch.
enum class CollectionReaderPhase { Idle, Reading, Watching };

/// Reader of one collection.
struct CollectionReader {
  CollectionReaderPhase Phase = CollectionReaderPhase::Idle;
  uint64_t Sequence = 0;  ///< Of the last call; answers to others are ignored.
  SteadyTime NextCall{};  ///< Earliest time of the next call, while idle.
  SteadyTime LastCall{};  ///< When the last call was sent.
  StoreRevision Revision; ///< Of the last answer.
  uint32_t Failures = 0;  ///< Consecutive calls that failed.
  uint32_t CompletedReads = 0;  ///< Reads that succeeded.
  size_t UnreadableRecords = 0; ///< In the last read that succeeded.
  bool ReadIsStale = false;     ///< The last read allowed a stale answer.
  /// A stale answer was older than the one before, so the next read must be
  /// current.
  bool NeedsCurrentRead = false;
};

/// Phase of the registration of this instance: it acquires a lease, publishes
/// its record under it, and renews the lease from time to time.
enum class RegistrationPhase {
  NoLease,
  Acquiring,
  Publishing,
  Registered,
  Renewing
};

/// Registration of this instance in the store.
struct Registration {
  RegistrationPhase Phase = RegistrationPhase::NoLease;
  StoreLease Lease;
  SteadyTime Due{};      ///< Earliest time of the next call.
  SteadyTime LastCall{}; ///< When the last call was sent.
};

/// What this instance has read from the store, and its registration.
struct DirectoryState {
  /// By `StoreCollection`.
  std::array<CollectionReader, CollectionCount> Readers;
  Registration OwnRegistration;
  /// This instance has claimed a cell, or still uses upstreams of released
  /// ones.
  bool IsSender = false;
  /// This instance may become a sender soon, so it reads the upstreams.
  bool IsStandby = true;
  Duration DrainNotice = std::chrono::seconds(2); ///< See `FleetBounds`.
  bool Leaving = false; ///< The registration was withdrawn.
  std::optional<FleetConfiguration> Configuration;
  /// Since when peers are known to have a newer configuration; unset if none.
  std::optional<SteadyTime> ConfigurationBehindSince;
  EvacuationState Evacuation;
  std::vector<UpstreamRecord> Upstreams; ///< Of all data centres.
  SteadyTime NextEarlyRead{};            ///< See `readUpstreamsEarly`.
  SteadyTime NextSnapshotRequest{};      ///< Earliest time to ask a peer again.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_DIRECTORY_BASE_H
