/// \file Metrics of a fleet instance.
#ifndef SNIPESHUNT_RUNTIME_CELL_METRICS_H
#define SNIPESHUNT_RUNTIME_CELL_METRICS_H

#include "daemon/metric_registry.h"
#include "runtime/cell_daemon.h"

namespace snipeshunt {

/// Serves `/metrics` on the address of the settings.
class CellMetrics {
public:
  explicit CellMetrics(CellDaemon &Owner);
  Result<Ok> start();

private:
  std::string text();

  CellDaemon &Owner;
  HttpServer Server;
  MetricRegistry Values;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_CELL_METRICS_H
