/// \file Open-loop callers on one event loop.
#ifndef SNIPESHUNT_LOAD_LOAD_DRIVER_H
#define SNIPESHUNT_LOAD_LOAD_DRIVER_H

#include "http/http_client.h"
#include "load/load_type.h"

#include <deque>
#include <random>

namespace snipeshunt {

/// Sends jobs at times that do not depend on the answers.
class LoadDriver {
public:
  /// \p InstanceIds are the instances' processes, if they are children.
  LoadDriver(const LoadOptions &Options, std::vector<Address> Targets,
             std::vector<pid_t> InstanceIds);

  LoadResult run();

private:
  /// A job whose time has come.
  struct DueJob {
    SteadyTime Due;
    std::string Body;
    double LongestMs = 0;
    bool Measured = false;
  };
  /// One instance and the tickets that it has issued.
  struct Home {
    Address Endpoint;
    std::deque<std::string> Tickets;
    std::deque<DueJob> Waiting; ///< Jobs without a ticket yet.
    bool TicketsRequested = false;
  };

  void sendDue();
  void schedule();
  DueJob makeJob(SteadyTime Due);
  double drawRunMs();
  void requestTickets(size_t HomeIndex);
  void submit(size_t HomeIndex, DueJob Job);
  void finish(const HttpOutcome &Outcome, const DueJob &Job, SteadyTime Sent);
  void takeSnapshot(Snapshot &Out);
  void endSending();
  void stopIfIdle();

  const LoadOptions &Options;
  std::vector<Home> Homes;
  std::vector<pid_t> InstanceIds;
  EventLoop Loop;
  HttpClient Client;
  std::mt19937_64 Random;
  LoadResult Measurements;
  SteadyTime Start{};
  SteadyTime NextDue{};
  uint64_t JobsCreated = 0;
  uint64_t Open = 0;         ///< Jobs without an answer.
  uint64_t OpenMeasured = 0; ///< Of these, jobs of the measured time.
  size_t SnapshotsOpen = 0;
  bool Sending = true;
  Timer SendTimer;
  Timer BeforeTimer;
  Timer AfterTimer;
  Timer GraceTimer;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_LOAD_DRIVER_H
