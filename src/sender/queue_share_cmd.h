/// \file Shares of queues in a sender's capacity during overload.
#ifndef SNIPESHUNT_SENDER_QUEUE_SHARE_CMD_H
#define SNIPESHUNT_SENDER_QUEUE_SHARE_CMD_H

#include "directory/directory_type.h"
#include "instance/instance_effect.h"
#include "sender/queue_share_base.h"

namespace snipeshunt {

/// Switches the shares on if routes of \p Configuration differ in priority, and
/// off otherwise.
void applyRoutePriorities(QueueShares &Shares,
                          const FleetConfiguration &Configuration);

/// Capacity of a sender, as far as the shares depend on it.
struct ShareCapacity {
  double Total = 0;       ///< Work a second, in thousandths of a core.
  double Busy = 0;        ///< The part of `Total` that runs occupy.
  double WaitingWork = 0; ///< Of the tasks that wait.
};

/// Returns true if `updateShares` is due.
bool isShareUpdateDue(const QueueShares &Shares, SteadyTime Now);

/// Begins or ends the overload and computes the shares anew.
void updateShares(QueueShares &Shares, const ShareCapacity &Capacity,
                  SteadyTime Now, InstanceEffects &Out);

/// Records the offer of a job. Returns true if its queue's share covers it,
/// always so without an overload; otherwise it may run only on capacity that no
/// job waits for. `recordShareOutcome` must follow.
bool offerJob(QueueShares &Shares, const OfferedJob &Job, SteadyTime Now);

/// Records whether a job that was offered is admitted.
void recordShareOutcome(QueueShares &Shares, const OfferedJob &Job,
                        bool Admitted);

/// Returns the priority by which a job ranks: the same for all jobs without an
/// overload. \p LateSoon is set if it must start soon to meet its objective;
/// then it ranks right behind the most urgent jobs, and among them if tasks of
/// it have been started, whose work would be lost.
int32_t rankPriority(const QueueShares &Shares, int32_t Priority, bool LateSoon,
                     bool Started);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_QUEUE_SHARE_CMD_H
