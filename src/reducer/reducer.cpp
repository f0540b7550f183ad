/// \file Dispatch of events to the subsystems.
#include "reducer/reducer.h"

#include "configuration/configuration_cmd.h"
#include "handover/handover_cmd.h"
#include "jobs/forward_cmd.h"
#include "jobs/job_cmd.h"
#include "membership/drain_cmd.h"
#include "membership/member_cmd.h"
#include "scheduling/dispatch_cmd.h"
#include "upstreams/upstream_cmd.h"

namespace snipeshunt {

namespace {

/// Passes one event to the subsystem that handles it.
struct Router {
  InstanceState &State;
  SteadyTime Now;
  uint64_t Seed;
  EffectList &Out;

  void operator()(const Tick &) {
    expireJobs(State, Now, Out);
    expireReceivedTasks(State, Now);
    evictClosedHomes(State, Now);
    evictUnreachableHomes(State, Now);
    tickMembership(State, Now, Out);
    pollStatuses(State, Now, Out);
    resendHandovers(State, Now, Out);
    advanceDrain(State, Now, Out);
  }
  void operator()(const TicketsRequested &E) {
    issueTickets(State, E, Now, Out);
  }
  void operator()(const JobRequested &E) {
    handleJobRequest(State, E, Now, Out);
  }
  void operator()(const CallerDisconnected &E) {
    removeWaiter(State, E.Request);
    State.Forwards.erase(E.Request);
  }
  void operator()(const ForwardEnded &E) { endForward(State, E, Out); }
  void operator()(const AttemptEnded &E) {
    endAttempt(State, E, Now, Seed, Out);
  }
  void operator()(const StatusRead &E) { applyStatus(State, E, Now, Out); }
  void operator()(const PlatformListRead &E) {
    applyInstanceList(State, E.Instances);
    applyUpstreamList(State, E.Upstreams, Out);
  }
  void operator()(const HandoverReceived &E) {
    applyHandover(State, E, Now, Out);
  }
  void operator()(const HandoverAnswered &E) {
    applyHandoverAnswer(State, E, Now, Seed, Out);
  }
  void operator()(const ReportReceived &E) {
    applyReport(State, E, Now, Seed, Out);
  }
  void operator()(const ReportAnswered &E) { applyReportAnswer(State, E, Now); }
  void operator()(const RevokeReceived &E) { applyRevoke(State, E, Now, Out); }
  void operator()(const RevokeAnswered &E) {
    applyRevokeAnswer(State, E, Now, Out);
  }
  void operator()(const HeartbeatReceived &E) {
    applyHeartbeat(State, E.Message, Now, Out);
    Out.push_back(
        ReplyHeartbeat{E.Request, answerHeartbeat(State, E.Message, Now)});
  }
  void operator()(const HeartbeatAnswered &E) {
    applyHeartbeatAnswer(State, E, Now, Out);
  }
  void operator()(const ConfigurationReceived &E) {
    bool Applied =
        applyRevision(State.Configuration, E.RevisionNumber, E.Text, Now);
    bool Rejected = !Applied && State.Configuration.LastRejected &&
                    State.Configuration.RejectedRevision == E.RevisionNumber;
    if (!Applied && !Rejected)
      return;
    if (Applied)
      announceConfiguration(State, Now, Out);
    Out.push_back(RecordTimeline{
        Applied ? TimelineKind::ConfigurationApplied
                : TimelineKind::ConfigurationRejected,
        "", "", "revision=" + std::to_string(E.RevisionNumber.Value)});
  }
  void operator()(const PlatformReachabilityObserved &E) {
    State.Members.PlatformReachable = E.Reachable;
  }
  void operator()(const ConfigurationRequested &E) {
    Out.push_back(ReplyConfiguration{E.Request,
                                     State.Configuration.InForceRevision,
                                     State.Configuration.InForceText});
  }
  void operator()(const AnswersReceived &E) {
    // An instance that shuts down itself can't retain answers for another.
    bool Accepted = !State.Drain;
    if (Accepted)
      importAnswers(State, E, Now);
    Out.push_back(ReplyAnswers{E.Request, Accepted});
  }
  void operator()(const AnswerTransferEnded &E) {
    applyAnswerTransferEnd(State, E, Now, Out);
  }
  void operator()(const DrainRequested &) { startDrain(State, Now, Out); }
};

} // namespace

InstanceState initialState(DaemonSettings Settings, IncarnationId Incarnation) {
  InstanceState State;
  State.Settings = std::move(Settings);
  State.Incarnation = Incarnation;
  for (const PeerSettings &Peer : State.Settings.Peers)
    addMember(State, {Peer.Endpoint, Peer.Centre});
  addConfiguredUpstreams(State);
  return State;
}

EffectList reduce(InstanceState &State, const Event &E) {
  EffectList Out;
  std::visit(Router{State, E.Now, E.Seed, Out}, E.Body);
  startTasks(State, E.Now, E.Seed, Out);
  handOverTasks(State, E.Now, Out);
  returnUnservableTasks(State, E.Now, Out);
  sendReports(State, E.Now, Out);
  announceFreeSlots(State, E.Now, Out);
  return Out;
}

} // namespace snipeshunt
