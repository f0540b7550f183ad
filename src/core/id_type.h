/// \file Strongly typed identifiers shared by all subsystems.
#ifndef SNIPESHUNT_CORE_ID_TYPE_H
#define SNIPESHUNT_CORE_ID_TYPE_H

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>

namespace snipeshunt {

/// An integer or string with a type of its own, so that the compiler rejects an
/// id of another kind in its place.
template <typename Tag, typename Rep = uint64_t> struct StrongId {
  Rep Value{};

  friend bool operator==(const StrongId &L, const StrongId &R) {
    return L.Value == R.Value;
  }
  friend bool operator!=(const StrongId &L, const StrongId &R) {
    return !(L == R);
  }
  friend bool operator<(const StrongId &L, const StrongId &R) {
    return L.Value < R.Value;
  }
};

/// Identifies a process of an instance: a random number, drawn at its start,
/// that no two processes share.
using IncarnationId = StrongId<struct IncarnationTag>;
/// Number of a ticket within the incarnation that issued it.
using TicketSequence = StrongId<struct TicketSequenceTag>;
/// Number of a batch among those that one incarnation of a home hands over to
/// one receiver.
using HandoverSequence = StrongId<struct HandoverSequenceTag>;
/// Position of a task in its job.
using TaskIndex = StrongId<struct TaskIndexTag, uint32_t>;
/// An HTTP request that has not been answered yet, numbered by its server.
using RequestId = StrongId<struct RequestTag>;
/// One attempt to start a task on an upstream.
using AttemptId = StrongId<struct AttemptTag>;
/// IPv4 number and port in the form `IP:port`.
using Address = StrongId<struct AddressTag, std::string>;
/// Name of a data centre.
using DataCentre = StrongId<struct DataCentreTag, std::string>;
/// Name of a team, the unit of quotas and fair shares.
using Team = StrongId<struct TeamTag, std::string>;
/// Name of a kind of task; tasks of one kind have similar run times.
using TaskKind = StrongId<struct TaskKindTag, std::string>;
/// Revision of the configuration document in the platform's service.
using Revision = StrongId<struct RevisionTag>;

/// Identifies a task among all instances.
struct TaskKey {
  IncarnationId Home; ///< Incarnation of the job's home.
  TicketSequence Job; ///< Number of the job's ticket in that incarnation.
  TaskIndex Index;    ///< Position in the job.

  friend bool operator==(const TaskKey &L, const TaskKey &R) {
    return L.Home == R.Home && L.Job == R.Job && L.Index == R.Index;
  }
  friend bool operator<(const TaskKey &L, const TaskKey &R) {
    return std::tie(L.Home, L.Job, L.Index) < std::tie(R.Home, R.Job, R.Index);
  }
};

} // namespace snipeshunt

template <typename Tag, typename Rep>
struct std::hash<snipeshunt::StrongId<Tag, Rep>> {
  size_t operator()(const snipeshunt::StrongId<Tag, Rep> &Id) const {
    return std::hash<Rep>()(Id.Value);
  }
};

template <> struct std::hash<snipeshunt::TaskKey> {
  size_t operator()(const snipeshunt::TaskKey &Key) const {
    // The odd multipliers of 64-bit mixing functions spread keys that differ
    // only in the small numbers of job and index.
    uint64_t Mixed = Key.Home.Value ^ (Key.Job.Value * 0x9e3779b97f4a7c15ULL);
    return Mixed ^ (Key.Index.Value * 0xbf58476d1ce4e5b9ULL);
  }
};

#endif // SNIPESHUNT_CORE_ID_TYPE_H
