/// \file Attribution of upstreams' crashes to the tasks that ran on them.
#include "sender/crash_cmd.h"

#include "core/duration_func.h"
#include "sender/job_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Covers the further submissions of a lost job, and the time until an upstream
// is back that crashed without a sign.
constexpr Duration CrashRetention = std::chrono::seconds(30);
constexpr size_t MaxCrashHistory = 4096;
// Covers three crashes under each of the up to 200 tasks of the users' jobs.
constexpr size_t MaxCrashesPerJob = 2000;

/// Removes the oldest records of jobs.
void limitHistory(CrashHistory &History, SteadyTime Now) {
  while (Now - History.Order.front().first > CrashRetention ||
         History.Order.size() > MaxCrashHistory) {
    auto Oldest = History.Jobs.find(History.Order.front().second);
    if (Oldest != History.Jobs.end() &&
        Oldest->second.Updated == History.Order.front().first)
      History.Jobs.erase(Oldest);
    History.Order.pop_front();
  }
}

/// Adds a crash, or the evidence for one that is known. The identity of the
/// process tells whether two instances have seen the same crash.
void addCrash(CrashHistory &History, const JobId &Job, const TaskCrash &Crash,
              SteadyTime Now) {
  JobCrashes &Entry = History.Jobs[Job];
  auto Known = std::find_if(
      Entry.Crashes.begin(), Entry.Crashes.end(), [&](const TaskCrash &Other) {
        return Other.Index == Crash.Index && Other.Upstream == Crash.Upstream &&
               Other.StartedAt == Crash.StartedAt;
      });
  if (Known != Entry.Crashes.end()) {
    if (Known->Evidence >= Crash.Evidence)
      return;
    Known->Evidence = Crash.Evidence;
  } else if (Entry.Crashes.size() < MaxCrashesPerJob) {
    Entry.Crashes.push_back(Crash);
  }
  Entry.Updated = Now;
  History.Order.emplace_back(Now, Job);
  limitHistory(History, Now);
}

/// A run that an upstream may have had when its process ended.
struct SuspectedRun {
  RunKey Key;
  CrashEvidence Evidence;
};

/// Returns true if \p U closed the connection of a renewal that waited for the
/// end of a run, and accepts none since. An end would have been the answer, so
/// the runs of \p U were in progress. A cut can look the same.
bool endedWithItsRuns(const SenderUpstream &U, SteadyTime Now) {
  return U.RenewalLost && Now - *U.RenewalLost <= MaxRefusalDelay &&
         U.LostRenewalWait >= MinRenewalTransit &&
         U.LostRenewalWait <= Duration(RenewalWait) + MinRenewalTransit;
}

bool lists(const UpstreamReport &Report, const RunKey &Key) {
  return std::any_of(Report.Running.begin(), Report.Running.end(),
                     [&](const RunningReport &R) { return R.Key == Key; }) ||
         std::any_of(Report.Ended.begin(), Report.Ended.end(),
                     [&](const EndReport &R) { return R.Key == Key; });
}

/// Returns true if the list of upstreams is so old that an upstream may have
/// left as announced since.
bool mayHaveLeft(const SenderState &State, SteadyTime Now) {
  return Now - State.UpstreamListRead >
         scaled(Duration(State.Bounds.DrainNotice), MaxListAgeShare);
}

/// Returns the runs that the process of \p U may have had when it ended, and
/// for which no crash was recorded yet, and marks them.
std::vector<SuspectedRun> takeSuspectedRuns(const SenderState &State,
                                            SenderUpstream &U,
                                            const UpstreamReport *Report,
                                            SteadyTime Now) {
  std::vector<SuspectedRun> Suspects;
  for (RunKey &Key : U.LapsedRuns)
    Suspects.push_back({std::move(Key), CrashEvidence::Possible});
  U.LapsedRuns.clear();
  bool Ended = endedWithItsRuns(U, Now) && !mayHaveLeft(State, Now);
  for (auto &[Key, Run] : U.Runs) {
    // A start whose connection broke may have arrived. Whether one that still
    // awaits its answer did is not known yet.
    if (Run.Phase == RunPhase::Starting || Run.CrashCounted ||
        (Report && lists(*Report, Key)))
      continue;
    Run.CrashCounted = true;
    bool InProgress = Ended && Run.Phase == RunPhase::Running &&
                      !Run.StopRequested && Run.Accepted <= *U.RenewalLost;
    Suspects.push_back({Key, InProgress ? CrashEvidence::InProgress
                                        : CrashEvidence::Possible});
  }
  return Suspects;
}

/// Returns those of \p Suspects to which a crash is attributed. A task that
/// was on an upstream that crashed before explains the crash, so the others are
/// not suspected. If there are several such tasks, each may be innocent.
std::vector<SuspectedRun> attributeCrash(const CrashHistory &History,
                                         std::vector<SuspectedRun> Suspects) {
  std::vector<SuspectedRun> Repeated;
  for (const SuspectedRun &Run : Suspects)
    if (crashesOf(History, Run.Key.Job, Run.Key.Index) > 0)
      Repeated.push_back(Run);
  if (Repeated.empty())
    return Suspects;
  if (Repeated.size() > 1)
    Repeated.clear();
  return Repeated;
}

