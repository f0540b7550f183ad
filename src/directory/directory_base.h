/// \file State of the reading of the store.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_BASE_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_BASE_H

#include "directory/directory_type.h"

#include <array>

namespace snipeshunt {

/// How far the reading of one collection is.
enum class CollectionReaderPhase { Idle, Reading, Watching };

struct CollectionReader {
  CollectionReaderPhase Phase = CollectionReaderPhase::Idle;
  uint64_t Sequence = 0; ///< Of the open call; others are outdated.
  SteadyTime NextCall{}; ///< When the next call may be made.
  StoreRevision Revision;
  uint32_t Failures = 0;       ///< In a row.
  uint32_t CompletedReads = 0; ///< Calls that were answered.
};

/// How far the registration of this instance is.
enum class RegistrationPhase {
  NoLease,
  Acquiring,
  Publishing,
  Registered,
  Renewing
};

struct Registration {
  RegistrationPhase Phase = RegistrationPhase::NoLease;
  StoreLease Lease;
  SteadyTime Due{};
};

struct DirectoryState {
  std::array<CollectionReader, CollectionCount> Readers;
  Registration OwnRegistration;
  bool IsSender = false; ///< This instance is a sender.
  Duration DrainNotice = std::chrono::seconds(2); ///< See `FleetBounds`.
  bool Leaving = false;
  std::optional<FleetConfiguration> Configuration;
  std::vector<UpstreamRecord> Upstreams;
  SteadyTime NextSnapshotRequest{}; ///< Earliest time to ask a peer.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_DIRECTORY_BASE_H
