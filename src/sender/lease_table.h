/// \file How long a run can go on without renewal. All constants that bound it
/// are here; docs/proofs.md, "How long a run can go on", has the inequalities
/// that they satisfy, and models/lease.pml checks them.
#ifndef SNIPESHUNT_SENDER_LEASE_TABLE_H
#define SNIPESHUNT_SENDER_LEASE_TABLE_H

#include "cells/cell_table.h"
#include "sender/sender_table.h"
#include "settings/fleet_settings_type.h"

#include <algorithm>

namespace snipeshunt {

/// Upstream clocks may run up to 2 % slow; leases then last that much longer on
/// the clock of this process.
constexpr double MaxClockDrift = 0.02;
/// A caller submits a job again, at any instance, this long after its request
/// has timed out or was answered as lost. The value is the platform's.
constexpr Duration CallerRetryTime = std::chrono::milliseconds(1300);
/// Transit of a ping (3 ms between data centres) and timers that are late.
constexpr Duration ContactReserve = std::chrono::milliseconds(40);
/// Usual age of the last contact with an entry: the period of its pings, its
/// tick, the two ticks by which `CellState::ReadBound` is behind, and transit.
/// Leases of jobs whose entry answers are not shortened.
constexpr Duration UsualContactAge =
    SenderPingPeriod + 3 * CellTickPeriod + std::chrono::milliseconds(10);
/// Added to `FleetBounds::StopTimeout`, in which an upstream ends runs whose
/// lease has ended, before this process takes them for ended.
constexpr Duration LeaseExpiryReserve = std::chrono::milliseconds(10);

/// Returns the longest time on the clock of this process in which an upstream's
/// clock advances by \p Time.
constexpr Duration onOwnClock(Duration Time) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(Time.count()) /
                                             (1 - MaxClockDrift)) +
                  1);
}

/// Returns the shortest time by which an upstream's clock advances in \p Time
/// on the clock of this process.
constexpr Duration onUpstreamClock(Duration Time) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(Time.count()) *
                                             (1 - MaxClockDrift)));
}

/// Time after the last contact with a job's entry by which the leases of its
/// runs end. The runs have then ended before the caller's next submission,
/// unless `FleetBounds::StopTimeout` is above 90 ms: the lease still has to
/// outlast the stop of a job whose entry is silent.
constexpr Duration contactLease(const FleetBounds &Bounds) {
  return std::max<Duration>(CallerRetryTime - Bounds.StopTimeout -
                                ContactReserve,
                            EntryTimeout + CellTickPeriod + OrderTimeout);
}

/// Longest lease that is requested, on the upstream's clock. It is below
/// `FleetBounds::MaxLease`, so that a lease that was granted for other runs
/// seldom outlasts `contactLease` of a task that is to be started.
constexpr Duration longestLease(const FleetBounds &Bounds) {
  return std::min<Duration>(
      Bounds.MaxLease, onUpstreamClock(contactLease(Bounds) - UsualContactAge));
}

/// Shortest lease in a start. A renewal that waits for an end delays the next
/// one by `RenewalWait`, and shorter leases could end before that.
constexpr Duration minStartLease(const FleetBounds &Bounds) {
  return std::min<Duration>(RenewalWait + std::chrono::milliseconds(20),
                            longestLease(Bounds));
}

// The stop of a job whose entry is silent, with one time-out, comes before the
// end of its lease, which would end the other runs of the upstream too.
static_assert(EntryTimeout + CellTickPeriod + OrderTimeout <
              contactLease(FleetBounds()));
// Two renewals without an answer don't end a lease.
static_assert(2 * (Duration(RenewalWait) + RenewalSlack + RetryDelay / 3 +
                   CellTickPeriod) <
              longestLease(FleetBounds()));

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_LEASE_TABLE_H
