/// \file Checks the guarantees of a fleet of cells against what callers and
/// upstreams recorded.
#include "soak/cell_soak_checks.h"

#include "soak/hostile_clients.h"

#include <algorithm>
#include <set>

namespace snipeshunt {

namespace {

// Capacity of a stand-in upstream and need of a caller's task, in thousandths
// of a core.
constexpr int64_t UpstreamCpuMillis = 64000;
constexpr int64_t TaskCpuMillis = 27000;

int64_t cpuMillisOf(const std::string &Task) {
  return Task.rfind(HostileIdPrefix, 0) == 0 ? HostileTaskCpuMillis
                                             : TaskCpuMillis;
}

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

GuaranteeReport checkOneRunAtATime(const SoakRecord &Record) {
  GuaranteeReport Report{"a: a task has at most one run at a time"};
  for (const RunEvent &E : Record.History)
    Report.Checked += E.IsStart ? 1 : 0;
  for (const RunEvent &E : overlappingStarts(Record.History))
    addViolation(Report, "second run of " + E.Task + " started: run " + E.Run +
                             " on " + E.Runner);
  return Report;
}

GuaranteeReport checkCapacity(const SoakRecord &Record) {
  GuaranteeReport Report{"b: an upstream is not given more tasks than fit"};
  std::map<std::string, int64_t> Used;
  for (const RunEvent &E : Record.History) {
    Report.Checked += E.IsStart ? 1 : 0;
    Used[E.Runner] += (E.IsStart ? 1 : -1) * cpuMillisOf(E.Task);
    if (E.IsStart && Used[E.Runner] > UpstreamCpuMillis)
      addViolation(Report, E.Runner + " has " + std::to_string(Used[E.Runner]) +
                               " thousandths of a core in use after the start "
                               "of " +
                               E.Task);
  }
  return Report;
}

GuaranteeReport checkRejections(const SoakRecord &Record) {
  GuaranteeReport Report{"c: no task of a rejected job has run"};
  std::set<std::string> Started;
  for (const RunEvent &E : Record.History)
    Started.insert(jobOf(E.Task));
  std::map<std::string, bool> Rejected;
  for (const SoakAttempt &A : Record.Attempts) {
    bool NotRun = A.Status == 503 || (A.Status == 0 && A.NothingSent);
    Rejected.emplace(A.Job, true).first->second &= NotRun;
  }
  for (const auto &[Job, All] : Rejected) {
    Report.Checked += All ? 1 : 0;
    if (All && Started.count(Job))
      addViolation(Report, "job " + Job + " was rejected but has run");
  }
  return Report;
}

GuaranteeReport checkAnswers(const SoakRecord &Record) {
  GuaranteeReport Report{"d: every answer is complete and correct"};
  std::map<std::string, std::set<std::string>> Done;
  for (const RunEvent &E : Record.History)
    if (!E.IsStart && E.Outcome == "done")
      Done[jobOf(E.Task)].insert(E.Task);
  for (const SoakAttempt &A : Record.Attempts) {
    if (A.Status == 0)
      continue;
    ++Report.Checked;
    bool IsDone = A.Status == 200 && reportsDone(A.Body);
    bool IsFailure = A.Status == 502 || A.Status == 503 || A.Status == 504;
    bool AllDone = Done[A.Job].size() == static_cast<size_t>(A.Tasks);
    if (!(IsDone && AllDone) && !(IsFailure && !A.Body.empty()))
      addViolation(Report, "job " + A.Job + " with " + std::to_string(A.Tasks) +
                               " tasks, of which " +
                               std::to_string(Done[A.Job].size()) +
                               " ran, was answered with status " +
                               std::to_string(A.Status) + ": " + A.Body);
  }
  return Report;
}

GuaranteeReport checkLostAnswers(const SoakRecord &Record) {
  GuaranteeReport Report{
      "e: answers are lost only through faults of the instance's process"};
  std::multimap<std::string, SteadyTime> Starts;
  for (const RunEvent &E : Record.History)
    if (E.IsStart)
      Starts.emplace(jobOf(E.Task), E.At);
  for (const SoakAttempt &A : Record.Attempts) {
    if (A.Disconnected || A.NothingSent)
      continue;
    ++Report.Checked;
    if (A.Status != 0)
      continue;
    // A process that shuts down may exit before it has read a request, but then
    // no task of the request may have started.
    auto [Begin, End] = Starts.equal_range(A.Job);
    bool RequestUnread = std::none_of(Begin, End, [&](const auto &Start) {
      return A.Sent <= Start.second && Start.second <= A.Ended;
    });
    bool Excused = std::any_of(
        Record.Outages.begin(), Record.Outages.end(), [&](const Outage &O) {
          bool Overlaps =
              O.Instance == A.Instance && O.Begin <= A.Ended && A.Sent <= O.End;
          return Overlaps && (O.Cause != FaultAction::End || RequestUnread);
        });
    if (!Excused)
      addViolation(Report, "job " + A.Job + " got no answer from instance " +
                               std::to_string(A.Instance) + ": " + A.Body);
  }
  return Report;
}

GuaranteeReport checkNoOpenRuns(const SoakRecord &Record) {
  GuaranteeReport Report{"f: no task runs on after its job has ended"};
  std::map<std::string, int> Open = openRuns(Record.History);
  Report.Checked = Open.size();
  for (const auto &[Task, Count] : Open)
    if (Count != 0)
      addViolation(Report, Task + ": " + std::to_string(Count) +
                               " more starts than ends of runs");
  return Report;
}

} // namespace

std::vector<GuaranteeReport> checkGuarantees(const SoakRecord &Record) {
  return {checkOneRunAtATime(Record), checkCapacity(Record),
          checkRejections(Record),    checkAnswers(Record),
          checkLostAnswers(Record),   checkNoOpenRuns(Record)};
}

} // namespace snipeshunt
