/// \file State changes of the reading of the store.
#include "directory/directory_cmd.h"

#include "directory/directory_table.h"

#include <algorithm>

namespace snipeshunt {

namespace {

CollectionReader &readerOf(DirectoryState &State, StoreCollection Collection) {
  return State.Readers[static_cast<size_t>(Collection)];
}

const char *collectionName(StoreCollection Collection) {
  switch (Collection) {
  case StoreCollection::Configuration:
    return "configuration";
  case StoreCollection::Upstreams:
    return "upstreams";
  case StoreCollection::Instances:
    return "instances";
  }
  return "";
}

void log(InstanceEffects &Out, std::string Message) {
  Out.push_back(LogDecision{DecisionPart::Directory, "", std::move(Message)});
}

Duration backoff(uint32_t Failures) {
  return std::min<Duration>(StoreRetryDelay * (1U << std::min(Failures, 4U)),
                            MaxStoreRetryDelay);
}

void recordFailure(CollectionReader &F, StoreCollection Collection,
                   SteadyTime Now, InstanceEffects &Out) {
  if (F.Failures++ == 0)
    log(Out,
        std::string("store does not answer, ") + collectionName(Collection) +
            " stay as read at revision=" + std::to_string(F.Revision.Value));
  F.Phase = CollectionReaderPhase::Idle;
  F.NextCall = Now + backoff(F.Failures);
}

void recordAnswer(CollectionReader &F, StoreCollection Collection,
                  InstanceEffects &Out) {
  if (F.Failures > 0)
    log(Out, std::string("store answers again, ") + collectionName(Collection) +
                 " failed_calls=" + std::to_string(F.Failures));
  F.Failures = 0;
}

void startRead(CollectionReader &F, StoreCollection Collection, bool Stale,
               InstanceEffects &Out) {
  F.Phase = CollectionReaderPhase::Reading;
  Out.push_back(ReadCollection{Collection, Stale, ++F.Sequence});
}

void startWatch(CollectionReader &F, StoreCollection Collection,
                InstanceEffects &Out) {
  F.Phase = CollectionReaderPhase::Watching;
  Out.push_back(
      WatchCollection{Collection, F.Revision, WatchTimeout, ++F.Sequence});
}

void applyConfiguration(DirectoryState &State, const FleetConfiguration &Read,
                        StoreRevision At, InstanceEffects &Out) {
  // A configuration never goes back, whatever an outdated answer says.
  if (State.Configuration && Read.Version <= State.Configuration->Version)
    return;
  log(Out, "configuration in force version=" + std::to_string(Read.Version) +
               " routes=" + std::to_string(Read.Routes.size()) +
               " revision=" + std::to_string(At.Value));
  State.Configuration = Read;
}

Duration instanceReadPeriod(const CollectionReader &F) {
  return F.CompletedReads <= EarlyReads ? EarlyReadPeriod * F.CompletedReads
                                        : InstanceReadPeriod;
}

void scheduleNext(DirectoryState &State, StoreCollection Collection,
                  SteadyTime Now, InstanceEffects &Out) {
  CollectionReader &F = readerOf(State, Collection);
  if (Collection == StoreCollection::Configuration && F.CompletedReads > 0 &&
      State.Configuration) {
    startWatch(F, Collection, Out);
    return;
  }
  F.Phase = CollectionReaderPhase::Idle;
  Duration Period = Collection == StoreCollection::Instances
                        ? instanceReadPeriod(F)
                    : State.IsSender ? State.DrainNotice / ReadsPerDrainNotice
                                     : StandbyReadPeriod;
  if (Collection == StoreCollection::Configuration)
    Period = StoreRetryDelay;
  F.NextCall = Now + Period;
}

void advanceReader(DirectoryState &State, StoreCollection Collection,
                   SteadyTime Now, InstanceEffects &Out) {
  CollectionReader &F = readerOf(State, Collection);
  if (F.Phase != CollectionReaderPhase::Idle || Now < F.NextCall)
    return;
  bool Stale = Collection == StoreCollection::Instances ||
               (Collection == StoreCollection::Upstreams && !State.IsSender);
  startRead(F, Collection, Stale, Out);
}

void advanceRegistration(DirectoryState &State, SteadyTime Now,
                         InstanceEffects &Out) {
  Registration &R = State.OwnRegistration;
  if (State.Leaving || Now < R.Due)
    return;
  if (R.Phase == RegistrationPhase::NoLease) {
    R.Phase = RegistrationPhase::Acquiring;
    Out.push_back(AcquireLease{RegistrationLifetime});
  } else if (R.Phase == RegistrationPhase::Registered) {
    R.Phase = RegistrationPhase::Renewing;
    Out.push_back(RenewLease{R.Lease});
  }
}

} // namespace

void advanceDirectory(DirectoryState &State, SteadyTime Now,
                      InstanceEffects &Out) {
  for (StoreCollection Collection :
       {StoreCollection::Configuration, StoreCollection::Upstreams,
        StoreCollection::Instances})
    advanceReader(State, Collection, Now, Out);
  advanceRegistration(State, Now, Out);
}

bool applyCollectionRead(DirectoryState &State,
                         const CollectionReadAnswered &Event, SteadyTime Now,
                         InstanceEffects &Out) {
  CollectionReader &F = readerOf(State, Event.Collection);
  if (F.Phase != CollectionReaderPhase::Reading || Event.Sequence != F.Sequence)
    return false;
  if (Event.Status != StoreStatus::Done) {
    recordFailure(F, Event.Collection, Now, Out);
    return false;
  }
  recordAnswer(F, Event.Collection, Out);
  F.Revision = Event.Revision;
  ++F.CompletedReads;
  if (Event.Configuration)
    applyConfiguration(State, *Event.Configuration, Event.Revision, Out);
  if (Event.Collection == StoreCollection::Upstreams)
    State.Upstreams = Event.Upstreams;
  scheduleNext(State, Event.Collection, Now, Out);
  return true;
}

void applyWatchAnswer(DirectoryState &State, const WatchAnswered &Event,
                      SteadyTime Now, InstanceEffects &Out) {
  CollectionReader &F = readerOf(State, Event.Collection);
  if (F.Phase != CollectionReaderPhase::Watching ||
      Event.Sequence != F.Sequence)
    return;
  if (Event.Status == StoreStatus::Failed ||
      Event.Status == StoreStatus::Throttled) {
    recordFailure(F, Event.Collection, Now, Out);
    return;
  }
  recordAnswer(F, Event.Collection, Out);
  bool NeedsRead = Event.Status == StoreStatus::Gone ||
                   (Event.Changed && !Event.Configuration);
  if (NeedsRead) {
    startRead(F, Event.Collection, false, Out);
    return;
  }
  if (Event.Configuration)
    applyConfiguration(State, *Event.Configuration, Event.Revision, Out);
  F.Revision = Event.Revision;
  startWatch(F, Event.Collection, Out);
}

void applyLeaseAnswer(DirectoryState &State, const LeaseAnswered &Event,
                      const InstanceRecord &Self, SteadyTime Now,
                      InstanceEffects &Out) {
  Registration &R = State.OwnRegistration;
  if (R.Phase != RegistrationPhase::Acquiring)
    return;
  if (Event.Status != StoreStatus::Done) {
    R.Phase = RegistrationPhase::NoLease;
    R.Due = Now + MaxStoreRetryDelay;
    return;
  }
  R.Lease = Event.Lease;
  R.Phase = RegistrationPhase::Publishing;
  Out.push_back(PublishInstance{Self, R.Lease});
}

void applyPublishAnswer(DirectoryState &State, const PublishAnswered &Event,
                        SteadyTime Now) {
  Registration &R = State.OwnRegistration;
  if (R.Phase != RegistrationPhase::Publishing)
    return;
  bool Registered = Event.Status == StoreStatus::Done;
  R.Phase =
      Registered ? RegistrationPhase::Registered : RegistrationPhase::NoLease;
  R.Due = Now + (Registered ? RegistrationRenewalPeriod : MaxStoreRetryDelay);
}

void applyLeaseRenewal(DirectoryState &State, const LeaseRenewalAnswered &Event,
                       SteadyTime Now) {
  Registration &R = State.OwnRegistration;
  if (R.Phase != RegistrationPhase::Renewing)
    return;
  if (Event.Status == StoreStatus::Gone) {
    R.Phase = RegistrationPhase::NoLease;
    R.Due = Now;
    return;
  }
  R.Phase = RegistrationPhase::Registered;
  R.Due = Now + (Event.Status == StoreStatus::Done ? RegistrationRenewalPeriod
                                                   : MaxStoreRetryDelay);
}

bool needsSnapshot(const DirectoryState &State, SteadyTime Now) {
  const CollectionReader &Configuration =
      State.Readers[static_cast<size_t>(StoreCollection::Configuration)];
  const CollectionReader &Upstreams =
      State.Readers[static_cast<size_t>(StoreCollection::Upstreams)];
  bool Incomplete = !State.Configuration || State.Upstreams.empty();
  bool StoreFails = Configuration.Failures > 0 || Upstreams.Failures > 0;
  return Incomplete && StoreFails && Now >= State.NextSnapshotRequest;
}

void applySnapshot(DirectoryState &State, const SnapshotFetched &Event,
                   InstanceEffects &Out) {
  if (Event.Configuration)
    applyConfiguration(State, *Event.Configuration, {}, Out);
  if (!State.Upstreams.empty() || Event.Upstreams.empty())
    return;
  State.Upstreams = Event.Upstreams;
  log(Out, "upstreams taken from a peer count=" +
               std::to_string(State.Upstreams.size()));
}

void rereadNow(DirectoryState &State, StoreCollection Collection,
               SteadyTime Now) {
  CollectionReader &F = readerOf(State, Collection);
  if (F.Phase == CollectionReaderPhase::Reading &&
      Collection == StoreCollection::Configuration)
    return;
  // An answer to a call that is open may be older than the cause of this one.
  ++F.Sequence;
  F.Phase = CollectionReaderPhase::Idle;
  F.NextCall = Now;
}

void withdrawRegistration(DirectoryState &State, InstanceEffects &Out) {
  State.Leaving = true;
  if (State.OwnRegistration.Phase == RegistrationPhase::Registered ||
      State.OwnRegistration.Phase == RegistrationPhase::Renewing)
    Out.push_back(EndLease{State.OwnRegistration.Lease});
}

const Route *findRoute(const FleetConfiguration &Configuration,
                       std::string_view Host, std::string_view Path,
                       std::string_view &Rest) {
  const Route *Best = nullptr;
  for (const Route &R : Configuration.Routes) {
    bool Matches = Host == R.Host && Path.size() >= R.Prefix.size() &&
                   Path.substr(0, R.Prefix.size()) == R.Prefix;
    if (Matches && (!Best || R.Prefix.size() > Best->Prefix.size()))
      Best = &R;
  }
  if (Best)
    Rest = Path.substr(Best->Prefix.size());
  return Best;
}

} // namespace snipeshunt
