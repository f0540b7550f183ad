/// \file State changes of reading the store and of the registration in it.
#include "directory/directory_cmd.h"

#include "directory/directory_table.h"
#include "directory/evacuation_cmd.h"

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
  case StoreCollection::Evacuations:
    return "evacuations";
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

/// Counts a failed call and schedules the next one.
void recordFailure(CollectionReader &Reader, StoreCollection Collection,
                   SteadyTime Now, InstanceEffects &Out) {
  if (Reader.Failures++ == 0)
    log(Out, std::string("store call failed, still using ") +
                 collectionName(Collection) +
                 " of revision=" + std::to_string(Reader.Revision.Value));
  Reader.Phase = CollectionReaderPhase::Idle;
  Reader.NextCall = Now + backoff(Reader.Failures);
}

/// Ends a series of failed calls.
void recordAnswer(CollectionReader &Reader, StoreCollection Collection,
                  InstanceEffects &Out) {
  if (Reader.Failures > 0)
    log(Out, std::string("store calls succeed again, ") +
                 collectionName(Collection) +
                 " failed_calls=" + std::to_string(Reader.Failures));
  Reader.Failures = 0;
}

/// Logs the number of unreadable records when it changes. A line for each read
/// would flood the log, since the records may stay for days.
void recordUnreadable(CollectionReader &Reader,
                      const CollectionReadAnswered &Event,
                      InstanceEffects &Out) {
  if (Reader.UnreadableRecords == Event.UnreadableRecords)
    return;
  Reader.UnreadableRecords = Event.UnreadableRecords;
  log(Out, std::string("skipped unreadable records of the store, collection=") +
               collectionName(Event.Collection) +
               " count=" + std::to_string(Event.UnreadableRecords));
}

void startRead(CollectionReader &Reader, StoreCollection Collection, bool Stale,
               SteadyTime Now, InstanceEffects &Out) {
  Reader.Phase = CollectionReaderPhase::Reading;
  Reader.LastCall = Now;
  Reader.ReadIsStale = Stale;
  Out.push_back(ReadCollection{Collection, Stale, ++Reader.Sequence});
}

void startWatch(CollectionReader &Reader, StoreCollection Collection,
                bool OnNewConnection, SteadyTime Now, InstanceEffects &Out) {
  Reader.Phase = CollectionReaderPhase::Watching;
  Reader.LastCall = Now;
  Out.push_back(WatchCollection{Collection, Reader.Revision, WatchTimeout,
                                ++Reader.Sequence, OnNewConnection});
}

/// Starts the watches anew on new connections that were sent before a call that
/// has failed: the connections of both may have fallen silent. A watch goes on
/// from its revision, so no change is missed and none is read again.
void renewWatches(DirectoryState &State, SteadyTime FailedCall, SteadyTime Now,
                  InstanceEffects &Out) {
  for (StoreCollection Collection :
       {StoreCollection::Configuration, StoreCollection::Evacuations}) {
    CollectionReader &Reader = readerOf(State, Collection);
    if (Reader.Phase == CollectionReaderPhase::Watching &&
        Reader.LastCall <= FailedCall)
      startWatch(Reader, Collection, /*OnNewConnection=*/true, Now, Out);
  }
}

/// Returns when the last call beside the watches was sent.
SteadyTime lastOtherCall(const DirectoryState &State) {
  SteadyTime Last = State.OwnRegistration.LastCall;
  for (const CollectionReader &Reader : State.Readers)
    if (Reader.Phase != CollectionReaderPhase::Watching)
      Last = std::max(Last, Reader.LastCall);
  return Last;
}

/// Applies a configuration that is newer than the current one.
void applyConfiguration(DirectoryState &State,
                        const FleetConfiguration &Received,
                        StoreRevision Revision, InstanceEffects &Out) {
  // A peer's copy has no limits.
  if (State.Configuration && Received.Version == State.Configuration->Version &&
      Received.Limits)
    State.Configuration->Limits = Received.Limits;
  // An outdated answer must not bring back an older configuration.
  if (State.Configuration && Received.Version <= State.Configuration->Version)
    return;
  log(Out, "configuration applied version=" + std::to_string(Received.Version) +
               " routes=" + std::to_string(Received.Routes.size()) +
               " revision=" + std::to_string(Revision.Value));
  State.Configuration = Received;
  State.ConfigurationBehindSince.reset();
}

