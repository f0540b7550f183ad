/// \file State of the entry: callers' jobs that senders run.
#ifndef SNIPESHUNT_ENTRY_ENTRY_BASE_H
#define SNIPESHUNT_ENTRY_ENTRY_BASE_H

#include "entry/entry_type.h"

#include <map>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// A caller's job that a sender has.
struct EntryJob {
  JobOrder Order;
  RequestId Caller;
  Address Sender; ///< Its sender; empty while none is present.
  std::set<Address> SendersAsked;
  SteadyTime Arrived{};
  SteadyTime Deadline{};
  SteadyTime Forwarded{}; ///< When its sender got it.
};

struct EntryCounters {
  uint64_t Submitted = 0;
  uint64_t Done = 0;
  uint64_t Failed = 0;
  uint64_t Rejected = 0;
  uint64_t Lost = 0;
  uint64_t Expired = 0;
  uint64_t Disconnected = 0;
  uint64_t Forwarded = 0;
};

struct EntryState {
  bool Draining = false;
  bool Closing = false; ///< Late in a shutdown; new jobs are refused.
  uint64_t NextForward = 1;
  /// By the number of the forward.
  std::unordered_map<RequestId, EntryJob> Jobs;
  std::unordered_map<RequestId, RequestId> ByCaller;
  std::unordered_map<JobId, RequestId> ByJob;
  EntryCounters Counts;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_ENTRY_BASE_H
