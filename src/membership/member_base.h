/// \file Roster of the other instances.
#ifndef SNIPESHUNT_MEMBERSHIP_MEMBER_BASE_H
#define SNIPESHUNT_MEMBERSHIP_MEMBER_BASE_H

#include "membership/member_type.h"

#include <map>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// Another instance, as this one sees it.
struct Member {
  MemberAddress Location;
  IncarnationId Incarnation; ///< Zero before its first heartbeat.
  MemberState State = MemberState::Joining; ///< Last reported.
  MemberHealth Health = MemberHealth::NeverHeard;
  SteadyTime LastHeard{};         ///< Last heartbeat or reply to one.
  SteadyTime FirstHeard{};        ///< First one of its present incarnation.
  LoadReport Load;                ///< Last reported, less what was sent since.
  Revision ConfigurationRevision; ///< In force there, last reported.
  bool PlatformReachable = true;  ///< As last reported.
  /// Last fetch of its configuration; 0 if none since a revision was applied
  /// here.
  SteadyTime LastFetch{};
  /// Since when no reply is expected; 0 if one is.
  SteadyTime UnresponsiveSince{};
  /// Earliest heartbeat to it while it is unresponsive.
  SteadyTime EarliestHeartbeat{};
  /// Until then this instance sends it no heartbeats of its own, since the
  /// member starts the exchanges.
  SteadyTime PeerInitiatesUntil{};
  /// When the known instances were last sent to it.
  SteadyTime KnownInstancesSent{};
  bool HeartbeatPending = false; ///< A heartbeat to it has no reply yet.
  /// Last heartbeat sent ahead of its time because of free slots.
  SteadyTime LastEarlyHeartbeat{};
  uint32_t ReportedFree = 0; ///< Free slots here in the last message to it.
};

/// Instance that has the retained answers of a departed one.
struct Departure {
  IncarnationId Successor;
  SteadyTime ExpiresAt; ///< When the last tickets of the departed one expire.
};

/// All other instances, and this one's own state as a member.
struct Roster {
  std::map<Address, Member> Members; ///< By the address they advertise.
  /// Instances in the platform's list when it was last read.
  std::set<Address> ListedInstances;
  /// Departed incarnations whose tickets may still be used.
  std::unordered_map<IncarnationId, Departure> Departed;
  /// Incarnations that were replaced, with the time at which they are evicted.
  /// Late messages from them are ignored.
  std::unordered_map<IncarnationId, SteadyTime> ReplacedIncarnations;
  SteadyTime LastTick{};  ///< Detects pauses of this process.
  SteadyTime NextFetch{}; ///< Earliest fetch of the configuration.
  /// True if the platform's service answers this instance.
  bool PlatformReachable = true;
  MemberState OwnState = MemberState::Joining; ///< State of this instance.
  SteadyTime NextHeartbeat{}; ///< Next round of heartbeats to all members.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_MEMBERSHIP_MEMBER_BASE_H
