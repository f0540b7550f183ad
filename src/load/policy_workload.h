/// \file Seeded workloads for comparing scheduling policies.
#ifndef SNIPESHUNT_LOAD_POLICY_WORKLOAD_H
#define SNIPESHUNT_LOAD_POLICY_WORKLOAD_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

/// One task of a generated job. Times are in seconds unless named otherwise.
struct PolicyTask {
  std::string Kind;
  double Base = 0;        ///< Run time at speed 1.
  int64_t DeclaredMs = 0; ///< Run time that the caller declares; 0: none.
};

/// One generated job. Times are in seconds since the start.
struct PolicyJob {
  double At = 0; ///< When the caller submits it.
  uint32_t Team = 0;
  std::vector<PolicyTask> Tasks;
  std::optional<double> CancelAt; ///< When the caller cancels it.
};

/// The jobs and upstreams of a simulated run.
struct PolicyWorkload {
  std::vector<double> Speeds;  ///< By upstream.
  std::vector<PolicyJob> Jobs; ///< By time of submission.
  /// When every tenth upstream starts to fail all tasks, in seconds.
  std::optional<double> FailFrom;
};

constexpr uint32_t PolicyUpstreams = 50; ///< Upstreams of the fleet.
constexpr uint32_t PolicySlots = 8;      ///< Slots of each upstream.

/// Generates the jobs of \p Seconds for the workload called \p Name; nothing if
/// there is no such workload. \p Load is the share of the capacity that the
/// submitted work needs on average.
std::optional<PolicyWorkload> makeWorkload(std::string_view Name, double Load,
                                           double Seconds, uint64_t Seed);

/// Returns the work per second that all slots can do, in seconds at speed 1.
double capacityOf(const PolicyWorkload &W);

/// Returns the shortest response time of \p Job possible on an idle fleet, in
/// seconds.
double idealResponse(const PolicyWorkload &W, const PolicyJob &Job);

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_POLICY_WORKLOAD_H