/// Delay after a read of the instances.
Duration instanceReadPeriod(const CollectionReader &Reader) {
  return Reader.CompletedReads <= EarlyReads
             ? EarlyReadPeriod * Reader.CompletedReads
             : InstanceReadPeriod;
}

/// Continues after a read: starts a watch of the configuration or of the
/// evacuations, or schedules the next read.
void scheduleNext(DirectoryState &State, StoreCollection Collection,
                  SteadyTime Now, InstanceEffects &Out) {
  CollectionReader &Reader = readerOf(State, Collection);
  if (Collection == StoreCollection::Evacuations ||
      (Collection == StoreCollection::Configuration &&
       Reader.CompletedReads > 0 && State.Configuration)) {
    startWatch(Reader, Collection, /*OnNewConnection=*/false, Now, Out);
    return;
  }
  Reader.Phase = CollectionReaderPhase::Idle;
  Duration Period = Collection == StoreCollection::Instances
                        ? instanceReadPeriod(Reader)
                    : State.IsSender ? State.DrainNotice / ReadsPerDrainNotice
                                     : StandbyReadPeriod;
  if (Collection == StoreCollection::Configuration)
    Period = StoreRetryDelay;
  Reader.NextCall = Now + Period;
}

/// Starts a read of a collection if one is due.
void advanceReader(DirectoryState &State, StoreCollection Collection,
                   SteadyTime Now, InstanceEffects &Out) {
  CollectionReader &Reader = readerOf(State, Collection);
  if (Reader.Phase != CollectionReaderPhase::Idle || Now < Reader.NextCall)
    return;
  if (Collection == StoreCollection::Upstreams && !wantsUpstreams(State))
    return;
  if (Collection == StoreCollection::Evacuations && !State.Evacuation.Bound)
    return;
  bool Stale = Collection == StoreCollection::Instances ||
               (Collection == StoreCollection::Upstreams && !State.IsSender &&
                !Reader.NeedsCurrentRead);
  startRead(Reader, Collection, Stale, Now, Out);
}

/// Makes the next call of the registration if one is due.
void advanceRegistration(DirectoryState &State, SteadyTime Now,
                         InstanceEffects &Out) {
  Registration &R = State.OwnRegistration;
  if (State.Leaving)
    return;
  bool Silent = Now - lastOtherCall(State) >= MaxStoreSilence;
  if (R.Phase == RegistrationPhase::NoLease && Now >= R.Due) {
    R.Phase = RegistrationPhase::Acquiring;
    R.LastCall = Now;
    Out.push_back(AcquireLease{RegistrationLifetime});
  } else if (R.Phase == RegistrationPhase::Registered &&
             (Now >= R.Due || Silent)) {
    R.Phase = RegistrationPhase::Renewing;
    R.LastCall = Now;
    Out.push_back(RenewLease{R.Lease});
  }
}

} // namespace

bool wantsUpstreams(const DirectoryState &State) {
  return State.IsSender || State.IsStandby;
}

void advanceDirectory(DirectoryState &State, SteadyTime Now,
                      InstanceEffects &Out) {
  if (State.ConfigurationBehindSince &&
      Now - *State.ConfigurationBehindSince >= ConfigurationReadDelay) {
    State.ConfigurationBehindSince.reset();
    rereadNow(State, StoreCollection::Configuration, Now);
  }
  for (StoreCollection Collection :
       {StoreCollection::Configuration, StoreCollection::Upstreams,
        StoreCollection::Instances, StoreCollection::Evacuations})
    advanceReader(State, Collection, Now, Out);
  advanceRegistration(State, Now, Out);
}

