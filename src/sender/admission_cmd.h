/// \file Admission of jobs to a sender.
#ifndef SNIPESHUNT_SENDER_ADMISSION_CMD_H
#define SNIPESHUNT_SENDER_ADMISSION_CMD_H

#include "instance/instance_effect.h"
#include "sender/sender_base.h"

namespace snipeshunt {

/// Admits or rejects a job. A duplicate submission replaces the waiter of the
/// unfinished job, or is answered with the retained result. \p EntryCentre is
/// the data centre of its entry instance, empty if unknown.
void acceptJob(SenderState &State, const JobOrder &Order, JobWaiter Waiter,
               SteadyTime Now, InstanceEffects &Out,
               const DataCentre &EntryCentre = {});

/// Answers a job that its caller has cancelled: with the result, if it had
/// ended before, and as cancelled otherwise.
void rejectCancelledJob(SenderState &State, const JobOrder &Order,
                        const JobWaiter &Waiter, SteadyTime Now,
                        InstanceEffects &Out);

/// Computes the shares of the queues anew if that is due. Called on each tick.
void advanceShares(SenderState &State, SteadyTime Now, InstanceEffects &Out);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_ADMISSION_CMD_H
