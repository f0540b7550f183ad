/// \file Times of the calls to the store. Each call has a price, and stale
/// reads and lease renewals cost a tenth.
#ifndef SNIPESHUNT_DIRECTORY_DIRECTORY_TABLE_H
#define SNIPESHUNT_DIRECTORY_DIRECTORY_TABLE_H

#include "core/clock.h"

namespace snipeshunt {

/// A watch returns after this time. It is below the 20 s for which the store
/// keeps its history.
constexpr std::chrono::milliseconds WatchTimeout{10000};
/// A sender reads the upstreams twice within the time after which one that
/// leaves must get no more starts.
constexpr int ReadsPerDrainNotice = 2;
/// Pause between stale reads of the upstreams by other instances, which may
/// become senders while the store is away.
constexpr Duration StandbyReadPeriod = std::chrono::milliseconds(8000);
/// Pause between reads of the instances; peers also name each other.
constexpr Duration InstanceReadPeriod = std::chrono::milliseconds(4000);
/// The first reads of the instances follow each other sooner: fleets start
/// together, and the first read misses those that start a moment later.
constexpr uint32_t EarlyReads = 2;
constexpr Duration EarlyReadPeriod = std::chrono::milliseconds(250);
/// Pause between questions to peers while the store does not answer.
constexpr Duration SnapshotPeriod = std::chrono::milliseconds(200);
/// Pause after a call that failed, doubled up to the limit.
constexpr Duration StoreRetryDelay = std::chrono::milliseconds(150);
constexpr Duration MaxStoreRetryDelay = std::chrono::milliseconds(1200);
/// Lifetime of this instance's entry.
constexpr std::chrono::milliseconds RegistrationLifetime{9000};
constexpr Duration RegistrationRenewalPeriod = std::chrono::milliseconds(3000);

} // namespace snipeshunt

#endif // SNIPESHUNT_DIRECTORY_DIRECTORY_TABLE_H
