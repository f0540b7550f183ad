/// \file Memory and descriptors of the instances of a soak test.
#ifndef SNIPESHUNT_SOAK_RESOURCE_MONITOR_H
#define SNIPESHUNT_SOAK_RESOURCE_MONITOR_H

#include "history/history_func.h"
#include "standins/cell_fleet.h"

namespace snipeshunt {

/// Records the highest use of all processes.
class ResourceMonitor {
public:
  /// No instance may have more than \p MaxDescriptors descriptors, nor more
  /// memory than the smallest machine.
  ResourceMonitor(CellFleet &Target, size_t MaxDescriptors)
      : F(Target), MaxDescriptors(MaxDescriptors) {}

  /// Looks at the running processes. A process that ends between two calls may
  /// have used more before its end.
  void sample();
  /// Returns whether the bounds were kept.
  GuaranteeReport report() const;
  /// Returns one line with the highest values.
  std::string summary() const;

private:
  CellFleet &F;
  size_t MaxDescriptors;
  size_t Samples = 0;
  size_t ResidentKb = 0;
  size_t Descriptors = 0;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_RESOURCE_MONITOR_H
