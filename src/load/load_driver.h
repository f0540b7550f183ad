/// \file Open-loop load generator on one event loop.
#ifndef SNIPESHUNT_LOAD_LOAD_DRIVER_H
#define SNIPESHUNT_LOAD_LOAD_DRIVER_H

#include "http/http_client.h"
#include "load/load_type.h"

#include <deque>
#include <random>

namespace snipeshunt {

/// Open-loop load generator: sends jobs at random times, a Poisson process,
/// whether or not earlier ones have been answered.
class LoadDriver {
public:
  /// \p Targets are the instances. \p InstanceIds are the ids of their
  /// processes; empty if they run elsewhere. \p Options must outlive this
  /// object.
  LoadDriver(const LoadOptions &Options, std::vector<Address> Targets,
             std::vector<pid_t> InstanceIds);

  /// Sends the load and blocks until the grace time has ended; to be called
  /// once.
  LoadResult run();

private:
  /// A job that is due to be sent.
  struct DueJob {
    SteadyTime Due;        ///< When it should be sent.
    std::string Body;      ///< Of the submission.
    double LongestMs = 0;  ///< Run time of its longest task, fastest upstream.
    bool Measured = false; ///< Due in the measured time.
  };
  /// One instance and the tickets that it has issued.
  struct Home {
    Address Endpoint;
    std::deque<std::string> Tickets; ///< Not used yet.
    std::deque<DueJob> Waiting;      ///< Jobs without a ticket yet.
    bool TicketsRequested = false;
  };

  /// Sends all jobs that are due and sets the timer for the next one.
  void sendDue();
  /// Sets the timer for the first job.
  void schedule();
  DueJob makeJob(SteadyTime Due);
  double drawRunMs();
  /// Requests a batch of tickets unless enough are left or requested.
  void requestTickets(size_t HomeIndex);
  /// Submits \p Job with a ticket of its home, to the home or, for the
  /// forwarded share, to the next instance.
  void submit(size_t HomeIndex, DueJob Job);
  void finish(const HttpOutcome &Outcome, const DueJob &Job, SteadyTime Sent);
  /// Reads the use of the processes and requests the instances' metrics.
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
  uint64_t OpenMeasured = 0; ///< Of these, jobs due in the measured time.
  size_t SnapshotsOpen = 0;  ///< Requests for metrics without an answer.
  bool Sending = true;
  Timer SendTimer;   ///< Due time of the next job.
  Timer BeforeTimer; ///< Start of the measured time.
  Timer AfterTimer;  ///< End of the measured time.
  Timer GraceTimer;  ///< End of the wait for answers.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_LOAD_DRIVER_H
