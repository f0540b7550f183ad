/// \file JSON-RPC between instances.
#ifndef SNIPESHUNT_DAEMON_PEER_GATEWAY_H
#define SNIPESHUNT_DAEMON_PEER_GATEWAY_H

#include "daemon/daemon.h"
#include "rpc/rpc_server.h"

namespace snipeshunt {

/// Serves the JSON-RPC methods at `/rpc`, and sends the messages of the
/// reducer's effects to other instances.
class PeerGateway {
public:
  explicit PeerGateway(Daemon &Owner);

  PeerTraffic traffic() const {
    return {Client.callsSent(), Client.bytesSent(), Client.bytesReceived()};
  }

private:
  /// Receives the result of a call, or nothing if it failed. \p NothingSent is
  /// true if no byte of the request was sent.
  using ReplyHandler = std::function<void(
      const std::optional<Json::Value> &Reply, bool NothingSent)>;

  void bindMethods();
  void connectEffects();
  void connectReplies();
  /// Dispatches \p Body and returns the reducer's reply to it.
  Json::Value answer(EventBody Body);
  /// Calls \p Method of the instance at \p Endpoint.
  void call(const Address &Endpoint, const char *Method,
            const Json::Value &Message, ReplyHandler OnReply);
  void sendHandover(const SendHandover &E);
  void sendReport(const SendReport &E);
  void sendRevoke(const SendRevoke &E);
  void sendHeartbeat(const SendHeartbeat &E);
  void sendAnswers(const SendAnswers &E);
  void fetchConfiguration(const FetchConfiguration &E);

  Daemon &Owner;
  HttpClient Client;
  RpcServer Rpc;
  Json::Value LastReply; ///< Reply of the reducer, set during `answer`.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_PEER_GATEWAY_H
