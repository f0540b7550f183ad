/// \file Records and figures of a simulated run of a policy; the formulas are
/// in measurements.md.
#ifndef SNIPESHUNT_LOAD_POLICY_MEASURE_H
#define SNIPESHUNT_LOAD_POLICY_MEASURE_H

#include "load/policy_workload.h"

#include <string>
#include <utility>
#include <vector>

namespace snipeshunt {

/// How a job ended for its caller. None: not answered; Lost: answered, but with
/// an outcome other than complete or not run.
enum class PolicyEnd { None, Complete, Rejected, Cancelled, Lost };

/// One run of a task on an upstream.
struct PolicyTaskRun {
  size_t Job = 0;     ///< Index in `PolicyWorkload::Jobs`.
  double Started = 0; ///< Seconds since the start of the simulation.
  double Ended = 0;   ///< Seconds since the start of the simulation.
  double Speed = 1;   ///< Of the upstream.
};

/// Numbers of messages between processes. A request and its answer count as
/// two.
struct PolicyMessages {
  uint64_t Handovers = 0;
  uint64_t Reports = 0;
  uint64_t Revokes = 0;
  uint64_t BusyReplies = 0;   ///< Including the starts that they answer.
  uint64_t Announcements = 0; ///< Heartbeats sent ahead of the period.
  uint64_t Heartbeats = 0;    ///< Periodic ones; reported separately.
  uint64_t StatusPolls = 0;   ///< Reported separately.
};

/// Records of one simulated run. Times are in seconds.
struct PolicyRecord {
  std::vector<PolicyEnd> Ends; ///< By job.
  /// Response time by job; 0 if its caller got no answer or cancelled it.
  std::vector<double> Responses;
  std::vector<PolicyTaskRun> Runs;
  /// Time that each short task waited while a slot was occupied by long work.
  std::vector<double> LongWaits;
  PolicyMessages Messages;
  uint64_t Starts = 0; ///< Starts that an upstream did not reject as busy.
  uint64_t TaskFailures = 0; ///< Failures reported by failing upstreams.
  /// By failing upstream, the jobs with a task that failed on it before its
  /// sender limited it to probes.
  std::vector<uint64_t> LostBeforeProbing;
};

/// Name and value, in the order of printing.
using PolicyFigures = std::vector<std::pair<std::string, double>>;

/// Seconds of warm-up. Jobs submitted earlier are not measured, because the
/// estimates of run times have not converged.
constexpr double PolicyWarmUp = 5;

/// Computes the figures of a run of \p Seconds, as printed.
PolicyFigures figuresOf(const PolicyWorkload &W, const PolicyRecord &R,
                        double Seconds);

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_POLICY_MEASURE_H
