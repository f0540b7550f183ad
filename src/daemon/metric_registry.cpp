/// \file Named counters, gauges and histograms for Prometheus.
#include "daemon/metric_registry.h"

#include <prometheus/text_serializer.h>

namespace snipeshunt {

namespace {

// Upper bounds of the buckets in seconds. Jobs take from 30 ms to a few
// seconds; callers wait 1.5 to 3 s.
const prometheus::Histogram::BucketBoundaries JobSecondsBuckets{
    0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5};

/// Labels of a metric: none if \p Name is empty.
std::map<std::string, std::string> labels(const std::string &Name,
                                          const std::string &Value) {
  if (Name.empty())
    return {};
  return {{Name, Value}};
}

} // namespace

void MetricRegistry::setCounter(const std::string &Name,
                                const std::string &Help, uint64_t Total) {
  setCounter(Name, Help, "", "", Total);
}

void MetricRegistry::setCounter(const std::string &Name,
                                const std::string &Help,
                                const std::string &Label,
                                const std::string &LabelValue, uint64_t Total) {
  prometheus::Counter *&Metric = Counters[Name + "/" + LabelValue];
  if (!Metric)
    Metric = &prometheus::BuildCounter()
                  .Name("snipeshunt_" + Name)
                  .Help(Help)
                  .Register(Registry)
                  .Add(labels(Label, LabelValue));
  Metric->Increment(static_cast<double>(Total) - Metric->Value());
}

void MetricRegistry::setGauge(const std::string &Name, const std::string &Help,
                              double Value) {
  setGauge(Name, Help, "", "", Value);
}

void MetricRegistry::setGauge(const std::string &Name, const std::string &Help,
                              const std::string &Label,
                              const std::string &LabelValue, double Value) {
  prometheus::Gauge *&Metric = Gauges[Name + "/" + LabelValue];
  if (!Metric)
    Metric = &prometheus::BuildGauge()
                  .Name("snipeshunt_" + Name)
                  .Help(Help)
                  .Register(Registry)
                  .Add(labels(Label, LabelValue));
  Metric->Set(Value);
}

void MetricRegistry::observe(const std::string &Name, const std::string &Help,
                             const std::string &Label,
                             const std::string &LabelValue, double Seconds) {
  prometheus::Histogram *&Metric = Histograms[Name + "/" + LabelValue];
  if (!Metric)
    Metric = &prometheus::BuildHistogram()
                  .Name("snipeshunt_" + Name)
                  .Help(Help)
                  .Register(Registry)
                  .Add(labels(Label, LabelValue), JobSecondsBuckets);
  Metric->Observe(Seconds);
}

std::string MetricRegistry::text() const {
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

} // namespace snipeshunt
