/// \file The process around the reducer of a fleet instance.
#ifndef SNIPESHUNT_RUNTIME_CELL_DAEMON_H
#define SNIPESHUNT_RUNTIME_CELL_DAEMON_H

#include "daemon/signal_table.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "instance/instance_reducer.h"
#include "rpc/rpc_server.h"

#include <deque>

namespace snipeshunt {

/// One instance of a fleet of cells. Peers are served here; callers, upstreams
/// and the store are met by whoever connects to the effects.
class CellDaemon {
public:
  CellDaemon(EventLoop &Loop, const Clock &Time, FleetSettings Settings);
  CellDaemon(const CellDaemon &) = delete;
  CellDaemon &operator=(const CellDaemon &) = delete;

  /// Listens for peers and starts the timers; the loop then does the rest.
  Result<Ok> start();

  /// Hands an event to the reducer and carries out the effects.
  void dispatch(InstanceEventBody Body);

  EventLoop &loop() { return Loop; }
  const Clock &clock() const { return Time; }
  const FleetInstance &state() const { return State; }
  SignalTable<InstanceEffect> &effects() { return Effects; }
  bool ready() const { return isReady(State, Time.steadyNow()); }

  /// Client options with this instance's own IP as the source of connections.
  HttpClientOptions clientOptions(size_t MaxConnections) const;

private:
  void registerPeerHandlers();
  void ping(const SendPing &E);
  void forward(const ForwardJob &E);
  void fetch(const FetchSnapshot &E);
  void receiveJob(const HttpRequest &Request);

  EventLoop &Loop;
  const Clock &Time;
  FleetInstance State;
  SignalTable<InstanceEffect> Effects;
  HttpServer Server;
  HttpClient PingClient;
  HttpClient JobClient;
  RpcServer Rpc;
  Json::Value PongReply;
  std::deque<InstanceEventBody> Pending;
  bool Dispatching = false;
  Timer TickTimer;
  SignalWatcher OnTerminate;
  SignalWatcher OnInterrupt;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_CELL_DAEMON_H
