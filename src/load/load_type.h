/// \file Options and measurements of the load program.
#ifndef SNIPESHUNT_LOAD_LOAD_TYPE_H
#define SNIPESHUNT_LOAD_LOAD_TYPE_H

#include "core/clock.h"
#include "core/id_type.h"
#include "fleet/fleet.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipeshunt {

/// Distribution of the run times of tasks, in ms at speed 1.
struct RunTimes {
  enum class Shape { Constant, Uniform, Exponential };
  Shape Form = Shape::Constant;
  double First = 5;  ///< The constant, the least or the mean.
  double Second = 0; ///< The greatest of a uniform distribution.
};

/// Options of the load program.
struct LoadOptions {
  FleetOptions Fleet;             ///< Fleet to start if `Targets` is empty.
  std::vector<Address> Targets;   ///< Instances of a running fleet.
  std::vector<double> Speeds;     ///< Of each data centre's upstreams, in turn.
  double JobsPerSecond = 200;     ///< Mean of a Poisson process; 0 sends none.
  uint32_t TasksPerJob = 1;       ///< Tasks in each job.
  RunTimes Run;                   ///< Run times of tasks.
  double WarmUpSeconds = 2;       ///< Time with load before the measurement.
  double Seconds = 10;            ///< Length of the measurement.
  double GraceSeconds = 30;       ///< Limit of the wait for open answers.
  uint64_t Seed = 1;              ///< Of arrivals, run times and fleet.
  uint32_t Teams = 1;             ///< Jobs are spread over these.
  uint32_t ExpectedMs = 0;        ///< Declared run time; 0 declares none.
  uint32_t PatienceMs = 30000;    ///< Time limit of each job.
  uint32_t PayloadBytes = 0;      ///< Minimum size of a payload.
  double ForwardShare = 0;        ///< Share of jobs not sent to their home.
  uint64_t JobLimit = 1ULL << 62; ///< Sending stops after this many jobs.
  bool Json = false;              ///< Prints JSON.
};

/// Resource use of one process.
struct ProcessUse {
  double CpuSeconds = 0;      ///< User and system time since its start.
  uint64_t ResidentBytes = 0; ///< Resident memory now.
};

/// State of all instances at one moment.
struct Snapshot {
  SteadyTime At{};
  /// Empty if the load program did not start the fleet.
  std::vector<ProcessUse> Instances;
  ProcessUse Caller; ///< The load program itself.
  /// Metrics by instance and name.
  std::vector<std::map<std::string, double>> Metrics;
};

/// Answers to the jobs that were due in the measured time.
struct CallerCounts {
  uint64_t Sent = 0;
  uint64_t Completed = 0; ///< Answers with status 200.
  uint64_t Rejected = 0;  ///< Answers with status 429 or 503.
  uint64_t Failed = 0;    ///< Other answers.
  uint64_t NoAnswer = 0;  ///< Lost connections and jobs open at the end.
  std::vector<double> ResponseMs; ///< Of completed jobs, since the due time.
  std::vector<double> AddedMs; ///< Since sending, minus the longest run time.
  std::vector<double> LateMs;  ///< From the due time to sending, of each job.
};

/// Result of one measurement.
struct LoadResult {
  CallerCounts Counts;
  Snapshot Before; ///< At the start of the measured time.
  Snapshot After;  ///< At its end.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_LOAD_TYPE_H
