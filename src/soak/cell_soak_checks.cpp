/// \file The promises of a fleet of cells, as callers and upstreams see them.
#include "soak/cell_soak_checks.h"

#include <algorithm>
#include <set>

namespace snipeshunt {

namespace {

// Tasks need 27 of the 64 cores of a stand-in.
constexpr int MaxConcurrentTasks = 2;

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

GuaranteeReport checkOneRunAtATime(const SoakRecord &Record) {
  GuaranteeReport Report{"a: a task has one run at a time"};
  for (const RunEvent &E : Record.History)
    Report.Checked += E.IsStart ? 1 : 0;
  for (const RunEvent &E : overlappingStarts(Record.History))
    addViolation(Report, E.Task + " run " + E.Run + " on " + E.Runner);
  return Report;
}

GuaranteeReport checkCapacity(const SoakRecord &Record) {
  GuaranteeReport Report{"b: an upstream gets no more than fits"};
  std::map<std::string, int> Open;
  for (const RunEvent &E : Record.History) {
    Report.Checked += E.IsStart ? 1 : 0;
    Open[E.Runner] += E.IsStart ? 1 : -1;
    if (E.IsStart && Open[E.Runner] > MaxConcurrentTasks)
      addViolation(Report, E.Runner + " with " + E.Task);
  }
  return Report;
}

GuaranteeReport checkRejections(const SoakRecord &Record) {
  GuaranteeReport Report{"c: what was refused has not run"};
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
      addViolation(Report, Job);
  }
  return Report;
}

GuaranteeReport checkAnswers(const SoakRecord &Record) {
  GuaranteeReport Report{"d: an answer is whole and true"};
  std::map<std::string, std::set<std::string>> Done;
  for (const RunEvent &E : Record.History)
    if (!E.IsStart && E.How == "done")
      Done[jobOf(E.Task)].insert(E.Task);
  for (const SoakAttempt &A : Record.Attempts) {
    if (A.Status == 0)
      continue;
    ++Report.Checked;
    bool IsDone = A.Status == 200 && saysDone(A.Body);
    bool IsFailure = A.Status == 502 || A.Status == 503 || A.Status == 504;
    bool AllDone = Done[A.Job].size() == static_cast<size_t>(A.Tasks);
    if (!(IsDone && AllDone) && !(IsFailure && !A.Body.empty()))
      addViolation(Report, A.Job + " status " + std::to_string(A.Status) + " " +
                               A.Body);
  }
  return Report;
}

GuaranteeReport checkLostAnswers(const SoakRecord &Record) {
  GuaranteeReport Report{"e: only a fault of the process costs an answer"};
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
    // A process that shuts down may end before it has read a request; but then
    // nothing of it has started.
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
      addViolation(Report, A.Job + " at instance " +
                               std::to_string(A.Instance) + ": " + A.Body);
  }
  return Report;
}

GuaranteeReport checkNoOpenRuns(const SoakRecord &Record) {
  GuaranteeReport Report{"f: nothing runs for callers that are gone"};
  std::map<std::string, int> Open = openRuns(Record.History);
  Report.Checked = Open.size();
  for (const auto &[Task, Count] : Open)
    if (Count != 0)
      addViolation(Report, Task);
  return Report;
}

} // namespace

std::vector<GuaranteeReport> checkGuarantees(const SoakRecord &Record) {
  return {checkOneRunAtATime(Record), checkCapacity(Record),
          checkRejections(Record),    checkAnswers(Record),
          checkLostAnswers(Record),   checkNoOpenRuns(Record)};
}

} // namespace snipeshunt
