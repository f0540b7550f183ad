/// \file HTTP towards callers and operators.
#ifndef SNIPESHUNT_DAEMON_CALLER_GATEWAY_H
#define SNIPESHUNT_DAEMON_CALLER_GATEWAY_H

#include "daemon/daemon.h"
#include "daemon/metrics.h"

namespace snipeshunt {

/// Turns requests into events and answers them by effects; read-only views
/// are answered at once.
class CallerGateway {
public:
  explicit CallerGateway(Daemon &Owner);

private:
  void handle(const HttpRequest &Request);
  void handleJob(const HttpRequest &Request);
  void handleTickets(const HttpRequest &Request);
  /// Answers a read-only view; false when \p Path is none.
  bool handleView(const HttpRequest &Request);
  void replyError(RequestId Id, int Status, const Error &E);
  void send(RequestId Id, HttpReply Reply);
  void replyTickets(const ReplyTickets &Reply);
  void forward(const ForwardRequest &Request);

  Daemon &Owner;
  Metrics InstanceMetrics;
  HttpClient HomeClient;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_CALLER_GATEWAY_H
