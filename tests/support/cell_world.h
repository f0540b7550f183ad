/// \file A simulated fleet of cells: instances, upstreams and the store in one
/// process, on a fake clock.
#ifndef SNIPESHUNT_TESTS_SUPPORT_CELL_WORLD_H
#define SNIPESHUNT_TESTS_SUPPORT_CELL_WORLD_H

#include "instance/instance_reducer.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipeshunt::testing {

/// A caller's pause before it submits a job again elsewhere.
inline constexpr std::chrono::milliseconds CallerRetryPause{1300};
/// Delay of the orders that `UpstreamFaults::LateOrders` chooses.
inline constexpr std::chrono::milliseconds LateOrderDelay{700};

/// Faults of a simulated upstream.
struct UpstreamFaults {
  bool Unreachable = false; ///< No message passes in either direction.
  bool Down = false;        ///< No process runs; connections are refused.
  /// Orders are refused as if no process ran, and answers on open connections
  /// are lost, though the process lives.
  bool Refuses = false;
  bool Stalls = false;   ///< Runs make no progress.
  bool Mute = false;     ///< Renewals are carried out and get no answer.
  bool FailsAll = false; ///< Runs end as failed at once.
  int LostRenewals = 0;  ///< Number of renewals that get no answer.
  /// Transit time of renewals and their answers, in each direction, in addition
  /// to the usual one.
  Duration RenewalDelay{0};
  /// Number of renewals that go over a connection that is not known to lead to
  /// the upstream's process.
  int NewConnections = 0;
  bool LosesStops = false; ///< Stops get no answer and are not carried out.
  /// Starts get no answer and are carried out after this time.
  std::optional<Duration> StartDelay;
  /// Delayed starts are carried out by the upstream's next process too.
  bool StartsOutliveProcess = false;
  /// Share of the starts and stops that get no answer and are carried out after
  /// `LateOrderDelay`.
  double LateOrders = 0;
  /// Share of the renewals that get no answer and are not carried out.
  double LostRenewalShare = 0;
  /// The sender's connections for starts and stops have fallen silent: an order
  /// is lost until one has timed out, after which the client opens new ones.
  bool SilentConnections = false;
};

/// A run as a simulated upstream has carried it out.
struct RunRecord {
  RunKey Key;
  UpstreamId Upstream;
  SteadyTime Started;
  SteadyTime Ended;    ///< `SteadyTime::max()` while it runs.
  bool Done = false;   ///< It ended with success.
  std::string Kind;    ///< Of the upstream's process that started it.
  bool Failed = false; ///< It ended as failed.
};

/// A caller's request and its answer.
struct CallerRecord {
  SteadyTime Sent;                    ///< When the job was submitted.
  std::optional<AnswerCaller> Answer; ///< The first answer.
  SteadyTime Answered;                ///< When it arrived.
};

/// A simulated fleet with fixed message times. It runs the real reducer of each
/// instance and executes its effects.
class CellWorld {
public:
  struct UpstreamSetup {
    std::string Name;
    std::string Centre = "centre-a";
    int64_t CpuMillis = 64000; ///< Capacity in thousandths of a core.
    double Speed = 1;          ///< Task times are divided by it.
    double ClockRate = 1;      ///< Of its clock, relative to the others.
  };

  CellWorld();

  /// Adds an instance and starts it; returns its endpoint.
  Address addInstance(const std::string &Name, const std::string &Centre,
                      double Weight = 0.25);
  UpstreamId addUpstream(const UpstreamSetup &Setup);

  /// Instances added later have the first one as their only seed, and the store
  /// lists an instance only some time after its start.
  void setSeedsOnly(bool Only) { SeedsOnly = Only; }
  /// Instances added later have these bounds in their settings.
  void setBounds(const FleetBounds &To) { Bounds = To; }

  /// Advances the clock by \p Time and handles all events due by then.
  void run(Duration Time);

  /// A job as its caller submits it.
  struct JobSetup {
    std::string Name;
    uint32_t Tasks = 1;
    Duration TaskTime{0};     ///< At speed 1.
    Duration DeclaredTime{0}; ///< The caller's estimate of it.
    Duration Patience = std::chrono::seconds(3);
    int64_t CpuMillis = 27000;
    std::string Requirement;
    size_t Route = 0; ///< Index in the configuration.
  };
  /// Submits a job to an instance; returns its number for `caller`.
  size_t submit(const Address &Entry, const JobSetup &Job);
  size_t submit(const Address &Entry, const std::string &Job, uint32_t Tasks,
                Duration TaskTime, Duration Patience = std::chrono::seconds(3),
                int64_t CpuMillis = 27000, const std::string &Requirement = "");
  const CallerRecord &caller(size_t Number) const { return Callers[Number]; }
  /// Cancels a job at an instance; returns the request's number for `caller`.
  size_t cancel(const Address &Entry, const std::string &Job);
  /// Asks an instance for a job's state, as `cancel`.
  size_t query(const Address &Entry, const std::string &Job);
  /// The caller closes its connection.
  void disconnectCaller(size_t Number);

