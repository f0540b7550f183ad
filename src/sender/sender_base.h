/// \file State of the sender: its upstreams, their runs, and its jobs.
#ifndef SNIPESHUNT_SENDER_SENDER_BASE_H
#define SNIPESHUNT_SENDER_SENDER_BASE_H

#include "sender/sender_type.h"
#include "settings/fleet_settings_type.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// Progress of one run that this sender has ordered.
enum class RunPhase {
  Starting,    ///< The start has no answer yet.
  Running,     ///< Accepted.
  Unconfirmed, ///< The start got no answer; the run may begin yet.
};

/// One run on an upstream, until it is known to have ended.
struct SenderRun {
  RunKey Key;
  Resources Need;
  RunPhase Phase = RunPhase::Starting;
  SteadyTime Ordered{}; ///< When the start was sent.
  SteadyTime Accepted{};
  Duration ExpectedRunTime{0}; ///< Run time expected on this upstream.
  int32_t Percent = 0;
  SteadyTime LastProgress{}; ///< When the progress last changed.
  bool StopRequested = false;
  bool StopPending = false; ///< A stop has no answer yet.
  SteadyTime StopSent{};    ///< Last stop.
  std::optional<SteadyTime> StopAcknowledged;
};

/// How far a sender has got with an upstream.
enum class UpstreamPhase {
  AwaitingPredecessor, ///< A predecessor still uses it.
  Syncing,             ///< Its lists have not been read yet.
  Clearing,            ///< Runs of an earlier sender are being stopped.
  Ready,               ///< It takes starts.
  Unresponsive,        ///< It does not answer.
  Fenced,              ///< It obeys a newer sender.
};

/// An upstream of a cell of this sender.
struct SenderUpstream {
  UpstreamRecord Record;
  CellId Cell;
  FencingToken Token;
  UpstreamPhase Phase = UpstreamPhase::AwaitingPredecessor;
  Resources Free;
  std::map<RunKey, SenderRun> Runs;
  std::map<RunKey, SteadyTime>
      OrphanedRuns;              ///< Runs to stop, by last stop sent.
  uint64_t AcknowledgeUpTo = 0;  ///< Ends that were handled.
  uint64_t AcknowledgedUpTo = 0; ///< Ends that the upstream may forget.
  SteadyTime FirstUnacknowledged{};
  int64_t StartedAt = 0;
  /// Highest difference between its clock and this one's, in milliseconds.
  std::optional<int64_t> ClockOffset;
  SteadyTime ClockOffsetUpdated{};
  SteadyTime
      LeaseExpiry{}; ///< Everything on it has ended by then, unless renewed.
  SteadyTime LeaseSent{};
  bool RenewalPending = false;
  uint64_t RenewalSequence = 0;
  SteadyTime RenewalSent{};
  SteadyTime NextRenewal{};
  uint32_t UnansweredCalls = 0; ///< Calls without an answer in a row.
  SteadyTime BlockedUntil{};
  uint32_t Failures = 0; ///< In a row, of different jobs.
  JobId LastFailedJob;
  bool Probing = false; ///< Gets one run at a time.
  Duration ProbeDelay{0};
  double LogSlowdown = 0; ///< Logarithm of observed to expected time.
  SteadyTime UnlistedSince{};
};

/// Whether an upstream takes starts, room or not.
inline bool acceptsStarts(const SenderUpstream &U, SteadyTime Now) {
  return U.Phase == UpstreamPhase::Ready && !U.Record.Draining &&
         Now >= U.BlockedUntil;
}

/// Where a task of a job is.
enum class SenderTaskState { Waiting, Started, Done };

struct SenderTask {
  SenderTaskState State = SenderTaskState::Waiting;
  uint32_t Run = 0; ///< Of the last start.
  uint32_t Failures = 0;
  UpstreamId Upstream; ///< Of the last start.
  std::set<UpstreamId>
      AvoidedUpstreams; ///< Upstreams where it failed or stood still.
};

