/// \file Expected run times on upstreams of different speed.
#ifndef SNIPESHUNT_SENDER_ESTIMATE_FUNC_H
#define SNIPESHUNT_SENDER_ESTIMATE_FUNC_H

#include "sender/sender_base.h"

namespace snipeshunt {

/// Expected run time of a task of \p Order on \p U.
Duration expectedRunTime(const LearnedTimes &Learned, const JobOrder &Order,
                         const SenderUpstream &U);

/// Run time on \p U against that on an upstream of middle speed, as a
/// logarithm.
double logRunTimeFactor(const LearnedTimes &Learned, const SenderUpstream &U);

/// Expected run time of a task of \p Order on an upstream of middle speed.
Duration typicalRunTime(const LearnedTimes &Learned, const JobOrder &Order);

/// Learns from a run that took \p Observed on \p U.
void recordRunTime(LearnedTimes &Learned, const JobOrder &Order,
                   SenderUpstream &U, Duration Observed);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_ESTIMATE_FUNC_H
