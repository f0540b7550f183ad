/// \file Record of the jobs of which senders may have started tasks.
#include "entry/started_cmd.h"

namespace snipeshunt {

namespace {

// Covers the further submissions of a job, which come within seconds of each
// other. Each that is answered as lost renews the record.
constexpr Duration StartedJobRetention = std::chrono::seconds(30);
// Bounds the memory. At 512 jobs a second it covers 8 s, the time for which
// senders retain results.
constexpr size_t MaxStartedJobs = 4096;

} // namespace

void recordStartedJob(StartedJobs &Record, const JobId &Job, SteadyTime Now) {
  Record.Jobs[Job] = Now;
  Record.Order.emplace_back(Now, Job);
  while (Now - Record.Order.front().first > StartedJobRetention ||
         Record.Order.size() > MaxStartedJobs) {
    auto Oldest = Record.Jobs.find(Record.Order.front().second);
    if (Oldest != Record.Jobs.end() &&
        Oldest->second == Record.Order.front().first)
      Record.Jobs.erase(Oldest);
    Record.Order.pop_front();
  }
}

bool mayHaveStarted(const StartedJobs &Record, const JobId &Job,
                    SteadyTime Now) {
  auto It = Record.Jobs.find(Job);
  return It != Record.Jobs.end() && Now - It->second <= StartedJobRetention;
}

} // namespace snipeshunt
