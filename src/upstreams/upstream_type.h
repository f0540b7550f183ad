/// \file Upstreams as the platform, the settings and they themselves say.
#ifndef SNIPESHUNT_UPSTREAMS_UPSTREAM_TYPE_H
#define SNIPESHUNT_UPSTREAMS_UPSTREAM_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"

#include <string>
#include <vector>

namespace snipeshunt {

/// An entry of the platform's list or of the settings.
struct ListedUpstream {
  Address Endpoint;
  DataCentre Centre;
  uint32_t Slots = 8;
  uint32_t Accelerators = 0;
  bool Leaving = false;
};

/// What `GET /v1/status` of an upstream says.
struct UpstreamStatus {
  uint32_t Slots = 0;
  uint32_t Accelerators = 0;
  bool Leaving = false;
};

/// How a request to start a task ended.
enum class AttemptEnd {
  Finished,    ///< The upstream gave a result.
  Failed,      ///< The upstream reported that the task failed.
  Busy,        ///< The upstream said "not run": no free slot.
  Leaving,     ///< The upstream said "not run": it is leaving.
  NothingSent, ///< Nothing of the request can have reached the upstream.
  Unknown,     ///< The request may have reached the upstream.
};

/// The end of an attempt.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Unknown;
  std::string Output; ///< Output when finished, else the reason.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_UPSTREAMS_UPSTREAM_TYPE_H
