/// \file State changes of the home: tickets, jobs, their tasks and answers.
#include "jobs/job_cmd.h"

#include "admission/admission_func.h"
#include "handover/handover_cmd.h"
#include "jobs/answer_func.h"
#include "jobs/retention_cmd.h"
#include "scheduling/queue_cmd.h"
#include "tickets/ticket_func.h"

#include <algorithm>

namespace snipeshunt {

namespace {

/// Returns the time of the steady clock in the form that tickets hold.
std::chrono::milliseconds steadyMilliseconds(SteadyTime Now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      Now.time_since_epoch());
}

Job *runningJob(InstanceState &State, const TaskKey &Key) {
  if (Key.Home != State.Incarnation)
    return nullptr;
  auto It = State.Jobs.Records.find(Key.Job);
  return It == State.Jobs.Records.end() ? nullptr : It->second.Running.get();
}

void reply(RequestId Request, StoredAnswerPtr Answer, EffectList &Out) {
  Out.push_back(ReplyToCaller{Request, std::move(Answer)});
}

void recordJobEvent(InstanceState &State, TimelineKind Kind, TicketSequence Job,
                    std::string Detail, EffectList &Out) {
  Out.push_back(RecordTimeline{Kind, jobText(State.Incarnation, Job), "",
                               std::move(Detail)});
}

/// Rejects a submission and records its ticket as used, so that a delayed copy
/// of the submission gets the same answer instead of starting the job.
void rejectSubmission(InstanceState &State, const Ticket &T,
                      const JobRequested &Event, const Error &E, SteadyTime Now,
                      EffectList &Out) {
  TicketRecord &Record = State.Jobs.Records[T.Sequence];
  Record.IssuedAt = T.IssuedAt;
  Record.BodyHash =
      Event.Verb == JobVerb::Submit ? Event.BodyHash : AnyBodyHash;
  retainAnswer(State, T.Sequence, Record,
               errorAnswer(Outcome::NotRun, Event.TicketText, E), Now);
  ++State.Counts.JobsRejected;
  recordJobEvent(State, TimelineKind::JobRefused, T.Sequence,
                 std::string(errorKindName(E.Kind)), Out);
  reply(Event.Request, Record.Answer, Out);
}

size_t payloadBytes(const std::vector<JobTask> &Tasks) {
  size_t Sum = 0;
  for (const JobTask &Task : Tasks)
    Sum += Task.Spec->Payload.size();
  return Sum;
}

void addWaiter(InstanceState &State, Job &J, RequestId Request) {
  J.Waiters.push_back(Request);
  State.Jobs.JobsByWaiter[Request] = J.Sequence;
}

void enqueueTask(InstanceState &State, const Job &J, TaskIndex Index,
                 SteadyTime Now) {
  const JobTask &Task = J.Tasks[Index.Value];
  WaitingTask Waiting;
  Waiting.Key = {State.Incarnation, J.Sequence, Index};
  Waiting.Spec = Task.Spec;
  Waiting.Owner = J.Owner;
  Waiting.Enqueued = Task.FirstQueued;
  Waiting.StartBefore = J.Deadline;
  Waiting.Span = J.Span;
  queueTask(State, std::move(Waiting), J.Unfinished, Now);
}

void acceptSubmission(InstanceState &State, const Ticket &T,
                      const JobRequested &Event, ParsedSubmission Request,
                      SteadyTime Now, EffectList &Out) {
  auto J = std::make_unique<Job>();
  J->Sequence = T.Sequence;
  J->TicketText = Event.TicketText;
  J->Owner = Request.Owner;
  J->Submitted = Now;
  J->Deadline = Now + Request.Patience;
  J->Unfinished = Request.Tasks.size();
  J->Span = estimateJob(State, Request.Tasks).Span;
  for (TaskSpecPtr &Spec : Request.Tasks) {
    JobTask Task;
    Task.Spec = std::move(Spec);
    Task.FirstQueued = Now;
    J->Tasks.push_back(std::move(Task));
  }
  State.Jobs.TeamTasks[J->Owner] += J->Tasks.size();
  State.Jobs.Deadlines.insert({J->Deadline, T.Sequence});
  State.Jobs.LastActivity = Now;
  ++State.Jobs.Running;
  J->PayloadBytes = payloadBytes(J->Tasks);
  State.Jobs.PayloadBytes += J->PayloadBytes;
  ++State.Counts.JobsSubmitted;
  recordJobEvent(State, TimelineKind::JobSubmitted, T.Sequence,
                 "tasks=" + std::to_string(J->Tasks.size()), Out);
  for (uint32_t I = 0; I < J->Tasks.size(); ++I)
    enqueueTask(State, *J, TaskIndex{I}, Now);
  if (Event.Wait)
    addWaiter(State, *J, Event.Request);
  else
    reply(Event.Request, runningAnswer(*J), Out);

  TicketRecord &Record = State.Jobs.Records[T.Sequence];
  Record.BodyHash = Event.BodyHash;
  Record.IssuedAt = T.IssuedAt;
  Record.Running = std::move(J);
}

/// Ends a job: removes its waiting tasks, revokes those handed over, retains
/// the answer and sends it to all waiters. Running attempts are not stopped.
void endJob(InstanceState &State, TicketRecord &Record,
            const StoredAnswerPtr &Answer, SteadyTime Now, EffectList &Out) {
  std::unique_ptr<Job> J = std::move(Record.Running);
  std::vector<TaskKey> ToRevoke;
  for (uint32_t I = 0; I < J->Tasks.size(); ++I) {
    TaskKey Key{State.Incarnation, J->Sequence, TaskIndex{I}};
    if (J->Tasks[I].State == TaskState::Waiting)
      State.Queue.erase(Key);
    else if (J->Tasks[I].State == TaskState::HandedOver)
      ToRevoke.push_back(Key);
  }
  revokeTasks(State, ToRevoke, Now, Out);
  State.Jobs.Deadlines.erase({J->Deadline, J->Sequence});
  --State.Jobs.Running;
  State.Jobs.PayloadBytes -= J->PayloadBytes;
  State.Jobs.LastActivity = Now;
  auto OwnerTasks = State.Jobs.TeamTasks.find(J->Owner);
  OwnerTasks->second -= J->Tasks.size();
  if (OwnerTasks->second == 0)
    State.Jobs.TeamTasks.erase(OwnerTasks);

  bool Complete = Answer->Result == Outcome::Complete;
  ++(Complete ? State.Counts.JobsCompleted : State.Counts.JobsFailed);
  recordJobEvent(
      State, Complete ? TimelineKind::JobCompleted : TimelineKind::JobFailed,
      J->Sequence, "", Out);
  // The callers get the full answer even if it is too large to be retained.
  retainAnswer(State, J->Sequence, Record, Answer, Now);
  for (RequestId Waiter : J->Waiters) {
    State.Jobs.JobsByWaiter.erase(Waiter);
    reply(Waiter, Answer, Out);
  }
}

void failJob(InstanceState &State, TicketRecord &Record, const Error &E,
             SteadyTime Now, EffectList &Out) {
  endJob(State, Record, failedAnswer(*Record.Running, E), Now, Out);
}

Error taskError(const JobTask &Task, size_t Index) {
  std::string Name = "task " + std::to_string(Index);
  if (Task.State == TaskState::Failed)
    return {ErrorKind::TaskFailed, Name + " failed: " + Task.Output,
            "correct the task, then submit with a new ticket"};
  if (Task.State == TaskState::Unknown)
    return {ErrorKind::TaskLost,
            Name +
                " may have started, but its result is unknown: " + Task.Output,
            "check at the upstream before submitting it again"};
  return {ErrorKind::Unavailable,
          Name + " could not be started: " + Task.Output,
          "submit again with a new ticket when upstreams are available"};
}

void handleSubmission(InstanceState &State, const Ticket &T,
                      const JobRequested &Event, SteadyTime Now,
                      EffectList &Out) {
  Result<ParsedSubmission> Request =
      parseSubmission(Event.Body, bodyLimits(State));
  if (failed(Request)) {
    rejectSubmission(State, T, Event, errorOf(Request), Now, Out);
    return;
  }
  if (std::optional<Error> Rejection =
          testAdmission(State, valueOf(Request), Now)) {
    rejectSubmission(State, T, Event, *Rejection, Now, Out);
    return;
  }
  acceptSubmission(State, T, Event, std::move(valueOf(Request)), Now, Out);
}

/// Answers a request on a ticket that was used before.
void handleUsedTicket(InstanceState &State, TicketRecord &Record,
                      const JobRequested &Event, SteadyTime Now,
                      EffectList &Out) {
  if (Event.Verb == JobVerb::Submit &&
      !bodyMatches(Record.BodyHash, Event.BodyHash)) {
    reply(Event.Request,
          errorAnswer(Outcome::Unknown, Event.TicketText,
                      {ErrorKind::TicketConflict,
                       "the ticket was used with another body",
                       "send the same body, or take a new ticket"}),
          Out);
    return;
  }
  if (Record.Answer) {
    reply(Event.Request, Record.Answer, Out);
    return;
  }
  Job &J = *Record.Running;
  if (Event.Verb == JobVerb::Cancel) {
    recordJobEvent(State, TimelineKind::JobCancelled, J.Sequence, "", Out);
    addWaiter(State, J, Event.Request);
    failJob(State, Record,
            {ErrorKind::Cancelled, "the caller cancelled the job",
             "submit it with a new ticket to run it"},
            Now, Out);
    return;
  }
  if (Event.Verb == JobVerb::Query || !Event.Wait) {
    reply(Event.Request, runningAnswer(J), Out);
    return;
  }
  recordJobEvent(State, TimelineKind::JobJoined, J.Sequence, "", Out);
  addWaiter(State, J, Event.Request);
}

bool ticketExpired(const InstanceState &State, const Ticket &T,
                   SteadyTime Now) {
  // Both times are truncated to milliseconds. A ticket of exactly the lifetime
  // has expired, so that no record is evicted while its ticket is still valid.
  return T.IssuedAt <= State.Jobs.ExpiredUpTo ||
         steadyMilliseconds(Now) - T.IssuedAt >=
             State.Settings.Limits.TicketLifetime;
}

} // namespace

