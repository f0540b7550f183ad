/// \file Waiting tasks of one instance: its own jobs' and handed-over ones.
#ifndef SNIPESHUNT_SCHEDULING_QUEUE_BASE_H
#define SNIPESHUNT_SCHEDULING_QUEUE_BASE_H

#include "jobs/job_type.h"

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// A task that waits for a slot.
struct WaitingTask {
  TaskKey Key;
  TaskSpecPtr Spec;
  Team Owner;
  SteadyTime Enqueued;    ///< Start of the wait, kept over retries.
  SteadyTime StartBefore; ///< Not started after this time.
  SteadyTime NotBefore;   ///< Backoff after an attempt that did not start.
  Duration Estimate{0};   ///< Run time at speed 1.
  Duration Span{0};       ///< Expected response of its job on an empty system.
  bool Long = false;      ///< Belongs to the lane of long tasks.
  double Rank = 0;        ///< Lower goes first; set by the order policy.
  uint64_t Arrival = 0;   ///< Breaks ties by order of arrival.
};

/// The tasks that wait, ordered within two lanes.
class WaitingQueue {
public:
  void push(WaitingTask Task);
  /// Removes and gives the task, if it waits here.
  std::optional<WaitingTask> erase(const TaskKey &Key);
  bool contains(const TaskKey &Key) const { return Tasks.count(Key) != 0; }

  /// Visits tasks of a lane in order until \p Visit gives false.
  void visit(bool Long,
             const std::function<bool(const WaitingTask &)> &Visit) const;

  size_t size() const { return Tasks.size(); }
  size_t size(bool Long) const { return Lanes[Long].size(); }
  /// Sum of the estimates.
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

/// Run times learned per task kind, at speed 1.
struct RuntimeEstimates {
  struct KindEstimate {
    double MeanSeconds = 0;
    uint64_t Samples = 0;
  };
  std::unordered_map<TaskKind, KindEstimate> Kinds;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SCHEDULING_QUEUE_BASE_H
