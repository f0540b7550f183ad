/// \file An instance of the ticket mode. Sockets and timers generate events for
/// the reducer, whose effects the gateways carry out.
#ifndef SNIPESHUNT_DAEMON_DAEMON_H
#define SNIPESHUNT_DAEMON_DAEMON_H

#include "daemon/metrics.h"
#include "daemon/signal_table.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "reducer/reducer.h"
#include "timeline/timeline_ring.h"

#include <deque>
#include <memory>
#include <optional>
#include <random>

namespace snipeshunt {

class CallerGateway;
class PeerGateway;
class PlatformGateway;
class UpstreamGateway;

/// One instance of the ticket mode. `CellDaemon` is its counterpart in a fleet
/// of cells.
class Daemon {
public:
  Daemon(EventLoop &Loop, const Clock &TimeSource, DaemonSettings Settings);
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  ~Daemon();

  /// Starts listening and the timers. The caller then runs the event loop.
  Result<Ok> start();

  /// Passes an event to the reducer and emits the resulting effects. If called
  /// while an event is handled, queues the new one.
  void dispatch(EventBody Body);

  EventLoop &loop() { return Loop; }
  /// State of the reducer. Only `dispatch` changes it.
  const InstanceState &state() const { return State; }
  const TimelineRing &timeline() const { return Timeline; }
  /// This process, as the source of its timeline events.
  TimelineSource timelineSource() const;
  PeerTraffic peerTraffic() const;
  /// Server for callers, operators and peers; the gateways connect to it.
  HttpServer &server() { return Server; }
  /// Signals that the gateways connect to.
  SignalTable<Effect> &effects() { return Effects; }
  const Clock &clock() const { return TimeSource; }

private:
  /// Adds an event to the timeline, and logs it if it concerns the
  /// configuration.
  void record(const RecordTimeline &E);
  /// Stops accepting connections and starts `ExitTimer`.
  void beginExit();
  /// Stops the loop once every request received is answered, or after a time
  /// limit.
  void pollExit();

  EventLoop &Loop;
  const Clock &TimeSource;
  InstanceState State;
  std::mt19937_64 Random; ///< Seeds of the events.
  TimelineRing Timeline;
  SignalTable<Effect> Effects;
  ConnectionTable Connections;
  HttpServer Server;
  std::deque<EventBody> Pending; ///< Events that are not handled yet.
  bool Dispatching = false;      ///< `dispatch` is handling an event.
  std::unique_ptr<CallerGateway> Callers;
  std::unique_ptr<PeerGateway> Peers;
  std::unique_ptr<UpstreamGateway> Upstreams;
  std::unique_ptr<PlatformGateway> Platform;
  Timer TickTimer; ///< Dispatches `Tick` periodically.
  Timer ExitTimer; ///< Calls `pollExit` periodically during the exit.
  std::optional<SteadyTime> ExitStarted; ///< When `beginExit` was called.
  SignalWatcher OnTerminate;
  SignalWatcher OnInterrupt;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_DAEMON_H