  /// Kills a process; its connections break at once.
  void kill(const Address &Endpoint);
  /// Powers a machine off: it answers nothing, and its connections stay open.
  void powerOff(const Address &Endpoint);
  /// Starts a new process at the address of a stopped one.
  void restart(const Address &Endpoint);
  /// Pauses a process: it handles no event until `thaw`, which delivers the
  /// messages that have arrived meanwhile.
  void freeze(const Address &Endpoint);
  void thaw(const Address &Endpoint);
  /// Requests a planned shutdown, as SIGTERM does.
  void shutDown(const Address &Endpoint);
  /// Cuts the links between \p Group and all other addresses; `heal` restores
  /// them.
  void cut(const std::set<Address> &Group);
  void heal();
  /// Breaks the connection of a forwarded job at its entry instance. The sender
  /// is not informed, as if the packets to it were lost.
  void breakForwardAtEntry(const Address &Entry, const std::string &Job);
  /// Loses all that \p From sends to \p To. What \p To sends on open
  /// connections still arrives, so jobs do; pings do not, since a ping that got
  /// no answer closes its connection and no new one can be opened.
  void cutOneWay(const Address &From, const Address &To) {
    OneWayCuts.insert({From, To});
  }
  /// Makes the connections of forwarded jobs from \p Entry to \p Sender fall
  /// silent, those with open jobs and \p Idle others, which the next jobs are
  /// sent on: what is sent on them is lost, and their end is not noticed. New
  /// connections work, and so do pings.
  void silenceForwards(const Address &Entry, const Address &Sender,
                       size_t Idle = 0);
  /// If set, messages between instances that a cut stops arrive once it heals,
  /// like bytes that TCP sends again. Otherwise they are lost.
  void setCutsDelayMessages(bool Delay) { CutsDelayMessages = Delay; }

  /// Gives instances that start later the setting `FleetBounds::Evacuate`.
  void setEvacuationBound(std::optional<std::chrono::milliseconds> Bound) {
    EvacuationBound = Bound;
  }
  /// Writes or removes the key that requests a data centre's evacuation.
  void setEvacuated(const std::string &Centre, bool Evacuated);
  /// Cuts the instance off from the store alone.
  void cutFromStore(const Address &Endpoint) { StoreCuts.insert(Endpoint); }
  /// Makes the store forget its changes so far: watches from an earlier
  /// revision are answered as gone.
  void compactStore() { Compacted = Revision; }
  /// Returns the number of reads of the evacuations.
  size_t evacuationReads() const { return EvacuationReads; }

  void setStoreUp(bool Up) { StoreUp = Up; }
  /// Sets the time that the store takes for an answer.
  void setStoreTime(Duration Time) { StoreTime = Time; }
  UpstreamFaults &faults(const UpstreamId &Id) { return Upstreams[Id].Faults; }
  void setDraining(const UpstreamId &Id) { Upstreams[Id].Draining = true; }
  /// Breaks the connections of all renewals that await an answer.
  void resetConnections(const UpstreamId &Id);
  /// Replaces the upstream's process by a new one under the same id.
  void restartUpstream(const UpstreamId &Id);
  /// Returns the record of an upstream in the store, which may be changed. Its
  /// `Draining` has no effect, see `setDraining`.
  UpstreamRecord &record(const UpstreamId &Id) { return Upstreams[Id].Record; }
  /// Removes the record of an upstream from the store, or writes it anew. The
  /// upstream goes on serving.
  void setListed(const UpstreamId &Id, bool Listed) {
    Upstreams[Id].Listed = Listed;
  }
  /// Sets the processors of an upstream, in thousandths of a core.
  void setCapacity(const UpstreamId &Id, int64_t CpuMillis) {
    Upstreams[Id].Record.Capacity.CpuMillis = CpuMillis;
  }
  /// Sets the kind of an upstream's process.
  void setKind(const UpstreamId &Id, const std::string &Kind) {
    Upstreams[Id].Record.Kind = Kind;
  }
  /// Starts that brought an upstream over its capacity.
  const std::vector<RunRecord> &overloads() const { return Overloads; }
  /// Ends the upstream's process. Another one starts under the same id after
  /// \p DownTime.
  void crashUpstream(const UpstreamId &Id, Duration DownTime);
  /// Each run of the task crashes its upstream after \p RunTime.
  void setCrashing(const std::string &Job, uint32_t Index,
                   Duration RunTime = std::chrono::milliseconds(10)) {
    CrashingTasks[{{Job}, Index}] = RunTime;
  }
  /// Returns how often upstreams have crashed.
  size_t crashes() const { return Crashes; }
  void setConfiguration(FleetConfiguration To) {
    Configuration = std::move(To);
  }
  const FleetConfiguration &configuration() const { return Configuration; }

