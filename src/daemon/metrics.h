/// \file Metrics of an instance in the Prometheus text format.
#ifndef SNIPESHUNT_DAEMON_METRICS_H
#define SNIPESHUNT_DAEMON_METRICS_H

#include "daemon/metric_registry.h"
#include "reducer/state_base.h"
#include "timeline/timeline_ring.h"

#include <string>

namespace snipeshunt {

/// Traffic of the requests to other instances, since the start.
struct PeerTraffic {
  uint64_t Requests = 0;      ///< Requests sent.
  uint64_t BytesSent = 0;     ///< Bytes of these requests with headers.
  uint64_t BytesReceived = 0; ///< Bytes of their replies.
};

/// Metrics of an instance of the ticket mode, as a copy of the reducer's
/// counts.
class Metrics {
public:
  /// Sets all metrics to their current values. Called on each request for
  /// /metrics.
  void update(const InstanceState &State, const TimelineRing &Timeline,
              const PeerTraffic &Traffic);
  /// The metrics of the last `update` in the Prometheus text format.
  std::string text() const { return Values.text(); }

private:
  MetricRegistry Values;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_METRICS_H
