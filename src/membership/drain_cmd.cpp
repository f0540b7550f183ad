/// \file Graceful shutdown of this instance.
#include "membership/drain_cmd.h"

#include "handover/handover_cmd.h"
#include "jobs/forward_cmd.h"
#include "jobs/job_cmd.h"
#include "membership/member_cmd.h"
#include "upstreams/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Keeps one chunk well below the body limit of a request.
constexpr size_t MaxChunkBytes = 512 << 10;
// Time for the transfer of retained answers after the time limit of the work.
constexpr Duration TransferGracePeriod = std::chrono::seconds(5);
// Lets the last heartbeat reach the peers before the process ends.
constexpr Duration ExitDelay = std::chrono::milliseconds(300);

bool hasUnacknowledgedReports(const InstanceState &State) {
  return std::any_of(
      State.Handovers.Incoming.begin(), State.Handovers.Incoming.end(),
      [](const auto &Item) { return !Item.second.Unreported.empty(); });
}

/// Returns true if jobs, tasks or requests are open, here or for other homes.
bool hasUnfinishedWork(const InstanceState &State) {
  return State.Jobs.Running > 0 || !State.Upstreams.Attempts.empty() ||
         !State.Forwards.empty() || State.Queue.size() > 0 ||
         hasUnacknowledgedReports(State);
}

/// Returns the live member that is to receive the retained answers, one of the
/// same data centre if there is any; null if there is none.
const Member *chooseSuccessor(const InstanceState &State) {
  const Member *Best = nullptr;
  for (const auto &[Endpoint, M] : State.Members.Members) {
    if (M.Health != MemberHealth::Alive || M.State != MemberState::Live)
      continue;
    bool Local = M.Location.Centre == State.Settings.Centre;
    if (!Best || (Local && Best->Location.Centre != State.Settings.Centre))
      Best = &M;
  }
  return Best;
}

/// Fails the running jobs and answers the forwarded requests, since the time
/// limit has been reached.
void endRemainingWork(InstanceState &State, SteadyTime Now, EffectList &Out) {
  failAllJobs(State,
              {ErrorKind::Draining,
               "the instance shut down before the job ended",
               "check the tasks in state unknown, then submit the others with "
               "a new ticket"},
              Now, Out);
  endAllForwards(State, Out);
}

/// Broadcasts the state `left`; the process ends after `ExitDelay`.
void announceDeparture(InstanceState &State, SteadyTime Now, EffectList &Out) {
  State.Drain->LeftAt = Now;
  State.Members.OwnState = MemberState::Left;
  broadcastHeartbeat(State, Now, Out);
  Out.push_back(RecordTimeline{TimelineKind::DrainFinished, "", "", ""});
}

/// Sends the answers that follow those accepted by the successor.
void sendNextChunk(InstanceState &State, SteadyTime Now, EffectList &Out) {
  DrainState &Drain = *State.Drain;
  SendAnswers Chunk;
  Chunk.Endpoint = Drain.SuccessorEndpoint;
  Chunk.Answers =
      exportAnswers(State, Drain.AnswersAccepted, MaxChunkBytes, Now);
  Drain.ChunkSize = Chunk.Answers.size();
  Chunk.Last =
      Drain.AnswersAccepted + Drain.ChunkSize >= exportableAnswerCount(State);
  Drain.SendPending = true;
  Out.push_back(std::move(Chunk));
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
  returnReceivedTasks(State, std::nullopt, "the sender is shutting down", Now,
                      Out);
  broadcastHeartbeat(State, Now, Out);
}

void advanceDrain(InstanceState &State, SteadyTime Now, EffectList &Out) {
  if (!State.Drain)
    return;
  DrainState &Drain = *State.Drain;
  if (Drain.LeftAt != SteadyTime{}) {
    if (Now - Drain.LeftAt >= ExitDelay)
      Out.push_back(ExitProcess{});
    return;
  }
  bool Overdue = Now - Drain.Started >= State.Settings.Limits.DrainLimit;
  SteadyTime QuietSince = std::max(State.Jobs.LastActivity, Drain.Started);
  bool Quiet = !hasUnfinishedWork(State) &&
               Now - QuietSince >= State.Settings.Limits.DrainIdleTime;
  if ((!Quiet && !Overdue) || Drain.SendPending)
    return;
  if (Overdue)
    endRemainingWork(State, Now, Out);
  const Member *Successor = chooseSuccessor(State);
  // Without a successor the answers are lost; requests with their tickets get
  // outcome `unknown`.
  bool OutOfTime = Now - Drain.Started >=
                   State.Settings.Limits.DrainLimit + TransferGracePeriod;
  if (!Successor || OutOfTime) {
    announceDeparture(State, Now, Out);
    return;
  }
  Drain.Successor = Successor->Incarnation;
  Drain.SuccessorEndpoint = Successor->Location.Endpoint;
  sendNextChunk(State, Now, Out);
}

void applyAnswerTransferEnd(InstanceState &State,
                            const AnswerTransferEnded &Event, SteadyTime Now,
                            EffectList &Out) {
  if (!State.Drain || !State.Drain->SendPending)
    return;
  DrainState &Drain = *State.Drain;
  Drain.SendPending = false;
  if (!Event.Accepted) {
    // The successor that is chosen next must get all answers.
    Drain.AnswersAccepted = 0;
    return;
  }
  Drain.AnswersAccepted += Drain.ChunkSize;
  if (Drain.AnswersAccepted < exportableAnswerCount(State))
    sendNextChunk(State, Now, Out);
  else
    announceDeparture(State, Now, Out);
}

} // namespace snipeshunt