/// Why a job ends, for logs: the crashes for which a task is suspected.
std::string crashReason(const CrashHistory &History, const JobId &Job,
                        uint32_t Index) {
  std::string Text =
      "upstreams crash under task " + std::to_string(Index) + ":";
  for (const TaskCrash &Crash : crashesOf(History, Job))
    if (Crash.Index == Index)
      Text += std::string(" ") + Crash.Upstream.Value + "/" +
              std::to_string(Crash.StartedAt) + "=" +
              crashEvidenceName(Crash.Evidence);
  return Text;
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
  return static_cast<uint32_t>(std::count_if(
      It->second.Crashes.begin(), It->second.Crashes.end(),
      [Index](const TaskCrash &Crash) { return Crash.Index == Index; }));
}

std::vector<TaskCrash> crashesOf(const CrashHistory &History,
                                 const JobId &Job) {
  auto It = History.Jobs.find(Job);
  return It == History.Jobs.end() ? std::vector<TaskCrash>()
                                  : It->second.Crashes;
}

void mergeCrashes(CrashHistory &History, const JobId &Job,
                  const std::vector<TaskCrash> &Crashes, SteadyTime Now) {
  for (const TaskCrash &Crash : Crashes)
    addCrash(History, Job, Crash, Now);
}

bool applyCrashHistory(const CrashHistory &History, SenderJob &J) {
  std::vector<uint32_t> InProgress(J.Tasks.size());
  for (SenderTask &T : J.Tasks)
    T.Crashes = 0;
  for (const TaskCrash &Crash : crashesOf(History, J.Order.Id)) {
    if (Crash.Index >= J.Tasks.size())
      continue;
    ++J.Tasks[Crash.Index].Crashes;
    J.HasSuspectedTasks = true;
    InProgress[Crash.Index] += Crash.Evidence == CrashEvidence::InProgress;
  }
  for (uint32_t Index = 0; Index < J.Tasks.size(); ++Index)
    if (J.Tasks[Index].State != SenderTaskState::Done &&
        (InProgress[Index] >= MaxCrashesInProgress ||
         J.Tasks[Index].Crashes >= MaxSuspectedCrashes))
      return true;
  return false;
}

void retractCrashes(SenderState &State, SenderUpstream &U) {
  U.CrashRecorded = false;
  for (auto &[Key, Run] : U.Runs)
    Run.CrashCounted = false;
  for (auto &[Job, Entry] : State.Crashes.Jobs) {
    auto IsRetracted = [&U](const TaskCrash &Crash) {
      return Crash.Upstream == U.Record.Id && Crash.StartedAt == U.StartedAt;
    };
    auto First =
        std::remove_if(Entry.Crashes.begin(), Entry.Crashes.end(), IsRetracted);
    if (First == Entry.Crashes.end())
      continue;
    Entry.Crashes.erase(First, Entry.Crashes.end());
    auto Open = State.Jobs.find(Job);
    // With fewer crashes, no limit is newly reached.
    if (Open != State.Jobs.end())
      applyCrashHistory(State.Crashes, Open->second);
  }
}

void recordCrash(SenderState &State, SenderUpstream &U, CrashSign Sign,
                 const UpstreamReport *Report, SteadyTime Now,
                 InstanceEffects &Out) {
  // An upstream that leaves as announced ends with the runs that are left.
  if (U.Record.Draining)
    return;
  // The recorded crash is that of the process before.
  if (Sign != CrashSign::Refused)
    U.CrashRecorded = false;
  std::vector<SuspectedRun> Suspects = takeSuspectedRuns(State, U, Report, Now);
  if (Suspects.empty())
    return;
  ++State.Counts.UpstreamCrashes;
  U.CrashRecorded = U.CrashRecorded || !U.FormerProcess;
  logUpstream(Out, U,
              "seems to have crashed, runs=" + std::to_string(Suspects.size()) +
                  " sign=" + crashSignName(Sign) + contactText(U, Now));
  for (const SuspectedRun &Run : attributeCrash(State.Crashes, Suspects)) {
    const RunKey &Key = Run.Key;
    addCrash(State.Crashes, Key.Job,
             {Key.Index, U.Record.Id, U.FormerProcess.value_or(U.StartedAt),
              Run.Evidence},
             Now);
    ++(Run.Evidence == CrashEvidence::Possible
           ? State.Counts.CrashesPossible
           : State.Counts.CrashesInProgress);
    Out.push_back(LogDecision{
        DecisionPart::Upstreams, Key.Job.Value,
        "run=" + runText(Key) +
            " is suspected of the crash of upstream=" + U.Record.Id.Value +
            " evidence=" + crashEvidenceName(Run.Evidence) + " crashes=" +
            std::to_string(crashesOf(State.Crashes, Key.Job, Key.Index)) +
            runStateText(U, Key, Now),
        /*Frequent=*/true});
    auto Job = State.Jobs.find(Key.Job);
    if (Job == State.Jobs.end())
      continue;
    if (applyCrashHistory(State.Crashes, Job->second))
      finishJob(State, Key.Job, JobOutcome::Lost,
                crashReason(State.Crashes, Key.Job, Key.Index), Now, Out);
  }
}

} // namespace snipeshunt
