/// \file The queue of waiting tasks.
#include "scheduling/queue_base.h"

namespace snipeshunt {

void WaitingQueue::push(WaitingTask Task) {
  Task.Arrival = NextArrival++;
  Work += Task.Estimate;
  Lanes[Task.Long].insert({Task.Rank, Task.Arrival, Task.Key});
  TaskKey Key = Task.Key;
  Tasks.insert_or_assign(Key, std::move(Task));
}

std::optional<WaitingTask> WaitingQueue::erase(const TaskKey &Key) {
  auto It = Tasks.find(Key);
  if (It == Tasks.end())
    return std::nullopt;
  WaitingTask Task = std::move(It->second);
  Tasks.erase(It);
  Lanes[Task.Long].erase({Task.Rank, Task.Arrival, Key});
  Work -= Task.Estimate;
  return Task;
}

void WaitingQueue::visit(
    bool Long, const std::function<bool(const WaitingTask &)> &Visit) const {
  for (const Position &O : Lanes[Long])
    if (!Visit(Tasks.at(O.Key)))
      return;
}

} // namespace snipeshunt
