/// \file State changes of the evacuation of data centres.
#include "directory/evacuation_cmd.h"

#include "core/duration_func.h"
#include "directory/evacuation_table.h"

#include <utility>

namespace snipeshunt {

namespace {

void log(InstanceEffects &Out, std::string Message) {
  Out.push_back(LogDecision{DecisionPart::Directory, "", std::move(Message)});
}

/// Replaces the set by \p Newer unless that is of a lower revision, and logs
/// each change. \p Source is for the log.
void replaceSet(EvacuationState &State, EvacuationSet Newer, const char *Source,
                InstanceEffects &Out) {
  // An answer that was overtaken must not bring an ended evacuation back.
  if (State.Current && Newer.Revision < State.Current->Revision)
    return;
  EvacuationSet Earlier = State.Current.value_or(EvacuationSet{});
  auto LogChanges = [&](const EvacuationSet &Of, const EvacuationSet &Not,
                        const char *Change) {
    for (const DataCentre &Centre : Of.Centres)
      if (!Not.Centres.count(Centre))
        log(Out, std::string("evacuation ") + Change +
                     " data_centre=" + Centre.Value + " revision=" +
                     std::to_string(Newer.Revision.Value) + " from=" + Source);
  };
  LogChanges(Newer, Earlier, "begins");
  LogChanges(Earlier, Newer, "ends");
  State.Current = std::move(Newer);
}

void endWait(EvacuationState &State) {
  State.AwaitedSince.reset();
  State.GivenUp = false;
}

} // namespace

void setEvacuationBound(EvacuationState &State, std::optional<Duration> Bound,
                        SteadyTime Now) {
  if (!Bound) {
    State = {};
    return;
  }
  if (!State.Bound)
    State.AwaitedSince = State.LastReturn = Now;
  State.Bound = Bound;
}

void applyEvacuationRead(EvacuationState &State, const EvacuationSet &Read,
                         InstanceEffects &Out) {
  if (!State.Bound)
    return;
  replaceSet(State, Read, "store", Out);
  endWait(State);
}

void applyEvacuationChanges(EvacuationState &State,
                            const std::vector<EvacuationChange> &Changes,
                            StoreRevision Revision, InstanceEffects &Out) {
  // A peer may have sent a set that contains the changes already.
  if (!State.Bound || !State.Current || Revision < State.Current->Revision)
    return;
  EvacuationSet Newer = *State.Current;
  Newer.Revision = Revision;
  for (const EvacuationChange &Change : Changes)
    if (Change.Ended)
      Newer.Centres.erase(Change.Centre);
    else
      Newer.Centres.insert(Change.Centre);
  replaceSet(State, std::move(Newer), "store", Out);
}

void applyPeerEvacuation(EvacuationState &State, const EvacuationSet &Received,
                         SteadyTime Asked, InstanceEffects &Out) {
  if (!State.Bound)
    return;
  replaceSet(State, Received, "peer", Out);
  // After a return, the peer may have been cut off too. Its set is relied upon
  // only if the store doesn't answer, since the alternative is to start nothing
  // for the whole bound.
  if (Asked >= State.LastReturn && (!State.IsReturn || State.ReadFailed))
    endWait(State);
}

bool recordPeerMessage(EvacuationState &State, SteadyTime Now) {
  SteadyTime Last = std::exchange(State.LastPeerMessage, Now);
  return State.Bound && Last != SteadyTime{} && Now - Last >= ReturnSilence;
}

void awaitEvacuationRead(EvacuationState &State, SteadyTime Now,
                         InstanceEffects &Out) {
  if (!State.Bound)
    return;
  // The limit of a wait does not begin anew with each return during it.
  if (!startsPausedSince(State, Now))
    State.AwaitedSince = Now;
  // A process that was never told of the set still takes it from any peer.
  State.IsReturn = State.Current.has_value();
  State.LastReturn = State.LastPeerMessage = Now;
  State.ReadFailed = false;
  State.GivenUp = false;
  log(Out, "returned from a pause or a network cut, starts wait for a read of "
           "the evacuations");
}

void advanceEvacuation(EvacuationState &State, SteadyTime Now,
                       InstanceEffects &Out) {
  if (!State.Bound || !State.AwaitedSince || State.GivenUp ||
      startsPausedSince(State, Now))
    return;
  State.GivenUp = true;
  log(Out, "neither the store nor a peer has sent the evacuations, starts no "
           "longer wait after_ms=" +
               std::to_string(toMilliseconds(Now - *State.AwaitedSince)));
}

std::optional<SteadyTime> startsPausedSince(const EvacuationState &State,
                                            SteadyTime Now) {
  if (!State.Bound || !State.AwaitedSince ||
      Now - *State.AwaitedSince >= *State.Bound)
    return std::nullopt;
  return State.AwaitedSince;
}

std::optional<EvacuationSet> evacuationForPeers(const EvacuationState &State) {
  return State.AwaitedSince ? std::nullopt : State.Current;
}

} // namespace snipeshunt