bool applyCollectionRead(DirectoryState &State,
                         const CollectionReadAnswered &Event, SteadyTime Now,
                         InstanceEffects &Out) {
  CollectionReader &Reader = readerOf(State, Event.Collection);
  if (Reader.Phase != CollectionReaderPhase::Reading ||
      Event.Sequence != Reader.Sequence)
    return false;
  if (Event.Status != StoreStatus::Done) {
    recordFailure(Reader, Event.Collection, Now, Out);
    if (Event.Collection == StoreCollection::Evacuations)
      State.Evacuation.ReadFailed = true;
    if (Event.Status == StoreStatus::Failed)
      renewWatches(State, Reader.LastCall, Now, Out);
    return false;
  }
  recordAnswer(Reader, Event.Collection, Out);
  // The replica that answered may be behind the one before. A list from it
  // would show upstreams as usable that have begun to drain or have left. The
  // revision can also be lower because the store was restored, which a current
  // read decides.
  Reader.NeedsCurrentRead = Event.Collection == StoreCollection::Upstreams &&
                            Reader.ReadIsStale &&
                            Event.Revision < Reader.Revision;
  if (Reader.NeedsCurrentRead) {
    Reader.Phase = CollectionReaderPhase::Idle;
    Reader.NextCall = Now;
    return false;
  }
  Reader.Revision = Event.Revision;
  ++Reader.CompletedReads;
  recordUnreadable(Reader, Event, Out);
  if (Event.Configuration)
    applyConfiguration(State, *Event.Configuration, Event.Revision, Out);
  if (Event.Collection == StoreCollection::Upstreams)
    State.Upstreams = Event.Upstreams;
  if (Event.Collection == StoreCollection::Evacuations)
    applyEvacuationRead(State.Evacuation, {Event.Evacuated, Event.Revision},
                        Out);
  scheduleNext(State, Event.Collection, Now, Out);
  return true;
}

void applyWatchAnswer(DirectoryState &State, const WatchAnswered &Event,
                      SteadyTime Now, InstanceEffects &Out) {
  CollectionReader &Reader = readerOf(State, Event.Collection);
  if (Reader.Phase != CollectionReaderPhase::Watching ||
      Event.Sequence != Reader.Sequence)
    return;
  if (Event.Status == StoreStatus::Failed ||
      Event.Status == StoreStatus::Throttled) {
    recordFailure(Reader, Event.Collection, Now, Out);
    return;
  }
  recordAnswer(Reader, Event.Collection, Out);
  bool IsEvacuations = Event.Collection == StoreCollection::Evacuations;
  bool KnowsChanges = IsEvacuations ? !Event.Evacuations.empty()
                                    : Event.Configuration.has_value();
  bool NeedsRead =
      Event.Status == StoreStatus::Gone || (Event.Changed && !KnowsChanges);
  if (NeedsRead) {
    startRead(Reader, Event.Collection, false, Now, Out);
    return;
  }
  if (Event.Configuration)
    applyConfiguration(State, *Event.Configuration, Event.Revision, Out);
  if (IsEvacuations)
    applyEvacuationChanges(State.Evacuation, Event.Evacuations, Event.Revision,
                           Out);
  Reader.Revision = Event.Revision;
  startWatch(Reader, Event.Collection, /*OnNewConnection=*/false, Now, Out);
}

void applyLeaseAnswer(DirectoryState &State, const LeaseAnswered &Event,
                      const InstanceRecord &Self, SteadyTime Now,
                      InstanceEffects &Out) {
  Registration &R = State.OwnRegistration;
  if (R.Phase != RegistrationPhase::Acquiring)
    return;
  if (Event.Status == StoreStatus::Failed)
    renewWatches(State, R.LastCall, Now, Out);
  if (Event.Status != StoreStatus::Done) {
    R.Phase = RegistrationPhase::NoLease;
    R.Due = Now + MaxStoreRetryDelay;
    return;
  }
  R.Lease = Event.Lease;
  R.Phase = RegistrationPhase::Publishing;
  R.LastCall = Now;
  Out.push_back(PublishInstance{Self, R.Lease});
}

void applyPublishAnswer(DirectoryState &State, const PublishAnswered &Event,
                        SteadyTime Now, InstanceEffects &Out) {
  Registration &R = State.OwnRegistration;
  if (R.Phase != RegistrationPhase::Publishing)
    return;
  if (Event.Status == StoreStatus::Failed)
    renewWatches(State, R.LastCall, Now, Out);
  bool Registered = Event.Status == StoreStatus::Done;
  R.Phase =
      Registered ? RegistrationPhase::Registered : RegistrationPhase::NoLease;
  R.Due = Now + (Registered ? RegistrationRenewalPeriod : MaxStoreRetryDelay);
}

