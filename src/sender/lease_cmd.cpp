/// \file Leases of the runs on an upstream.
#include "sender/lease_cmd.h"

#include "sender/lease_table.h"

#include <algorithm>
#include <cmath>

namespace snipeshunt {

namespace {

int64_t steadyMs(SteadyTime T) { return toMilliseconds(T.time_since_epoch()); }

/// Highest drift of an upstream's clock since \p Since, in milliseconds,
/// rounded up.
int64_t maxDriftSince(SteadyTime Since, SteadyTime Now) {
  return static_cast<int64_t>(std::ceil(
      static_cast<double>(toMilliseconds(Now - Since)) * MaxClockDrift));
}

} // namespace

void updateClockOffset(SenderUpstream &U, int64_t ClockMs, SteadyTime Now) {
  int64_t Offset = ClockMs - steadyMs(Now);
  // Transit makes a sample too low, so the highest is the most accurate. An
  // older sample may since be too high by the drift of a slow clock. It is kept
  // with its own time, so that the drift counts over the whole span: rounded at
  // each answer, it would be lost.
  if (U.ClockOffset &&
      Offset < *U.ClockOffset - maxDriftSince(U.ClockOffsetUpdated, Now))
    return;
  U.ClockOffset = Offset;
  U.ClockOffsetUpdated = Now;
}

int64_t leaseDeadline(const SenderUpstream &U, Duration Lease, SteadyTime Now) {
  return steadyMs(Now) + *U.ClockOffset -
         maxDriftSince(U.ClockOffsetUpdated, Now) + toMilliseconds(Lease);
}

SteadyTime leaseEnd(Duration Lease, SteadyTime Sent) {
  return Sent + onOwnClock(Lease);
}

Duration expiryMargin(const FleetBounds &Bounds) {
  return Duration(Bounds.StopTimeout) + LeaseExpiryReserve;
}

void recordLease(SenderUpstream &U, const FleetBounds &Bounds, Duration Lease,
                 SteadyTime Now) {
  U.LeaseExpiry =
      std::max(U.LeaseExpiry, leaseEnd(Lease, Now) + expiryMargin(Bounds));
}

bool mustLapse(const SenderState &State, const SenderUpstream &U) {
  // The callers of these runs may submit their jobs again elsewhere, and the
  // stops may have been lost. Only the end of the lease is certain then.
  if (!U.OrphanedRuns.empty())
    return true;
  return !State.DetachedRuns.empty() &&
         std::any_of(U.Runs.begin(), U.Runs.end(), [&](const auto &Entry) {
           const SenderRun &Run = Entry.second;
           return Run.StopRequested && !Run.StopAcknowledged &&
                  State.DetachedRuns.count(Run.Key.Job);
         });
}

Duration grantableLease(const SenderState &State, const SenderUpstream &U,
                        const ContactLookup &LastContact, SteadyTime Now) {
  Duration Lease = longestLease(State.Bounds);
  for (const auto &[Key, Run] : U.Runs) {
    // An accepted stop ends the run before any lease.
    auto Job = State.Jobs.find(Key.Job);
    if (Run.StopAcknowledged || Job == State.Jobs.end())
      continue;
    Lease = std::min(Lease, leaseFor(State, LastContact(Job->second), Now));
  }
  return Lease;
}

Duration leaseFor(const SenderState &State, SteadyTime LastContact,
                  SteadyTime Now) {
  Duration Left = LastContact + contactLease(State.Bounds) - Now;
  return std::min(longestLease(State.Bounds), onUpstreamClock(Left));
}

bool outlastsContact(const SenderState &State, const SenderUpstream &U,
                     SteadyTime LastContact) {
  return U.LeaseExpiry - expiryMargin(State.Bounds) >
         LastContact + contactLease(State.Bounds);
}

} // namespace snipeshunt
