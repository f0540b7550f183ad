/// \file Attribution of upstreams' crashes to the tasks that ran on them.
#include "sender/crash_cmd.h"

#include "sender/job_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

namespace snipeshunt {

namespace {

// Covers the further submissions of a lost job, and the time until an upstream
// is back that crashed without a sign.
constexpr Duration CrashRetention = std::chrono::seconds(30);
constexpr size_t MaxCrashHistory = 4096;

/// Sets the crashes under a task, and removes the oldest records of jobs.
void setCrashes(CrashHistory &History, const JobId &Job, uint32_t Index,
                uint32_t Crashes, SteadyTime Now) {
  JobCrashes &Entry = History.Jobs[Job];
  Entry.Tasks[Index] = Crashes;
  Entry.Updated = Now;
  History.Order.emplace_back(Now, Job);
  while (Now - History.Order.front().first > CrashRetention ||
         History.Order.size() > MaxCrashHistory) {
    auto Oldest = History.Jobs.find(History.Order.front().second);
    if (Oldest != History.Jobs.end() &&
        Oldest->second.Updated == History.Order.front().first)
      History.Jobs.erase(Oldest);
    History.Order.pop_front();
  }
}

/// Returns the runs that the process of \p U may have had when it ended, and
/// that no crash was attributed to yet, and marks them.
std::vector<RunKey> takeSuspectedRuns(SenderUpstream &U) {
  std::vector<RunKey> Suspects = std::move(U.LapsedRuns);
  U.LapsedRuns.clear();
  for (auto &[Key, Run] : U.Runs) {
    // A start whose connection broke may have arrived. Whether one that still
    // awaits its answer did is not known yet.
    if (Run.Phase == RunPhase::Starting || Run.CrashCounted)
      continue;
    Run.CrashCounted = true;
    Suspects.push_back(Key);
  }
  return Suspects;
}

/// Returns those of \p Suspects to which a crash is attributed. A task that
/// was on an upstream that crashed before explains the crash, so the others are
/// not suspected. If there are several such tasks, each may be innocent.
std::vector<RunKey> attributeCrash(const CrashHistory &History,
                                   std::vector<RunKey> Suspects) {
  std::vector<RunKey> Repeated;
  for (const RunKey &Key : Suspects)
    if (crashesOf(History, Key.Job, Key.Index) > 0)
      Repeated.push_back(Key);
  if (Repeated.empty())
    return Suspects;
  if (Repeated.size() > 1)
    Repeated.clear();
  return Repeated;
}

/// Returns " NAME=" and the milliseconds since \p Then, or "none".
std::string sinceText(const char *Name, SteadyTime Then, SteadyTime Now) {
  return std::string(" ") + Name + "=" +
         (Then == SteadyTime{} ? "none"
                               : std::to_string(toMilliseconds(Now - Then)));
}

/// When \p U was last heard, for logs.
std::string contactText(const SenderUpstream &U, SteadyTime Now) {
  std::string Text = sinceText("since_report_ms", U.LastReport, Now);
  if (U.RenewalLost)
    Text += sinceText("since_connection_lost_ms", *U.RenewalLost, Now) +
            " renewal_waited_ms=" +
            std::to_string(toMilliseconds(U.LostRenewalWait));
  return Text;
}

/// What is known of a suspected run, for logs.
std::string runStateText(const SenderUpstream &U, const RunKey &Key,
                         SteadyTime Now) {
  auto It = U.Runs.find(Key);
  if (It == U.Runs.end())
    return " phase=lapsed";
  const SenderRun &Run = It->second;
  return std::string(" phase=") +
         (Run.Phase == RunPhase::Running ? "running" : "unconfirmed") +
         sinceText("since_order_ms", Run.Ordered, Now) +
         sinceText("since_accept_ms", Run.Accepted, Now) +
         " stop_requested=" + (Run.StopRequested ? "1" : "0");
}

} // namespace

const char *crashSignName(CrashSign Sign) {
  switch (Sign) {
  case CrashSign::Refused:
    return "refused";
  case CrashSign::OtherProcess:
    return "other_process";
  case CrashSign::NewReport:
    return "new_report";
  case CrashSign::NewRecord:
    return "new_record";
  }
  return "";
}

uint32_t crashesOf(const CrashHistory &History, const JobId &Job,
                   uint32_t Index) {
  auto It = History.Jobs.find(Job);
  if (It == History.Jobs.end())
    return 0;
  auto Task = It->second.Tasks.find(Index);
  return Task == It->second.Tasks.end() ? 0 : Task->second;
}

std::vector<CrashedTask> crashedTasks(const CrashHistory &History,
                                      const JobId &Job) {
  std::vector<CrashedTask> Tasks;
  auto It = History.Jobs.find(Job);
  if (It != History.Jobs.end())
    for (const auto &[Index, Crashes] : It->second.Tasks)
      Tasks.push_back({Index, Crashes});
  return Tasks;
}

void mergeCrashes(CrashHistory &History, const JobId &Job,
                  const std::vector<CrashedTask> &Crashes, SteadyTime Now) {
  for (const CrashedTask &Task : Crashes)
    if (Task.Crashes > crashesOf(History, Job, Task.Index))
      setCrashes(History, Job, Task.Index, Task.Crashes, Now);
}

bool applyCrashHistory(const CrashHistory &History, SenderJob &J) {
  bool Proved = false;
  for (const CrashedTask &Task : crashedTasks(History, J.Order.Id)) {
    if (Task.Index >= J.Tasks.size())
      continue;
    J.Tasks[Task.Index].Crashes = Task.Crashes;
    J.HasSuspectedTasks = true;
    Proved = Proved || Task.Crashes >= MaxCrashes;
  }
  return Proved;
}

void recordCrash(SenderState &State, SenderUpstream &U, CrashSign Sign,
                 SteadyTime Now, InstanceEffects &Out) {
  // An upstream that leaves as announced ends with the runs that are left.
  if (U.Record.Draining)
    return;
  std::vector<RunKey> Suspects = takeSuspectedRuns(U);
  if (Suspects.empty())
    return;
  ++State.Counts.UpstreamCrashes;
  logUpstream(Out, U,
              "has crashed, runs=" + std::to_string(Suspects.size()) +
                  " sign=" + crashSignName(Sign) + contactText(U, Now));
  for (const RunKey &Key : attributeCrash(State.Crashes, Suspects)) {
    uint32_t Crashes = crashesOf(State.Crashes, Key.Job, Key.Index) + 1;
    setCrashes(State.Crashes, Key.Job, Key.Index, Crashes, Now);
    Out.push_back(LogDecision{
        DecisionPart::Upstreams, Key.Job.Value,
        "run=" + runText(Key) +
            " is suspected of the crash of upstream=" + U.Record.Id.Value +
            " crashes=" + std::to_string(Crashes) + runStateText(U, Key, Now),
        /*Frequent=*/true});
    auto Job = State.Jobs.find(Key.Job);
    if (Job == State.Jobs.end() ||
        !applyCrashHistory(State.Crashes, Job->second))
      continue;
    finishJob(State, Key.Job, JobOutcome::Failed,
              "upstreams crash under task " + std::to_string(Key.Index), Now,
              Out);
  }
}

} // namespace snipeshunt
