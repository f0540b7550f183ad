/// \file Callers of a soak test, each with its own seed and thread.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_CALLERS_H
#define SNIPESHUNT_SOAK_CELL_SOAK_CALLERS_H

#include "standins/cell_fleet.h"

#include <atomic>
#include <thread>

namespace snipeshunt {

/// One submission of a job.
struct SoakAttempt {
  std::string Job;           ///< Id of the job; the same for its resubmissions.
  size_t Instance = 0;       ///< Instance to which it was sent.
  int Tasks = 0;             ///< Tasks in the job.
  SteadyTime Sent{};         ///< When the request was sent.
  SteadyTime Ended{};        ///< When it was answered, failed or timed out.
  int Status = 0;            ///< HTTP status; 0 without an answer.
  std::string Body;          ///< Of the answer, or why there was none.
  bool NothingSent = false;  ///< No process accepted the connection.
  bool Disconnected = false; ///< The caller closed the connection early.
};

/// Submits jobs to random instances until stopped. A job whose answer was lost
/// is submitted again to a random instance. Connections are reused.
class CellSoakCallers {
public:
  /// Starts \p Count threads that submit jobs to \p Target, which must outlive
  /// them.
  CellSoakCallers(const CellFleet &Target, size_t Count, uint64_t Seed);
  CellSoakCallers(const CellSoakCallers &) = delete;
  CellSoakCallers &operator=(const CellSoakCallers &) = delete;
  ~CellSoakCallers();

  /// Stops the callers after their open submissions have ended.
  void stop();
  /// Returns the submissions of all callers; to be called after stop().
  std::vector<SoakAttempt> attempts() const;

private:
  class Caller;

  std::vector<std::unique_ptr<Caller>> All;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopping{false};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_CALLERS_H
