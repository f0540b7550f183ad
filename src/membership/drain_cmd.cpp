/// \file Graceful shutdown.
#include "membership/drain_cmd.h"

#include "handover/handover_cmd.h"
#include "jobs/forward_cmd.h"
#include "jobs/job_cmd.h"
#include "membership/member_cmd.h"
#include "upstreams/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Keeps one part well under the body limit of a request.
constexpr size_t MaxPartBytes = 512 << 10;
// After the limit for the work, time to hand the retained answers over.
constexpr Duration TransferTime = std::chrono::seconds(5);
// Time for the last heartbeat to reach the peers.
constexpr Duration FarewellTime = std::chrono::milliseconds(300);

bool reportsPending(const InstanceState &State) {
  return std::any_of(
      State.Handovers.Incoming.begin(), State.Handovers.Incoming.end(),
      [](const auto &Entry) { return !Entry.second.Unreported.empty(); });
}

bool workLeft(const InstanceState &State) {
  return State.Jobs.Running > 0 || !State.Upstreams.Attempts.empty() ||
         !State.Forwards.empty() || State.Queue.size() > 0 ||
         reportsPending(State);
}

const Member *chooseHeir(const InstanceState &State) {
  const Member *Best = nullptr;
  for (const auto &[Where, M] : State.Members.Members) {
    if (M.Health != MemberHealth::Alive || M.State != MemberState::Live)
      continue;
    bool Local = M.Self.Centre == State.Settings.Centre;
    if (!Best || (Local && Best->Self.Centre != State.Settings.Centre))
      Best = &M;
  }
  return Best;
}

/// Answers every caller that still waits, since the process can't wait on.
void endRemainingWork(InstanceState &State, SteadyTime Now, EffectList &Out) {
  failAllJobs(State,
              {ErrorKind::Draining,
               "the instance shut down before the job had ended",
               "check the tasks in state unknown, then submit the others with "
               "a new ticket"},
              Now, Out);
  endAllForwards(State, Out);
}

void leave(InstanceState &State, SteadyTime Now, EffectList &Out) {
  State.Drain->LeftAt = Now;
  State.Members.OwnState = MemberState::Left;
  broadcastHeartbeat(State, Now, Out);
  Out.push_back(RecordTimeline{TimelineKind::DrainFinished, "", "", ""});
}

void sendNextPart(InstanceState &State, SteadyTime Now, EffectList &Out) {
  DrainState &Drain = *State.Drain;
  SendAnswers Part;
  Part.Where = Drain.HeirAddress;
  Part.Entries = exportAnswers(State, Drain.AnswersSent, MaxPartBytes, Now);
  Drain.PartSize = Part.Entries.size();
  Part.Last = Drain.AnswersSent + Drain.PartSize >= answersToExport(State);
  Drain.SendPending = true;
  Out.push_back(std::move(Part));
}

} // namespace

void startDrain(InstanceState &State, SteadyTime Now, EffectList &Out) {
  if (State.Drain)
    return;
  State.Drain = DrainState{};
  State.Drain->Started = Now;
  State.Members.OwnState = MemberState::Draining;
  Out.push_back(RecordTimeline{TimelineKind::DrainStarted, "", "", ""});
  updateOwnership(State, Out);
  returnHeldTasks(State, std::nullopt, "the sender is shutting down", Now, Out);
  broadcastHeartbeat(State, Now, Out);
}

void advanceDrain(InstanceState &State, SteadyTime Now, EffectList &Out) {
  if (!State.Drain)
    return;
  DrainState &Drain = *State.Drain;
  if (Drain.LeftAt != SteadyTime{}) {
    if (Now - Drain.LeftAt >= FarewellTime)
      Out.push_back(ExitProcess{});
    return;
  }
  bool Overdue = Now - Drain.Started >= State.Settings.Limits.DrainLimit;
  SteadyTime QuietSince = std::max(State.Jobs.LastActivity, Drain.Started);
  bool Quiet =
      !workLeft(State) && Now - QuietSince >= State.Settings.Limits.DrainQuiet;
  if ((!Quiet && !Overdue) || Drain.SendPending)
    return;
  if (Overdue)
    endRemainingWork(State, Now, Out);
  const Member *Heir = chooseHeir(State);
  // Without a peer the answers can't be kept; their tickets answer unknown.
  bool OutOfTime =
      Now - Drain.Started >= State.Settings.Limits.DrainLimit + TransferTime;
  if (!Heir || OutOfTime) {
    leave(State, Now, Out);
    return;
  }
  Drain.Heir = Heir->Incarnation;
  Drain.HeirAddress = Heir->Self.Where;
  sendNextPart(State, Now, Out);
}

void applyAnswersAnswer(InstanceState &State, const AnswersAnswered &Event,
                        SteadyTime Now, EffectList &Out) {
  if (!State.Drain || !State.Drain->SendPending)
    return;
  DrainState &Drain = *State.Drain;
  Drain.SendPending = false;
  if (!Event.Accepted) {
    // Another heir must get the whole table.
    Drain.AnswersSent = 0;
    return;
  }
  Drain.AnswersSent += Drain.PartSize;
  if (Drain.AnswersSent < answersToExport(State))
    sendNextPart(State, Now, Out);
  else
    leave(State, Now, Out);
}

} // namespace snipeshunt
