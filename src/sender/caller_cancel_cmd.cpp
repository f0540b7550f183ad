/// \file Record of the jobs that callers have cancelled, here or at other
/// instances.
#include "sender/caller_cancel_cmd.h"

#include "sender/open_job_type.h"

namespace snipeshunt {

namespace {

// Bounds the memory to about 3 MB with ids of 16 bytes, and to 11 MB with the
// longest. It covers a wave of 10,000 cancellations at once.
constexpr size_t MaxCallerCancels = 16384;

} // namespace

void recordCallerCancel(CallerCancels &Record, const JobId &Job,
                        SteadyTime Now) {
  // A header has room for ids of many kilobytes, and no job has such a one.
  if (Job.Value.size() > MaxJobIdLength)
    return;
  Record.Jobs[Job] = Now;
  Record.Order.emplace_back(Now, Job);
  while (Now - Record.Order.front().first > CancelledJobRetention ||
         Record.Order.size() > MaxCallerCancels) {
    auto Oldest = Record.Jobs.find(Record.Order.front().second);
    if (Oldest != Record.Jobs.end() &&
        Oldest->second == Record.Order.front().first)
      Record.Jobs.erase(Oldest);
    Record.Order.pop_front();
  }
}

bool isCancelledByCaller(const CallerCancels &Record, const JobId &Job,
                         SteadyTime Now) {
  auto It = Record.Jobs.find(Job);
  return It != Record.Jobs.end() && Now - It->second <= CancelledJobRetention;
}

} // namespace snipeshunt