void issueTickets(InstanceState &State, const TicketsRequested &Event,
                  SteadyTime Now, EffectList &Out) {
  ReplyTickets Reply{Event.Request, {}};
  if (!State.Drain)
    for (uint32_t I = 0; I < Event.Count; ++I) {
      Ticket T{State.Settings.Centre, State.Settings.Advertise,
               State.Incarnation, TicketSequence{State.Jobs.NextSequence++},
               steadyMilliseconds(Now)};
      Reply.Tickets.push_back(encodeTicket(T, State.Settings.FleetKey));
    }
  Out.push_back(std::move(Reply));
}

void handleHomeRequest(InstanceState &State, const Ticket &T,
                       const JobRequested &Event, SteadyTime Now,
                       EffectList &Out) {
  auto Used = State.Jobs.Records.find(T.Sequence);
  if (Used != State.Jobs.Records.end()) {
    handleUsedTicket(State, Used->second, Event, Now, Out);
    return;
  }
  if (ticketExpired(State, T, Now)) {
    reply(Event.Request,
          errorAnswer(Outcome::Unknown, Event.TicketText,
                      {ErrorKind::TicketExpired,
                       "the ticket has expired; its lifetime is at most " +
                           std::to_string(
                               State.Settings.Limits.TicketLifetime.count()) +
                           " ms",
                       "check at the upstreams whether the job ran, then "
                       "take a new ticket"}),
          Out);
    return;
  }
  if (Event.Verb == JobVerb::Submit) {
    handleSubmission(State, T, Event, Now, Out);
    return;
  }
  Error NotSubmitted{ErrorKind::NotFound,
                     "no job was submitted with this ticket",
                     "submit it by PUT /v1/jobs/{ticket}"};
  if (Event.Verb == JobVerb::Cancel) {
    // Records the ticket as used: a submission that arrives later must not
    // start.
    rejectSubmission(State, T, Event, NotSubmitted, Now, Out);
    return;
  }
  reply(Event.Request,
        errorAnswer(Outcome::Unknown, Event.TicketText, NotSubmitted), Out);
}

