/// \file Routing of job requests to the home of the job.
#ifndef SNIPESHUNT_JOBS_FORWARD_CMD_H
#define SNIPESHUNT_JOBS_FORWARD_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Handles a request on a job. Answers it if this incarnation issued the ticket
/// or has imported the answer from a departed instance. Otherwise forwards it
/// to the home, or to the successor of a home that has departed.
void handleJobRequest(InstanceState &State, const JobRequested &Event,
                      SteadyTime Now, EffectList &Out);

/// Sends the home's answer to the caller, or outcome `unknown` if none came.
/// Does nothing if the caller has disconnected.
void endForward(InstanceState &State, const ForwardEnded &Event,
                EffectList &Out);

/// Answers all requests that were forwarded to \p Incarnation with outcome
/// `unknown`. Called when that process is found dead or has been replaced.
void endForwardsTo(InstanceState &State, IncarnationId Incarnation,
                   EffectList &Out);

/// Answers all forwarded requests with outcome `unknown`. Called when a
/// shutdown has reached its time limit.
void endAllForwards(InstanceState &State, EffectList &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_FORWARD_CMD_H
