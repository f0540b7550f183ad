/// \file The process around the reducer: sockets and timers become events,
/// effects become calls.
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

/// One instance.
class Daemon {
public:
  Daemon(EventLoop &Loop, const Clock &TimeSource, DaemonSettings Settings);
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;
  ~Daemon();

  /// Listens and starts the timers; the loop then does the rest.
  Result<Ok> start();

  /// Hands an event to the reducer and carries out the effects.
  void dispatch(EventBody Body);

  EventLoop &loop() { return Loop; }
  const InstanceState &state() const { return State; }
  const TimelineRing &timeline() const { return Timeline; }
  TimelineSource timelineSource() const;
  PeerTraffic peerTraffic() const;
  HttpServer &server() { return Server; }
  SignalTable<Effect> &effects() { return Effects; }
  const Clock &clock() const { return TimeSource; }

private:
  void record(const RecordTimeline &E);
  /// Accepts no more connections and ends the loop once every request that
  /// has come in is answered.
  void beginExit();
  void pollExit();

  EventLoop &Loop;
  const Clock &TimeSource;
  InstanceState State;
  std::mt19937_64 Random;
  TimelineRing Timeline;
  SignalTable<Effect> Effects;
  HttpServer Server;
  std::deque<EventBody> Pending;
  bool Dispatching = false;
  std::unique_ptr<CallerGateway> Callers;
  std::unique_ptr<PeerGateway> Peers;
  std::unique_ptr<UpstreamGateway> Upstreams;
  std::unique_ptr<PlatformGateway> Platform;
  Timer TickTimer;
  Timer ExitTimer;
  std::optional<SteadyTime> ExitStarted;
  SignalWatcher OnTerminate;
  SignalWatcher OnInterrupt;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_DAEMON_H
