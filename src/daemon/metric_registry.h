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

/// Creates each metric when it is first set, with the prefix `snipeshunt_` and
/// the help text of that call.
class MetricRegistry {
public:
  /// Sets a counter to \p Total, which must not decrease.
  void setCounter(const std::string &Name, const std::string &Help,
                  uint64_t Total);
  /// As above, for one value of a label.
  void setCounter(const std::string &Name, const std::string &Help,
                  const std::string &Label, const std::string &LabelValue,
                  uint64_t Total);
  /// Sets a gauge to \p Value.
  void setGauge(const std::string &Name, const std::string &Help, double Value);
  /// As above, for one value of a label.
  void setGauge(const std::string &Name, const std::string &Help,
                const std::string &Label, const std::string &LabelValue,
                double Value);
  /// Adds a duration to the histogram \p Name with the given label.
  void observe(const std::string &Name, const std::string &Help,
               const std::string &Label, const std::string &LabelValue,
               double Seconds);
  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  prometheus::Registry Registry; ///< Owns the metrics.
  // By name and label value, as `NAME/VALUE`; without a label as `NAME/`.
  std::map<std::string, prometheus::Counter *> Counters;
  std::map<std::string, prometheus::Gauge *> Gauges;
  std::map<std::string, prometheus::Histogram *> Histograms;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_METRIC_REGISTRY_H