bool isTaskAwaited(const InstanceState &State, const TaskKey &Key) {
  auto It = State.Jobs.Records.find(Key.Job);
  return It != State.Jobs.Records.end() && It->second.Running;
}

void setTaskState(InstanceState &State, const TaskKey &Key, TaskState To) {
  if (Job *J = runningJob(State, Key))
    J->Tasks[Key.Index.Value].State = To;
}

void finishTask(InstanceState &State, const TaskKey &Key, TaskResult Result,
                SteadyTime Now, EffectList &Out) {
  Job *J = runningJob(State, Key);
  if (!J)
    return;
  TicketRecord &Record = State.Jobs.Records[Key.Job];
  JobTask &Task = J->Tasks[Key.Index.Value];
  if (Task.State == TaskState::Finished)
    return;
  Task.Output = std::move(Result.Output);
  switch (Result.End) {
  case TaskEnd::Finished:
    Task.State = TaskState::Finished;
    break;
  case TaskEnd::Failed:
    Task.State = TaskState::Failed;
    break;
  case TaskEnd::Unknown:
    Task.State = TaskState::Unknown;
    break;
  case TaskEnd::NotStarted:
    Task.State = TaskState::Waiting;
    break;
  }
  if (Task.State != TaskState::Finished) {
    failJob(State, Record, taskError(Task, Key.Index.Value), Now, Out);
    return;
  }
  J->OutputBytes += Task.Output.size();
  if (J->OutputBytes >
      static_cast<size_t>(State.Settings.Limits.MaxAnswerBytes)) {
    failJob(State, Record,
            {ErrorKind::AnswerTooLarge,
             "the outputs of the tasks exceed " +
                 std::to_string(State.Settings.Limits.MaxAnswerBytes) +
                 " bytes",
             "split the job, or raise max_answer_bytes in the settings"},
            Now, Out);
    return;
  }
  if (--J->Unfinished == 0)
    endJob(State, Record, completeAnswer(*J), Now, Out);
}

