/// \file Capacity that queues may use while a sender is overloaded.
#ifndef SNIPESHUNT_SENDER_QUEUE_SHARE_TYPE_H
#define SNIPESHUNT_SENDER_QUEUE_SHARE_TYPE_H

#include "core/id_type.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace snipeshunt {

/// Classes of a queue's jobs by work, each with its own part of the queue's
/// share: most jobs, the fifth below the largest tenth, and the largest tenth.
constexpr size_t JobSizeClasses = 3;

/// A job, as far as the shares depend on it.
struct OfferedJob {
  std::string Queue;    ///< `JobOrder::Queue`.
  int32_t Priority = 0; ///< `JobOrder::Priority`.
  DataCentre Centre;    ///< Of the entry instance; empty if unknown.
  double Work = 0;      ///< In thousandths of core-seconds.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_QUEUE_SHARE_TYPE_H
