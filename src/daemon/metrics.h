/// \file Metrics in the text form of Prometheus.
#ifndef SNIPESHUNT_DAEMON_METRICS_H
#define SNIPESHUNT_DAEMON_METRICS_H

#include "daemon/metric_registry.h"
#include "reducer/state_base.h"
#include "timeline/timeline_ring.h"

#include <string>

namespace snipeshunt {

/// Messages to other instances.
struct PeerTraffic {
  uint64_t Requests = 0;      ///< Requests sent.
  uint64_t BytesSent = 0;     ///< Of these requests, headers included.
  uint64_t BytesReceived = 0; ///< Of their replies.
};

/// Copies the reducer's counts into a registry when they are asked for.
class Metrics {
public:
  void update(const InstanceState &State, const TimelineRing &Timeline,
              const PeerTraffic &Traffic);
  std::string text() const { return Values.text(); }

private:
  MetricRegistry Values;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_METRICS_H
