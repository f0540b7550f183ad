/// \file Requests to the platform's key-value service (etcd) and its replies.
#ifndef SNIPESHUNT_CONFIGURATION_ETCD_TYPE_H
#define SNIPESHUNT_CONFIGURATION_ETCD_TYPE_H

#include "core/id_type.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// An HTTP POST to the service.
struct EtcdRequest {
  std::string Path; ///< For instance `/v3/kv/range`.
  std::string Body; ///< JSON text.
};

/// A value with the revision that last changed it.
struct EtcdValue {
  std::string Value;
  Revision ModRevision;
};

/// Reply to a range request for one key.
struct EtcdRangeReply {
  Revision StoreRevision;         ///< Revision of the store when it was read.
  std::optional<EtcdValue> Found; ///< Empty if the key does not exist.
};

/// Result of a compare-and-swap.
enum class SwapOutcome {
  Swapped,        ///< This request changed the value.
  AlreadyApplied, ///< An earlier copy of the request did; its reply was lost.
  Conflict,       ///< The revision did not match; nothing was changed.
};

/// Reply to a compare-and-swap.
struct EtcdSwapReply {
  SwapOutcome Outcome = SwapOutcome::Conflict;
  Revision StoreRevision;           ///< If swapped, the value's new revision.
  std::optional<EtcdValue> Current; ///< Current value, empty if swapped.
};

/// One change of a watched key.
struct EtcdEvent {
  bool Deleted = false; ///< The key was deleted.
  std::string Key;      ///< The key that changed.
  EtcdValue Current;    ///< Its value, empty if deleted, and the revision.
};

/// One message of a watch.
struct EtcdWatchReply {
  Revision StoreRevision; ///< Revision of the store when it was sent.
  bool Created = false;   ///< The message confirms the start of the watch.
  bool Cancelled = false; ///< The watch has ended; no event follows.
  /// Oldest revision that can still be watched, if the one requested has been
  /// compacted; 0 otherwise.
  Revision CompactRevision;
  std::vector<EtcdEvent> Events; ///< In order of revision.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_CONFIGURATION_ETCD_TYPE_H
