/// \file Record of the tasks under which upstreams have crashed.
#ifndef SNIPESHUNT_SENDER_CRASH_BASE_H
#define SNIPESHUNT_SENDER_CRASH_BASE_H

#include "sender/sender_type.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace snipeshunt {

/// Crashes under the tasks of one job.
struct JobCrashes {
  std::map<uint32_t, uint32_t> Tasks; ///< Crashes by the index of the task.
  SteadyTime Updated{};               ///< When one was last added.
};

/// Crashes by job. It outlives the jobs, since callers submit a job again that
/// was lost. Its size and age are limited.
struct CrashHistory {
  std::unordered_map<JobId, JobCrashes> Jobs;
  /// Jobs by `JobCrashes::Updated`, oldest first. Entries of jobs that were
  /// updated again since are outdated.
  std::deque<std::pair<SteadyTime, JobId>> Order;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_CRASH_BASE_H
