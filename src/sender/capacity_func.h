/// \file Capacity of a sender and the expected wait for it.
#ifndef SNIPESHUNT_SENDER_CAPACITY_FUNC_H
#define SNIPESHUNT_SENDER_CAPACITY_FUNC_H

#include "sender/sender_base.h"

namespace snipeshunt {

/// Capacity and use of the upstreams that are or will soon be usable.
struct CapacityUsage {
  bool Unknown = false;   ///< The list of upstreams is being read.
  int64_t TotalCpu = 0;   ///< Thousandths of a core.
  int64_t FreeCpu = 0;    ///< Thousandths of a core.
  double RunningWork = 0; ///< Rest of the runs, as in `waitingWork`.
};

CapacityUsage measureCapacity(const SenderState &State, SteadyTime Now);

/// Returns true if tasks are placed and upstreams renewed only at the ticks;
/// see `ManyRuns`.
bool hasManyRuns(const SenderState &State);

/// Expected wait of a task behind waiting tasks that need \p Cpu thousandths of
/// a core and \p Work thousandths of core-seconds in total.
Duration delayBehind(const CapacityUsage &Usage, int64_t Cpu, double Work);

/// Share of the capacity that jobs in time leave to late jobs.
double spareShare(const SenderState &State, const CapacityUsage &Usage,
                  SteadyTime Now);

/// Expected wait of a new job.
struct ExpectedWait {
  Duration Delay{0};
  bool Late = false; ///< The job would miss its objective.
  /// During an overload: capacity is free that no other job waits for.
  bool FreeNow = false;
};

/// Expected wait of \p J behind the jobs that rank before it.
ExpectedWait expectedWait(const SenderState &State, const SenderJob &J,
                          SteadyTime Now);

/// Returns true if a job that waits for \p Delay can end by
/// `SenderJob::LatestUsefulEnd`.
bool endsInTime(const SenderJob &J, Duration Delay, SteadyTime Now);

/// Returns true if the total capacity of an upstream covers a task of \p Order,
/// or the list of upstreams is still being read.
bool fitsAnyUpstream(const SenderState &State, const JobOrder &Order);

/// Load of this sender, as it applies to a new job that can still meet its
/// objective.
SenderLoad senderLoad(const SenderState &State, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_CAPACITY_FUNC_H
