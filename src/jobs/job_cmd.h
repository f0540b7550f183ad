/// \file State changes of the home: tickets, jobs, their tasks and answers.
#ifndef SNIPESHUNT_JOBS_JOB_CMD_H
#define SNIPESHUNT_JOBS_JOB_CMD_H

#include "reducer/effect_type.h"
#include "reducer/state_base.h"
#include "tickets/ticket_type.h"

namespace snipeshunt {

/// Replies with new tickets, or with none during a shutdown. Stores nothing but
/// the number of the next ticket.
void issueTickets(InstanceState &State, const TicketsRequested &Event,
                  SteadyTime Now, EffectList &Out);

/// Handles a caller's request on a job whose home is this incarnation.
void handleHomeRequest(InstanceState &State, const Ticket &T,
                       const JobRequested &Event, SteadyTime Now,
                       EffectList &Out);

/// Records the end of a task. Ends the job with its last task, or at once if
/// the task did not finish. Ignored if the job has ended.
void finishTask(InstanceState &State, const TaskKey &Key, TaskResult Result,
                SteadyTime Now, EffectList &Out);

/// Returns true if the job of \p Key still runs. The job's home must be this
/// incarnation.
bool isTaskAwaited(const InstanceState &State, const TaskKey &Key);

/// Sets the state of a task; ignored if the job has ended.
void setTaskState(InstanceState &State, const TaskKey &Key, TaskState To);

/// Removes a caller that has disconnected. The job continues, so that the
/// caller can get its answer by submitting the ticket again.
void removeWaiter(InstanceState &State, RequestId Request);

/// Fails jobs past their deadline and evicts the records of expired tickets.
/// Called at each tick.
void expireJobs(InstanceState &State, SteadyTime Now, EffectList &Out);

/// Fails all running jobs with \p E. Called when a shutdown has reached its
/// time limit.
void failAllJobs(InstanceState &State, const Error &E, SteadyTime Now,
                 EffectList &Out);

/// Returns the number of retained and imported answers, which are the positions
/// of `exportAnswers`.
size_t exportableAnswerCount(const InstanceState &State);

/// Returns answers for the successor of this departing instance: from position
/// \p First on as many as fit into \p MaxBytes, but at least one.
std::vector<AnswersReceived::RetainedAnswer>
exportAnswers(const InstanceState &State, size_t First, size_t MaxBytes,
              SteadyTime Now);

/// Stores retained answers that a departing instance has transferred.
void importAnswers(InstanceState &State, const AnswersReceived &Event,
                   SteadyTime Now);

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_JOB_CMD_H
