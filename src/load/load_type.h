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

/// What the load program does.
struct LoadOptions {
  FleetOptions Fleet;             ///< Started unless `Targets` are given.
  std::vector<Address> Targets;   ///< Instances of a running fleet.
  std::vector<double> Speeds;     ///< Of upstreams, repeated in turn.
  double JobsPerSecond = 200;     ///< Mean of a Poisson process; 0 sends none.
  uint32_t TasksPerJob = 1;       ///< Tasks in each job.
  RunTimes Run;                   ///< Run times of tasks.
  double WarmUpSeconds = 2;       ///< Sent before the measurement.
  double Seconds = 10;            ///< Length of the measurement.
  double GraceSeconds = 30;       ///< Wait for answers after the last job.
  uint64_t Seed = 1;              ///< Of arrivals, run times and fleet.
  uint32_t Teams = 1;             ///< Jobs are spread over these.
  uint32_t ExpectedMs = 0;        ///< Declared run time; 0 declares none.
  uint32_t PatienceMs = 30000;    ///< Of each job.
  uint32_t PayloadBytes = 0;      ///< Least size of a payload.
  double ForwardShare = 0;        ///< Share of jobs not sent to their home.
  uint64_t JobLimit = 1ULL << 62; ///< Sending stops after this many jobs.
  bool Json = false;              ///< Prints JSON.
};

/// Use of the machine by one process since its start.
struct ProcessUse {
  double CpuSeconds = 0;
  uint64_t ResidentBytes = 0;
};

/// State of all instances at one moment.
struct Snapshot {
  SteadyTime At{};
  std::vector<ProcessUse> Instances; ///< Empty for a fleet of others.
  ProcessUse Caller;                 ///< This program.
  /// Metrics by instance and name.
  std::vector<std::map<std::string, double>> Metrics;
};

/// What the callers saw in the measured time.
struct CallerCounts {
  uint64_t Sent = 0;
  uint64_t Completed = 0;
  uint64_t Rejected = 0; ///< Answers with outcome `not_run`.
  uint64_t Failed = 0;   ///< Other answers.
  uint64_t NoAnswer = 0; ///< Lost connections and jobs open at the end.
  std::vector<double> ResponseMs; ///< Of complete jobs, from the due time.
  std::vector<double> AddedMs;    ///< From sending, less the longest task.
  std::vector<double> LateMs;     ///< Delay of the callers after the due time.
};

/// Everything that one run gives.
struct LoadResult {
  CallerCounts Counts;
  Snapshot Before; ///< At the start of the measured time.
  Snapshot After;  ///< At its end.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_LOAD_TYPE_H
