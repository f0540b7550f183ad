/// \file HTTP calls to upstreams.
#ifndef SNIPESHUNT_DAEMON_UPSTREAM_GATEWAY_H
#define SNIPESHUNT_DAEMON_UPSTREAM_GATEWAY_H

#include "daemon/daemon.h"

namespace snipeshunt {

/// Starts tasks on upstreams and reads the upstreams' status, as the reducer's
/// effects require.
class UpstreamGateway {
public:
  explicit UpstreamGateway(Daemon &Owner);

private:
  void startTask(const StartTask &E);
  void pollStatus(const PollStatus &E);

  Daemon &Owner;
  HttpClient TaskClient;   ///< One connection for each running task.
  HttpClient StatusClient; ///< One connection per upstream, only for status.
};

/// Converts the outcome of `POST /v1/tasks` to the end of the attempt. Any
/// unexpected reply counts as unknown, because the task may have started.
AttemptResult readTaskReply(const HttpOutcome &Outcome);

/// Decodes the reply to `GET /v1/status`; returns nothing if the call failed or
/// the reply is invalid.
std::optional<UpstreamStatus> readStatusReply(const HttpOutcome &Outcome);

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_UPSTREAM_GATEWAY_H
