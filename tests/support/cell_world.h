/// \file Instances, upstreams and the store in one process on a fake clock.
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

/// What a stand-in upstream does wrong.
struct UpstreamFaults {
  bool Unreachable = false; ///< No message passes in either direction.
  bool Stalls = false;      ///< Runs make no progress.
  bool FailsAll = false;    ///< Runs end as failed at once.
  int LostRenewals = 0;     ///< So many renewals get no answer.
  /// Starts get no answer and are carried out after this time.
  std::optional<Duration> StartDelay;
};

/// A run as a stand-in upstream has carried it out.
struct RunRecord {
  RunKey Key;
  UpstreamId Upstream;
  SteadyTime Started;
  SteadyTime Ended; ///< End of the world while it runs.
  bool Done = false;
};

/// An answer that a caller got.
struct CallerRecord {
  SteadyTime Sent;
  std::optional<AnswerCaller> Answer;
  SteadyTime Answered;
};

/// A whole fleet whose messages take fixed times, for tests of decisions.
class CellWorld {
public:
  struct UpstreamSetup {
    std::string Name;
    std::string Centre = "centre-a";
    int64_t CpuMillis = 64000;
    double Speed = 1;
  };

  CellWorld();

  /// Adds an instance and starts it.
  Address addInstance(const std::string &Name, const std::string &Centre,
                      double Weight = 0.25);
  UpstreamId addUpstream(const UpstreamSetup &Setup);

  /// Later instances know the first one, and the store names none that started
  /// within the same moment.
  void setSeedsOnly(bool Only) { SeedsOnly = Only; }

  /// Lets time pass.
  void run(Duration Time);

  /// Submits a job to an instance; gives the number of its record.
  size_t submit(const Address &Entry, const std::string &Job, uint32_t Tasks,
                Duration TaskTime, Duration Patience = std::chrono::seconds(3),
                int64_t CpuMillis = 27000);
  const CallerRecord &caller(size_t Number) const { return Callers[Number]; }
  /// The caller closes its connection.
  void disconnectCaller(size_t Number);

  /// Ends a process; its connections break at once.
  void kill(const Address &Endpoint);
  /// A machine without power answers nothing, and nobody is told.
  void powerOff(const Address &Endpoint);
  /// Starts a new process at an address.
  void restart(const Address &Endpoint);
  void freeze(const Address &Endpoint);
  void thaw(const Address &Endpoint);
  void shutDown(const Address &Endpoint);
  /// Cuts or heals the links between two groups of addresses.
  void cut(const std::set<Address> &Group);
  void heal();
  /// What instances send each other through a cut arrives when it heals, as
  /// bytes do that are sent again; without, it is lost.
  void setCutsDelayMessages(bool Delay) { CutsDelayMessages = Delay; }

  void setStoreUp(bool Up) { StoreUp = Up; }
  /// Time that the store takes for an answer.
  void setStoreTime(Duration Time) { StoreTime = Time; }
  UpstreamFaults &faults(const UpstreamId &Id) { return Upstreams[Id].Faults; }
  void setDraining(const UpstreamId &Id) { Upstreams[Id].Draining = true; }
  /// The upstream's process is replaced by a new one under the same id.
  void restartUpstream(const UpstreamId &Id);
  void setConfiguration(FleetConfiguration To) {
    Configuration = std::move(To);
  }

  SteadyTime now() const { return Now; }
  const FleetInstance &state(const Address &Endpoint) const {
    return Instances.at(Endpoint).State;
  }
  /// Instances that claim a cell.
  std::vector<Address> senders() const;
  const std::vector<RunRecord> &runs() const { return Runs; }
  /// Pairs of runs of one task that overlapped in time.
  std::vector<std::string> overlappingRuns() const;
  bool isAlive(const Address &Endpoint) const {
    return Instances.at(Endpoint).Alive;
  }
  /// Without power: callers are not told that it is gone.
  /// When the process last ended by itself or was killed.
  SteadyTime endedAt(const Address &Endpoint) const {
    return Instances.at(Endpoint).Ended;
  }
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
    uint64_t StartCount = 0;
    SteadyTime Ended{};
    std::vector<InstanceEventBody> WhileFrozen;
    /// Jobs received from peers: request to entry and forward.
    std::map<RequestId, std::pair<Address, RequestId>> Received;
    /// Forwards that wait for a peer.
    std::map<RequestId, Address> Forwarded;
    std::map<RequestId, Address> Pings;
    uint64_t NextRequest = 1;
  };
  struct Run {
    RunKey Key;
    Duration Work{0};
    SteadyTime Started{};
    size_t Record = 0;
  };
  struct Upstream {
    UpstreamRecord Record;
    double Speed = 1;
    UpstreamFaults Faults;
    bool Draining = false;
    FencingToken Token;
    int64_t LeaseEndMs = 0;
    SteadyTime ClockStart{};
    std::map<RunKey, Run> Running;
    std::map<std::tuple<JobId, uint32_t, uint32_t>, uint32_t> LastEnded;
    std::vector<EndReport> Ends;
    uint64_t NextEnd = 1;
    /// Renewals that wait for an end.
    std::vector<std::function<void()>> WaitingRenewals;
  };

  void schedule(SteadyTime When, std::function<void()> Action);
  void deliver(const Address &To, InstanceEventBody Event);
  void start(Instance &I);
  void execute(Instance &I, const InstanceEffects &Effects);
  void executeOne(Instance &I, const InstanceEffect &E);
  void sendPing(Instance &I, const SendPing &E);
  void forwardJob(Instance &I, const ForwardJob &E);
  void sendOrder(Instance &I, const StartRun &E);
  void sendOrder(Instance &I, const StopRun &E);
  void sendOrder(Instance &I, const RenewUpstream &E);
  void breakConnections(const Address &Endpoint);
  bool areLinked(const Address &A, const Address &B) const;
  /// Delivers a message between instances, or has the cut hold or lose it.
  void sendMessage(const Address &From, const Address &To,
                   const std::function<void()> &Message);
  bool canReach(const Address &From, const Upstream &U) const;
  int64_t clockOf(const Upstream &U) const;
  OrderStatus applyStart(Upstream &U, const StartRun &E);
  void endRun(Upstream &U, const RunKey &Key, RunEnd Outcome);
  void advanceUpstreams();
  UpstreamReport report(Upstream &U, const RenewUpstream &E);

  SteadyTime Now;
  std::multimap<SteadyTime, std::function<void()>> Events;
  std::map<Address, Instance> Instances;
  std::map<UpstreamId, Upstream> Upstreams;
  std::vector<CallerRecord> Callers;
  std::map<std::pair<Address, RequestId>, size_t> CallerByRequest;
  std::map<JobId, Duration> TaskTimes;
  std::vector<RunRecord> Runs;
  std::set<Address> CutGroup;
  bool CutsDelayMessages = false;
  std::vector<std::function<void()>> DelayedMessages;
  FleetConfiguration Configuration;
  bool SeedsOnly = false;
  bool StoreUp = true;
  Duration StoreTime = std::chrono::milliseconds(4);
  uint64_t NextIncarnation = 1;
  uint64_t Revision = 1;
  int64_t NextPort = 1;
};

} // namespace snipeshunt::testing

#endif // SNIPESHUNT_TESTS_SUPPORT_CELL_WORLD_H
