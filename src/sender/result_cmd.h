/// \file Answers to the jobs of a sender, and results that are kept for later
/// questions.
#ifndef SNIPESHUNT_SENDER_RESULT_CMD_H
#define SNIPESHUNT_SENDER_RESULT_CMD_H

#include "instance/instance_effect.h"
#include "sender/sender_base.h"

#include <string>

namespace snipeshunt {

/// Answers a waiter of a job. Adds the load of this sender and, unless the job
/// is done, its crashes to \p Result.
void answerWaiter(SenderState &State, const JobId &Id, const JobWaiter &Waiter,
                  JobResult Result, SteadyTime Now, InstanceEffects &Out);

/// Returns the result of an earlier submission of a job, or null.
const RetainedResult *retainedResult(const SenderState &State, const JobId &Id,
                                     SteadyTime Now);

/// Retains a result and expires old ones.
void retainResult(SenderState &State, const JobId &Id, RetainedResult Result);

/// Returns true if tasks were started for an earlier submission of a job that
/// is rejected. Its result is retained anew, since the job may be submitted
/// again.
bool renewStartedResult(SenderState &State, const JobId &Id, SteadyTime Now);

/// Answers a result query from the retained results. Starts nothing.
ResultReply answerResultQuery(const SenderState &State,
                              const ResultQuery &Query, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_RESULT_CMD_H
