/// \file Applying the list of upstreams, and releasing a cell.
#include "sender/crash_cmd.h"
#include "sender/job_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

/// Returns true if most of the records state the start of their process. An
/// entry of another writer among them does not decide.
bool statesStart(const std::vector<UpstreamRecord> &List) {
  auto Stating =
      std::count_if(List.begin(), List.end(),
                    [](const UpstreamRecord &R) { return R.StartedAt != 0; });
  return Stating > 0 && 2 * static_cast<size_t>(Stating) >= List.size();
}

} // namespace

void logUpstream(InstanceEffects &Out, const SenderUpstream &U,
                 std::string Message) {
  Out.push_back(
      LogDecision{DecisionPart::Upstreams, "",
                  "upstream=" + U.Record.Id.Value + " " + std::move(Message)});
}

void releaseDetachedRun(SenderState &State, const JobId &Job) {
  auto It = State.DetachedRuns.find(Job);
  if (It != State.DetachedRuns.end() && --It->second == 0)
    State.DetachedRuns.erase(It);
}

void beginSync(SenderUpstream &U, SteadyTime Now) {
  U.Phase = UpstreamPhase::Syncing;
  U.NextRenewal = Now;
}

// An upstream that states its start in its reports states it in its record as
// well, if the others of the deployment do.
bool lacksStart(const SenderState &State, const SenderUpstream &U,
                const UpstreamRecord &Record) {
  return State.RecordsStateStart && Record.StartedAt == 0 && U.StartedAt != 0;
}

// The runs stay until a report shows that the new process does not run them: a
// start in transit may still reach it.
void resetIncarnation(SenderUpstream &U, int64_t StartedAt,
                      InstanceEffects &Out) {
  logUpstream(Out, U,
              "was restarted or replaced, runs=" +
                  std::to_string(U.Runs.size()));
  for (auto &[Key, Run] : U.Runs) {
    if (Run.Phase == RunPhase::Running)
      continue;
    Run.ProcessChanged = true;
    Run.StopAcknowledged.reset();
  }
  for (const auto &[Expired, Key] : U.UnansweredStarts)
    Out.push_back(StopRun{U.Record.Id, U.Record.Endpoint, U.Token, Key});
  U.UnansweredStarts.clear();
  U.OrphanedRuns.clear();
  U.AcknowledgeUpTo = 0;
  U.AcknowledgedUpTo = 0;
  U.ClockOffset.reset();
  U.StartedAt = StartedAt;
  U.ProcessKnownAt = {};
  U.RenewalLost.reset();
  U.LogSlowdown = 0;
  recordSuccess(U);
}

void applyUpstreams(SenderState &State, const std::vector<UpstreamRecord> &List,
                    const std::map<CellId, OwnClaim> &Claims,
                    const std::function<CellId(const UpstreamRecord &)> &CellOf,
                    bool Complete, SteadyTime Now, InstanceEffects &Out) {
  State.UpstreamListPending = false;
  State.RecordsStateStart = statesStart(List);
  std::set<UpstreamId> Listed;
  for (const UpstreamRecord &Record : List) {
    CellId Cell = CellOf(Record);
    auto Claim = Claims.find(Cell);
    bool Claimed = Claim != Claims.end();
    auto It = State.Upstreams.find(Record.Id);
    // A draining sender goes on using upstreams of cells that it has released,
    // until the next sender takes them over, so it follows their records too.
    bool InUse = It != State.Upstreams.end() && It->second.Cell == Cell &&
                 It->second.Phase != UpstreamPhase::Fenced;
    if (!Claimed && !InUse)
      continue;
    // Such an entry is of another writer. The upstream counts as unlisted, so
    // it gets no starts, and its runs go on.
    if (It != State.Upstreams.end() && lacksStart(State, It->second, Record)) {
      if (It->second.UnlistedSince == SteadyTime{})
        logUpstream(Out, It->second,
                    "has a record without the start of its process, which is "
                    "not used");
      continue;
    }
    Listed.insert(Record.Id);
    if (It == State.Upstreams.end()) {
      SenderUpstream &Added = State.Upstreams[Record.Id];
      Added.Record = Record;
      Added.Cell = Cell;
      Added.Token = Claim->second.Token;
      Added.Free = Record.Capacity;
      Added.StartedAt = Record.StartedAt;
      continue;
    }
    SenderUpstream &U = It->second;
    U.UnlistedSince = {};
    // It is used under the new claim once the starts under the earlier one have
    // been answered.
    if (U.Released)
      continue;
    // Runs that a draining sender still has on it stay under the earlier token.
    if (Claimed && U.Token != Claim->second.Token && U.Runs.empty()) {
      U.Token = Claim->second.Token;
      U.RenewalPending = false;
      beginSync(U, Now);
    }
    Resources CapacityChange = Record.Capacity - U.Record.Capacity;
    // The process itself may have reported another start since the record was
    // read first, so only a change of the record counts.
    bool NewProcess = Record.StartedAt != 0 && U.StartedAt != 0 &&
                      Record.StartedAt > U.StartedAt &&
                      Record.StartedAt != U.Record.StartedAt;
    if (NewProcess || (Record.Endpoint != U.Record.Endpoint &&
                       Record.StartedAt >= U.StartedAt)) {
      // An upstream that was draining has ended as announced. Runs that were
      // accepted at the former address have ended with their process.
      if (U.Record.Draining)
        U.LapsedRuns.clear();
      else if (Record.Endpoint != U.Record.Endpoint)
        recordCrash(State, U, CrashSign::NewRecord, nullptr, Now, Out);
      else
        U.FormerProcess = U.StartedAt;
      U.Record = Record;
      resetIncarnation(U, Record.StartedAt, Out);
      U.RenewalPending = false;
      beginSync(U, Now);
    }
    if (Record.Draining && !U.Record.Draining)
      logUpstream(Out, U, "is draining, no further starts");
    U.Free += CapacityChange;
    U.Record = Record;
    if (CapacityChange.CpuMillis > 0)
      State.PlacementDue = true;
  }
  if (!Complete)
    return;
  State.UpstreamListRead = Now;
  for (auto It = State.Upstreams.begin(); It != State.Upstreams.end();) {
    SenderUpstream &U = It->second;
    if (Listed.count(It->first)) {
      ++It;
      continue;
    }
    if (U.UnlistedSince == SteadyTime{})
      U.UnlistedSince = Now;
    if (Now - U.UnlistedSince < UnlistedTimeout || !U.Runs.empty()) {
      ++It;
      continue;
    }
    logUpstream(Out, U, "is unlisted and was removed");
    It = State.Upstreams.erase(It);
  }
}