void applyLeaseRenewal(DirectoryState &State, const LeaseRenewalAnswered &Event,
                       SteadyTime Now, InstanceEffects &Out) {
  Registration &R = State.OwnRegistration;
  if (R.Phase != RegistrationPhase::Renewing)
    return;
  if (Event.Status == StoreStatus::Failed)
    renewWatches(State, R.LastCall, Now, Out);
  if (Event.Status == StoreStatus::Gone) {
    R.Phase = RegistrationPhase::NoLease;
    R.Due = Now;
    return;
  }
  R.Phase = RegistrationPhase::Registered;
  R.Due = Now + (Event.Status == StoreStatus::Done ? RegistrationRenewalPeriod
                                                   : MaxStoreRetryDelay);
}

void applyRole(DirectoryState &State, bool IsSender, bool IsStandby,
               SteadyTime Now, InstanceEffects &Out) {
  bool WantedBefore = wantsUpstreams(State);
  State.IsSender = IsSender;
  State.IsStandby = IsStandby;
  if (WantedBefore == wantsUpstreams(State))
    return;
  // Also ignores the answer to a pending read, which would bring a dropped list
  // back.
  rereadNow(State, StoreCollection::Upstreams, Now);
  if (!WantedBefore)
    return;
  log(Out, "list of upstreams dropped, other instances are likelier senders");
  State.Upstreams.clear();
  State.Upstreams.shrink_to_fit();
}

bool needsSnapshot(const DirectoryState &State, SteadyTime Now) {
  const CollectionReader &Configuration =
      State.Readers[static_cast<size_t>(StoreCollection::Configuration)];
  const CollectionReader &Upstreams =
      State.Readers[static_cast<size_t>(StoreCollection::Upstreams)];
  bool Incomplete = !State.Configuration ||
                    (wantsUpstreams(State) && State.Upstreams.empty());
  bool StoreFails = Configuration.Failures > 0 || Upstreams.Failures > 0;
  return Incomplete && StoreFails && Now >= State.NextSnapshotRequest;
}

void applySnapshot(DirectoryState &State, const SnapshotFetched &Event,
                   InstanceEffects &Out) {
  if (Event.Configuration)
    applyConfiguration(State, *Event.Configuration, {}, Out);
  // The peer may have been asked before the last return.
  if (Event.Evacuation)
    applyPeerEvacuation(State.Evacuation, *Event.Evacuation, SteadyTime{}, Out);
  if (!wantsUpstreams(State) || !State.Upstreams.empty() ||
      Event.Upstreams.empty())
    return;
  State.Upstreams = Event.Upstreams;
  log(Out, "upstream list taken from a peer count=" +
               std::to_string(State.Upstreams.size()));
}

void recordPeerConfiguration(DirectoryState &State, uint64_t Version,
                             SteadyTime Now) {
  uint64_t Own = State.Configuration ? State.Configuration->Version : 0;
  if (Version <= Own)
    return;
  if (!State.Configuration)
    rereadNow(State, StoreCollection::Configuration, Now);
  else if (!State.ConfigurationBehindSince)
    State.ConfigurationBehindSince = Now;
}

void readUpstreamsEarly(DirectoryState &State, SteadyTime Now) {
  CollectionReader &Reader = readerOf(State, StoreCollection::Upstreams);
  if (!State.Upstreams.empty() || !wantsUpstreams(State) ||
      Reader.Phase != CollectionReaderPhase::Idle || Reader.Failures > 0 ||
      Now < State.NextEarlyRead)
    return;
  State.NextEarlyRead = Now + EarlyUpstreamReadPause;
  Reader.NeedsCurrentRead = true;
  Reader.NextCall = Now;
}

void rereadNow(DirectoryState &State, StoreCollection Collection,
               SteadyTime Now) {
  CollectionReader &Reader = readerOf(State, Collection);
  if (Reader.Phase == CollectionReaderPhase::Reading &&
      Collection == StoreCollection::Configuration)
    return;
  // The answer to a pending call may be older than the reason for this read, so
  // it is ignored.
  ++Reader.Sequence;
  Reader.Phase = CollectionReaderPhase::Idle;
  Reader.NextCall = Now;
}

void withdrawRegistration(DirectoryState &State, InstanceEffects &Out) {
  State.Leaving = true;
  if (State.OwnRegistration.Phase == RegistrationPhase::Registered ||
      State.OwnRegistration.Phase == RegistrationPhase::Renewing)
    Out.push_back(EndLease{State.OwnRegistration.Lease});
}

size_t unreadableRecords(const DirectoryState &State) {
  size_t Count = 0;
  for (const CollectionReader &Reader : State.Readers)
    Count += Reader.UnreadableRecords;
  return Count;
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
