/// \file An instance of the ticket mode: event loop, sockets and reducer.
#include "daemon/daemon.h"

#include "daemon/caller_gateway.h"
#include "daemon/log.h"
#include "daemon/peer_gateway.h"
#include "daemon/platform_gateway.h"
#include "daemon/upstream_gateway.h"
#include "tickets/ticket_func.h"

#include <algorithm>
#include <csignal>

namespace snipeshunt {

namespace {

// Resolution of retries, probes and deadlines.
constexpr Duration TickPeriod = std::chrono::milliseconds(10);
// Minimum time until exit, because the request of a connection that was just
// accepted may still be in transit.
constexpr Duration ExitGrace = std::chrono::milliseconds(300);
// Maximum time until exit, even if requests are still unanswered.
constexpr Duration ExitLimit = std::chrono::seconds(3);
constexpr Duration ExitPoll = std::chrono::milliseconds(20);
// Bodies of the largest size that connections may hold. A request that is being
// served counts with twice its body.
constexpr size_t LargestBodies = 4;

IncarnationId drawIncarnation() {
  std::random_device Device;
  uint64_t High = Device();
  return {(High << 32) | Device()};
}

HttpServerLimits serverLimits(const DaemonSettings &Settings) {
  HttpServerLimits Limits;
  Limits.MaxBody = static_cast<size_t>(Settings.Limits.MaxBodyBytes);
  return Limits;
}

/// Returns limits with which a request of the largest size is still served.
ConnectionLimits connectionLimits(const DaemonSettings &Settings) {
  ConnectionLimits Limits;
  Limits.MaxBytes = std::max(
      Limits.MaxBytes,
      LargestBodies * static_cast<size_t>(Settings.Limits.MaxBodyBytes));
  return Limits;
}

} // namespace

Daemon::Daemon(EventLoop &Loop, const Clock &TimeSource,
               DaemonSettings Settings)
    : Loop(Loop), TimeSource(TimeSource),
      State(initialState(std::move(Settings), drawIncarnation())),
      Random(State.Incarnation.Value),
      Timeline(static_cast<size_t>(State.Settings.Limits.TimelineEvents)),
      Connections(Loop, connectionLimits(State.Settings)),
      Server(Loop, serverLimits(State.Settings), Connections),
      TickTimer(Loop, [this] { dispatch(Tick{}); }),
      ExitTimer(Loop, [this] { pollExit(); }),
      OnTerminate(Loop, SIGTERM, [this] { dispatch(DrainRequested{}); }),
      OnInterrupt(Loop, SIGINT, [this] { dispatch(DrainRequested{}); }) {
  Callers = std::make_unique<CallerGateway>(*this);
  Peers = std::make_unique<PeerGateway>(*this);
  Upstreams = std::make_unique<UpstreamGateway>(*this);
  Platform = std::make_unique<PlatformGateway>(*this);
  Effects.on<RecordTimeline>().connect(
      [this](const RecordTimeline &E) { record(E); });
  Effects.on<ExitProcess>().connect(
      [this](const ExitProcess &) { beginExit(); });
}

Daemon::~Daemon() = default;

Result<Ok> Daemon::start() {
  Result<Address> Bound = Server.listen(State.Settings.Listen);
  if (failed(Bound))
    return errorOf(Bound);
  SNIPESHUNT_LOG(INFO, "daemon")
      << "listening on " << valueOf(Bound).Value << " as "
      << State.Settings.Advertise.Value << ", incarnation "
      << incarnationText(State.Incarnation) << ".";
  record({TimelineKind::InstanceStarted, "", "", ""});
  TickTimer.startPeriodic(TickPeriod);
  dispatch(Tick{});
  return Ok{};
}

void Daemon::dispatch(EventBody Body) {
  Pending.push_back(std::move(Body));
  // An effect may dispatch an event, which is handled after the current one.
  if (Dispatching)
    return;
  Dispatching = true;
  while (!Pending.empty()) {
    Event Next{TimeSource.steadyNow(), Random(), std::move(Pending.front())};
    Pending.pop_front();
    for (const Effect &E : reduce(State, Next))
      Effects.emit(E);
  }
  Dispatching = false;
}

void Daemon::beginExit() {
  if (ExitStarted)
    return;
  ExitStarted = TimeSource.steadyNow();
  Server.stopListening();
  ExitTimer.startPeriodic(ExitPoll);
}

void Daemon::pollExit() {
  Duration Waited = TimeSource.steadyNow() - *ExitStarted;
  bool Idle = Waited >= ExitGrace && Server.openRequests() == 0;
  if (Idle || Waited >= ExitLimit)
    Loop.stop();
}

void Daemon::record(const RecordTimeline &E) {
  if (E.Kind == TimelineKind::ConfigurationApplied)
    SNIPESHUNT_LOG(INFO, "configuration")
        << "now in force: " << E.Detail << ".";
  if (E.Kind == TimelineKind::ConfigurationRejected) {
    const Error &Problem = *State.Configuration.LastRejected;
    SNIPESHUNT_LOG(ERROR, "configuration")
        << "rejected, the earlier document stays in force: " << Problem.Message
        << "; " << Problem.Remedy << ".";
  }
  TimelineEvent Event;
  Event.Wall = TimeSource.wallNow();
  Event.Steady = TimeSource.steadyNow();
  Event.Kind = E.Kind;
  Event.Job = E.Job;
  Event.Task = E.Task;
  Event.Detail = E.Detail;
  Timeline.record(std::move(Event));
}

PeerTraffic Daemon::peerTraffic() const { return Peers->traffic(); }

TimelineSource Daemon::timelineSource() const {
  return {State.Settings.Advertise, State.Incarnation, State.Settings.Centre};
}

} // namespace snipeshunt
