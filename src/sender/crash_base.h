/// \file Record of the tasks under which upstreams have crashed.
#ifndef SNIPESHUNT_SENDER_CRASH_BASE_H
#define SNIPESHUNT_SENDER_CRASH_BASE_H

#include "sender/sender_type.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace snipeshunt {

/// Crashes for which the tasks of one job are suspected.
struct JobCrashes {
  std::vector<TaskCrash> Crashes;
  SteadyTime Updated{}; ///< When one was added, or its evidence rose.
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
