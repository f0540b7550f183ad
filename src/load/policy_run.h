/// \file Simulates a fleet by running its reducers on a fake clock.
#ifndef SNIPESHUNT_LOAD_POLICY_RUN_H
#define SNIPESHUNT_LOAD_POLICY_RUN_H

#include "load/policy_measure.h"
#include "reducer/reducer.h"

#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

namespace snipeshunt {

/// Simulates nine instances in three data centres with fake upstreams and
/// callers.
class PolicyRun {
public:
  /// \p W must outlive this object. Runs with the same \p Seed are equal.
  PolicyRun(const PolicyWorkload &W, const PolicyOptions &Options,
            uint64_t Seed);
  PolicyRun(const PolicyRun &) = delete;
  PolicyRun &operator=(const PolicyRun &) = delete;

  /// Runs until all jobs have ended, at most \p Seconds and a minute more of
  /// simulated time; to be called once.
  PolicyRecord run(double Seconds);

private:
  /// An upstream that runs tasks for their base time divided by its speed.
  struct FakeUpstream {
    Address Endpoint;
    size_t Centre = 0; ///< Index of its data centre.
    double Speed = 1;
    uint32_t Busy = 0;     ///< Slots in use.
    bool Failing = false;  ///< Fails each task at once.
    std::set<size_t> Lost; ///< Jobs with a failed task, before probing.
  };
  /// An action at a time; those at the same time run in the order of queueing.
  struct ScheduledAction {
    Duration At;
    uint64_t Order;
    std::function<void()> Action;
    friend bool operator<(const ScheduledAction &L, const ScheduledAction &R) {
      return std::tie(R.At, R.Order) < std::tie(L.At, L.Order);
    }
  };

  void addInstances(const PolicyOptions &Options);
  void addUpstreams();
  void scheduleWork();
  void submit(size_t Job);
  void cancel(size_t Job);
  void tick(size_t Instance);

  /// Queues \p Action at \p Delay from now.
  void after(Duration Delay, std::function<void()> Action);
  /// Passes an event to the reducer of \p Instance and applies the effects.
  void dispatch(size_t Instance, EventBody Body);
  /// Delivers \p Request of instance \p From to the instance at \p To.
  /// \p ToAnswer makes the event at \p From from the effects there.
  void call(size_t From, const Address &To, EventBody Request,
            std::function<EventBody(const EffectList &)> ToAnswer);
  Duration delayBetween(size_t From, size_t To) const;
  /// Simulated time since the start, in seconds.
  double seconds() const;

  // Effects of instance \p From; effects of other types are ignored.
  void apply(size_t From, const StartTask &E);
  void apply(size_t From, const PollStatus &E);
  void apply(size_t From, const SendHandover &E);
  void apply(size_t From, const SendReport &E);
  void apply(size_t From, const SendRevoke &E);
  void apply(size_t From, const SendHeartbeat &E);
  void apply(size_t From, const ReplyToCaller &E);
  template <typename T> void apply(size_t, const T &) {}

  void handleStart(size_t From, const StartTask &E, FakeUpstream &U);
  void reply(size_t From, AttemptId Attempt, AttemptEnd End);
  void recordStart(const StartTask &E, const FakeUpstream &U, double RunTime);
  void recordFailure(size_t Sender, const StartTask &E, FakeUpstream &U);
  /// Returns the time up to now, in seconds, during which any slot was occupied
  /// by long work.
  double timeBehindLong() const;

  const PolicyWorkload &W;
  PolicyRecord Record;
  std::mt19937_64 Random;
  std::priority_queue<ScheduledAction> Queue;
  uint64_t NextOrder = 0;
  Duration Elapsed{0}; ///< Simulated time since the start.
  bool InTick = false; ///< The event being handled is a tick.
  std::deque<InstanceState> States;
  std::unordered_map<Address, size_t> InstanceAt;
  std::vector<FakeUpstream> Upstreams;
  std::unordered_map<Address, size_t> UpstreamAt;
  std::vector<std::pair<size_t, std::string>>
      Tickets; ///< Home and text by job.
  std::unordered_map<RequestId, size_t> JobOfRequest;
  std::vector<double> BehindLongAtArrival; ///< timeBehindLong() by job.
  uint32_t LongRuns = 0;  ///< Runs of long work that have not ended.
  double LongSince = 0;   ///< Time since which LongRuns > 0, in seconds.
  double LongTotal = 0;   ///< Length of earlier such times, in seconds.
  size_t Open = 0;        ///< Jobs without an answer.
  EffectList LastEffects; ///< Of the last event, for the calling instance.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_POLICY_RUN_H
