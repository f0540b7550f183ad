/// \file State changes of a sender's upstreams and their runs.
#ifndef SNIPESHUNT_SENDER_UPSTREAM_CMD_H
#define SNIPESHUNT_SENDER_UPSTREAM_CMD_H

#include "cells/cell_base.h"
#include "instance/instance_effect.h"
#include "sender/sender_base.h"

#include <functional>

namespace snipeshunt {

/// Adopts the list of upstreams for the claimed cells; each is in the cell that
/// \p CellOf gives. \p Complete says that missing entries have left the list.
void applyUpstreams(SenderState &State, const std::vector<UpstreamRecord> &List,
                    const std::map<CellId, OwnClaim> &Claims,
                    const std::function<CellId(const UpstreamRecord &)> &CellOf,
                    bool Complete, SteadyTime Now, InstanceEffects &Out);

/// Gives up the upstreams of a cell. A draining sender keeps those that still
/// run something of its jobs.
void releaseCell(SenderState &State, const CellId &Cell, SteadyTime Now,
                 InstanceEffects &Out);

/// Sends renewals and stops that are due. \p HeldByPredecessor says whether a
/// predecessor still uses an upstream.
void renewUpstreams(
    SenderState &State,
    const std::function<bool(const UpstreamId &)> &HeldByPredecessor,
    SteadyTime Now, InstanceEffects &Out);

/// Settles runs that have ended by lapse of their lease.
void expireRuns(SenderState &State, SteadyTime Now, InstanceEffects &Out);

/// Adopt answers; \p Fenced gets the cell whose upstream obeys a newer sender.
void applyStartAnswer(SenderState &State, const StartAnswered &Event,
                      SteadyTime Now, std::optional<CellId> &Fenced,
                      InstanceEffects &Out);
void applyStopAnswer(SenderState &State, const StopAnswered &Event,
                     SteadyTime Now, std::optional<CellId> &Fenced,
                     InstanceEffects &Out);
void applyRenewal(SenderState &State, const RenewalAnswered &Event,
                  SteadyTime Now, std::optional<CellId> &Fenced,
                  InstanceEffects &Out);

/// Orders the start of a run on \p U.
void orderStart(SenderUpstream &U, const SenderJob &J, const RunKey &Key,
                Duration Expected, const FleetBounds &Bounds, SteadyTime Now,
                InstanceEffects &Out);

/// Orders the stop of a run, once.
void orderStop(SenderUpstream &U, SenderRun &Run, SteadyTime Now,
               InstanceEffects &Out);

/// Logs a decision on an upstream.
void logUpstream(InstanceEffects &Out, const SenderUpstream &U,
                 std::string Message);

/// Notes that a run that its job had left behind is no longer followed.
void releaseDetachedRun(SenderState &State, const JobId &Job);

/// Takes an upstream as healthy.
void recordSuccess(SenderUpstream &U);

/// Has the lists of an upstream read before anything is started on it.
void beginSync(SenderUpstream &U, SteadyTime Now);

/// Forgets the process of an upstream that was replaced by another one.
void resetIncarnation(SenderUpstream &U, int64_t StartedAt,
                      InstanceEffects &Out);

/// Upstreams that run something of this sender.
std::vector<UpstreamId> upstreamsInUse(const SenderState &State);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_UPSTREAM_CMD_H
