/// \file Failures and silence of upstreams, and probes of those that failed
/// repeatedly.
#include "sender/crash_cmd.h"
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

void recordNoAnswer(SenderState &State, SenderUpstream &U, bool NothingSent,
                    SteadyTime Now, InstanceEffects &Out) {
  ++U.UnansweredCalls;
  if (U.Phase == UpstreamPhase::Ready &&
      (U.UnansweredCalls >= 2 || NothingSent)) {
    U.Phase = UpstreamPhase::Unresponsive;
    logUpstream(Out, U,
                "is unresponsive, runs=" + std::to_string(U.Runs.size()));
  }
  Duration Pause = std::min<Duration>(
      RetryDelay * (1U << std::min(U.UnansweredCalls, 4U)) / 2, MaxRetryDelay);
  // Runs need a renewal before their lease expires, so the retry comes sooner.
  U.NextRenewal = U.Runs.empty() ? Now + Pause : Now + RetryDelay / 3;
}

void checkProcess(SenderState &State, SenderUpstream &U, OrderStatus Status,
                  SteadyTime Now, InstanceEffects &Out) {
  if (Status == OrderStatus::Refused)
    recordCrash(State, U, CrashSign::Refused, nullptr, Now, Out);
  else if (Status == OrderStatus::OtherProcess)
    recordCrash(State, U, CrashSign::OtherProcess, nullptr, Now, Out);
}

} // namespace snipeshunt
