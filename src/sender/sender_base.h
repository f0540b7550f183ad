/// \file State of the sender: its upstreams, their runs, and its jobs.
#ifndef SNIPESHUNT_SENDER_SENDER_BASE_H
#define SNIPESHUNT_SENDER_SENDER_BASE_H

#include "sender/crash_base.h"
#include "sender/queue_share_base.h"
#include "sender/sender_type.h"
#include "settings/fleet_settings_type.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// Phase of a run that this sender has ordered.
enum class RunPhase {
  Starting,    ///< The start has been sent and not answered yet.
  Running,     ///< The upstream has accepted the start.
  Unconfirmed, ///< The start timed out; the run may still begin.
};

/// A run on an upstream. It is kept until the run is known to have ended.
struct SenderRun {
  RunKey Key;
  Resources Need; ///< Reserved on the upstream for the run.
  RunPhase Phase = RunPhase::Starting;
  SteadyTime Ordered{};        ///< When the start was sent.
  SteadyTime Accepted{};       ///< When the acceptance was received.
  Duration ExpectedRunTime{0}; ///< Run time expected on this upstream.
  int32_t Percent = 0;         ///< Progress in the last report, 0 to 100.
  SteadyTime LastProgress{};   ///< Last change of `Percent`; zero if none.
  size_t SpecBytes = 0;        ///< Size of the spec in its start.
  bool StopRequested = false;  ///< The run is to be stopped.
  bool StopPending = false;    ///< A stop has been sent and not answered yet.
  SteadyTime StopSent{};       ///< When the last stop was sent.
  /// A stop without an answer was repeated at once; further ones wait.
  bool StopRepeated = false;
  /// When the upstream's acceptance of the stop was received.
  std::optional<SteadyTime> StopAcknowledged;
  /// The upstream's process changed before the start was answered. The next one
  /// may still carry it out, and only its acceptance of the stop prevents that.
  bool ProcessChanged = false;
  bool CrashCounted = false; ///< A crash of the upstream was attributed.
};

/// Phase of an upstream, as its sender sees it.
enum class UpstreamPhase {
  AwaitingPredecessor, ///< A draining predecessor still uses it.
  Syncing,             ///< Its lists of runs are read before any start.
  Clearing,     ///< Orphaned runs of an earlier sender are being stopped.
  Ready,        ///< Tasks can be started on it.
  Unresponsive, ///< Calls time out, or another process answers.
  Fenced,       ///< It accepts only a newer sender's orders.
};

