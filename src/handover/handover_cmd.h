/// \file Moving tasks between the home and a sender.
#ifndef SNIPESHUNT_HANDOVER_HANDOVER_CMD_H
#define SNIPESHUNT_HANDOVER_HANDOVER_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"

namespace snipeshunt {

// Home side.

/// Gives waiting tasks of this home to \p To in one batch.
void handOverBatch(InstanceState &State, Member &To,
                   const std::vector<TaskKey> &Keys, SteadyTime Now,
                   EffectList &Out);
/// Asks for tasks back whose job has ended.
void revokeTasks(InstanceState &State, const std::vector<TaskKey> &Keys,
                 SteadyTime Now, EffectList &Out);
void applyHandoverAnswer(InstanceState &State, const HandoverAnswered &Event,
                         SteadyTime Now, uint64_t Seed, EffectList &Out);
void applyRevokeAnswer(InstanceState &State, const RevokeAnswered &Event,
                       SteadyTime Now, EffectList &Out);
void applyReport(InstanceState &State, const ReportReceived &Event,
                 SteadyTime Now, uint64_t Seed, EffectList &Out);
/// Gives up on an incarnation: its unsettled tasks may have started.
void failReceiver(InstanceState &State, IncarnationId Receiver, SteadyTime Now,
                  EffectList &Out);
/// Asks the receivers again after a pause of this process, in which they may
/// have given it up.
void scheduleResendsNow(InstanceState &State, SteadyTime Now);
/// Repeats handovers and revokes that are due.
void resendHandovers(InstanceState &State, SteadyTime Now, EffectList &Out);

// Receiver side.

void applyHandover(InstanceState &State, const HandoverReceived &Event,
                   SteadyTime Now, EffectList &Out);
void applyRevoke(InstanceState &State, const RevokeReceived &Event,
                 SteadyTime Now, EffectList &Out);
/// Records the end of a held task; the report follows with `sendReports`.
void finishReceivedTask(InstanceState &State, const TaskKey &Key,
                        TaskResult Result, SteadyTime Now);
/// Whether a held task may be tried again: its home has not asked it back.
bool isReceivedTaskAwaited(const InstanceState &State, const TaskKey &Key);
/// Returns held tasks whose time to start has passed.
void expireReceivedTasks(InstanceState &State, SteadyTime Now);
/// Returns held tasks that have not started: those of \p Home, or all.
void returnReceivedTasks(InstanceState &State,
                         std::optional<IncarnationId> Home,
                         const std::string &Reason, SteadyTime Now,
                         EffectList &Out);
/// Returns held tasks while this instance has no slot to start them on.
void returnUnservableTasks(InstanceState &State, SteadyTime Now,
                           EffectList &Out);
/// Sends results that no open request carries.
void sendReports(InstanceState &State, SteadyTime Now, EffectList &Out);
void applyReportAnswer(InstanceState &State, const ReportAnswered &Event,
                       SteadyTime Now);
/// Closes the channel of a home that has been replaced.
void closeHomeChannel(InstanceState &State, IncarnationId Home, SteadyTime Now);
/// Forgets the batches and results of homes that have been gone for a ticket's
/// lifetime; their jobs have ended long before.
void evictUnreachableHomes(InstanceState &State, SteadyTime Now);
/// Forgets closed channels once no ticket of the home can be valid.
void evictClosedHomes(InstanceState &State, SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_HANDOVER_HANDOVER_CMD_H
