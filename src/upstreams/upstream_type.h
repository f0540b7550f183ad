/// \file Descriptions of upstreams from the platform's list, the settings and
/// their own status, and the results of attempts.
#ifndef SNIPESHUNT_UPSTREAMS_UPSTREAM_TYPE_H
#define SNIPESHUNT_UPSTREAMS_UPSTREAM_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"

#include <string>
#include <vector>

namespace snipeshunt {

/// An upstream as the platform's list or the settings describe it.
struct ListedUpstream {
  Address Endpoint;
  DataCentre Centre;
  uint32_t Slots = 8;        ///< Tasks that it runs at the same time.
  uint32_t Accelerators = 0; ///< Tasks that need more don't fit.
  bool Leaving = false;      ///< It is shutting down and takes no new tasks.
};

/// An upstream's answer to `GET /v1/status`. The fields mean the same as in
/// `ListedUpstream`.
struct UpstreamStatus {
  uint32_t Slots = 0;
  uint32_t Accelerators = 0;
  bool Leaving = false;
};

/// How a request to start a task ended.
enum class AttemptEnd {
  Finished, ///< The upstream returned a result.
  Failed,   ///< The upstream reported that the task failed.
  Busy, ///< Not run: the upstream had no free slot, or the start deadline had
        ///< passed before the request was sent.
  Leaving,     ///< Not run: the upstream is shutting down.
  NothingSent, ///< Not run: no byte of the request was sent.
  Unknown, ///< The request may have reached the upstream; no valid answer was
           ///< received.
};

/// How an attempt ended, with its output.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Unknown;
  std::string Output; ///< The task's output if finished, else the reason.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_UPSTREAM_TYPE_H