/// An upstream in a cell that this sender has claimed.
struct SenderUpstream {
  UpstreamRecord Record; ///< Last record read from the store.
  CellId Cell;
  FencingToken Token; ///< Sent with each order to the upstream.
  UpstreamPhase Phase = UpstreamPhase::AwaitingPredecessor;
  Resources Free; ///< Its capacity less the needs of `Runs`.
  std::map<RunKey, SenderRun> Runs;
  /// While it is in `Runs`, no other run is started on the upstream, so that a
  /// crash can be attributed to it.
  std::optional<RunKey> ExclusiveRun;
  /// Runs of an earlier sender that have to be stopped, and when the last stop
  /// was sent for each.
  std::map<RunKey, SteadyTime> OrphanedRuns;
  /// Starts of the last `LateOrderTime` that got no answer, and when that was
  /// found. A process that follows must stop them, whatever became of them
  /// here.
  std::deque<std::pair<SteadyTime, RunKey>> UnansweredStarts;
  uint64_t AcknowledgeUpTo = 0;  ///< Highest number of an end that was applied.
  uint64_t AcknowledgedUpTo = 0; ///< Highest number that was acknowledged.
  /// When the first end that has not been acknowledged was received.
  SteadyTime FirstUnacknowledged{};
  int64_t StartedAt = 0; ///< Start of its process, Unix ms; 0 if unknown.
  /// `StartedAt` of the process before, until the first report of the present
  /// one tells which runs have ended with that.
  std::optional<int64_t> FormerProcess;
  /// Its clock less the steady clock of this process, in milliseconds. The
  /// highest sample counts, since transit only makes a sample lower. Unset
  /// before the first answer.
  std::optional<int64_t> ClockOffset;
  SteadyTime ClockOffsetUpdated{}; ///< When `ClockOffset` was last updated.
  /// All its runs have ended by then, unless their lease is renewed.
  SteadyTime LeaseExpiry{};
  bool RenewalPending = false;  ///< A renewal awaits its answer.
  bool RenewalWaits = false;    ///< The last renewal waits for an end.
  uint64_t RenewalSequence = 0; ///< Of the last renewal.
  SteadyTime RenewalSent{};     ///< When the last renewal was sent.
  SteadyTime LastReport{};      ///< When a renewal was last answered.
  /// When the renewal was sent that the process answered last; zero before its
  /// first answer. Connections that were open by then lead to it or to none.
  SteadyTime ProcessKnownAt{};
  /// When the upstream closed the connection of a renewal without an answer,
  /// and how long the renewal had waited; the first one since the last answer.
  std::optional<SteadyTime> RenewalLost;
  Duration LostRenewalWait{0};
  SteadyTime NextRenewal{};     ///< Earliest time of the next renewal.
  uint32_t UnansweredCalls = 0; ///< Consecutive calls that got no answer.
  SteadyTime BlockedUntil{};    ///< Nothing is started on it before.
  uint32_t Failures = 0;  ///< Consecutive failures, without repeats by one job.
  JobId LastFailedJob;    ///< Job of the last counted failure.
  bool Probing = false;   ///< It is limited to one run at a time.
  Duration ProbeDelay{0}; ///< Last pause of starts before a probe.
  double LogSlowdown = 0; ///< Smoothed ln(observed / expected run time).
  /// Since when it is absent from the store's list; zero if it is listed.
  SteadyTime UnlistedSince{};
  /// Runs whose lease expired while the upstream did not answer. They are
  /// suspected if it turns out to have crashed.
  std::vector<RunKey> LapsedRuns;
  bool CrashRecorded = false; ///< A crash of its present process is recorded.
  /// Its cell was released. It is kept until its starts have been answered,
  /// which shows whether their jobs have run, and gets no orders but stops.
  bool Released = false;
  /// Its cell goes to another sender once nothing runs there.
  bool Leaving = false;
};

/// Returns true if \p U has a run beside which nothing is started.
inline bool hasExclusiveRun(const SenderUpstream &U) {
  return U.ExclusiveRun && U.Runs.count(*U.ExclusiveRun) != 0;
}

/// Returns true if tasks may be started on \p U, regardless of free capacity.
inline bool acceptsStarts(const SenderUpstream &U, SteadyTime Now) {
  return U.Phase == UpstreamPhase::Ready && !U.Record.Draining && !U.Leaving &&
         Now >= U.BlockedUntil && !hasExclusiveRun(U);
}

/// State of a task of a job.
enum class SenderTaskState { Waiting, Started, Done };

/// A run of a task that its upstream has reported as failed.
struct FailedRun {
  uint32_t Run = 0; ///< Number of the run, from 1.
  UpstreamId Upstream;
  int64_t StartedAt = 0; ///< Start of the upstream's process, Unix ms.
};

/// A task of a job. Members about a start refer to the last one.
struct SenderTask {
  SenderTaskState State = SenderTaskState::Waiting;
  uint32_t Run = 0; ///< Number of the run, from 1; 0 before any.
  std::vector<FailedRun> FailedRuns;
  uint32_t Crashes = 0; ///< For which it is suspected; see `TaskCrash`.
  UpstreamId Upstream;  ///< Where it was started.
  /// Upstreams where a start or a run of it did not succeed.
  std::set<UpstreamId> AvoidedUpstreams;
};

/// Request that awaits the result of a job.
struct JobWaiter {
  RequestId Request;
  bool Local = false; ///< Made by the entry part of this instance.

