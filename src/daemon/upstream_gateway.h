/// \file HTTP towards upstreams.
#ifndef SNIPESHUNT_DAEMON_UPSTREAM_GATEWAY_H
#define SNIPESHUNT_DAEMON_UPSTREAM_GATEWAY_H

#include "daemon/daemon.h"

namespace snipeshunt {

/// Starts tasks and reads the status of upstreams.
class UpstreamGateway {
public:
  explicit UpstreamGateway(Daemon &Owner);

private:
  void startTask(const StartTask &E);
  void pollStatus(const PollStatus &E);

  Daemon &Owner;
  HttpClient TaskClient;
  HttpClient StatusClient;
};

/// What an upstream's reply to a task says; anything unexpected may have
/// started the task.
AttemptResult readTaskReply(const HttpOutcome &Outcome);

/// Reads the reply of `GET /v1/status`.
std::optional<UpstreamStatus> readStatusReply(const HttpOutcome &Outcome);

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_UPSTREAM_GATEWAY_H
