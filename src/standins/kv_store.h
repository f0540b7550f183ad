/// \file Key-value store of the platform's stand-in, modelled on etcd v3.
///
/// Header-only, so that unit tests need not link sources of the programs.
#ifndef SNIPESHUNT_STANDINS_KV_STORE_H
#define SNIPESHUNT_STANDINS_KV_STORE_H

#include "core/clock.h"
#include "core/error_type.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipeshunt {

/// A key with its value and revisions.
struct KeyValue {
  std::string Key;
  std::string Value;
  int64_t CreateRevision = 0; ///< Revision at which the key was created.
  int64_t ModRevision = 0;    ///< Revision of the last change.
  int64_t Version = 0; ///< Number of puts since the creation, including it.
  int64_t Lease = 0;   ///< Lease whose end deletes the key, or 0.
};

/// One change of a key, as reported to watches.
struct KvEvent {
  bool Deleted = false;
  KeyValue Kv; ///< After the change; a deletion has only Key and ModRevision.
};

/// One key, or the keys from Key to End, excluding End.
struct KeyRange {
  std::string Key;
  std::string End; ///< Empty: only Key. One zero byte: no upper end.

  bool contains(const std::string &K) const {
    if (End.empty())
      return K == Key;
    return K >= Key && (End == std::string(1, '\0') || K < End);
  }
};

/// A condition of a transaction.
struct KvCompare {
  enum class Field { Version, Create, Mod, Value };
  enum class Relation { Equal, Greater, Less };

  std::string Key;
  Field Target = Field::Version;
  Relation Expected = Relation::Equal;
  int64_t Number = 0; ///< For revisions and versions.
  std::string Value;  ///< For Field::Value.
};

/// One operation, alone or in a transaction.
struct KvOperation {
  enum class Type { Range, Put, Delete };

  Type Kind = Type::Range;
  KeyRange Keys;
  std::string Value; ///< Puts only.
  int64_t Lease = 0; ///< Puts only; 0 for none.
  int64_t Limit = 0; ///< Ranges only: most keys returned; 0 for no limit.
};

/// Result of one operation.
struct KvResult {
  KvOperation::Type Kind = KvOperation::Type::Range;
  std::vector<KeyValue> Found; ///< Ranges only: sorted, at most the limit.
  /// Number of keys in the range, regardless of the limit, or deleted.
  int64_t Count = 0;
};

/// Result of a transaction.
struct KvTxnResult {
  bool Succeeded = false;        ///< Whether all conditions held.
  std::vector<KvResult> Results; ///< One per operation, in their order.
};

/// Events for a watch, or the revision up to which events were discarded.
struct KvChanges {
  std::vector<KvEvent> Events; ///< In the order of their revisions.
  /// Last discarded revision if some requested events were discarded, else 0.
  int64_t CompactedUpTo = 0;
};

/// Stores keys, leases and recent events. Uses no clock: the caller passes the
/// current time.
class KvStore {
public:
  /// Events kept for watches. Bounds the memory, as an event has a value of up
  /// to 1 MB.
  static constexpr size_t MaxEvents = 1000;

  /// Revision of the last change.
  int64_t revision() const { return Revision; }

  /// Runs \p Success if all conditions hold, otherwise \p Failure. All changes
  /// have the same revision. On an error nothing is changed.
  Result<KvTxnResult> txn(const std::vector<KvCompare> &Conditions,
                          const std::vector<KvOperation> &Success,
                          const std::vector<KvOperation> &Failure) {
    KvTxnResult Out;
    Out.Succeeded =
        std::all_of(Conditions.begin(), Conditions.end(),
                    [this](const KvCompare &C) { return holds(C); });
    const std::vector<KvOperation> &Steps = Out.Succeeded ? Success : Failure;
    if (std::optional<Error> E = validateSteps(Steps))
      return *E;
    const int64_t Next = Revision + 1;
    for (const KvOperation &Step : Steps)
      Out.Results.push_back(apply(Step, Next));
    return Out;
  }

  /// Runs one operation without conditions.
  Result<KvResult> run(const KvOperation &Step) {
    Result<KvTxnResult> Out = txn({}, {Step}, {});
    if (failed(Out))
      return errorOf(Out);
    return valueOf(Out).Results.front();
  }

  /// Returns the events on \p Keys at or after \p StartRevision.
  KvChanges changes(const KeyRange &Keys, int64_t StartRevision) const {
    KvChanges Out;
    if (StartRevision <= Compacted) {
      Out.CompactedUpTo = Compacted;
      return Out;
    }
    for (const KvEvent &E : Events)
      if (E.Kv.ModRevision >= StartRevision && Keys.contains(E.Kv.Key))
        Out.Events.push_back(E);
    return Out;
  }

  /// Creates a lease that ends \p Ttl after \p Now. Returns false if the id is
  /// in use.
  bool grantLease(int64_t Id, std::chrono::seconds Ttl, SteadyTime Now) {
    return Leases.emplace(Id, Lease{Ttl, Now + Ttl, {}}).second;
  }

  /// Makes the lease end its TTL after \p Now. Returns the TTL, or nothing if
  /// the lease does not exist.
  std::optional<std::chrono::seconds> keepLeaseAlive(int64_t Id,
                                                     SteadyTime Now) {
    auto It = Leases.find(Id);
    if (It == Leases.end())
      return std::nullopt;
    It->second.Expiry = Now + It->second.Ttl;
    return It->second.Ttl;
  }

