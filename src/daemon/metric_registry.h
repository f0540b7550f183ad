/// \file Named counters, gauges and histograms for Prometheus.
#ifndef SNIPESHUNT_DAEMON_METRIC_REGISTRY_H
#define SNIPESHUNT_DAEMON_METRIC_REGISTRY_H

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace snipeshunt {

/// Creates each metric when it is first set. All names get the prefix
/// `snipeshunt_`.
class MetricRegistry {
public:
  /// Sets a counter to its total.
  void count(const std::string &Name, const std::string &Help, uint64_t Total);
  void measure(const std::string &Name, const std::string &Help, double Value);
  /// Adds an observation of a time to a histogram.
  void observe(const std::string &Name, const std::string &Help,
               const std::string &Label, const std::string &LabelValue,
               double Seconds);
  std::string text() const;

private:
  prometheus::Registry Registry;
  std::map<std::string, prometheus::Counter *> Counters;
  std::map<std::string, prometheus::Gauge *> Gauges;
  std::map<std::string, prometheus::Histogram *> Histograms;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_METRIC_REGISTRY_H
