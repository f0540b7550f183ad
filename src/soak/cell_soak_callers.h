/// \file Callers of a soak run, each with its own seed and thread.
#ifndef SNIPESHUNT_SOAK_CELL_SOAK_CALLERS_H
#define SNIPESHUNT_SOAK_CELL_SOAK_CALLERS_H

#include "standins/cell_fleet.h"

#include <atomic>
#include <thread>

namespace snipeshunt {

/// One submission of a job.
struct SoakAttempt {
  std::string Job;
  size_t Instance = 0;
  int Tasks = 0;
  SteadyTime Sent{};
  SteadyTime Ended{};
  int Status = 0; ///< 0 without an answer.
  std::string Body;
  bool NothingSent = false;  ///< No process accepted the connection.
  bool Disconnected = false; ///< The caller closed the connection early.
};

/// Submits jobs until it is stopped; after a lost answer the same job again,
/// at any instance. Connections are kept open and used again.
class CellSoakCallers {
public:
  CellSoakCallers(const CellFleet &Target, size_t Count, uint64_t Seed);
  CellSoakCallers(const CellSoakCallers &) = delete;
  CellSoakCallers &operator=(const CellSoakCallers &) = delete;
  ~CellSoakCallers();

  /// Waits for the open submissions.
  void stop();
  /// Of all callers, once they have stopped.
  std::vector<SoakAttempt> attempts() const;

private:
  class Caller;

  std::vector<std::unique_ptr<Caller>> All;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopping{false};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_CELL_SOAK_CALLERS_H
