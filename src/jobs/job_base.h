/// \file State of the home: running jobs, retained answers and used tickets.
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
  TaskSpecPtr Spec;                     ///< As submitted.
  TaskState State = TaskState::Waiting; ///< As known to the home.
  std::string Output;     ///< Output of a finished task, else why it ended.
  SteadyTime FirstQueued; ///< When its job was accepted; kept over retries.
  uint32_t Retries = 0;   ///< Attempts that did not start; not counted today.
};

/// An unfinished job whose home is this incarnation.
struct Job {
  TicketSequence Sequence;    ///< Number of its ticket.
  std::string TicketText;     ///< Its ticket, as answers repeat it.
  Team Owner;                 ///< Team whose quota the tasks count towards.
  std::vector<JobTask> Tasks; ///< In the order of the submission.
  size_t Unfinished = 0;      ///< Tasks without a result.
  size_t PayloadBytes = 0;    ///< Size of the payloads of its tasks.
  size_t OutputBytes = 0;     ///< Size of the outputs of finished tasks.
  SteadyTime Submitted;       ///< When the job was accepted.
  Duration Span{0};           ///< Expected response time on an empty system.
  SteadyTime Deadline;        ///< The job fails if it has not ended by then.
  std::vector<RequestId> Waiters; ///< Open requests that get the answer.
};

/// Body hash of a ticket that was cancelled before its submission. The body is
/// not known, so this value matches any body.
constexpr uint64_t AnyBodyHash = 0;

/// Returns true if a request with body hash \p Given may repeat a submission
/// with body hash \p Recorded.
inline bool bodyMatches(uint64_t Recorded, uint64_t Given) {
  return Recorded == AnyBodyHash || Recorded == Given;
}

/// Record of a used ticket, which its home keeps until the ticket has expired.
struct TicketRecord {
  uint64_t BodyHash = 0; ///< Of the submission, or `AnyBodyHash`.
  /// When the ticket was issued, on the steady clock.
  std::chrono::milliseconds IssuedAt{0};
  /// When the record is evicted; not before the ticket expires. Set with
  /// `Answer`.
  SteadyTime ExpiresAt;
  std::unique_ptr<Job> Running; ///< Null once the job has ended.
  StoredAnswerPtr Answer;       ///< Set once the job has ended.
  size_t CountedBytes = 0;      ///< Counted in `JobTable::RetainedBytes`.
};

/// A retained answer that a departing instance has transferred to this one.
struct ImportedAnswer {
  uint64_t BodyHash = 0;  ///< Of the submission, or `AnyBodyHash`.
  SteadyTime ExpiresAt;   ///< When it is evicted.
  StoredAnswerPtr Answer; ///< Never null.
};

/// All jobs, used tickets and retained answers of this incarnation.
struct JobTable {
  uint64_t NextSequence = 1; ///< Number of the next ticket.
  /// Used tickets by their number.
  std::unordered_map<TicketSequence, TicketRecord> Records;
  /// Running jobs by deadline.
  std::set<std::pair<SteadyTime, TicketSequence>> Deadlines;
  /// Tickets issued up to this time have expired, because records were evicted
  /// before their time. On the steady clock.
  std::chrono::milliseconds ExpiredUpTo{-1};
  /// Ended jobs by the time at which their records are evicted.
  std::set<std::pair<SteadyTime, TicketSequence>> Expirations;
  /// Ended jobs whose answer is retained, oldest first. During a shutdown it
  /// also holds jobs whose records have been evicted.
  std::deque<TicketSequence> Retained;
  /// Size of the retained answers, without the imported ones.
  size_t RetainedBytes = 0;
  /// Job for whose answer each open request waits.
  std::unordered_map<RequestId, TicketSequence> JobsByWaiter;
  size_t Running = 0; ///< Jobs without an answer.
  /// Size of the payloads of running jobs.
  size_t PayloadBytes = 0;
  /// Tasks of running jobs, by team.
  std::unordered_map<Team, size_t> TeamTasks;
  SteadyTime NextImportedSweep{}; ///< Next eviction of imported answers.
  SteadyTime LastActivity;        ///< Last start or end of a job.
  /// Answers of departed instances, by the incarnation that issued the ticket.
  std::unordered_map<IncarnationId,
                     std::unordered_map<TicketSequence, ImportedAnswer>>
      ImportedAnswers;
  /// Tickets of the imported answers in the order of their arrival.
  std::deque<std::pair<IncarnationId, TicketSequence>> ImportOrder;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_JOBS_JOB_BASE_H
