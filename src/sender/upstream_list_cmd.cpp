/// \file Adopting the list of upstreams, and giving up a cell.
#include "sender/job_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

namespace snipeshunt {

void logUpstream(InstanceEffects &Out, const OwnUpstream &U,
                 std::string Message) {
  Out.push_back(
      LogDecision{DecisionPart::Upstreams, "",
                  "upstream=" + U.Entry.Id.Value + " " + std::move(Message)});
}

void forgetRemnant(SenderState &State, const JobId &Job) {
  auto It = State.Remnants.find(Job);
  if (It != State.Remnants.end() && --It->second == 0)
    State.Remnants.erase(It);
}

void noteSuccess(OwnUpstream &U) {
  U.Failures = 0;
  U.Probing = false;
  U.BlockedUntil = {};
}

void beginLooking(OwnUpstream &U, SteadyTime Now) {
  U.Phase = UpstreamPhase::Looking;
  U.NextRenewal = Now;
}

// Its runs stay until a report shows that the new process does not run them: a
// start that is under way may reach it.
void resetLife(OwnUpstream &U, int64_t Born, InstanceEffects &Out) {
  logUpstream(Out, U, "was restarted, runs=" + std::to_string(U.Runs.size()));
  U.Foreign.clear();
  U.AcknowledgeUpTo = 0;
  U.AcknowledgedUpTo = 0;
  U.ClockOffset.reset();
  U.Born = Born;
  U.Slowness = 0;
  noteSuccess(U);
}

void adoptUpstreams(SenderState &State, const std::vector<UpstreamEntry> &List,
                    const std::map<CellId, OwnClaim> &Claims,
                    const std::function<CellId(const UpstreamEntry &)> &CellOf,
                    bool Complete, SteadyTime Now, InstanceEffects &Out) {
  State.AwaitsList = false;
  std::set<UpstreamId> Listed;
  for (const UpstreamEntry &Entry : List) {
    CellId Cell = CellOf(Entry);
    auto Claim = Claims.find(Cell);
    if (Claim == Claims.end())
      continue;
    Listed.insert(Entry.Id);
    auto [It, Added] = State.Upstreams.try_emplace(Entry.Id);
    OwnUpstream &U = It->second;
    U.MissingSince = {};
    if (Added) {
      U.Entry = Entry;
      U.Cell = Cell;
      U.Token = Claim->second.Token;
      U.Free = Entry.Capacity;
      U.Born = Entry.Born;
      continue;
    }
    // A draining sender keeps what it still uses under the earlier token.
    if (U.Token != Claim->second.Token && U.Runs.empty()) {
      U.Token = Claim->second.Token;
      U.RenewalPending = false;
      beginLooking(U, Now);
    }
    bool NewLife = Entry.Born != 0 && U.Born != 0 && Entry.Born > U.Born;
    if (NewLife || (Entry.Where != U.Entry.Where && Entry.Born >= U.Born)) {
      U.Entry = Entry;
      resetLife(U, Entry.Born, Out);
      U.RenewalPending = false;
      beginLooking(U, Now);
    }
    if (Entry.Draining && !U.Entry.Draining)
      logUpstream(Out, U, "is leaving, gets no more starts");
    Resources Grown = Entry.Capacity - U.Entry.Capacity;
    U.Free += Grown;
    U.Entry = Entry;
    if (Grown.CpuMillis > 0)
      State.Changed = true;
  }
  if (!Complete)
    return;
  for (auto It = State.Upstreams.begin(); It != State.Upstreams.end();) {
    OwnUpstream &U = It->second;
    if (Listed.count(It->first)) {
      ++It;
      continue;
    }
    if (U.MissingSince == SteadyTime{})
      U.MissingSince = Now;
    if (Now - U.MissingSince < MissingTime || !U.Runs.empty()) {
      ++It;
      continue;
    }
    logUpstream(Out, U, "has left the list and is dropped");
    It = State.Upstreams.erase(It);
  }
}

void releaseCell(SenderState &State, const CellId &Cell, SteadyTime Now,
                 InstanceEffects &Out) {
  std::set<JobId> Lost;
  for (auto It = State.Upstreams.begin(); It != State.Upstreams.end();) {
    OwnUpstream &U = It->second;
    if (!(U.Cell == Cell) || (State.Draining && !U.Runs.empty())) {
      ++It;
      continue;
    }
    for (const auto &[Key, Run] : U.Runs) {
      Lost.insert(Key.Job);
      forgetRemnant(State, Key.Job);
    }
    It = State.Upstreams.erase(It);
  }
  // The new sender stops these runs; they can't be followed from here.
  for (const JobId &Id : Lost)
    finishJob(State, Id, JobOutcome::Lost, "its cell has a newer sender", Now,
              Out);
}

std::vector<UpstreamId> usedUpstreams(const SenderState &State) {
  std::vector<UpstreamId> Used;
  for (const auto &[Id, U] : State.Upstreams)
    if (!U.Runs.empty())
      Used.push_back(Id);
  return Used;
}

} // namespace snipeshunt
