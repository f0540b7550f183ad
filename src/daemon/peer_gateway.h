/// \file JSON-RPC between instances.
#ifndef SNIPESHUNT_DAEMON_PEER_GATEWAY_H
#define SNIPESHUNT_DAEMON_PEER_GATEWAY_H

#include "daemon/daemon.h"
#include "rpc/rpc_server.h"

namespace snipeshunt {

/// Serves `/rpc` and sends messages to peers.
class PeerGateway {
public:
  explicit PeerGateway(Daemon &Owner);

  PeerTraffic traffic() const {
    return {Client.callsSent(), Client.bytesSent(), Client.bytesReceived()};
  }

private:
  using ReplyHandler = std::function<void(
      const std::optional<Json::Value> &Reply, bool NothingSent)>;

  void bindMethods();
  void connectEffects();
  void connectReplies();
  /// Dispatches \p Body and gives the result that the reducer replied.
  Json::Value answer(EventBody Body);
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
  Json::Value LastReply; ///< Result of the method call being served.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_PEER_GATEWAY_H
