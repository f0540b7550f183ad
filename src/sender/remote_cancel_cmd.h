/// \file Record of the jobs that callers have cancelled at other instances.
#ifndef SNIPESHUNT_SENDER_REMOTE_CANCEL_CMD_H
#define SNIPESHUNT_SENDER_REMOTE_CANCEL_CMD_H

#include "sender/sender_base.h"

namespace snipeshunt {

/// Records that a caller has cancelled a job at another instance, so that
/// forwards of it that arrive later are not started.
void recordRemoteCancel(RemoteCancels &Record, const JobId &Job,
                        SteadyTime Now);

/// Returns true if a forward that arrives now is of a submission that was
/// cancelled. \p MayBeLate is true if the forward may have been delayed on its
/// way, so that its age says nothing.
bool isCancelledRemotely(const RemoteCancels &Record, const JobOrder &Order,
                         bool MayBeLate, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_REMOTE_CANCEL_CMD_H
