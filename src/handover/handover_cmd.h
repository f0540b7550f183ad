/// \file The handover protocol, which moves tasks between their home and a
/// receiver such that each starts at most once.
#ifndef SNIPESHUNT_HANDOVER_HANDOVER_CMD_H
#define SNIPESHUNT_HANDOVER_HANDOVER_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

// Home side.

/// Takes the tasks \p Keys of this home out of the queue and sends them in one
/// batch to \p To.
void handOverBatch(InstanceState &State, Member &To,
                   const std::vector<TaskKey> &Keys, SteadyTime Now,
                   EffectList &Out);
/// Revokes those of \p Keys that are handed over. Called when their job has
/// ended.
void revokeTasks(InstanceState &State, const std::vector<TaskKey> &Keys,
                 SteadyTime Now, EffectList &Out);
/// Handles the reply to a handover, or its absence.
void applyHandoverAnswer(InstanceState &State, const HandoverAnswered &Event,
                         SteadyTime Now, uint64_t Seed, EffectList &Out);
/// Handles the reply to a revoke, or its absence.
void applyRevokeAnswer(InstanceState &State, const RevokeAnswered &Event,
                       SteadyTime Now, EffectList &Out);
/// Settles the reported tasks: finishes them, or queues those again that the
/// receiver has not started.
void applyReport(InstanceState &State, const ReportReceived &Event,
                 SteadyTime Now, uint64_t Seed, EffectList &Out);
/// Finishes all unsettled tasks at \p Receiver with an unknown result, since
/// they may have started. Called when it is dead, has left or was replaced.
void failReceiver(InstanceState &State, IncarnationId Receiver, SteadyTime Now,
                  EffectList &Out);
/// Makes every batch due to be sent again. Called after a long pause of this
/// process, in which receivers may have considered it dead and returned its
/// tasks.
void scheduleResendsNow(InstanceState &State, SteadyTime Now);
/// Sends handovers and revokes again that are due. Called on every tick.
void resendHandovers(InstanceState &State, SteadyTime Now, EffectList &Out);

// Receiver side.

/// Queues the tasks of a received batch and replies.
void applyHandover(InstanceState &State, const HandoverReceived &Event,
                   SteadyTime Now, EffectList &Out);
/// Withdraws the tasks that have not started and replies.
void applyRevoke(InstanceState &State, const RevokeReceived &Event,
                 SteadyTime Now, EffectList &Out);
/// Records the result of a received task. `sendReports` reports it, with those
/// of its job's other tasks.
void finishReceivedTask(InstanceState &State, const TaskKey &Key,
                        TaskResult Result, SteadyTime Now);
/// Returns true if a received task may be retried, that is if its home has not
/// revoked it.
bool isReceivedTaskAwaited(const InstanceState &State, const TaskKey &Key);
/// Returns received tasks whose start deadline has passed to their homes, and
/// queues results that were withheld too long. Called on every tick.
void expireReceivedTasks(InstanceState &State, SteadyTime Now);
/// Returns the received tasks that have not started to their homes, either
/// those of \p Home or all. \p Reason is reported to the home.
void returnReceivedTasks(InstanceState &State,
                         std::optional<IncarnationId> Home,
                         const std::string &Reason, SteadyTime Now,
                         EffectList &Out);
/// Returns all received tasks that wait here if this instance has no slots.
/// Called after every event.
void returnUnservableTasks(InstanceState &State, SteadyTime Now,
                           EffectList &Out);
/// Sends the unreported results to each home to which no report is in flight.
/// Called after every event.
void sendReports(InstanceState &State, SteadyTime Now, EffectList &Out);
/// Handles the reply to a report, or its absence.
void applyReportAnswer(InstanceState &State, const ReportAnswered &Event,
                       SteadyTime Now);
/// Discards the tasks and results of \p Home, which was replaced, and rejects
/// its later messages.
void closeHomeChannel(InstanceState &State, IncarnationId Home, SteadyTime Now);
/// Evicts the batches and results of homes that are dead or unknown and have
/// sent nothing for a ticket's lifetime; their jobs have ended long before.
/// Called on every tick.
void evictUnreachableHomes(InstanceState &State, SteadyTime Now);
/// Evicts the records of closed channels once no ticket of their home can be
/// valid. Called on every tick.
void evictClosedHomes(InstanceState &State, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_HANDOVER_HANDOVER_CMD_H