  SteadyTime now() const { return Now; }
  const FleetInstance &state(const Address &Endpoint) const {
    return Instances.at(Endpoint).State;
  }
  /// Returns the running instances that claim a cell.
  std::vector<Address> senders() const;
  const std::vector<RunRecord> &runs() const { return Runs; }
  /// Describes each pair of runs of one task that overlapped in time.
  std::vector<std::string> overlappingRuns() const;
  bool isAlive(const Address &Endpoint) const {
    return Instances.at(Endpoint).Alive;
  }
  /// Returns when the process last ended by itself or was killed.
  SteadyTime endedAt(const Address &Endpoint) const {
    return Instances.at(Endpoint).Ended;
  }
  /// Makes an instance answer open-job queries with an error, as those of
  /// earlier versions do.
  void setEarlierVersion(const Address &Endpoint) {
    EarlierVersions.insert(Endpoint);
  }
  /// Returns the number of open-job queries that were sent.
  size_t openJobQueries() const { return OpenJobQueries; }
  /// Returns the number of result queries that were sent.
  size_t resultQueries() const { return ResultQueries; }
  /// Returns the number of reads of the upstreams that an instance has made,
  /// without the stale ones.
  size_t upstreamReads(const Address &Endpoint) const {
    return Instances.at(Endpoint).UpstreamReads;
  }
  /// Returns the number of renewals that were sent to upstreams.
  size_t renewalsSent() const { return RenewalsSent; }
  /// Returns the numbers of ends that an upstream's process still lists.
  std::vector<uint64_t> listedEnds(const UpstreamId &Id) const;
  /// Returns the number of stops that were sent to upstreams.
  size_t stopsSent() const { return StopsSent; }
  /// Returns true if the machine is without power: connections to it stay open.
  bool isPoweredOff(const Address &Endpoint) const {
    return Instances.at(Endpoint).PoweredOff;
  }

private:
  struct Instance {
    FleetInstance State;
    std::string Name;
    InstanceRecord Record;
    bool Alive = false;
    bool Frozen = false;
    bool PoweredOff = false; ///< Without power: connections don't break.
    uint64_t StartCount = 0; ///< Processes started at the endpoint so far.
    SteadyTime Ended{};      ///< When a process last ended or was killed.
    /// Messages that have arrived while the process is frozen.
    std::vector<InstanceEventBody> WhileFrozen;
    /// Open jobs of peers: by request here, the entry and its request.
    std::map<RequestId, std::pair<Address, RequestId>> Received;
    /// Own forwards that await an answer, by request: the sender.
    std::map<RequestId, Address> Forwarded;
    /// Own forwards whose connection has fallen silent, by request.
    std::set<RequestId> SilentForwards;
    /// Idle connections that have fallen silent, by sender.
    std::map<Address, size_t> SilentIdle;
    /// Pings and queries of peers that have not been answered, by
    /// request: the peer.
    std::map<RequestId, Address> Pings;
    /// Numbers of the open-job queries among them.
    std::map<RequestId, uint64_t> QueryNumbers;
    uint64_t NextRequest = 1; ///< Of peers.
    size_t UpstreamReads = 0; ///< See `upstreamReads`.
  };
  struct Run {
    RunKey Key;
    Duration Work{0}; ///< Run time on this upstream.
    SteadyTime Started{};
    size_t Record = 0; ///< Index in `Runs`.
  };
  struct Upstream {
    UpstreamRecord Record;
    double Speed = 1;
    double ClockRate = 1;
    UpstreamFaults Faults;
    bool Draining = false;
    bool Listed = true;      ///< The store has its record.
    FencingToken Token;      ///< Highest token of an order.
    int64_t LeaseEndMs = 0;  ///< On the upstream's clock.
    SteadyTime ClockStart{}; ///< Zero of the upstream's clock.
    std::map<RunKey, Run> Running;
    /// Highest number of a run that ended or was stopped, by job, step and
    /// index of the task.
    std::map<std::tuple<JobId, uint32_t, uint32_t>, uint32_t> LastEnded;
    std::vector<EndReport> Ends; ///< Ends that were not acknowledged.
    uint64_t NextEnd = 1;        ///< `EndReport::Number` of the next end.
    /// Replies to renewals that wait for a run to end.
    std::vector<std::function<void()>> WaitingRenewals;
    /// Each ends a renewal as lost with its connection, unless it has ended.
    std::vector<std::function<void()>> OpenRenewals;
  };

  /// Has `run` execute \p Action at \p When, or now if that has passed.
  /// Transit time of a message.
  static constexpr Duration Hop = std::chrono::milliseconds(1);

