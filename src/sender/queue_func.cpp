/// \file The queue of a sender: its order and the work that waits in it.
#include "sender/queue_func.h"

#include "core/duration_func.h"
#include "sender/queue_share_cmd.h"
#include "sender/sender_table.h"

#include <algorithm>

namespace snipeshunt {

int64_t waitingCpu(const SenderJob &J) {
  return J.Order.Step.PerTask.CpuMillis * static_cast<int64_t>(J.WaitingTasks);
}

double waitingWork(const SenderJob &J) {
  return static_cast<double>(waitingCpu(J)) * toSeconds(J.ExpectedRunTime);
}

QueueRank rankOf(const SenderState &State, const SenderJob &J, SteadyTime Now) {
  SteadyTime LatestStart = J.Objective - J.ExpectedRunTime;
  // Estimates are rough, so a slight delay does not lower a job's rank.
  SteadyTime Limit =
      LatestStart + scaled(J.Objective - J.Arrived, LateStartTolerance);
  bool Late = !J.Started && (J.AdmittedLate || Limit < Now);
  return {Late ? 1 : 0,
          rankPriority(State.Shares, J.Order.Priority,
                       LatestStart < Now + LateSoonTime, J.Started),
          LatestStart, J.Order.Id};
}

std::vector<std::pair<QueueRank, SenderJob *>> rankedQueue(SenderState &State,
                                                           SteadyTime Now) {
  std::vector<std::pair<QueueRank, SenderJob *>> Queue;
  for (auto &[Id, J] : State.Jobs)
    if (J.WaitingTasks > 0)
      Queue.emplace_back(rankOf(State, J, Now), &J);
  std::sort(Queue.begin(), Queue.end(),
            [](const auto &L, const auto &R) { return L.first < R.first; });
  return Queue;
}

uint64_t countWaitingJobs(const SenderState &State, const std::string &Queue) {
  uint64_t Count = 0;
  for (const auto &[Id, J] : State.Jobs)
    if (!J.Started && J.Order.Queue == Queue)
      ++Count;
  return Count;
}

} // namespace snipeshunt
