/// \file What a run of a policy gives; the formulas are in measurements.md.
#ifndef SNIPESHUNT_LOAD_POLICY_MEASURE_H
#define SNIPESHUNT_LOAD_POLICY_MEASURE_H

#include "load/policy_workload.h"

#include <string>
#include <utility>
#include <vector>

namespace snipeshunt {

/// How a job ended for its caller.
enum class PolicyEnd { None, Complete, Rejected, Cancelled, Lost };

/// One run of a task on an upstream.
struct PolicyTaskRun {
  size_t Job = 0;
  double Started = 0;
  double Ended = 0;
  double Speed = 1;
};

/// Messages between processes, requests and answers counted singly.
struct PolicyMessages {
  uint64_t Handovers = 0;
  uint64_t Reports = 0;
  uint64_t Revokes = 0;
  uint64_t BusyReplies = 0;   ///< With the starts that they answer.
  uint64_t Announcements = 0; ///< Heartbeats ahead of their time.
  uint64_t Heartbeats = 0;    ///< Periodic, reported separately.
  uint64_t StatusPolls = 0;   ///< Reported separately.
};

/// Everything that a run records.
struct PolicyRecord {
  std::vector<PolicyEnd> Ends;   ///< Of each job.
  std::vector<double> Responses; ///< Of each job; only of complete ones.
  std::vector<PolicyTaskRun> Runs;
  std::vector<double> LongWaits; ///< Waits of short tasks behind long work.
  PolicyMessages Messages;
  uint64_t Starts = 0;
  uint64_t TaskFailures = 0; ///< Failures reported by failing upstreams.
  /// Jobs lost to each failing upstream before it got only probes.
  std::vector<uint64_t> LostBeforeProbing;
};

/// Name and value, in the order of printing.
using PolicyFigures = std::vector<std::pair<std::string, double>>;

/// Jobs submitted before this are not measured: estimates are being learned.
constexpr double PolicyWarmUp = 5;

PolicyFigures figuresOf(const PolicyWorkload &W, const PolicyRecord &R,
                        double Seconds);

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_POLICY_MEASURE_H
