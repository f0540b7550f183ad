/// \file States of members, and the heartbeats that they exchange.
#ifndef SNIPESHUNT_MEMBERSHIP_MEMBER_TYPE_H
#define SNIPESHUNT_MEMBERSHIP_MEMBER_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"
#include "handover/handover_type.h"

#include <optional>
#include <vector>

namespace snipeshunt {

/// State that an instance reports of itself. A process passes through these in
/// order.
enum class MemberState {
  Joining,  ///< Started, before its first tick.
  Live,     ///< Serves callers and owns upstreams.
  Draining, ///< Shuts down; owns no upstreams.
  Left,     ///< Ends within moments.
};

/// State of a member as the failure detector of another instance sees it.
enum class MemberHealth {
  NeverHeard, ///< No heartbeat since this process started.
  Alive,      ///< The last heartbeat is recent.
  Suspect,    ///< None for longer than `suspect_ms`.
  Dead,       ///< None for longer than `dead_ms`.
};

/// An instance as the settings, the platform's list or heartbeats list it.
struct MemberAddress {
  Address Endpoint;  ///< Address that it advertises.
  DataCentre Centre; ///< Data centre it runs in.
};

/// A graceful departure whose tickets may still be used.
struct DepartureNotice {
  IncarnationId Incarnation; ///< The departed process.
  IncarnationId Successor;   ///< Has its retained answers.
  /// Time until its last tickets expire.
  std::chrono::milliseconds ExpiresIn{0};
};

/// The message `member.heartbeat`, and the reply to it.
struct Heartbeat {
  MemberAddress Location;    ///< Of the instance that sends it.
  IncarnationId Incarnation; ///< Of the process that sends it.
  MemberState State = MemberState::Joining;
  LoadReport Load;                ///< Of the instance that sends it.
  Revision ConfigurationRevision; ///< In force; 0 if there is none.
  /// True if the platform's service answers the instance that sends this.
  bool PlatformReachable = true;
  /// True if the instance that sends this has recently received a heartbeat
  /// from the other side, which then need not start an exchange of its own.
  bool HearsReceiver = false;
  /// Instance that has the retained answers; only set in the state `Left`.
  std::optional<IncarnationId> Successor;
  /// Other members that are alive; empty in most heartbeats.
  std::vector<MemberAddress> KnownInstances;
  std::vector<DepartureNotice> Departed; ///< Sent to new members only.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_MEMBERSHIP_MEMBER_TYPE_H
