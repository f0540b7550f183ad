/// \file Roster of the instances.
#ifndef SNIPESHUNT_MEMBERSHIP_MEMBER_BASE_H
#define SNIPESHUNT_MEMBERSHIP_MEMBER_BASE_H

#include "membership/member_type.h"

#include <map>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// Another instance.
struct Member {
  MemberAddress Location;
  IncarnationId Incarnation; ///< Zero until first heard.
  MemberState State = MemberState::Joining;
  MemberHealth Health = MemberHealth::NeverHeard;
  SteadyTime LastHeard{};
  SteadyTime FirstHeard{}; ///< Of its present incarnation.
  LoadReport Load;         ///< Last reported, less what was sent since.
  Revision ConfigurationRevision;
  bool PlatformReachable = true; ///< As it says itself.
  SteadyTime LastFetch{}; ///< Last fetch from it since a revision was applied.
  SteadyTime
      UnresponsiveSince{}; ///< When it was first found silent; 0 if it's not.
  SteadyTime EarliestHeartbeat{};  ///< Earliest heartbeat to a silent member.
  SteadyTime PeerInitiatesUntil{}; ///< Its own heartbeats suffice until then.
  SteadyTime
      KnownInstancesSent{}; ///< When it was last told of the other members.
  bool HeartbeatPending = false;   ///< A heartbeat to it is open.
  SteadyTime LastEarlyHeartbeat{}; ///< Last heartbeat sent ahead of its time.
  uint32_t ReportedFree = 0; ///< Free slots here that it was told of last.
};

/// Where the retained answers of a departed incarnation are.
struct Departure {
  IncarnationId Successor;
  SteadyTime ExpiresAt;
};

/// All other instances, by address.
struct Roster {
  std::map<Address, Member> Members;
  /// Instances that the platform's list named when it was last read.
  std::set<Address> ListedInstances;
  /// Graceful departures whose tickets may still be used.
  std::unordered_map<IncarnationId, Departure> Departed;
  /// Incarnations that were replaced; late messages of theirs are ignored.
  std::unordered_map<IncarnationId, SteadyTime> ReplacedIncarnations;
  SteadyTime LastTick{};
  SteadyTime NextFetch{};        ///< Earliest next fetch of the configuration.
  bool PlatformReachable = true; ///< Whether it answers this instance.
  MemberState OwnState = MemberState::Joining;
  SteadyTime NextHeartbeat{};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_MEMBERSHIP_MEMBER_BASE_H
