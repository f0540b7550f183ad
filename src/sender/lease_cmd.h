/// \file Leases of the runs on an upstream. lease_table.h has the constants
/// that bound them.
#ifndef SNIPESHUNT_SENDER_LEASE_CMD_H
#define SNIPESHUNT_SENDER_LEASE_CMD_H

#include "sender/sender_base.h"

#include <functional>

namespace snipeshunt {

/// Updates the clock offset with a clock reading that was just received.
void updateClockOffset(SenderUpstream &U, int64_t ClockMs, SteadyTime Now);

/// End of a lease of length \p Lease that begins now, on the upstream's clock
/// in milliseconds. The drift is subtracted, so that the lease isn't longer.
int64_t leaseDeadline(const SenderUpstream &U, Duration Lease, SteadyTime Now);

/// Latest end of a lease of length \p Lease that was sent at \p Sent, on the
/// clock of this process.
SteadyTime leaseEnd(Duration Lease, SteadyTime Sent);

/// Time after the end of a lease until its runs count as ended.
Duration expiryMargin(const FleetBounds &Bounds);

/// Records that a lease of length \p Lease is sent to \p U. Earlier ones may
/// end later.
void recordLease(SenderUpstream &U, const FleetBounds &Bounds, Duration Lease,
                 SteadyTime Now);

/// Returns a time at which the entry of a job still awaited it, the last one
/// that is known.
using ContactLookup = std::function<SteadyTime(const SenderJob &)>;

/// Returns true if the lease of \p U must not be prolonged, because a run on it
/// has to end and no stop of it has been accepted.
bool mustLapse(const SenderState &State, const SenderUpstream &U);

/// Returns the longest lease, on the upstream's clock, that the runs on \p U
/// allow: no run may outlast the last contact with its entry by
/// `contactLease`. Not positive if there is none.
Duration grantableLease(const SenderState &State, const SenderUpstream &U,
                        const ContactLookup &LastContact, SteadyTime Now);

/// Returns the longest lease that a run of a job with this last contact allows.
Duration leaseFor(const SenderState &State, SteadyTime LastContact,
                  SteadyTime Now);

/// Returns true if a lease that was granted for other runs on \p U may outlast
/// the last contact with a job's entry by `contactLease`.
bool outlastsContact(const SenderState &State, const SenderUpstream &U,
                     SteadyTime LastContact);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_LEASE_CMD_H