void releaseCell(SenderState &State, const CellId &Cell, SteadyTime Now,
                 InstanceEffects &Out) {
  std::set<JobId> Lost;
  for (auto It = State.Upstreams.begin(); It != State.Upstreams.end();) {
    SenderUpstream &U = It->second;
    if (!(U.Cell == Cell) || (State.Draining && !U.Runs.empty())) {
      ++It;
      continue;
    }
    for (auto Run = U.Runs.begin(); Run != U.Runs.end();) {
      // The answer shows whether the run has begun. The upstream rejects the
      // start if the next sender's orders have reached it before.
      if (Run->second.Phase == RunPhase::Starting) {
        ++Run;
        continue;
      }
      Lost.insert(Run->first.Job);
      releaseDetachedRun(State, Run->first.Job);
      Run = U.Runs.erase(Run);
    }
    U.Phase = UpstreamPhase::Fenced;
    U.Released = true;
    It = U.Runs.empty() ? State.Upstreams.erase(It) : std::next(It);
  }
  State.UpstreamsLost = true;
  // The next sender of the cell stops these runs; this one can no longer track
  // them.
  for (const JobId &Id : Lost)
    finishJob(State, Id, JobOutcome::Lost, ClaimLostReason, Now, Out);
}

void setCellLeaving(SenderState &State, const CellId &Cell, bool Leaving) {
  for (auto &[Id, U] : State.Upstreams)
    if (U.Cell == Cell)
      U.Leaving = Leaving;
  if (!Leaving)
    State.PlacementDue = true;
}

bool isCellIdle(const SenderState &State, const CellId &Cell) {
  // The next sender would count orphaned runs as its own, so they are stopped
  // before.
  return std::all_of(
      State.Upstreams.begin(), State.Upstreams.end(), [&](const auto &Item) {
        const SenderUpstream &U = Item.second;
        return !(U.Cell == Cell) || (U.Runs.empty() && U.OrphanedRuns.empty());
      });
}

bool usesUpstreams(const SenderState &State) {
  bool HasJobs = !State.Jobs.empty();
  return std::any_of(State.Upstreams.begin(), State.Upstreams.end(),
                     [HasJobs](const auto &Entry) {
                       const SenderUpstream &U = Entry.second;
                       return !U.Runs.empty() ||
                              (HasJobs && U.Phase != UpstreamPhase::Fenced);
                     });
}

std::vector<UpstreamId> upstreamsInUse(const SenderState &State) {
  std::vector<UpstreamId> Used;
  for (const auto &[Id, U] : State.Upstreams)
    if (!U.Runs.empty())
      Used.push_back(Id);
  return Used;
}

} // namespace snipeshunt
