/// \file Shutdown of an instance.
#include "instance/drain_cmd.h"

#include "cells/cell_cmd.h"
#include "directory/directory_cmd.h"
#include "entry/entry_cmd.h"
#include "entry/open_job_cmd.h"
#include "instance/instance_func.h"
#include "sender/job_cmd.h"

#include <string>

namespace snipeshunt {

namespace {

// Shortest shutdown. The load balancer needs two failed readiness checks, one
// second apart, to send callers elsewhere.
constexpr Duration MinDrainTime = std::chrono::milliseconds(2500);
// Time between the last answer and the end of the process. The event loop
// writes answers to their connections after the reducer has returned them, and
// slow callers need several round trips.
constexpr Duration AnswerFlushTime = std::chrono::milliseconds(300);
// Time before SIGKILL at which the process ends by itself.
constexpr Duration KillMargin = std::chrono::milliseconds(300);
// Time before the end of the process at which the callers of open jobs are told
// that these are lost. Writing the answers takes a few milliseconds.
constexpr Duration LastAnswerTime = std::chrono::milliseconds(100);

/// Answers the callers whose jobs outlast this process.
void endOpenJobs(FleetInstance &State, SteadyTime Now, InstanceEffects &Out) {
  for (RequestId Forward :
       endAllJobs(State.Entry, entryContext(State, Now), Now, Out))
    abandonJob(State.Sender, {Forward, /*Local=*/true}, Now, Out);
  endQuestions(State.Entry, Out);
}

} // namespace

void beginDrain(FleetInstance &State, SteadyTime Now, InstanceEffects &Out) {
  State.DrainStarted = Now;
  State.Cells.Draining = true;
  State.Sender.Draining = true;
  State.Entry.Draining = true;
  logInstance(Out, "shutdown started, jobs_here=" +
                       std::to_string(State.Sender.Jobs.size()) +
                       " callers=" + std::to_string(State.Entry.Jobs.size()));
  returnWaitingJobs(State.Sender, Now, Out);
  withdrawRegistration(State.Directory, Out);
  schedulePingsNow(State.Cells, Now);
}

void advanceDrain(FleetInstance &State, SteadyTime Now, InstanceEffects &Out) {
  if (!State.DrainStarted || State.Stopped)
    return;
  Duration Passed = Now - *State.DrainStarted;
  // Callers keep sending on open connections, which are closed with the next
  // answer.
  State.Entry.Closing = Passed >= MinDrainTime;
  if (!State.Entry.Jobs.empty() || !State.Sender.Jobs.empty() ||
      !State.Entry.Elsewhere.Questions.empty())
    State.LastBusy = Now;
  bool Idle = Passed >= MinDrainTime && Now - State.LastBusy >= AnswerFlushTime;
  Duration Left = Duration(State.Settings.Bounds.Grace) - KillMargin - Passed;
  if (!Idle && Left > Duration::zero()) {
    if (Left <= LastAnswerTime)
      endOpenJobs(State, Now, Out);
    return;
  }
  State.Stopped = true;
  logInstance(Out, "process ends after its shutdown, unanswered callers=" +
                       std::to_string(State.Entry.Jobs.size()));
  Out.push_back(StopProcess{});
}

} // namespace snipeshunt
