/// \file Stand-in for a runner of the users' platform, an upstream of a cell.
#ifndef SNIPESHUNT_STANDINS_RUNNER_STANDIN_H
#define SNIPESHUNT_STANDINS_RUNNER_STANDIN_H

#include "standins/standin_func.h"

#include <sigc++/sigc++.h>

#include <map>
#include <string>
#include <vector>

namespace snipeshunt {

/// Starts and stops runs of tasks and reports them, with the protocol of the
/// platform's runners. A run lasts as long as the job's spec requests, such as
/// `work_ms=120`, by default 20 ms. Prints each start and end to standard
/// output, one line each: `start TASK RUN RUNNER at=US` and `end TASK RUN
/// RUNNER HOW at=US`.
class RunnerStandin {
public:
  /// \p Id is the runner's id in the store, \p Centre its data centre.
  RunnerStandin(EventLoop &Loop, std::string Id, std::string Centre);

  /// Listens on a free port of \p Ip. Returns false on failure.
  bool listen(const std::string &Ip);
  /// Address on which the runner listens.
  const Address &endpoint() const { return Endpoint; }
  /// Sets the address that is registered instead of `endpoint()`.
  void announce(const Address &Other) { Announced = Other; }
  /// Ends the runs that are done, and all runs once the sender's lease has
  /// expired; answers the held requests that are due. Called every 2 ms and
  /// before each request.
  void advance();
  /// Emitted before each request is handled, so that all runners can first end
  /// their expired runs.
  sigc::signal<void()> BeforeRequest;
  /// Returns the runner's record for the store. \p Sequence increases with each
  /// registration.
  std::string registration(uint64_t Sequence) const;
  const std::string &id() const { return Id; }

private:
  /// A run in progress.
  struct Run {
    uint32_t Number = 0;
    SteadyTime StartTime;
    Duration Work{0}; ///< Time after which the run is done.
  };
  /// An ended run that the sender has not acknowledged yet.
  struct End {
    uint64_t Number = 0; ///< Sequence number, for the acknowledgement.
    std::string Task;
    uint32_t Run = 0;    ///< Number of the run.
    std::string Outcome; ///< `done`, `stopped` or `lapsed`.
  };
  /// A request `/snipeshunt/hold` that is held until a run ends.
  struct PendingHold {
    RequestId Request;
    SteadyTime Deadline; ///< Answered at this time without an end.
  };

  void receive(const HttpRequest &Request);
  HttpReply start(const Json::Value &Body);
  HttpReply stop(const Json::Value &Body);
  /// Extends the lease and discards the acknowledged ends. Answers at once if
  /// there are other ends or the request does not wait; otherwise holds it.
  void hold(RequestId Request, const Json::Value &Body);
  /// Returns true if the request's fencing token is lower than the highest
  /// received so far; otherwise keeps the token as the highest.
  bool isFenced(const Json::Value &Body);
  /// Moves the end of the sender's lease to the request's `deadline_ms`, at
  /// most 1 s from now and never back.
  void extendLease(const Json::Value &Body);
  /// Ends the run of \p Task and records its end.
  void end(const std::string &Task, const char *Outcome);
  /// Returns the reply that lists the runs in progress and the ends.
  HttpReply reportRuns() const;
  /// Returns the time on the runner's own clock, which runs 2 % slow, in ms.
  int64_t clockMs() const;

  std::string Id;
  std::string Centre;
  Address Endpoint;  ///< Listening address.
  Address Announced; ///< Address to register; empty: `Endpoint`.
  HttpServer Server;
  Timer AdvanceTimer;
  SteadyTime ClockStart;     ///< Zero of the runner's own clock.
  int64_t StartedAt;         ///< Start of the process, Unix time in ms.
  uint64_t FencingToken = 0; ///< Highest token received.
  int64_t LeaseEnd = 0;      ///< On the runner's own clock, in ms.
  std::map<std::string, Run> Running; ///< By task.
  /// Highest run number by task that has ended or was stopped. Starts up to it
  /// are rejected.
  std::map<std::string, uint32_t> LastEnded;
  std::vector<End> Ends; ///< In the order of their numbers.
  uint64_t NextEnd = 1;
  std::vector<PendingHold> PendingHolds;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_RUNNER_STANDIN_H