void removeWaiter(InstanceState &State, RequestId Request) {
  auto Waited = State.Jobs.JobsByWaiter.find(Request);
  if (Waited == State.Jobs.JobsByWaiter.end())
    return;
  std::vector<RequestId> &Waiters =
      State.Jobs.Records[Waited->second].Running->Waiters;
  Waiters.erase(std::remove(Waiters.begin(), Waiters.end(), Request),
                Waiters.end());
  State.Jobs.JobsByWaiter.erase(Waited);
}

void expireJobs(InstanceState &State, SteadyTime Now, EffectList &Out) {
  while (!State.Jobs.Deadlines.empty() &&
         State.Jobs.Deadlines.begin()->first <= Now) {
    TicketSequence Sequence = State.Jobs.Deadlines.begin()->second;
    failJob(State, State.Jobs.Records[Sequence],
            {ErrorKind::DeadlineExceeded,
             "the job did not end within its patience_ms",
             "check the tasks in state unknown, then submit with a new ticket "
             "and a longer patience_ms"},
            Now, Out);
  }
  evictExpiredAnswers(State, Now);
}

void failAllJobs(InstanceState &State, const Error &E, SteadyTime Now,
                 EffectList &Out) {
  while (!State.Jobs.Deadlines.empty()) {
    TicketSequence Sequence = State.Jobs.Deadlines.begin()->second;
    failJob(State, State.Jobs.Records[Sequence], E, Now, Out);
  }
}

} // namespace snipeshunt
