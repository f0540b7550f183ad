/// \file Runs the reducer of an instance of a fleet of cells: event loop,
/// timers, signals and the messages between instances.
#ifndef SNIPESHUNT_RUNTIME_CELL_DAEMON_H
#define SNIPESHUNT_RUNTIME_CELL_DAEMON_H

#include "core/log_limiter.h"
#include "daemon/signal_table.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "instance/instance_reducer.h"
#include "rpc/rpc_server.h"
#include "runtime/limit_log.h"

#include <deque>
#include <map>

namespace snipeshunt {

/// One instance of a fleet of cells. It exchanges messages with its peers. The
/// connections to callers, upstreams and the store are made by other classes,
/// which handle the effects meant for them.
class CellDaemon {
public:
  CellDaemon(EventLoop &Loop, const Clock &TimeSource, FleetSettings Settings);
  CellDaemon(const CellDaemon &) = delete;
  CellDaemon &operator=(const CellDaemon &) = delete;

  /// Listens for peers and starts the timer. Called once, before the event loop
  /// runs.
  Result<Ok> start();

  /// Passes an event to the reducer and carries out its effects. An event that
  /// is dispatched by an effect is queued until the current one is done.
  void dispatch(InstanceEventBody Body);

  EventLoop &loop() { return Loop; }
  const Clock &clock() const { return TimeSource; }
  const FleetInstance &state() const { return State; }
  /// Connections of callers, the load balancer and metrics collectors.
  ConnectionTable &clientConnections() { return ClientConnections; }
  /// Connections of other instances.
  ConnectionTable &peerConnections() { return PeerConnections; }
  /// Limits the log lines that clients, peers, upstreams and the store cause.
  LogLimiter &logLimiter() { return LogLimits; }
  /// One signal for each type of effect, emitted by `dispatch`.
  SignalTable<InstanceEffect> &effects() { return Effects; }
  /// Returns true if the load balancer should send callers to this instance.
  bool ready() const { return isReady(State, TimeSource.steadyNow()); }

  /// Logs an error that the handler of a request or an answer has thrown. The
  /// message is dropped; the process continues.
  static void logHandlerFailure(const std::string &What);
  /// Returns client options whose connections have the IP of `peers_listen` as
  /// their source address.
  HttpClientOptions clientOptions(size_t MaxConnections) const;

private:
  /// Connects the handlers of messages to and from peers.
  void registerPeerHandlers();
  /// Sends a ping and dispatches `PingAnswered`.
  void ping(const SendPing &E);
  /// Sends a job to a sender and dispatches `ForwardAnswered`.
  void forward(const ForwardJob &E);
  /// Sends a result query and dispatches its answer if one arrives.
  void query(const SendResultQuery &E);
  /// Asks an instance which jobs are open there and dispatches
  /// `OpenJobQueryAnswered`.
  void query(const SendOpenJobQuery &E);
  /// Closes the connection of a forwarded job.
  void abandon(const AbandonForward &E);
  /// Asks a peer for a snapshot and dispatches it if it arrives.
  void fetch(const FetchSnapshot &E);
  /// Dispatches a job of a peer, or answers 400 if it is malformed.
  void receiveJob(const HttpRequest &Request);

  EventLoop &Loop;
  const Clock &TimeSource;
  FleetInstance State;
  LogLimiter LogLimits;
  SignalTable<InstanceEffect> Effects;
  ConnectionTable ClientConnections;
  ConnectionTable PeerConnections;
  LimitLog Limits;
  HttpServer Server; ///< For requests of peers.
  HttpClient PingClient;
  HttpClient JobClient; ///< For jobs and snapshots.
  /// For result queries and open-job queries. Connections of `JobClient` may
  /// have fallen silent, and those of `PingClient` must not wait for another
  /// answer.
  HttpClient QueryClient;
  /// Calls of `JobClient` for forwarded jobs, by sender and request.
  std::map<std::pair<Address, RequestId>, uint64_t> ForwardCalls;
  RpcServer Rpc;
  Json::Value PongReply; ///< Reply to the ping that is being handled.
  /// Reply to the result query that is being handled.
  Json::Value ResultsReply;
  Json::Value OpenJobsReply; ///< Reply to the open-job query being handled.
  std::deque<InstanceEventBody> Pending; ///< Events to be handled.
  bool Dispatching = false;              ///< `dispatch` is on the call stack.
  Timer TickTimer; ///< Dispatches `InstanceTick` and flushes the log.
  SignalWatcher OnTerminate;
  SignalWatcher OnInterrupt;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_CELL_DAEMON_H
