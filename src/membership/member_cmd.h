/// \file State changes of the roster: heartbeats, failure detection,
/// departures.
#ifndef SNIPESHUNT_MEMBERSHIP_MEMBER_CMD_H
#define SNIPESHUNT_MEMBERSHIP_MEMBER_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Adds an instance from the settings, the platform's list or a heartbeat. Does
/// nothing if it is this instance, is known, or the roster is full.
void addMember(InstanceState &State, const MemberAddress &Instance);

/// Applies the platform's list: records and adds its instances.
void applyInstanceList(InstanceState &State,
                       const std::vector<MemberAddress> &List);

/// Applies a heartbeat: a request, or the reply to an own one if \p IsReply.
void applyHeartbeat(InstanceState &State, const Heartbeat &Message,
                    SteadyTime Now, EffectList &Out, bool IsReply = false);
/// Handles the reply to a heartbeat, or its absence.
void applyHeartbeatAnswer(InstanceState &State, const HeartbeatAnswered &Event,
                          SteadyTime Now, EffectList &Out);

/// Runs the failure detector, evicts members and sends the heartbeats and the
/// fetch of the configuration that are due. Called at each tick.
void tickMembership(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Records the load of this instance that a message reports to the member at
/// \p Endpoint.
void recordReportedLoad(InstanceState &State, const Address &Endpoint,
                        const LoadReport &Load);

/// Sends an early heartbeat to peers with waiting tasks while slots are free
/// here. Called after each event.
void announceFreeSlots(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Returns the heartbeat of this instance, with all known instances.
Heartbeat ownHeartbeat(const InstanceState &State, SteadyTime Now);

/// Returns the heartbeat for one member and records its sending. Leaves out the
/// known instances if they were sent recently; adds departures for a new
/// member.
Heartbeat heartbeatFor(const InstanceState &State, Member &To, SteadyTime Now);
/// Returns the reply to the heartbeat \p Message, which has been applied.
Heartbeat answerHeartbeat(InstanceState &State, const Heartbeat &Message,
                          SteadyTime Now);

/// Sends a heartbeat with a newly applied revision to the data centre, if this
/// instance watches the configuration. The receivers then fetch the document.
void announceConfiguration(InstanceState &State, SteadyTime Now,
                           EffectList &Out);

/// Sends a heartbeat to every member at once.
void broadcastHeartbeat(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Returns the member whose present process is \p Incarnation, or null.
const Member *findMember(const InstanceState &State, IncarnationId Incarnation);

} // namespace snipeshunt

#endif // SNIPESHUNT_MEMBERSHIP_MEMBER_CMD_H
