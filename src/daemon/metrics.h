/// \file Metrics in the text form of Prometheus.
#ifndef SNIPESHUNT_DAEMON_METRICS_H
#define SNIPESHUNT_DAEMON_METRICS_H

#include "reducer/state_base.h"
#include "timeline/timeline_ring.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <map>
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
  Metrics();
  void update(const InstanceState &State, const TimelineRing &Timeline,
              const PeerTraffic &Traffic);
  std::string text() const;

private:
  void count(const std::string &Name, const std::string &Help, uint64_t Total);
  void measure(const std::string &Name, const std::string &Help, double Value);

  prometheus::Registry Registry;
  std::map<std::string, prometheus::Counter *> Counters;
  std::map<std::string, prometheus::Gauge *> Gauges;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_METRICS_H
