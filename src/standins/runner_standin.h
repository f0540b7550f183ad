/// \file A stand-in for one runner of the users' platform.
#ifndef SNIPESHUNT_STANDINS_RUNNER_STANDIN_H
#define SNIPESHUNT_STANDINS_RUNNER_STANDIN_H

#include "standins/standin_func.h"

#include <sigc++/sigc++.h>

#include <map>
#include <string>
#include <vector>

namespace snipeshunt {

/// Starts, holds and stops tasks as the platform's runners do. The spec of a
/// job says how long its tasks work: `work_ms=120`. Writes each start and end
/// to standard output, one line each.
class RunnerStandin {
public:
  RunnerStandin(EventLoop &Loop, std::string Id, std::string Centre);

  /// Listens on a free port of \p Ip. False on failure.
  bool listen(const std::string &Ip);
  const Address &endpoint() const { return Endpoint; }
  /// Registers another address than that which it listens on.
  void announce(const Address &Other) { Announced = Other; }
  /// Ends the runs whose work or lease is over.
  void advance();
  /// Emitted before each request is handled.
  sigc::signal<void()> BeforeRequest;
  /// What the runner registers in the store.
  std::string registration(uint64_t Sequence) const;
  const std::string &id() const { return Id; }

private:
  struct Run {
    uint32_t Number = 0;
    SteadyTime StartTime;
    Duration Work{0};
  };
  struct End {
    uint64_t Number = 0;
    std::string Task;
    uint32_t Run = 0;
    std::string Outcome;
  };
  struct PendingHold {
    RequestId Request;
    SteadyTime Deadline;
  };

  void receive(const HttpRequest &Request);
  HttpReply start(const Json::Value &Body);
  HttpReply stop(const Json::Value &Body);
  void hold(RequestId Request, const Json::Value &Body);
  bool isFenced(const Json::Value &Body);
  void extendLease(const Json::Value &Body);
  void end(const std::string &Task, const char *Outcome);
  HttpReply reportRuns() const;
  int64_t clockMs() const;

  std::string Id;
  std::string Centre;
  Address Endpoint;
  Address Announced; ///< Empty for `Endpoint`.
  HttpServer Server;
  Timer AdvanceTimer;
  SteadyTime ClockStart;
  int64_t StartedAt;
  uint64_t FencingToken = 0;
  int64_t LeaseEnd = 0;
  std::map<std::string, Run> Running;
  std::map<std::string, uint32_t> LastEnded;
  std::vector<End> Ends;
  uint64_t NextEnd = 1;
  std::vector<PendingHold> PendingHolds;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_STANDINS_RUNNER_STANDIN_H