  /// Ends the lease and deletes its keys. Returns false if it does not exist.
  bool revokeLease(int64_t Id) {
    auto It = Leases.find(Id);
    if (It == Leases.end())
      return false;
    const std::set<std::string> Owned = std::move(It->second.Keys);
    Leases.erase(It);
    const int64_t Next = Revision + 1;
    for (const std::string &Key : Owned)
      erase(Key, Next);
    return true;
  }

  /// Revokes the leases that have expired at \p Now.
  void expireLeases(SteadyTime Now) {
    std::vector<int64_t> Expired;
    for (const auto &[Id, L] : Leases)
      if (L.Expiry <= Now)
        Expired.push_back(Id);
    for (int64_t Id : Expired)
      revokeLease(Id);
  }

private:
  struct Lease {
    std::chrono::seconds Ttl;
    SteadyTime Expiry;
    std::set<std::string> Keys;
  };

  template <typename T>
  static bool related(const T &L, KvCompare::Relation Relation, const T &R) {
    switch (Relation) {
    case KvCompare::Relation::Equal:
      return L == R;
    case KvCompare::Relation::Greater:
      return L > R;
    case KvCompare::Relation::Less:
      return L < R;
    }
    return false;
  }

  bool holds(const KvCompare &C) const {
    auto It = Keys.find(C.Key);
    const KeyValue Kv = It == Keys.end() ? KeyValue{} : It->second;
    switch (C.Target) {
    case KvCompare::Field::Version:
      return related(Kv.Version, C.Expected, C.Number);
    case KvCompare::Field::Create:
      return related(Kv.CreateRevision, C.Expected, C.Number);
    case KvCompare::Field::Mod:
      return related(Kv.ModRevision, C.Expected, C.Number);
    case KvCompare::Field::Value:
      // As in etcd, a condition on the value of an absent key never holds.
      return It != Keys.end() && related(Kv.Value, C.Expected, C.Value);
    }
    return false;
  }

  std::optional<Error>
  validateSteps(const std::vector<KvOperation> &Steps) const {
    std::set<std::string> Written;
    for (const KvOperation &Step : Steps) {
      if (Step.Kind != KvOperation::Type::Put)
        continue;
      if (!Written.insert(Step.Keys.Key).second)
        return Error{ErrorKind::InvalidField,
                     "etcdserver: duplicate key given in txn request",
                     "put each key once"};
      if (Step.Lease != 0 && !Leases.count(Step.Lease))
        return Error{ErrorKind::NotFound,
                     "etcdserver: requested lease not found",
                     "grant the lease first"};
    }
    return std::nullopt;
  }

  KvResult apply(const KvOperation &Step, int64_t At) {
    KvResult Out;
    Out.Kind = Step.Kind;
    if (Step.Kind == KvOperation::Type::Put) {
      put(Step, At);
      return Out;
    }
    std::vector<KeyValue> Found;
    for (auto It = Keys.lower_bound(Step.Keys.Key);
         It != Keys.end() && Step.Keys.contains(It->first); ++It)
      Found.push_back(It->second);
    Out.Count = static_cast<int64_t>(Found.size());
    if (Step.Kind == KvOperation::Type::Delete) {
      for (const KeyValue &Kv : Found)
        erase(Kv.Key, At);
      return Out;
    }
    if (Step.Limit > 0 && Out.Count > Step.Limit)
      Found.resize(static_cast<size_t>(Step.Limit));
    Out.Found = std::move(Found);
    return Out;
  }

  void put(const KvOperation &Step, int64_t At) {
    KeyValue &Kv = Keys[Step.Keys.Key];
    detachFromLease(Kv);
    if (Kv.Version == 0) {
      Kv.Key = Step.Keys.Key;
      Kv.CreateRevision = At;
    }
    Kv.Value = Step.Value;
    Kv.ModRevision = At;
    ++Kv.Version;
    Kv.Lease = Step.Lease;
    if (Kv.Lease != 0)
      Leases.at(Kv.Lease).Keys.insert(Kv.Key);
    appendEvent({/*Deleted=*/false, Kv});
  }

  void erase(const std::string &Key, int64_t At) {
    auto It = Keys.find(Key);
    if (It == Keys.end())
      return;
    detachFromLease(It->second);
    KeyValue Deletion;
    Deletion.Key = Key;
    Deletion.ModRevision = At;
    Keys.erase(It);
    appendEvent({/*Deleted=*/true, std::move(Deletion)});
  }

  void detachFromLease(const KeyValue &Kv) {
    auto It = Leases.find(Kv.Lease);
    if (It != Leases.end())
      It->second.Keys.erase(Kv.Key);
  }

  void appendEvent(KvEvent E) {
    Revision = E.Kv.ModRevision;
    Events.push_back(std::move(E));
    if (Events.size() <= MaxEvents)
      return;
    Compacted = Events.front().Kv.ModRevision;
    Events.pop_front();
  }

  std::map<std::string, KeyValue> Keys;
  std::map<int64_t, Lease> Leases;
  std::deque<KvEvent> Events;
  int64_t Compacted = 0;
  int64_t Revision = 1; ///< An empty etcd is at revision 1.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_KV_STORE_H
