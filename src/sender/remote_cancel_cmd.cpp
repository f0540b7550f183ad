/// \file Record of the jobs that callers have cancelled at other instances.
#include "sender/remote_cancel_cmd.h"

namespace snipeshunt {

namespace {

// A job waits at its entry for at most a second, and cuts delay its forward by
// seconds. Cancellations by entries are kept as long.
constexpr Duration RemoteCancelRetention = std::chrono::seconds(10);
// Bounds the memory to about 2 MB. It covers a wave of 10,000 cancellations at
// once.
constexpr size_t MaxRemoteCancels = 16384;
// A submission whose request reached its entry later than this after the
// cancellation reached this sender is a new one. The margin covers what its age
// does not show: the transit of both messages. Longer delays are noticed, since
// they come with silence of the entry or late ticks of this process.
constexpr Duration ResubmissionMargin = std::chrono::milliseconds(1000);

} // namespace

void recordRemoteCancel(RemoteCancels &Record, const JobId &Job,
                        SteadyTime Now) {
  Record.Jobs[Job] = Now;
  Record.Order.emplace_back(Now, Job);
  while (Now - Record.Order.front().first > RemoteCancelRetention ||
         Record.Order.size() > MaxRemoteCancels) {
    auto Oldest = Record.Jobs.find(Record.Order.front().second);
    if (Oldest != Record.Jobs.end() &&
        Oldest->second == Record.Order.front().first)
      Record.Jobs.erase(Oldest);
    Record.Order.pop_front();
  }
}

bool isCancelledRemotely(const RemoteCancels &Record, const JobOrder &Order,
                         bool MayBeLate, SteadyTime Now) {
  auto It = Record.Jobs.find(Order.Id);
  if (It == Record.Jobs.end() || Now - It->second > RemoteCancelRetention)
    return false;
  return MayBeLate || Now - Order.Age <= It->second + ResubmissionMargin;
}

} // namespace snipeshunt
