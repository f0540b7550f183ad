/// \file Memory and descriptors of the instances of a soak test.
#include "soak/resource_monitor.h"

#include <algorithm>

namespace snipeshunt {

namespace {

constexpr size_t MaxResidentKb = 120 * 1024; // Memory of the smallest machine.

} // namespace

void ResourceMonitor::sample() {
  ++Samples;
  for (size_t I = 0; I < F.instances(); ++I) {
    ResidentKb = std::max(ResidentKb, F.process(I).peakResidentKb());
    Descriptors = std::max(Descriptors, F.process(I).openDescriptors());
  }
}

GuaranteeReport ResourceMonitor::report() const {
  GuaranteeReport Report{"j: memory and descriptors stay within their bounds",
                         Samples};
  if (ResidentKb > MaxResidentKb)
    addViolation(Report, "an instance had " + std::to_string(ResidentKb) +
                             " KB, the bound is " +
                             std::to_string(MaxResidentKb));
  if (Descriptors > MaxDescriptors)
    addViolation(Report, "an instance had " + std::to_string(Descriptors) +
                             " open descriptors, the bound is " +
                             std::to_string(MaxDescriptors));
  return Report;
}

std::string ResourceMonitor::summary() const {
  return "peak_resident_kb=" + std::to_string(ResidentKb) +
         " peak_descriptors=" + std::to_string(Descriptors) + "\n";
}

} // namespace snipeshunt
