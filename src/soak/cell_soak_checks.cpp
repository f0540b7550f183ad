/// \file The promises of a fleet of cells, as callers and upstreams see them.
#include "soak/cell_soak_checks.h"

#include <algorithm>
#include <set>

namespace snipeshunt {

namespace {

// Tasks need 27 of the 64 cores of a stand-in.
constexpr int TasksThatFit = 2;
constexpr size_t ShownBreaks = 5;

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

PromiseReport checkOneRunAtATime(const SoakRecord &Record) {
  PromiseReport Report{"a: a task has one run at a time", 0, {}};
  std::map<std::string, int> Open;
  for (const RunEvent &E : Record.History) {
    Report.Checked += E.IsStart ? 1 : 0;
    Open[E.Task] += E.IsStart ? 1 : -1;
    if (Open[E.Task] > 1)
      Report.Broken.push_back(E.Task + " run " + E.Run + " on " + E.Runner);
  }
  return Report;
}

PromiseReport checkRoom(const SoakRecord &Record) {
  PromiseReport Report{"b: an upstream gets no more than fits", 0, {}};
  std::map<std::string, int> Open;
  for (const RunEvent &E : Record.History) {
    Report.Checked += E.IsStart ? 1 : 0;
    Open[E.Runner] += E.IsStart ? 1 : -1;
    if (E.IsStart && Open[E.Runner] > TasksThatFit)
      Report.Broken.push_back(E.Runner + " with " + E.Task);
  }
  return Report;
}

PromiseReport checkRefusals(const SoakRecord &Record) {
  PromiseReport Report{"c: what was refused has not run", 0, {}};
  std::set<std::string> Started;
  for (const RunEvent &E : Record.History)
    Started.insert(jobOf(E.Task));
  std::map<std::string, bool> Refused;
  for (const SoakAttempt &A : Record.Attempts) {
    bool NotRun = A.Status == 503 || (A.Status == 0 && A.NothingSent);
    Refused.emplace(A.Job, true).first->second &= NotRun;
  }
  for (const auto &[Job, All] : Refused) {
    Report.Checked += All ? 1 : 0;
    if (All && Started.count(Job))
      Report.Broken.push_back(Job);
  }
  return Report;
}

PromiseReport checkAnswers(const SoakRecord &Record) {
  PromiseReport Report{"d: an answer is whole and true", 0, {}};
  std::map<std::string, std::set<std::string>> Done;
  for (const RunEvent &E : Record.History)
    if (!E.IsStart && E.How == "done")
      Done[jobOf(E.Task)].insert(E.Task);
  for (const SoakAttempt &A : Record.Attempts) {
    if (A.Status == 0)
      continue;
    ++Report.Checked;
    bool IsDone = A.Status == 200 && A.Body == "{\"state\":\"done\"}";
    bool IsFailure = A.Status == 502 || A.Status == 503 || A.Status == 504;
    bool AllDone = Done[A.Job].size() == static_cast<size_t>(A.Tasks);
    if (!(IsDone && AllDone) && !(IsFailure && !A.Body.empty()))
      Report.Broken.push_back(A.Job + " status " + std::to_string(A.Status) +
                              " " + A.Body);
  }
  return Report;
}

PromiseReport checkLostAnswers(const SoakRecord &Record) {
  PromiseReport Report{"e: only a fault of the process costs an answer", 0, {}};
  std::multimap<std::string, SteadyTime> Starts;
  for (const RunEvent &E : Record.History)
    if (E.IsStart)
      Starts.emplace(jobOf(E.Task), E.At);
  for (const SoakAttempt &A : Record.Attempts) {
    if (A.HungUp || A.NothingSent)
      continue;
    ++Report.Checked;
    if (A.Status != 0)
      continue;
    // A process that shuts down may end before it has read a request; but then
    // nothing of it has started.
    auto [Begin, End] = Starts.equal_range(A.Job);
    bool Unread = std::none_of(Begin, End, [&](const auto &Start) {
      return A.Sent <= Start.second && Start.second <= A.Ended;
    });
    bool Excused = std::any_of(
        Record.Outages.begin(), Record.Outages.end(), [&](const Outage &O) {
          bool Meets =
              O.Instance == A.Instance && O.Begin <= A.Ended && A.Sent <= O.End;
          return Meets && (O.Cause != FaultAction::End || Unread);
        });
    if (!Excused)
      Report.Broken.push_back(A.Job + " at instance " +
                              std::to_string(A.Instance) + ": " + A.Body);
  }
  return Report;
}

PromiseReport checkNothingRuns(const SoakRecord &Record) {
  PromiseReport Report{"f: nothing runs for callers that are gone", 0, {}};
  std::map<std::string, int> Open;
  for (const RunEvent &E : Record.History)
    Open[E.Task] += E.IsStart ? 1 : -1;
  Report.Checked = Open.size();
  for (const auto &[Task, Count] : Open)
    if (Count != 0)
      Report.Broken.push_back(Task);
  return Report;
}

} // namespace

std::vector<PromiseReport> checkPromises(const SoakRecord &Record) {
  return {checkOneRunAtATime(Record), checkRoom(Record),
          checkRefusals(Record),      checkAnswers(Record),
          checkLostAnswers(Record),   checkNothingRuns(Record)};
}

bool anyBroken(const std::vector<PromiseReport> &Reports) {
  return std::any_of(Reports.begin(), Reports.end(),
                     [](const PromiseReport &R) { return !R.Broken.empty(); });
}

std::string formatPromises(const std::vector<PromiseReport> &Reports) {
  std::string Out;
  for (const PromiseReport &R : Reports) {
    Out += (R.Broken.empty() ? "holds  " : "BROKEN ") + R.Promise + " (" +
           std::to_string(R.Checked) + " checked, " +
           std::to_string(R.Broken.size()) + " broken)\n";
    for (size_t I = 0; I < std::min(R.Broken.size(), ShownBreaks); ++I)
      Out += "       " + R.Broken[I] + "\n";
  }
  return Out;
}

} // namespace snipeshunt
