/// \file State changes of a sender's upstreams and their runs.
#ifndef SNIPESHUNT_SENDER_UPSTREAM_CMD_H
#define SNIPESHUNT_SENDER_UPSTREAM_CMD_H

#include "cells/cell_base.h"
#include "instance/instance_effect.h"
#include "sender/job_cmd.h"
#include "sender/sender_base.h"

#include <functional>

namespace snipeshunt {

/// Reason for the end of jobs whose runs this sender can no longer track.
constexpr const char *ClaimLostReason = "the claim to its cell was lost";

/// Applies a list of upstreams: adds and updates those whose cell, given by
/// \p CellOf, is among \p Claims, and updates those of released cells that this
/// sender still uses. If \p Complete, upstreams that stay unlisted for
/// `UnlistedTimeout` and run nothing are removed. Called after each read of the
/// list, with \p Complete unset if it failed or may have been stale.
void applyUpstreams(SenderState &State, const std::vector<UpstreamRecord> &List,
                    const std::map<CellId, OwnClaim> &Claims,
                    const std::function<CellId(const UpstreamRecord &)> &CellOf,
                    bool Complete, SteadyTime Now, InstanceEffects &Out);

/// Returns true if \p Record lacks the start of the upstream's process though
/// the upstream and the records of the others state it. Such a record is that
/// of another writer; it names neither the service nor the address to use.
bool lacksStart(const SenderState &State, const SenderUpstream &U,
                const UpstreamRecord &Record);

/// Removes the upstreams of a cell whose claim was lost; jobs with runs on them
/// end as lost. Upstreams with starts that await their answers are kept for
/// these, see `SenderUpstream::Released`. A draining sender keeps the upstreams
/// that still run its tasks; see `usesUpstreams`.
void releaseCell(SenderState &State, const CellId &Cell, SteadyTime Now,
                 InstanceEffects &Out);

/// Withholds starts on the upstreams of a cell that is to go to another sender,
/// or allows them again.
void setCellLeaving(SenderState &State, const CellId &Cell, bool Leaving);

/// Returns true if no run is on the upstreams of a cell, and none of an earlier
/// sender is still to be stopped there.
bool isCellIdle(const SenderState &State, const CellId &Cell);

/// Ends runs whose lease has certainly expired. Called on each tick.
void expireRuns(SenderState &State, SteadyTime Now, InstanceEffects &Out);

/// Apply the answer to a start or a stop, or its failure. Answers to orders
/// under an earlier token are ignored. \p FencedCell is set to the cell of the
/// upstream if that accepts only a newer sender's orders.
void applyStartAnswer(SenderState &State, const StartAnswered &Event,
                      SteadyTime Now, std::optional<CellId> &FencedCell,
                      InstanceEffects &Out);
void applyStopAnswer(SenderState &State, const StopAnswered &Event,
                     SteadyTime Now, std::optional<CellId> &FencedCell,
                     InstanceEffects &Out);

/// Orders the start of a run on \p U, with a lease of length \p Lease, and
/// reserves its resources. \p Expected is the expected run time on \p U.
void orderStart(SenderUpstream &U, const SenderJob &J, const RunKey &Key,
                Duration Expected, Duration Lease, const FleetBounds &Bounds,
                SteadyTime Now, InstanceEffects &Out);

/// Orders the stop of a run, unless a stop is pending or acknowledged.
void orderStop(SenderUpstream &U, SenderRun &Run, SteadyTime Now,
               InstanceEffects &Out);

/// Removes a run from its upstream and applies its outcome to its job.
/// \p Rejected: the upstream has not accepted the start and will not carry it
/// out.
void finishRun(SenderState &State, SenderUpstream &U, const RunKey &Key,
               RunOutcome Outcome, SteadyTime Now, InstanceEffects &Out,
               bool Rejected = false);

/// Returns the upstream, or null if it is unknown or has another token.
SenderUpstream *findUpstream(SenderState &State, const UpstreamId &Id,
                             FencingToken Token);

/// Marks \p U as fenced off and reports its cell, once: a second report could
/// release a claim that was made since.
void recordFencing(SenderState &State, SenderUpstream &U,
                   std::optional<CellId> &FencedCell);

/// Logs a decision on an upstream.
void logUpstream(InstanceEffects &Out, const SenderUpstream &U,
                 std::string Message);

/// Counts down the detached runs of a job, if it has any. Called when a run has
/// ended or is no longer tracked.
void releaseDetachedRun(SenderState &State, const JobId &Job);

/// Marks an upstream as healthy.
void recordSuccess(SenderUpstream &U);

/// Counts a failure of a run or a start on \p U, and starts probing after
/// repeated ones.
void recordFailure(SenderUpstream &U, const JobId &Job, SteadyTime Now,
                   InstanceEffects &Out);

/// Counts a call without an answer and schedules the next one. \p NothingSent:
/// the call has not left this process, so the upstream is unreachable.
void recordNoAnswer(SenderState &State, SenderUpstream &U, bool NothingSent,
                    SteadyTime Now, InstanceEffects &Out);

/// Records a crash if the answer to an order shows that the process of \p U has
/// ended.
void checkProcess(SenderState &State, SenderUpstream &U, OrderStatus Status,
                  SteadyTime Now, InstanceEffects &Out);

/// Schedules a read of the upstream's lists, before which nothing is started.
void beginSync(SenderUpstream &U, SteadyTime Now);

/// Discards what is known of an upstream's earlier process, except its runs.
/// Called when another process has taken its place.
void resetIncarnation(SenderUpstream &U, int64_t StartedAt,
                      InstanceEffects &Out);

/// Returns true if this sender has runs on upstreams or may start some. It has
/// to read the list of upstreams then, even if it has released all cells.
bool usesUpstreams(const SenderState &State);

/// Upstreams with runs of this sender.
std::vector<UpstreamId> upstreamsInUse(const SenderState &State);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_UPSTREAM_CMD_H
