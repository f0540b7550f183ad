/// \file Seeded workloads for comparing scheduling policies.
#ifndef SNIPESHUNT_LOAD_POLICY_WORKLOAD_H
#define SNIPESHUNT_LOAD_POLICY_WORKLOAD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

/// One task of a generated job. Times are in seconds.
struct PolicyTask {
  std::string Kind;
  double Base = 0;        ///< Run time at speed 1.
  int64_t DeclaredMs = 0; ///< What the caller says of it; 0 is nothing.
};

/// One generated job.
struct PolicyJob {
  double At = 0; ///< When the caller submits it.
  uint32_t Team = 0;
  std::vector<PolicyTask> Tasks;
  std::optional<double> CancelAt; ///< When the caller cancels it.
};

/// The jobs of a run and the upstreams that they meet.
struct PolicyWorkload {
  std::vector<double> Speeds; ///< One for each upstream.
  std::vector<PolicyJob> Jobs;
  std::optional<double> FailFrom; ///< When every tenth upstream starts failing.
};

constexpr uint32_t PolicyUpstreams = 50;
constexpr uint32_t PolicySlots = 8;

/// Generates the workload called \p Name; none if there is no such workload.
std::optional<PolicyWorkload> makeWorkload(std::string_view Name, double Load,
                                           double Seconds, uint64_t Seed);

/// Work per second, at speed 1, that all slots can do.
double capacityOf(const PolicyWorkload &W);

/// Response time of \p Job on an empty system with perfect knowledge.
double idealResponse(const PolicyWorkload &W, const PolicyJob &Job);

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_POLICY_WORKLOAD_H
