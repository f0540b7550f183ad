/// \file State of the home: running jobs, retained answers and spent tickets.
#ifndef SNIPESHUNT_JOBS_JOB_BASE_H
#define SNIPESHUNT_JOBS_JOB_BASE_H

#include "jobs/job_type.h"

#include <deque>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace snipeshunt {

/// One task of a running job.
struct JobTask {
  TaskSpecPtr Spec;
  TaskState State = TaskState::Waiting;
  std::string Output;     ///< Set when finished, or the reason of a failure.
  SteadyTime FirstQueued; ///< Start of its wait.
  uint32_t Retries = 0;   ///< Attempts that proved not to have started.
};

/// A job that this incarnation runs.
struct Job {
  TicketSequence Sequence;
  std::string TicketText;
  Team Owner;
  std::vector<JobTask> Tasks;
  size_t Unfinished = 0;  ///< Tasks without a result.
  size_t OutputBytes = 0; ///< Sum over finished tasks.
  SteadyTime Submitted;
  Duration Span{0};    ///< Expected response on an empty system.
  SteadyTime Deadline; ///< The job fails when it has not ended by then.
  std::vector<RequestId> Waiters; ///< Callers that get the answer.
};

/// Stands for the hash of a ticket that was cancelled before its submission,
/// whose body is not known.
constexpr uint64_t AnyBodyHash = 0;

inline bool bodyMatches(uint64_t Recorded, uint64_t Given) {
  return Recorded == AnyBodyHash || Recorded == Given;
}

/// What the home remembers of a used ticket.
struct TicketRecord {
  uint64_t BodyHash = 0;
  SteadyTime ExpiresAt;         ///< Never before the ticket expires.
  std::unique_ptr<Job> Running; ///< Null once the job has ended.
  StoredAnswerPtr Answer;       ///< Set once the job has ended.
  size_t CountedBytes = 0;      ///< Its part of `RetainedBytes`.
};

/// A retained answer of a departed instance that handed its table over.
struct ImportedAnswer {
  uint64_t BodyHash = 0;
  SteadyTime ExpiresAt;
  StoredAnswerPtr Answer;
};

/// All jobs of this incarnation.
struct JobTable {
  uint64_t NextSequence = 1; ///< Of the next ticket.
  std::unordered_map<TicketSequence, TicketRecord> Records;
  /// Running jobs by deadline.
  std::set<std::pair<SteadyTime, TicketSequence>> Deadlines;
  /// Ended jobs by the time at which they are forgotten.
  std::set<std::pair<SteadyTime, TicketSequence>> Expirations;
  /// Ended jobs whose answer is retained, oldest first.
  std::deque<TicketSequence> Retained;
  size_t RetainedBytes = 0;
  /// Jobs by the callers that wait for their answers.
  std::unordered_map<RequestId, TicketSequence> JobsByWaiter;
  size_t Running = 0;                         ///< Jobs without an answer.
  std::unordered_map<Team, size_t> TeamTasks; ///< Unfinished tasks per team.
  SteadyTime NextImportedSweep{};
  SteadyTime LastActivity; ///< Last start or end of a job.
  /// Answers of departed instances.
  std::unordered_map<IncarnationId,
                     std::unordered_map<TicketSequence, ImportedAnswer>>
      ImportedAnswers;
  /// Tickets of these in the order in which they came.
  std::deque<std::pair<IncarnationId, TicketSequence>> ImportOrder;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_JOB_BASE_H
