/// \file Requests on jobs whose home is another instance.
#ifndef SNIPESHUNT_JOBS_FORWARD_CMD_H
#define SNIPESHUNT_JOBS_FORWARD_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

/// Handles a request on a job: at home, by a retained answer, or by passing it
/// on to the home.
void handleJobRequest(InstanceState &State, const JobRequested &Event,
                      SteadyTime Now, EffectList &Out);

/// Passes the home's answer on to the caller.
void endForward(InstanceState &State, const ForwardEnded &Event,
                EffectList &Out);

/// Answers all callers that wait for an incarnation that is gone.
void endForwardsTo(InstanceState &State, IncarnationId Incarnation,
                   EffectList &Out);

/// Answers all callers whose requests were passed on.
void endAllForwards(InstanceState &State, EffectList &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_FORWARD_CMD_H