  friend bool operator<(const JobWaiter &L, const JobWaiter &R) {
    return std::tie(L.Local, L.Request) < std::tie(R.Local, R.Request);
  }
  friend bool operator==(const JobWaiter &L, const JobWaiter &R) {
    return L.Local == R.Local && L.Request == R.Request;
  }
};

/// A job that this sender has admitted and not answered.
struct SenderJob {
  JobOrder Order;
  JobWaiter Waiter;
  std::vector<SenderTask> Tasks;
  size_t WaitingTasks = 0;    ///< Tasks that are not on an upstream.
  size_t UnfinishedTasks = 0; ///< Tasks that have not succeeded.
  bool Started = false;       ///< The start of a task was ordered.
  /// An upstream has accepted a start of a task, or has not answered one, in
  /// this or an earlier submission. Otherwise nothing has run.
  bool MayHaveRun = false;
  bool HasSuspectedTasks = false; ///< `SenderTask::Crashes` of one is set.
  /// It was not expected to meet its objective when it was admitted. It ranks
  /// behind the jobs that can, until it has started.
  bool AdmittedLate = false;
  /// Receipt of the job if this process was behind then; zero otherwise. Its
  /// entry may have given it up while it waited in the socket, so no task is
  /// started before the entry has answered a ping sent since then.
  SteadyTime ConfirmSince{};
  SteadyTime Received{}; ///< When this sender last received the job.
  /// `CellState::ReadBound` at that time.
  SteadyTime ReceivedBound{};
  SteadyTime Arrived{};   ///< When the entry received the caller's request.
  SteadyTime Objective{}; ///< Answers until then meet the objective.
  SteadyTime LatestUsefulEnd{}; ///< The caller has no use for a later answer.
  SteadyTime Deadline{};        ///< The caller's time limit.
  Duration ExpectedRunTime{0};  ///< Of a task, on an upstream of average speed.
  size_t Memory = 0;            ///< `jobMemory` at its admission.
};

/// Result of a finished job, retained for duplicate submissions and result
/// queries.
struct RetainedResult {
  JobOutcome Outcome = JobOutcome::Done;
  /// When the job ended, or was last rejected since.
  SteadyTime Ended{};
  uint32_t LastRun = 0;      ///< Highest run number among its tasks.
  Address Entry;             ///< `JobOrder::Entry` of the job.
  IncarnationId Incarnation; ///< `JobOrder::Incarnation` of the job.
  uint64_t Number = 0;       ///< `JobOrder::Number` of the job.
  uint32_t MaxAttempts = 1;  ///< `JobOrder::MaxAttempts` of the job.
};

/// Learned factor, as a natural logarithm.
struct LearnedFactor {
  double Value = 0;
  uint32_t Samples = 0; ///< Observations that went into it.
};

/// Factors on declared run times, learned from runs that succeeded.
struct LearnedTimes {
  /// Observed to declared run time, by `JobOrder::Queue`.
  std::map<std::string, LearnedFactor> Queues;
  /// Speed of upstreams, by `UpstreamRecord::Kind`; higher is faster.
  std::map<std::string, LearnedFactor> Kinds;
};

/// Counters since the start of the process.
struct SenderCounters {
  uint64_t JobsAccepted = 0;
  uint64_t JobsDone = 0;
  uint64_t JobsFailed = 0;
  uint64_t JobsRejected = 0;
  uint64_t JobsOutOfMemory = 0; ///< Rejected for `MaxJobMemory`.
  uint64_t JobsLost = 0;        ///< Abandoned after admission.
  uint64_t RunsStarted = 0;
  uint64_t RunsDone = 0;
  uint64_t RunsFailed = 0;
  uint64_t RunsRejected = 0;    ///< Starts that were rejected or not answered.
  uint64_t RunsStopped = 0;     ///< Stops that were accepted.
  uint64_t RunsStalled = 0;     ///< Runs stopped for lack of progress.
  uint64_t UpstreamCrashes = 0; ///< Crashes of upstreams with runs.
  /// Crashes recorded for a task, by their first `CrashEvidence`.
  uint64_t CrashesInProgress = 0;
  uint64_t CrashesPossible = 0;
  uint64_t Renewals = 0; ///< Renewal calls sent.
  /// Tasks of jobs that were not started here because of `WithheldStarts`.
  uint64_t StartsWithheld = 0;
  /// Upstreams looked at by placement, as a measure of its cost.
  uint64_t UpstreamsVisited = 0;
};

