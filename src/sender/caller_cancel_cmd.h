/// \file Record of the jobs that callers have cancelled, here or at other
/// instances.
#ifndef SNIPESHUNT_SENDER_CALLER_CANCEL_CMD_H
#define SNIPESHUNT_SENDER_CALLER_CANCEL_CMD_H

#include "sender/sender_base.h"

namespace snipeshunt {

/// Time for which a cancelled job is not started, however often it is
/// submitted. It covers the callers' pause of 1.3 s before they submit a job
/// again; the platform's limit of at most 5 s after a cancellation, from which
/// on the job must not start; a job that waits at its entry for a second; and
/// cuts that delay its forward by seconds. Cancellations by entries are kept as
/// long.
constexpr Duration CancelledJobRetention = std::chrono::seconds(10);

/// Records that a caller has cancelled a job, so that submissions and forwards
/// of it that arrive later are not started.
void recordCallerCancel(CallerCancels &Record, const JobId &Job,
                        SteadyTime Now);

/// Returns true if the job was cancelled within `CancelledJobRetention`.
bool isCancelledByCaller(const CallerCancels &Record, const JobId &Job,
                         SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_CALLER_CANCEL_CMD_H
