/// \file State of the shares of queues in a sender's capacity.
#ifndef SNIPESHUNT_SENDER_QUEUE_SHARE_BASE_H
#define SNIPESHUNT_SENDER_QUEUE_SHARE_BASE_H

#include "core/decaying_sum_func.h"
#include "sender/queue_share_type.h"

#include <array>
#include <map>
#include <string>

namespace snipeshunt {

/// Work of the jobs of a queue, in thousandths of core-seconds.
struct QueueShare {
  int32_t Priority = 0; ///< Of its last job.
  DecayingSum Offered;
  double Share = 0; ///< Work a second, as computed last.
  /// Part of the offered work that the share covers, 1 at most.
  double AdmittedPart = 1;
  /// Work above which a job belongs to the largest tenth, and to the fifth
  /// below it; 0 before the first job.
  double LargestTenth = 0;
  double LargestThird = 0;
  /// Work that a group of jobs may still get, by the data centre of the entry
  /// and the size class; negative if it has had more than its part.
  std::map<DataCentre, std::array<double, JobSizeClasses>> Credits;
  double OfferedTotal = 0;  ///< While shares were in force.
  double AdmittedTotal = 0; ///< While shares were in force.
  double RejectedTotal = 0; ///< While shares were in force.
};

/// Shares of all queues. Empty unless `Enabled`.
struct QueueShares {
  bool Enabled = false;              ///< Routes differ in priority.
  uint64_t ConfigurationVersion = 0; ///< That the priorities are from.
  int32_t TopPriority = 0;           ///< Of the most urgent route.
  bool Overloaded = false;           ///< The shares are in force.
  SteadyTime Begun{};                ///< Of the present or last overload.
  SteadyTime LastBusy{};             ///< When there was a backlog last.
  /// Part of the capacity that tasks can use; large ones leave gaps. Learned
  /// while tasks wait.
  double UsablePart = 0.9;
  SteadyTime NextUpdate{};
  std::map<std::string, QueueShare> Queues; ///< With recent offers.
  uint64_t Overloads = 0; ///< Begun since the start of the process.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_QUEUE_SHARE_BASE_H
