/// \file Members and heartbeats.
#ifndef SNIPESHUNT_MEMBERSHIP_MEMBER_TYPE_H
#define SNIPESHUNT_MEMBERSHIP_MEMBER_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"
#include "handover/handover_type.h"

#include <optional>
#include <vector>

namespace snipeshunt {

/// What an instance says of itself.
enum class MemberState { Joining, Live, Draining, Left };

/// What others observe of it.
enum class MemberHealth { NeverHeard, Alive, Suspect, Dead };

/// An instance as settings, list or heartbeats name it.
struct MemberAddress {
  Address Endpoint;
  DataCentre Centre;
};

/// A graceful departure whose tickets may still be used.
struct DepartureNotice {
  IncarnationId Incarnation;
  IncarnationId Successor;
  std::chrono::milliseconds ExpiresIn{0};
};

/// `member.heartbeat`, and its answer.
struct Heartbeat {
  MemberAddress Location;
  IncarnationId Incarnation;
  MemberState State = MemberState::Joining;
  LoadReport Load;
  Revision ConfigurationRevision;
  /// Whether the platform's service answers the sender.
  bool PlatformReachable = true;
  /// Whether the sender has lately heard the receiver, which then need not
  /// send heartbeats of its own.
  bool HearsReceiver = false;
  /// Receives the retained answers of a member that has left.
  std::optional<IncarnationId> Successor;
  /// Members present; empty in most heartbeats.
  std::vector<MemberAddress> KnownInstances;
  std::vector<DepartureNotice> Departed; ///< Told to new members only.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_MEMBERSHIP_MEMBER_TYPE_H