/// Identifies who waits for a job.
struct JobWaiter {
  RequestId Request;
  bool Local = false; ///< The request is of this instance's own entry.

  friend bool operator<(const JobWaiter &L, const JobWaiter &R) {
    return std::tie(L.Local, L.Request) < std::tie(R.Local, R.Request);
  }
  friend bool operator==(const JobWaiter &L, const JobWaiter &R) {
    return L.Local == R.Local && L.Request == R.Request;
  }
};

/// A job of this sender.
struct SenderJob {
  JobOrder Order;
  JobWaiter Waiter;
  std::vector<SenderTask> Tasks;
  size_t WaitingTasks = 0;    ///< Tasks that wait for an upstream.
  size_t UnfinishedTasks = 0; ///< Tasks that are not done.
  bool Started = false;
  /// It could not end in time when it came, so it goes behind those that can.
  bool AdmittedLate = false;
  SteadyTime Arrived{};         ///< When the caller's request came in.
  SteadyTime Objective{};       ///< Answers are in time until then.
  SteadyTime LatestUsefulEnd{}; ///< An answer is of no use afterwards.
  SteadyTime Deadline{};        ///< Of the caller.
  Duration ExpectedRunTime{0};  ///< Run time on a typical upstream.
};

/// A result for a second copy of the submission.
struct RetainedResult {
  JobOutcome Outcome = JobOutcome::Done;
  SteadyTime Ended{};
  uint32_t LastRun = 0; ///< Highest number of a run of the job.
};

/// Logarithm of a factor on declared run times.
struct LearnedFactor {
  double Value = 0;
  uint32_t Samples = 0;
};

/// Run times learned from ends.
struct LearnedTimes {
  std::map<std::string, LearnedFactor> Queues; ///< Observed to declared.
  std::map<std::string, LearnedFactor> Kinds;  ///< Speed of upstreams.
};

struct SenderCounters {
  uint64_t JobsAccepted = 0;
  uint64_t JobsDone = 0;
  uint64_t JobsFailed = 0;
  uint64_t JobsRejected = 0;
  uint64_t JobsLost = 0;
  uint64_t RunsStarted = 0;
  uint64_t RunsDone = 0;
  uint64_t RunsFailed = 0;
  uint64_t RunsRejected = 0;
  uint64_t RunsStopped = 0;
  uint64_t RunsStalled = 0;
  uint64_t Renewals = 0;
};

/// Position in the queue: lower goes first.
struct QueueRank {
  int LateClass = 0; ///< 1 for jobs that will be late.
  SteadyTime LatestStart{};
  JobId Id;
  friend bool operator<(const QueueRank &L, const QueueRank &R) {
    return std::tie(L.LateClass, L.LatestStart, L.Id) <
           std::tie(R.LateClass, R.LatestStart, R.Id);
  }
};

/// Work of admitted jobs, decaying over time, as a measure of its rate.
struct OfferedWork {
  double Work = 0; ///< In thousandths of core-seconds.
  SteadyTime Updated{};
};

struct SenderState {
  FleetBounds Bounds;
  OfferedWork Offered;
  bool Draining = false;
  bool PlacementDue = true; ///< Starts may have become possible.
  /// The list of upstreams is being read for a cell that was just claimed.
  bool UpstreamListPending = false;
  std::map<UpstreamId, SenderUpstream> Upstreams;
  std::unordered_map<JobId, SenderJob> Jobs;
  std::map<JobWaiter, JobId> JobsByWaiter;
  /// Runs that have not ended though their job has, by job.
  std::map<JobId, uint32_t> DetachedRuns;
  std::unordered_map<JobId, RetainedResult> RetainedResults;
  std::deque<std::pair<SteadyTime, JobId>> RetainedResultOrder;
  LearnedTimes Learned;
  SenderCounters Counts;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_SENDER_BASE_H
