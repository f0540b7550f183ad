/// \file State of the entry instance: callers' jobs until they are answered.
#ifndef SNIPESHUNT_ENTRY_ENTRY_BASE_H
#define SNIPESHUNT_ENTRY_ENTRY_BASE_H

#include "entry/entry_type.h"
#include "entry/open_job_base.h"
#include "sender/crash_base.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// A caller's job that has not been answered.
struct EntryJob {
  JobOrder Order;                 ///< As it was last forwarded.
  RequestId Caller;               ///< The caller's request.
  Address Sender;                 ///< Empty while no sender is available.
  std::set<Address> SendersAsked; ///< Senders that it was forwarded to.
  SteadyTime Arrived{};           ///< When the caller's request came in.
  SteadyTime Deadline{};          ///< End of the caller's time limit.
  SteadyTime Forwarded{};         ///< When it was last sent to a sender.
  bool Cancelled = false;         ///< By a caller; not forwarded any more.
  /// When its sender first replied that it has neither the job nor a result of
  /// it; zero before.
  SteadyTime MissingSince{};
  /// An earlier submission may have started tasks of it, so that it must not be
  /// answered as not run.
  bool MayHaveRun = false;
};

/// Jobs of which senders may have started tasks. It outlives the jobs, since
/// callers submit them again. Its size and age are limited.
struct StartedJobs {
  std::unordered_map<JobId, SteadyTime> Jobs; ///< When each was last recorded.
  /// Jobs by the time of their records, oldest first. Those of jobs that were
  /// recorded again since are outdated.
  std::deque<std::pair<SteadyTime, JobId>> Order;
};

/// Counters for the metrics, since the start of the process.
struct EntryCounters {
  uint64_t Submitted = 0;    ///< Jobs submitted by callers, repeats included.
  uint64_t Done = 0;         ///< Jobs answered as done.
  uint64_t Failed = 0;       ///< Jobs answered as failed.
  uint64_t Rejected = 0;     ///< Jobs answered as not run.
  uint64_t Lost = 0;         ///< Jobs answered as lost.
  uint64_t Expired = 0;      ///< Jobs answered as expired.
  uint64_t Cancelled = 0;    ///< Jobs answered as cancelled.
  uint64_t Disconnected = 0; ///< Jobs whose caller disconnected.
  uint64_t Forwarded = 0;    ///< Forwards of jobs to senders.
  uint64_t Fetched = 0;      ///< Results that came by a result query.
};

struct EntryState {
  bool Draining = false;    ///< Shutting down; answers close their connections.
  bool Closing = false;     ///< Late in a shutdown; new jobs are rejected.
  uint64_t NextForward = 1; ///< Key of the next job in `Jobs`.
  /// Open jobs by the request id of their forwards.
  std::unordered_map<RequestId, EntryJob> Jobs;
  /// Keys in `Jobs`, by the request of the caller and by the id of the job.
  std::unordered_map<RequestId, RequestId> ByCaller;
  std::unordered_map<JobId, RequestId> ByJob;
  CrashHistory Crashes;   ///< Reported by senders.
  StartedJobs Unresolved; ///< Their outcome is unknown.
  /// Done or failed; the answers may not have reached their callers. They are
  /// apart, since they are many more and would displace the others.
  StartedJobs Answered;
  OpenJobState Elsewhere; ///< Questions about jobs that are not open here.
  EntryCounters Counts;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_ENTRY_ENTRY_BASE_H