  void schedule(SteadyTime When, std::function<void()> Action);
  /// Applies an event to an instance, unless its process has ended. A frozen
  /// process gets it when it resumes.
  void deliver(const Address &To, InstanceEventBody Event);
  void start(Instance &I);
  void execute(Instance &I, const InstanceEffects &Effects);
  void executeOne(Instance &I, const InstanceEffect &E);
  void sendPing(Instance &I, const SendPing &E);
  void forwardJob(Instance &I, const ForwardJob &E);
  void sendQuery(Instance &I, const SendResultQuery &E);
  void sendQuery(Instance &I, const SendOpenJobQuery &E);
  void abandonForward(const Address &From, const AbandonForward &E);
  /// Answers a watch of the evacuations once there are changes.
  void watchEvacuations(const Address &From, const WatchCollection &W,
                        SteadyTime End);
  void sendOrder(Instance &I, const StartRun &E);
  void sendOrder(Instance &I, const StopRun &E);
  void sendOrder(Instance &I, const RenewUpstream &E);
  /// Reports the end of a process's connections to its peers.
  void breakConnections(const Address &Endpoint);
  /// Returns true unless a cut separates the two addresses.
  bool areLinked(const Address &A, const Address &B) const;
  /// Delivers a message between instances; a cut delays or loses it.
  void sendMessage(const Address &From, const Address &To,
                   const std::function<void()> &Message);
  bool canReach(const Address &From, const Upstream &U) const;
  /// Returns the time on the upstream's clock, in milliseconds.
  int64_t clockOf(const Upstream &U) const;
  OrderStatus applyStart(Upstream &U, const StartRun &E);
  OrderStatus applyStop(Upstream &U, const StopRun &E);
  /// Delivers \p Answer of an order to \p Id that got none.
  void timeOutOrder(const Address &From, const UpstreamId &Id,
                    InstanceEventBody Answer);
  /// Returns true in the given share of the calls.
  bool occurs(double Share);
  /// Ends the upstream's runs with its process.
  void endProcess(Upstream &U);
  /// Answers a start in place of the upstream if another process of it is there
  /// than the one that the start is for. Returns true if it has.
  bool answerOtherProcess(const Address &From, const StartRun &E);
  void endRun(Upstream &U, const RunKey &Key, RunEnd Outcome);
  /// Ends the runs that are complete or whose lease has lapsed.
  void advanceUpstreams();
  UpstreamReport report(Upstream &U, const RenewUpstream &E);

  SteadyTime Now;
  std::multimap<SteadyTime, std::function<void()>> Events;
  std::map<Address, Instance> Instances;
  std::map<UpstreamId, Upstream> Upstreams;
  std::mt19937_64 Random{20261204}; ///< Used by `occurs` only.
  std::vector<CallerRecord> Callers;
  /// Index in `Callers` by entry instance and request.
  std::map<std::pair<Address, RequestId>, size_t> CallerByRequest;
  std::map<JobId, Duration> TaskTimes; ///< Run time at speed 1.
  std::map<JobId, int64_t> TaskCpu;    ///< Processors that a task needs.
  std::vector<RunRecord> Overloads;    ///< See `overloads`.
  /// Tasks that crash their upstreams, by job and index; see `setCrashing`.
  std::map<std::pair<JobId, uint32_t>, Duration> CrashingTasks;
  size_t Crashes = 0;
  size_t ResultQueries = 0;
  size_t OpenJobQueries = 0;
  std::set<Address> EarlierVersions; ///< See `setEarlierVersion`.
  size_t StopsSent = 0;
  size_t RenewalsSent = 0;
  std::vector<RunRecord> Runs;
  std::set<Address> CutGroup; ///< Cut off from all other addresses.
  /// Messages from the first address to the second one are lost.
  std::set<std::pair<Address, Address>> OneWayCuts;
  bool CutsDelayMessages = false;
  std::vector<std::function<void()>> DelayedMessages;
  FleetConfiguration Configuration;
  bool SeedsOnly = false; ///< See `setSeedsOnly`.
  FleetBounds Bounds;
  bool StoreUp = true;
  Duration StoreTime = std::chrono::milliseconds(4);
  uint64_t NextIncarnation = 1;
  uint64_t Revision = 1; ///< Of the store; rises with the evacuations only.
  std::optional<std::chrono::milliseconds> EvacuationBound;
  std::set<DataCentre> Evacuated;
  std::map<uint64_t, EvacuationChange> EvacuationChanges; ///< By revision.
  uint64_t Compacted = 0; ///< See `compactStore`.
  size_t EvacuationReads = 0;
  std::set<Address> StoreCuts; ///< See `cutFromStore`.
  int64_t NextPort = 1;
};

} // namespace snipeshunt::testing

#endif // SNIPESHUNT_TESTS_SUPPORT_CELL_WORLD_H
