/// \file State changes of the home.
#ifndef SNIPESHUNT_JOBS_JOB_CMD_H
#define SNIPESHUNT_JOBS_JOB_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"
#include "tickets/ticket_type.h"

namespace snipeshunt {

/// Issues tickets; stores nothing but the next number.
void issueTickets(InstanceState &State, const TicketsRequested &Event,
                  SteadyTime Now, EffectList &Out);

/// Handles a caller's request on a job whose home is this incarnation.
void handleHomeRequest(InstanceState &State, const Ticket &T,
                       const JobRequested &Event, SteadyTime Now,
                       EffectList &Out);

/// Records the end of a task of a running job; late results are ignored.
void finishTask(InstanceState &State, const TaskKey &Key, TaskResult Result,
                SteadyTime Now, EffectList &Out);

/// Whether the job of a task of this home still runs.
bool isTaskAwaited(const InstanceState &State, const TaskKey &Key);

/// Marks where a task of a running job is now.
void setTaskState(InstanceState &State, const TaskKey &Key, TaskState To);

/// Forgets a caller that hung up; the job goes on for a resubmission.
void removeWaiter(InstanceState &State, RequestId Request);

/// Fails jobs past their deadline and forgets expired tickets.
void expireJobs(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Fails all running jobs because the instance can't wait for them any longer.
void failAllJobs(InstanceState &State, const Error &E, SteadyTime Now,
                 EffectList &Out);

/// Retained and inherited answers, the positions of `exportAnswers`.
size_t exportableAnswerCount(const InstanceState &State);

/// Answers for a departing instance's heir, from position \p First on.
std::vector<AnswersReceived::RetainedAnswer>
exportAnswers(const InstanceState &State, size_t First, size_t MaxBytes,
              SteadyTime Now);

/// Takes over retained answers of a departing instance.
void importAnswers(InstanceState &State, const AnswersReceived &Event,
                   SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_JOB_CMD_H
