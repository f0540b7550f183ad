/// \file State changes of the reading of the store.
#include "directory/directory_cmd.h"

#include "directory/directory_table.h"

#include <algorithm>

namespace snipeshunt {

namespace {

Feed &feedOf(DirectoryState &State, Collection What) {
  return State.Feeds[static_cast<size_t>(What)];
}

const char *nameOf(Collection What) {
  switch (What) {
  case Collection::Configuration:
    return "configuration";
  case Collection::Upstreams:
    return "upstreams";
  case Collection::Instances:
    return "instances";
  }
  return "";
}

void log(InstanceEffects &Out, std::string Message) {
  Out.push_back(LogDecision{DecisionPart::Directory, "", std::move(Message)});
}

Duration backoff(uint32_t Failures) {
  return std::min<Duration>(StoreRetry * (1U << std::min(Failures, 4U)),
                            LongestStoreRetry);
}

void noteFailure(Feed &F, Collection What, SteadyTime Now,
                 InstanceEffects &Out) {
  if (F.Failures++ == 0)
    log(Out, std::string("store does not answer, ") + nameOf(What) +
                 " stay as read at revision=" + std::to_string(F.At.Value));
  F.Phase = FeedPhase::Pausing;
  F.Due = Now + backoff(F.Failures);
}

void noteAnswer(Feed &F, Collection What, InstanceEffects &Out) {
  if (F.Failures > 0)
    log(Out, std::string("store answers again, ") + nameOf(What) +
                 " failed_calls=" + std::to_string(F.Failures));
  F.Failures = 0;
}

void read(Feed &F, Collection What, bool Stale, InstanceEffects &Out) {
  F.Phase = FeedPhase::Reading;
  Out.push_back(ReadCollection{What, Stale, ++F.Sequence});
}

void watch(Feed &F, Collection What, InstanceEffects &Out) {
  F.Phase = FeedPhase::Watching;
  Out.push_back(WatchCollection{What, F.At, WatchWait, ++F.Sequence});
}

void adoptConfiguration(DirectoryState &State, const FleetConfiguration &Read,
                        StoreRevision At, InstanceEffects &Out) {
  // A configuration never goes back, whatever an outdated answer says.
  if (State.Configuration && Read.Version <= State.Configuration->Version)
    return;
  log(Out, "configuration in force version=" + std::to_string(Read.Version) +
               " routes=" + std::to_string(Read.Routes.size()) +
               " revision=" + std::to_string(At.Value));
  State.Configuration = Read;
}

Duration instancePeriod(const Feed &F) {
  return F.Reads <= EarlyReads ? EarlyReadPeriod * F.Reads : InstanceReadPeriod;
}

void scheduleNext(DirectoryState &State, Collection What, SteadyTime Now,
                  InstanceEffects &Out) {
  Feed &F = feedOf(State, What);
  if (What == Collection::Configuration && F.Reads > 0 && State.Configuration) {
    watch(F, What, Out);
    return;
  }
  F.Phase = FeedPhase::Pausing;
  Duration Period = What == Collection::Instances ? instancePeriod(F)
                    : State.SendsOrders
                        ? State.DrainNotice / ReadsPerDrainNotice
                        : SpareReadPeriod;
  if (What == Collection::Configuration)
    Period = StoreRetry;
  F.Due = Now + Period;
}

void advanceFeed(DirectoryState &State, Collection What, SteadyTime Now,
                 InstanceEffects &Out) {
  Feed &F = feedOf(State, What);
  if (F.Phase != FeedPhase::Pausing || Now < F.Due)
    return;
  bool Stale = What == Collection::Instances ||
               (What == Collection::Upstreams && !State.SendsOrders);
  read(F, What, Stale, Out);
}

void advanceRegistration(DirectoryState &State, SteadyTime Now,
                         InstanceEffects &Out) {
  Registration &R = State.Own;
  if (State.Leaving || Now < R.Due)
    return;
  if (R.Phase == RegistrationPhase::NoLease) {
    R.Phase = RegistrationPhase::Acquiring;
    Out.push_back(AcquireLease{RegistrationLifetime});
  } else if (R.Phase == RegistrationPhase::Held) {
    R.Phase = RegistrationPhase::Renewing;
    Out.push_back(RenewLease{R.Lease});
  }
}

} // namespace

void advanceDirectory(DirectoryState &State, SteadyTime Now,
                      InstanceEffects &Out) {
  for (Collection What : {Collection::Configuration, Collection::Upstreams,
                          Collection::Instances})
    advanceFeed(State, What, Now, Out);
  advanceRegistration(State, Now, Out);
}

bool applyCollection(DirectoryState &State, const CollectionRead &Event,
                     SteadyTime Now, InstanceEffects &Out) {
  Feed &F = feedOf(State, Event.What);
  if (F.Phase != FeedPhase::Reading || Event.Sequence != F.Sequence)
    return false;
  if (Event.Verdict != StoreVerdict::Done) {
    noteFailure(F, Event.What, Now, Out);
    return false;
  }
  noteAnswer(F, Event.What, Out);
  F.At = Event.At;
  ++F.Reads;
  if (Event.Configuration)
    adoptConfiguration(State, *Event.Configuration, Event.At, Out);
  if (Event.What == Collection::Upstreams)
    State.Upstreams = Event.Upstreams;
  scheduleNext(State, Event.What, Now, Out);
  return true;
}

void applyChange(DirectoryState &State, const CollectionChanged &Event,
                 SteadyTime Now, InstanceEffects &Out) {
  Feed &F = feedOf(State, Event.What);
  if (F.Phase != FeedPhase::Watching || Event.Sequence != F.Sequence)
    return;
  if (Event.Verdict == StoreVerdict::Failed ||
      Event.Verdict == StoreVerdict::Throttled) {
    noteFailure(F, Event.What, Now, Out);
    return;
  }
  noteAnswer(F, Event.What, Out);
  bool Unclear = Event.Verdict == StoreVerdict::Gone ||
                 (Event.AnyChange && !Event.Configuration);
  if (Unclear) {
    read(F, Event.What, false, Out);
    return;
  }
  if (Event.Configuration)
    adoptConfiguration(State, *Event.Configuration, Event.At, Out);
  F.At = Event.At;
  watch(F, Event.What, Out);
}

void applyLease(DirectoryState &State, const LeaseAnswered &Event,
                const InstanceEntry &Self, SteadyTime Now,
                InstanceEffects &Out) {
  Registration &R = State.Own;
  if (R.Phase != RegistrationPhase::Acquiring)
    return;
  if (Event.Verdict != StoreVerdict::Done) {
    R.Phase = RegistrationPhase::NoLease;
    R.Due = Now + LongestStoreRetry;
    return;
  }
  R.Lease = Event.Lease;
  R.Phase = RegistrationPhase::Publishing;
  Out.push_back(PublishInstance{Self, R.Lease});
}

void applyPublished(DirectoryState &State, const InstancePublished &Event,
                    SteadyTime Now) {
  Registration &R = State.Own;
  if (R.Phase != RegistrationPhase::Publishing)
    return;
  bool Held = Event.Verdict == StoreVerdict::Done;
  R.Phase = Held ? RegistrationPhase::Held : RegistrationPhase::NoLease;
  R.Due = Now + (Held ? RegistrationRenewal : LongestStoreRetry);
}

void applyLeaseRenewed(DirectoryState &State, const LeaseRenewed &Event,
                       SteadyTime Now) {
  Registration &R = State.Own;
  if (R.Phase != RegistrationPhase::Renewing)
    return;
  if (Event.Verdict == StoreVerdict::Gone) {
    R.Phase = RegistrationPhase::NoLease;
    R.Due = Now;
    return;
  }
  R.Phase = RegistrationPhase::Held;
  R.Due = Now + (Event.Verdict == StoreVerdict::Done ? RegistrationRenewal
                                                     : LongestStoreRetry);
}

bool needsSnapshot(const DirectoryState &State, SteadyTime Now) {
  const Feed &Configuration =
      State.Feeds[static_cast<size_t>(Collection::Configuration)];
  const Feed &Upstreams =
      State.Feeds[static_cast<size_t>(Collection::Upstreams)];
  bool Lacks = !State.Configuration || State.Upstreams.empty();
  bool Fails = Configuration.Failures > 0 || Upstreams.Failures > 0;
  return Lacks && Fails && Now >= State.NextSnapshot;
}

void applySnapshot(DirectoryState &State, const SnapshotFetched &Event,
                   InstanceEffects &Out) {
  if (Event.Configuration)
    adoptConfiguration(State, *Event.Configuration, {}, Out);
  if (!State.Upstreams.empty() || Event.Upstreams.empty())
    return;
  State.Upstreams = Event.Upstreams;
  log(Out, "upstreams taken from a peer count=" +
               std::to_string(State.Upstreams.size()));
}

void rereadNow(DirectoryState &State, Collection What, SteadyTime Now) {
  Feed &F = feedOf(State, What);
  if (F.Phase == FeedPhase::Reading && What == Collection::Configuration)
    return;
  // An answer to a call that is open may be older than the cause of this one.
  ++F.Sequence;
  F.Phase = FeedPhase::Pausing;
  F.Due = Now;
}

void withdrawRegistration(DirectoryState &State, InstanceEffects &Out) {
  State.Leaving = true;
  if (State.Own.Phase == RegistrationPhase::Held ||
      State.Own.Phase == RegistrationPhase::Renewing)
    Out.push_back(EndLease{State.Own.Lease});
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
