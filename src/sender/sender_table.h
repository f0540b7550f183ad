/// \file Times and limits of senders.
#ifndef SNIPESHUNT_SENDER_SENDER_TABLE_H
#define SNIPESHUNT_SENDER_SENDER_TABLE_H

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace snipeshunt {

/// An upstream answers a renewal when a run ends, at the latest after this
/// time. If the answer is lost, ends stay unknown for this time and
/// `RenewalSlack`; the lease then leaves room for two more renewals.
/// Shorter waits cost more calls.
constexpr std::chrono::milliseconds RenewalWait{160};
/// A renewal times out this long after its wait. Answers take a few
/// milliseconds, and tens of milliseconds on an instance short of processor
/// time.
constexpr Duration RenewalSlack = std::chrono::milliseconds(140);
/// Timeout of starts and stops. Upstreams answer within a few milliseconds; the
/// rest of the lease remains for stopping a run whose start timed out. A stop
/// and its repetition have to fit into the time that `EntryTimeout` leaves.
constexpr Duration OrderTimeout = std::chrono::milliseconds(150);
/// Longest delay before an end is acknowledged. A renewal for further runs
/// usually acknowledges it earlier, which saves a call.
constexpr Duration AcknowledgeDelay = std::chrono::milliseconds(400);
/// Most runs on an upstream. Each answer to a renewal lists all of them, and
/// each event looks at them; on upstreams of 64 cores, tasks of a quarter core
/// reach this.
constexpr size_t MaxRunsPerUpstream = 256;
/// Starts on an upstream that may be unanswered at a time; further tasks wait.
/// Upstreams answer within milliseconds, and accept as many connections.
constexpr size_t MaxUnansweredStarts = 64;
/// Size of the specs in all starts that may be unanswered at a time, in bytes.
/// Each start holds a copy until it has been written.
constexpr size_t MaxUnansweredBytes = 4 << 20;
/// Runs on an upstream, on average over all, above which placement and renewals
/// follow the ticks instead of each event, and the least number of runs for it.
/// Their cost grows with the runs, and so does the rate of events.
constexpr size_t ManyRunsPerUpstream = 16;
constexpr size_t ManyRuns = 256;
/// Pause before the next call to an upstream that did not answer, doubled with
/// each failed call up to the limit.
constexpr Duration RetryDelay = std::chrono::milliseconds(300);
constexpr Duration MaxRetryDelay = std::chrono::seconds(2);
/// Pause of starts after an upstream rejected one for lack of capacity or as
/// unhealthy.
constexpr Duration FullUpstreamPause = std::chrono::milliseconds(50);
/// Pause of starts on an upstream after repeated failures, doubled up to the
/// limit.
constexpr Duration ProbePause = std::chrono::milliseconds(800);
constexpr Duration MaxProbePause = std::chrono::seconds(6);
/// Consecutive failures, of different jobs, after which an upstream is limited
/// to one run at a time. At an error rate of 0.2 %, two in a row happen by
/// chance in one of 250,000 runs.
constexpr uint32_t FailuresBeforeProbe = 2;
/// An order without an answer may be carried out by an upstream up to this long
/// after it was sent.
constexpr Duration LateOrderTime = std::chrono::seconds(12);
/// A run that reports no progress for this time, and has taken `StallFactor`
/// times its expected run time, is stopped and its task started elsewhere.
constexpr Duration StallTimeout = std::chrono::milliseconds(400);
constexpr double StallFactor = 2.0;
/// A run time that differs from the expected one by this factor is attributed
/// to the upstream, not to its queue or kind; run times vary by about 40 %.
constexpr double SlowFactor = 3.0;
/// Crashes under a task that was in progress after which its job is given up.
/// The task is alone on its upstream from the second on, so no other task can
/// have caused both; what else may have is not known.
constexpr uint32_t MaxCrashesInProgress = 2;
/// A run is taken to be in progress only while the list of upstreams is not
/// older than this share of `FleetBounds::DrainNotice`: an upstream that leaves
/// is listed as draining that long before. The list is read twice in that time.
constexpr double MaxListAgeShare = 0.6;
/// Crashes for which a task is suspected, in progress or only possible, after
/// which its job is given up. Users bear five starts that crash an upstream;
/// two of them are left for crashes that were not noticed.
constexpr uint32_t MaxSuspectedCrashes = 3;
/// Shortest wait of a renewal that has certainly reached its upstream. A round
/// trip between data centres takes 3 ms.
constexpr Duration MinRenewalTransit = std::chrono::milliseconds(5);
/// A renewal whose connection was closed is repeated at once, and this much
/// later if that one's is too: an upstream may accept a connection while its
/// process ends. Further ones wait as long as after any lost call.
constexpr uint32_t MaxEarlyRenewals = 3;
constexpr Duration EarlyRenewalDelay = std::chrono::milliseconds(10);
/// Longest time between the loss of a renewal's connection and a refused
/// connection that together show a run in progress. The renewal is repeated at
/// once, and is delayed by tens of milliseconds on an instance short of
/// processor time.
constexpr Duration MaxRefusalDelay = std::chrono::milliseconds(60);
/// Part of the upstreams that may be kept free of other runs for suspected
/// tasks at a time, one in this number. The rest serve the other jobs.
constexpr size_t UpstreamsPerReserved = 8;
/// An unlisted upstream is removed after this time. Records that expired during
/// an outage of the store are back within 2 s.
constexpr Duration UnlistedTimeout = std::chrono::milliseconds(2500);
/// Retention of results for duplicate submissions, which come seconds after the
/// first.
constexpr Duration ResultRetention = std::chrono::seconds(8);
constexpr size_t MaxRetainedResults = 4096;
/// A result query leaves out jobs that have ended less than this time ago:
/// their answers are usually on their way, and take milliseconds.
constexpr Duration AnswerTransitTime = std::chrono::milliseconds(200);
/// Callers have use for late answers up to this multiple of the objective.
constexpr double MaxLatenessFactor = 3.0;
/// A job is not started if less than this share of its expected run time is
/// left. Estimates are often 40 % too high.
constexpr double StartMargin = 0.6;
/// Share of the capacity that can be used; large tasks leave gaps.
constexpr double UsableCpuShare = 0.8;
/// Share of the running work that is done, on average, before capacity for
/// another task becomes free.
constexpr double FirstEndShare = 0.25;
/// Share of an expected delay that is certain enough to reject a job after its
/// admission.
constexpr double CertainDelayShare = 0.7;
/// Time constant of the rate of admitted work. Load bursts build up within a
/// second.
constexpr double OfferedDecaySeconds = 0.5;
/// Minimum share of the capacity that is assumed to be left for late jobs.
constexpr double MinSpareShare = 0.05;
/// A job that misses its latest start by more than this share of its objective
/// ranks behind the jobs that can meet theirs.
constexpr double LateStartTolerance = 0.1;
/// During an overload, a job whose latest start is nearer than this ranks
/// before others of its priority. Tasks of 900 ms wait behind up to 150 ms of
/// work of more urgent queues.
constexpr Duration LateSoonTime = std::chrono::milliseconds(200);
/// Expected delay at a sender without usable upstreams.
constexpr Duration NoUpstreamDelay = std::chrono::seconds(10);
/// Minimum weight of one observation in learned factors.
constexpr double LearningRate = 0.05;
/// Observed errors are clamped to this factor, so that a hung task does not
/// distort the learned run times.
constexpr double MaxLearnedFactor = 8.0;
/// Set in the ids of requests that come from the entry part of this instance.
constexpr uint64_t LocalRequestBit = uint64_t{1} << 63;
/// Minimum `JobResult::RetryAfter`.
constexpr Duration MinRetryAfter = std::chrono::seconds(1);

} // namespace snipeshunt

#endif // SNIPESHUNT_SENDER_SENDER_TABLE_H
