/// \file Metrics of an instance of a fleet of cells.
#ifndef SNIPESHUNT_RUNTIME_CELL_METRICS_H
#define SNIPESHUNT_RUNTIME_CELL_METRICS_H

#include "daemon/metric_registry.h"
#include "runtime/cell_daemon.h"

#include <set>

namespace snipeshunt {

/// Serves `/metrics` on the address `metrics` of the settings.
class CellMetrics {
public:
  explicit CellMetrics(CellDaemon &Owner);
  /// Starts to listen; does nothing if the settings have no such address.
  Result<Ok> start();

private:
  /// Updates all values and returns them in the format of Prometheus.
  std::string text();
  /// Updates the values about evacuations, if the settings have a bound.
  void setEvacuationMetrics();
  /// Updates the values of incoming connections.
  void addConnections(const std::string &Prefix, const ConnectionTable &Table);
  void setShares(const QueueShares &Shares);

  CellDaemon &Owner;
  HttpServer Server;
  MetricRegistry Values;
  std::set<DataCentre> EvacuationsShown; ///< With a value of `evacuated`.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_CELL_METRICS_H
