/// \file Renewals of upstreams and the reports in their answers.
#ifndef SNIPESHUNT_SENDER_RENEWAL_CMD_H
#define SNIPESHUNT_SENDER_RENEWAL_CMD_H

#include "instance/instance_effect.h"
#include "sender/lease_cmd.h"

namespace snipeshunt {

/// Sends a renewal. \p Lease is the length to which the lease is renewed;
/// unless it is positive, only the lists are read and ends acknowledged.
void sendRenewal(SenderState &State, SenderUpstream &U, Duration Lease,
                 std::chrono::milliseconds Wait, SteadyTime Now,
                 InstanceEffects &Out);

/// Sends the renewals and stops that are due. \p HeldByPredecessor returns true
/// if a predecessor still uses an upstream. Called after each event.
void renewUpstreams(
    SenderState &State,
    const std::function<bool(const UpstreamId &)> &HeldByPredecessor,
    const ContactLookup &LastContact, SteadyTime Now, InstanceEffects &Out);

/// Applies the answer to a renewal, or its failure. Answers under an earlier
/// token are ignored. \p FencedCell is set to the cell of the upstream if that
/// accepts only a newer sender's orders.
void applyRenewal(SenderState &State, const RenewalAnswered &Event,
                  SteadyTime Now, std::optional<CellId> &FencedCell,
                  InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_RENEWAL_CMD_H