/// Sort key of a job in the queue; the lowest is placed first.
struct QueueRank {
  int LateClass = 0;        ///< 1 if the job will miss its objective, else 0.
  int32_t Priority = 0;     ///< The job's during an overload, else 0.
  SteadyTime LatestStart{}; ///< Latest start that meets the objective.
  JobId Id;
  friend bool operator<(const QueueRank &L, const QueueRank &R) {
    return std::tie(L.LateClass, L.Priority, L.LatestStart, L.Id) <
           std::tie(R.LateClass, R.Priority, R.LatestStart, R.Id);
  }
};

/// Jobs that callers have cancelled, here or at other instances. Their number
/// and age are limited.
struct CallerCancels {
  std::unordered_map<JobId, SteadyTime> Jobs; ///< When each arrived last.
  /// Jobs by arrival, oldest first; those that arrived again are outdated.
  std::deque<std::pair<SteadyTime, JobId>> Order;
};

/// Starts that this sender withholds because of an evacuation, or while it does
/// not know yet whether there is one.
struct WithheldStarts {
  std::set<DataCentre> Centres; ///< No task is started on their upstreams.
  bool Paused = false;          ///< Nothing is started, jobs may wait.
  /// Jobs of which nothing has run don't wait here: the own data centre is
  /// evacuated, or the pause has lasted too long.
  bool ReturnsJobs = false;
  bool Evacuated = false; ///< The own data centre is evacuated.
};

/// State of the sender part of an instance.
struct SenderState {
  FleetBounds Bounds; ///< From the settings.
  /// Work of the jobs that were admitted in time, in thousandths of
  /// core-seconds. It measures the rate at which such work arrives.
  DecayingSum Offered;
  WithheldStarts Withheld;
  QueueShares Shares;
  bool Draining = false;    ///< Shutdown has begun; new jobs are rejected.
  bool PlacementDue = true; ///< A start may have become possible.
  /// The last placement left out starts because too many were unanswered.
  bool StartsHeld = false;
  /// Upstreams were released or fenced off, so that jobs may have none left.
  bool UpstreamsLost = false;
  /// The upstreams of this deployment state the start of their process in their
  /// records, by the list that was applied last.
  bool RecordsStateStart = false;
  /// The upstreams of a newly claimed cell are being read from the store. Jobs
  /// are admitted meanwhile.
  bool UpstreamListPending = false;
  SteadyTime UpstreamListRead{}; ///< When a current list was last applied.
  /// Upstreams of the claimed cells, and those that a draining sender still
  /// uses.
  std::map<UpstreamId, SenderUpstream> Upstreams;
  std::unordered_map<JobId, SenderJob> Jobs;
  size_t JobMemory = 0; ///< Sum of `SenderJob::Memory`, in bytes.
  /// Limit of `JobMemory`, from the settings.
  size_t MaxJobMemory = FleetLimits().MaxJobBytes;
  std::map<JobWaiter, JobId> JobsByWaiter;
  /// Number of runs by job that have not ended though the job has. A new
  /// submission of the job is not started before they have.
  std::map<JobId, uint32_t> DetachedRuns;
  std::unordered_map<JobId, RetainedResult> RetainedResults;
  /// Retained results by end of the job, oldest first.
  std::deque<std::pair<SteadyTime, JobId>> RetainedResultOrder;
  CrashHistory Crashes;
  CallerCancels Cancelled;
  LearnedTimes Learned;
  SenderCounters Counts;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_SENDER_BASE_H
