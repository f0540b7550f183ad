/// \file HTTP interface for callers and operators.
#ifndef SNIPESHUNT_DAEMON_CALLER_GATEWAY_H
#define SNIPESHUNT_DAEMON_CALLER_GATEWAY_H

#include "daemon/daemon.h"
#include "daemon/metrics.h"

#include <deque>

namespace snipeshunt {

/// Converts the requests of callers and operators to events for the reducer and
/// sends the replies that its effects carry. Answers read-only requests itself,
/// and forwards requests to the home instance of their job.
class CallerGateway {
public:
  explicit CallerGateway(Daemon &Owner);

private:
  void handle(const HttpRequest &Request);
  void handleJob(const HttpRequest &Request);
  void handleTickets(const HttpRequest &Request);
  /// Replies with a read-only view, such as /metrics. Returns false if the
  /// path or the method is not one of a view.
  bool handleView(const HttpRequest &Request);
  void replyError(RequestId Id, int Status, const Error &E);
  void send(RequestId Id, HttpReply Reply);
  void replyTickets(const ReplyTickets &Reply);
  /// Answers the timeline request that has waited for the longest time.
  void answerTimeline();
  void forward(const ForwardRequest &Request);

  Daemon &Owner;
  Metrics InstanceMetrics; ///< Updated on each request for /metrics.
  HttpClient HomeClient;   ///< Connections for forwarded requests.
  std::deque<RequestId> TimelineReaders; ///< Timeline requests that wait.
  SteadyTime NextTimeline{}; ///< When the next of them may be answered.
  Timer TimelineTimer;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_CALLER_GATEWAY_H
