/// \file Failures of upstreams, and probes of those that failed repeatedly.
#include "sender/sender_table.h"
#include "sender/upstream_cmd.h"

#include <algorithm>

namespace snipeshunt {

namespace {

/// Pauses starts on an unhealthy upstream, longer each time, and then limits it
/// to one run at a time until one succeeds.
void beginProbing(SenderUpstream &U, const char *Why, SteadyTime Now,
                  InstanceEffects &Out) {
  U.ProbeDelay =
      U.Probing ? std::min(U.ProbeDelay * 2, MaxProbePause) : ProbePause;
  U.Probing = true;
  U.BlockedUntil = Now + U.ProbeDelay;
  logUpstream(Out, U,
              std::string("is unhealthy and limited to one run at a time: ") +
                  Why + " failures=" + std::to_string(U.Failures) +
                  " pause_ms=" + std::to_string(toMilliseconds(U.ProbeDelay)));
}

} // namespace

void recordFailure(SenderUpstream &U, const JobId &Job, SteadyTime Now,
                   InstanceEffects &Out) {
  // Failures of one job count once: its tasks may fail on any upstream.
  if (U.LastFailedJob == Job && U.Failures > 0)
    return;
  U.LastFailedJob = Job;
  if (++U.Failures >= FailuresBeforeProbe || U.Probing)
    beginProbing(U, "starts or runs failed", Now, Out);
}

void recordSuccess(SenderUpstream &U) {
  U.Failures = 0;
  U.Probing = false;
  U.BlockedUntil = {};
}

} // namespace snipeshunt
