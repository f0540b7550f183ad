/// \file The queue of waiting tasks of one instance, which holds tasks of its
/// own jobs and tasks received from other instances, and the learned run times.
#ifndef SNIPESHUNT_SCHEDULING_QUEUE_BASE_H
#define SNIPESHUNT_SCHEDULING_QUEUE_BASE_H

#include "jobs/job_type.h"

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// A task that waits for a free slot of an upstream.
struct WaitingTask {
  TaskKey Key;
  TaskSpecPtr Spec;
  Team Owner; ///< Team that submitted the job.
  /// Start of the wait; unchanged by retries and handovers.
  SteadyTime Enqueued;
  /// Start deadline; the task is not started at or after this time.
  SteadyTime StartBefore;
  /// Earliest start; later than the present during the backoff after an attempt
  /// that has not started the task.
  SteadyTime NotBefore;
  Duration Estimate{0}; ///< Estimated run time on an upstream of speed 1.
  /// Estimated response time of its job on an empty system; 0 for tasks of
  /// other instances, which are ranked by `Estimate`.
  Duration Span{0};
  bool Long = false; ///< Waits in the lane of long tasks.
  /// Order within the lane, lowest first; computed by the order rule of the
  /// policy.
  double Rank = 0;
  /// Breaks ties of `Rank`; assigned by `WaitingQueue::push`.
  uint64_t Arrival = 0;
};

/// The waiting tasks in two lanes, short and long, each ordered by rank.
class WaitingQueue {
public:
  /// Adds a task, which must not be in the queue.
  void push(WaitingTask Task);
  /// Removes and returns the task, if it is in the queue.
  std::optional<WaitingTask> erase(const TaskKey &Key);
  bool contains(const TaskKey &Key) const { return Tasks.count(Key) != 0; }

  /// Visits the tasks of one lane by rank until \p Visit returns false.
  /// \p Visit must not change the queue.
  void visit(bool Long,
             const std::function<bool(const WaitingTask &)> &Visit) const;

  size_t size() const { return Tasks.size(); }
  /// Number of tasks in one lane.
  size_t size(bool Long) const { return Lanes[Long].size(); }
  /// Sum of the estimated run times at speed 1.
  Duration work() const { return Work; }

private:
  struct Position {
    double Rank;
    uint64_t Arrival;
    TaskKey Key;
    friend bool operator<(const Position &L, const Position &R) {
      return std::tie(L.Rank, L.Arrival) < std::tie(R.Rank, R.Arrival);
    }
  };

  std::unordered_map<TaskKey, WaitingTask> Tasks;
  std::array<std::set<Position>, 2> Lanes;
  Duration Work{0};
  uint64_t NextArrival = 1;
};

/// Measured run times per task kind, scaled to speed 1. `MeanSeconds` is a
/// moving average over `Samples` runs.
struct RuntimeEstimates {
  struct KindEstimate {
    double MeanSeconds = 0;
    uint64_t Samples = 0;
  };
  std::unordered_map<TaskKind, KindEstimate> Kinds;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_QUEUE_BASE_H
