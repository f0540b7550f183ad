/// \file Dispatch of events to the parts of a fleet instance.
#include "instance/instance_reducer.h"

#include "cells/cell_cmd.h"
#include "cells/cell_table.h"
#include "cells/claim_cmd.h"
#include "cells/peer_func.h"
#include "directory/directory_cmd.h"
#include "directory/directory_table.h"
#include "directory/evacuation_cmd.h"
#include "directory/evacuation_table.h"
#include "entry/entry_cmd.h"
#include "entry/open_job_cmd.h"
#include "entry/result_query_cmd.h"
#include "instance/balance_cmd.h"
#include "instance/drain_cmd.h"
#include "instance/entry_contact_func.h"
#include "instance/fence_cmd.h"
#include "instance/instance_func.h"
#include "instance/withheld_cmd.h"
#include "sender/admission_cmd.h"
#include "sender/caller_cancel_cmd.h"
#include "sender/capacity_func.h"
#include "sender/job_cmd.h"
#include "sender/placement_cmd.h"
#include "sender/queue_func.h"
#include "sender/queue_share_cmd.h"
#include "sender/renewal_cmd.h"
#include "sender/result_cmd.h"
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace snipeshunt {

namespace {

// Time after a pause of this process within which the messages that have
// arrived meanwhile are read.
constexpr Duration ResumeDelay = std::chrono::milliseconds(30);

OwnReport ownReport(const FleetInstance &State, SteadyTime Now) {
  OwnReport Report;
  Report.Load = senderLoad(State.Sender, Now);
  Report.UpstreamsInUse = upstreamsInUse(State.Sender);
  Report.ConfigurationVersion = State.Directory.Configuration
                                    ? State.Directory.Configuration->Version
                                    : 0;
  Report.Evacuation = evacuationForPeers(State.Directory.Evacuation);
  return Report;
}

void countOwnUpstreams(FleetInstance &State) {
  const DataCentre &Own = State.Settings.Self.Centre;
  State.Cells.OwnUpstreams = static_cast<size_t>(std::count_if(
      State.Directory.Upstreams.begin(), State.Directory.Upstreams.end(),
      [&](const UpstreamRecord &E) { return E.Centre == Own; }));
}

void applyListedUpstreams(FleetInstance &State, bool Complete, SteadyTime Now,
                          InstanceEffects &Out) {
  applyUpstreams(State.Sender, State.Directory.Upstreams, State.Cells.Claims,
                 cellOf, Complete, Now, Out);
}

/// Passes a forwarded job to the sender, unless its caller has cancelled it.
void acceptUnlessCancelled(SenderState &Sender, const JobOrder &Order,
                           JobWaiter Waiter, const DataCentre &EntryCentre,
                           SteadyTime Now, InstanceEffects &Out) {
  // A cancellation ends an open job, so one that is open is not cancelled.
  if (!Sender.Jobs.count(Order.Id) &&
      isCancelledByCaller(Sender.Cancelled, Order.Id, Now))
    rejectCancelledJob(Sender, Order, Waiter, Now, Out);
  else
    acceptJob(Sender, Order, Waiter, Now, Out, EntryCentre);
}

/// Handles one event in the parts that it concerns.
struct Router {
  FleetInstance &State;
  SteadyTime Now;
  WallTime Wall;
  InstanceEffects &Out;

  void operator()(const InstanceTick &) {
    SteadyTime LastTick = State.Cells.LastTick;
    compensateForPause(State.Cells, Now);
    if (State.Cells.LateTick == Now)
      logInstance(
          Out, "was paused or is short of processor time, since_last_tick_ms=" +
                   std::to_string(toMilliseconds(Now - LastTick)));
    updateRole();
    advanceDirectory(State.Directory, Now, Out);
    advanceEvacuation(State.Directory.Evacuation, Now, Out);
    requestSnapshot();
    updateOwnCells();
    balanceCells(State.Cells, State.Sender, Now, Out);
    const auto &Routes = State.Directory.Configuration;
    if (Routes && Routes->Version != State.Sender.Shares.ConfigurationVersion)
      applyRoutePriorities(State.Sender.Shares, *Routes);
    expireRuns(State.Sender, Now, Out);
    cancelAbandonedJobs(
        State.Sender,
        [this](const SenderJob &J) {
          return isAbandonedByEntry(State.Cells, J, Now);
        },
        Now, Out);
    advanceShares(State.Sender, Now, Out);
    expireSenderJobs(State.Sender, Now, Out);
    expireEntryJobs(State.Entry, entryContext(State, Now), Now, Out);
    queryResults(State.Entry, entryContext(State, Now), Now, Out);
    advanceQuestions(State.Entry, State.Cells, grace(), Now, Out);
    // Pauses of starts on upstreams end without an event.
    State.Sender.PlacementDue = true;
    advanceDrain(State, Now, Out);
  }

  void operator()(const ShutdownRequested &) {
    if (!State.DrainStarted)
      beginDrain(State, Now, Out);
  }

  void operator()(const SettingsChanged &E) {
    // Addresses that this process listens on change only with a restart.
    State.Settings.Store = E.Settings.Store;
    State.Settings.Seeds = E.Settings.Seeds;
    State.Settings.Bounds = E.Settings.Bounds;
    State.Settings.Self.Weight = E.Settings.Self.Weight;
    State.Cells.Self.Weight = E.Settings.Self.Weight;
    State.Sender.Bounds = E.Settings.Bounds;
    State.Directory.DrainNotice = E.Settings.Bounds.DrainNotice;
    setEvacuationBound(State.Directory.Evacuation, E.Settings.Bounds.Evacuate,
                       Now);
    if (!E.Settings.Bounds.Evacuate)
      rereadNow(State.Directory, StoreCollection::Evacuations, Now);
    for (const Address &Seed : State.Settings.Seeds)
      addPeer(State.Cells, {Seed, {}, 0}, Now);
  }

  void operator()(const JobSubmitted &E) {
    if (isCancelledByCaller(State.Sender.Cancelled, E.Job.Id, Now) &&
        answerCancelledJob(State.Entry, E, Now, Out))
      return;
    submitJob(State.Entry, entryContext(State, Now), E, Now, Out);
  }
  void operator()(const JobQueried &E) {
    if (isOpenHere(E.Id))
      return answerAbout(State.Entry, E.Request, AnswerStatus::Running, Out);
    askForJob(State.Entry, State.Cells, E.Request, {E.Id, /*Cancel=*/false},
              grace(), Now, Out);
  }
  void operator()(const JobCancelled &E) {
    recordCallerCancel(State.Sender.Cancelled, E.Id, Now);
    if (cancelHere(E.Id)) {
      announceCancel(State.Entry, State.Cells, E.Id, grace(), Now, Out);
      return answerAbout(State.Entry, E.Request, AnswerStatus::Cancelled, Out);
    }
    askForJob(State.Entry, State.Cells, E.Request, {E.Id, /*Cancel=*/true},
              grace(), Now, Out);
  }
  void operator()(const OpenJobQueryArrived &E) {
    OpenJobReply Reply;
    for (uint32_t I = 0; I < E.Query.Jobs.size(); ++I) {
      const QueriedJob &Job = E.Query.Jobs[I];
      if (Job.Cancel)
        recordCallerCancel(State.Sender.Cancelled, Job.Id, Now);
      if (Job.Cancel ? cancelHere(Job.Id) : isOpenHere(Job.Id))
        Reply.Open.push_back(I);
    }
    Out.push_back(AnswerOpenJobQuery{E.Request, std::move(Reply)});
  }
  void operator()(const OpenJobQueryAnswered &E) {
    applyOpenJobReply(State.Entry, State.Cells, E, grace(), Now, Out);
  }
  void operator()(const QueueCounted &E) {
    AnswerCaller Answer;
    Answer.Request = E.Request;
    Answer.Status = AnswerStatus::Count;
    Answer.Count = countWaitingJobs(State.Sender, E.Queue);
    Out.push_back(Answer);
  }
  void operator()(const JobCallerDisconnected &E) {
    if (auto Forward = dropCaller(State.Entry, entryContext(State, Now),
                                  E.Request, Now, Out))
      abandonJob(State.Sender, {*Forward, /*Local=*/true}, Now, Out);
  }
  void operator()(const ForwardAnswered &E) {
    applyForwardAnswer(State.Entry, entryContext(State, Now), E, Now, Out);
  }

  void operator()(const JobArrived &E) {
    // A job shows, as a ping does, that its entry is reachable.
    addPeer(State.Cells, {E.Order.Entry, {}, 0}, Now);
    auto P = State.Cells.Peers.find(E.Order.Entry);
    if (P != State.Cells.Peers.end()) {
      if (P->second.Incarnation == IncarnationId{})
        P->second.Incarnation = E.Order.Incarnation;
      bool SameProcess = P->second.Incarnation == E.Order.Incarnation;
      if (SameProcess)
        recordMessage(P->second, Now);
      if (SameProcess &&
          isCancelledHere(P->second, E.Order.Id, E.Order.Number)) {
        JobResult Result;
        Result.Reason = "cancelled by its entry before it arrived";
        Out.push_back(AnswerJob{E.Request, std::move(Result)});
        return;
      }
      confirmJob(P->second);
    }
    acceptUnlessCancelled(State.Sender, E.Order, {E.Request, /*Local=*/false},
                          P != State.Cells.Peers.end() ? P->second.Record.Centre
                                                       : DataCentre{},
                          Now, Out);
    auto Job = State.Sender.Jobs.find(E.Order.Id);
    if (Job == State.Sender.Jobs.end())
      return;
    Job->second.Received = Now;
    Job->second.ReceivedBound = readBound(State.Cells, Now);
    if (isLagging(State.Cells, Now))
      Job->second.ConfirmSince = Now;
  }
  void operator()(const JobAbandoned &E) {
    abandonJob(State.Sender, {E.Request, /*Local=*/false}, Now, Out);
  }

  void operator()(const ResultQueryArrived &E) {
    Out.push_back(AnswerResultQuery{
        E.Request, answerResultQuery(State.Sender, E.Query, Now)});
  }
  void operator()(const ResultQueryAnswered &E) {
    applyResultReply(State.Entry, entryContext(State, Now), E, Now, Out);
  }

  void operator()(const PingArrived &E) {
    recordPeer();
    applyPing(State.Cells, E, ownReport(State, Now), Now, Out);
    if (E.Message.HasUpstreamList)
      readUpstreamsEarly(State.Directory, Now);
    stopCancelledJobs(E.Message.From.Endpoint, E.Message.CancelledJobs);
    if (State.Cells.ClaimsDue)
      updateOwnCells();
  }
  void operator()(const PingAnswered &E) {
    if (E.Reply)
      recordPeer();
    if (applyPong(State.Cells, E, Now, Out))
      State.Sender.PlacementDue = true;
    auto P = State.Cells.Peers.find(E.Endpoint);
    if (E.Reply && E.Reply->Evacuation && P != State.Cells.Peers.end())
      applyPeerEvacuation(State.Directory.Evacuation, *E.Reply->Evacuation,
                          P->second.LastConfirmation, Out);
    if (E.Reply)
      stopCancelledJobs(E.Endpoint, E.Reply->CancelledJobs);
    if (E.Reply && E.Reply->HasUpstreamList)
      readUpstreamsEarly(State.Directory, Now);
    if (E.Reply)
      recordPeerConfiguration(State.Directory, E.Reply->ConfigurationVersion,
                              Now);
    if (State.Cells.ClaimsDue)
      updateOwnCells();
  }

  void operator()(const StartAnswered &E) {
    std::optional<CellId> Fenced;
    applyStartAnswer(State.Sender, E, Now, Fenced, Out);
    if (Fenced)
      releaseFencedCell(State, *Fenced, Now, Out);
  }
  void operator()(const StopAnswered &E) {
    std::optional<CellId> Fenced;
    applyStopAnswer(State.Sender, E, Now, Fenced, Out);
    if (Fenced)
      releaseFencedCell(State, *Fenced, Now, Out);
  }
  void operator()(const RenewalAnswered &E) {
    std::optional<CellId> Fenced;
    applyRenewal(State.Sender, E, Now, Fenced, Out);
    if (Fenced)
      releaseFencedCell(State, *Fenced, Now, Out);
  }

  void operator()(const CollectionReadAnswered &E) {
    if (!applyCollectionRead(State.Directory, E, Now, Out)) {
      // Without the store, the list that was read last is used.
      if (E.Collection == StoreCollection::Upstreams &&
          E.Status != StoreStatus::Done)
        applyListedUpstreams(State, false, Now, Out);
      return;
    }
    if (E.Collection == StoreCollection::Instances)
      applyListedInstances(State.Cells, E.Instances, Now);
    if (E.Collection != StoreCollection::Upstreams)
      return;
    countOwnUpstreams(State);
    applyListedUpstreams(State, State.Directory.IsSender, Now, Out);
  }
  void operator()(const WatchAnswered &E) {
    applyWatchAnswer(State.Directory, E, Now, Out);
  }
  void operator()(const LeaseAnswered &E) {
    applyLeaseAnswer(State.Directory, E, State.Settings.Self, Now, Out);
  }
  void operator()(const PublishAnswered &E) {
    applyPublishAnswer(State.Directory, E, Now, Out);
  }
  void operator()(const SnapshotFetched &E) {
    applySnapshot(State.Directory, E, Out);
    countOwnUpstreams(State);
  }
  void operator()(const LeaseRenewalAnswered &E) {
    applyLeaseRenewal(State.Directory, E, Now, Out);
  }

  /// Reads the evacuations anew after a pause of this process.
  void noticePause() {
    if (State.LastEvent != SteadyTime{} && Now - State.LastEvent >= ReturnPause)
      readEvacuationsAnew();
  }

private:
  void recordPeer() {
    if (recordPeerMessage(State.Directory.Evacuation, Now))
      readEvacuationsAnew();
  }

  void readEvacuationsAnew() {
    if (!State.Directory.Evacuation.Bound)
      return;
    awaitEvacuationRead(State.Directory.Evacuation, Now, Out);
    rereadNow(State.Directory, StoreCollection::Evacuations, Now);
    advanceDirectory(State.Directory, Now, Out);
  }

  Duration grace() const { return State.Settings.Bounds.Grace; }

  bool isOpenHere(const JobId &Id) const {
    return State.Entry.ByJob.count(Id) != 0 || State.Sender.Jobs.count(Id) != 0;
  }

  /// Stops a job that is open at the entry or the sender of this instance.
  /// Returns false if there is none.
  bool cancelHere(const JobId &Id) {
    bool AtEntry = State.Entry.ByJob.count(Id) != 0;
    if (AtEntry)
      cancelJob(State.Entry, entryContext(State, Now), Id, Now, Out);
    bool AtSender = State.Sender.Jobs.count(Id) != 0;
    if (AtSender)
      finishJob(State.Sender, Id, JobOutcome::Lost, "cancelled by its caller",
                Now, Out);
    return AtEntry || AtSender;
  }

  /// Requests the configuration and the upstreams from a peer, preferably a
  /// sender, if the store doesn't answer. A process that starts in a data
  /// centre that is cut off can work this way.
  void requestSnapshot() {
    if (!needsSnapshot(State.Directory, Now))
      return;
    const Address *Source = nullptr;
    bool FromSender = false;
    for (const auto &[Endpoint, P] : State.Cells.Peers) {
      if (!P.HasUpstreamList || P.ConfigurationVersion == 0 ||
          !isReachable(P, Now) || (Source && P.Claims.empty()))
        continue;
      Source = &Endpoint;
      FromSender = !P.Claims.empty();
      if (FromSender)
        break;
    }
    bool Wait = !FromSender && Now - State.Cells.Started < SenderSnapshotTime;
    if (!Source || Wait)
      return;
    State.Directory.NextSnapshotRequest = Now + SnapshotPeriod;
    Out.push_back(
        FetchSnapshot{*Source, State.Directory.Evacuation.Bound.has_value()});
  }

  /// Reads of the list depend on whether this instance uses upstreams, which
  /// it may do in a shutdown after it has released its cells.
  void updateRole() {
    applyRole(State.Directory,
              !State.Cells.Claims.empty() || usesUpstreams(State.Sender),
              State.Cells.IsStandby, Now, Out);
  }

  void updateOwnCells() {
    recordUpstreamList(State.Cells, !State.Directory.Upstreams.empty(), Now);
    ClaimChanges Changes = updateClaims(State.Cells, Now, Wall, Out);
    for (const CellId &Cell : Changes.Lost)
      releaseCell(State.Sender, Cell, Now, Out);
    updateRole();
    if (Changes.Acquired.empty())
      return;
    State.Sender.UpstreamListPending = true;
    // The list that was read last may be seconds old, and upstreams may have
    // begun to drain since.
    rereadNow(State.Directory, StoreCollection::Upstreams, Now);
    advanceDirectory(State.Directory, Now, Out);
  }

  /// Asks the entry instance \p P whether it still awaits a job that arrives,
  /// if the job is not to be started without that.
  void confirmJob(Peer &P) {
    if (isLagging(State.Cells, Now))
      P.ConfirmSince = Now;
    if (P.UnconfirmedSince != SteadyTime{} || P.ConfirmSince != SteadyTime{})
      pingBy(State.Cells, P, Now);
  }

  /// Stops the jobs that the entry instance at \p From has cancelled here.
  void stopCancelledJobs(const Address &From,
                         const std::vector<CancelledJob> &Cancelled) {
    auto P = State.Cells.Peers.find(From);
    if (P == State.Cells.Peers.end())
      return;
    for (const CancelledJob &Job : Cancelled) {
      auto It = State.Sender.Jobs.find(Job.Id);
      if (It == State.Sender.Jobs.end() || It->second.Waiter.Local)
        continue;
      const JobOrder &Order = It->second.Order;
      if (Order.Entry != From || Order.Incarnation != P->second.Incarnation ||
          Order.Number > Job.Number)
        continue;
      finishJob(State.Sender, Job.Id, JobOutcome::Lost,
                "cancelled by its entry", Now, Out);
    }
  }
};

/// Delivers forwards and answers between this instance's own entry and sender,
/// and moves all other effects of \p From to \p To. Returns true if anything
/// was delivered.
bool deliverLocally(FleetInstance &State, SteadyTime Now, InstanceEffects &From,
                    InstanceEffects &To) {
  bool Delivered = false;
  InstanceEffects Pending = std::move(From);
  From.clear();
  for (InstanceEffect &E : Pending) {
    if (auto *Forward = std::get_if<ForwardJob>(&E);
        Forward && Forward->Sender == State.Settings.Self.Endpoint) {
      acceptUnlessCancelled(State.Sender, Forward->Order,
                            {Forward->Request, /*Local=*/true},
                            State.Cells.Self.Centre, Now, From);
      Delivered = true;
    } else if (auto *Answer = std::get_if<AnswerJob>(&E);
               Answer && (Answer->Request.Value & LocalRequestBit)) {
      ForwardAnswered Event;
      Event.Sender = State.Settings.Self.Endpoint;
      Event.Request = {Answer->Request.Value & ~LocalRequestBit};
      Event.Result = std::move(Answer->Result);
      applyForwardAnswer(State.Entry, entryContext(State, Now), Event, Now,
                         From);
      Delivered = true;
    } else {
      To.push_back(std::move(E));
    }
  }
  return Delivered;
}

/// Returns true if tasks may be started. After a pause, the messages that
/// arrived meanwhile are handled first: callers may have disconnected, and
/// entries may have released their jobs.
bool mayStartTasks(FleetInstance &State, SteadyTime Now) {
  if (Now - std::exchange(State.LastEvent, Now) >= PauseThreshold)
    State.NoStartsBefore = Now + ResumeDelay;
  return Now >= State.NoStartsBefore;
}

} // namespace

CellId cellOf(const UpstreamRecord &Record) {
  const std::string &Name = Record.Id.Value;
  return {Record.Centre,
          static_cast<uint32_t>(XXH64(Name.data(), Name.size(), 0) %
                                CellsPerCentre)};
}

FleetInstance startInstance(FleetSettings Settings, IncarnationId Incarnation,
                            SteadyTime Now) {
  FleetInstance State;
  State.Settings = std::move(Settings);
  State.Cells.Self = State.Settings.Self;
  State.Cells.Incarnation = Incarnation;
  State.Cells.Started = Now;
  State.LastEvent = Now;
  State.Sender.Bounds = State.Settings.Bounds;
  State.Sender.MaxJobMemory = State.Settings.Limits.MaxJobBytes;
  State.Directory.DrainNotice = State.Settings.Bounds.DrainNotice;
  setEvacuationBound(State.Directory.Evacuation, State.Settings.Bounds.Evacuate,
                     Now);
  for (const Address &Seed : State.Settings.Seeds)
    addPeer(State.Cells, {Seed, {}, 0}, Now);
  return State;
}

InstanceEffects reduce(FleetInstance &State, const InstanceEvent &E) {
  InstanceEffects Pending;
  InstanceEffects Out;
  Router Handler{State, E.Now, E.Wall, Pending};
  Handler.noticePause();
  updateEvacuation(State, E.Now);
  std::visit(Handler, E.Body);
  updateEvacuation(State, E.Now);
  returnWithheldJobs(State.Sender, E.Now, Pending);
  returnStrandedJobs(State.Sender, E.Now, Pending);
  while (deliverLocally(State, E.Now, Pending, Out)) {
  }
  ContactLookup LastContact = [&](const SenderJob &J) {
    return lastContact(State.Cells, J, E.Now);
  };
  // With many runs, the cost of each of these steps and the number of events
  // grow together.
  bool UpdateUpstreams = std::holds_alternative<InstanceTick>(E.Body) ||
                         !hasManyRuns(State.Sender);
  bool MayStart = mayStartTasks(State, E.Now);
  if (MayStart && UpdateUpstreams)
    startWaitingTasks(
        State.Sender,
        [&](const SenderJob &J) {
          return E.Now < J.Deadline &&
                 (J.Waiter.Local || isAwaitedByEntry(State.Cells, J, E.Now));
        },
        LastContact, E.Now, Pending);
  if (UpdateUpstreams)
    renewUpstreams(
        State.Sender,
        [&](const UpstreamId &Id) {
          return isUsedByPredecessor(State.Cells, Id, E.Now);
        },
        LastContact, E.Now, Pending);
  sendPings(State.Cells, E.Now, Pending);
  while (deliverLocally(State, E.Now, Pending, Out)) {
  }
  return Out;
}

bool isReady(const FleetInstance &State, SteadyTime Now) {
  return !State.DrainStarted && State.Directory.Configuration &&
         !reachableSenders(State.Cells, Now).empty();
}

} // namespace snipeshunt
