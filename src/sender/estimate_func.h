/// \file Expected run times on upstreams of different speed.
#ifndef SNIPESHUNT_SENDER_ESTIMATE_FUNC_H
#define SNIPESHUNT_SENDER_ESTIMATE_FUNC_H

#include "sender/sender_base.h"

namespace snipeshunt {

/// Expected run time of a task of \p Order on \p U.
Duration expectedRunTime(const LearnedTimes &Learned, const JobOrder &Order,
                         const SenderUpstream &U);

/// Natural logarithm of the run time on \p U relative to an upstream of average
/// speed.
double logRunTimeFactor(const LearnedTimes &Learned, const SenderUpstream &U);

/// Expected run time of a task of \p Order on an upstream of average speed.
Duration typicalRunTime(const LearnedTimes &Learned, const JobOrder &Order);

/// Updates the learned factors of the queue, the kind and \p U itself with a
/// run on \p U that took \p Observed. Called when a run has succeeded.
void recordRunTime(LearnedTimes &Learned, const JobOrder &Order,
                   SenderUpstream &U, Duration Observed);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_ESTIMATE_FUNC_H
