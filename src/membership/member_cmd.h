/// \file State changes of the roster.
#ifndef SNIPESHUNT_MEMBERSHIP_MEMBER_CMD_H
#define SNIPESHUNT_MEMBERSHIP_MEMBER_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Adds an instance that settings, list or a heartbeat names.
void addMember(InstanceState &State, const MemberAddress &Instance);

/// Adopts the instances that the platform's list names.
void applyInstanceList(InstanceState &State,
                       const std::vector<MemberAddress> &List);

/// Adopts a heartbeat, received or as an answer.
void applyHeartbeat(InstanceState &State, const Heartbeat &Message,
                    SteadyTime Now, EffectList &Out, bool IsReply = false);
void applyHeartbeatAnswer(InstanceState &State, const HeartbeatAnswered &Event,
                          SteadyTime Now, EffectList &Out);

/// Detects silent members and sends heartbeats that are due.
void tickMembership(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Notes what the member at \p Endpoint is told of this instance's load.
void recordReportedLoad(InstanceState &State, const Address &Endpoint,
                        const LoadReport &Load);

/// Tells peers with waiting tasks at once that slots are free here.
void announceFreeSlots(InstanceState &State, SteadyTime Now, EffectList &Out);

/// What this instance says of itself.
Heartbeat ownHeartbeat(const InstanceState &State, SteadyTime Now);

/// The same for one member, without what it need not be told again.
Heartbeat heartbeatFor(const InstanceState &State, Member &To, SteadyTime Now);
/// Answer to the heartbeat \p Message, which has been adopted.
Heartbeat answerHeartbeat(InstanceState &State, const Heartbeat &Message,
                          SteadyTime Now);

/// Tells the data centre of a newly applied configuration at once.
void announceConfiguration(InstanceState &State, SteadyTime Now,
                           EffectList &Out);

/// Sends a heartbeat to every member now.
void broadcastHeartbeat(InstanceState &State, SteadyTime Now, EffectList &Out);

/// The member of \p Incarnation, or null.
const Member *findMember(const InstanceState &State, IncarnationId Incarnation);

} // namespace snipeshunt

#endif // SNIPESHUNT_MEMBERSHIP_MEMBER_CMD_H
