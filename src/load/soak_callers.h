/// \file Callers of a soak test, each with its own seed and thread.
#ifndef SNIPESHUNT_LOAD_SOAK_CALLERS_H
#define SNIPESHUNT_LOAD_SOAK_CALLERS_H

#include "fleet/fleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace snipeshunt {

/// Submits jobs in random scenarios to random instances until stopped, and can
/// then submit the latest jobs once more.
class SoakCallers {
public:
  /// Starts \p Count threads that submit jobs to \p Target, which must outlive
  /// them.
  SoakCallers(const Fleet &Target, size_t Count, uint64_t Seed);
  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;
  ~SoakCallers();

  /// Stops the callers after each has finished its job.
  void stop();
  /// Resubmits the latest jobs of each caller, which must get the same answers
  /// as before; to be called after stop() and after the faults are healed.
  void audit();
  /// Returns the paths of the callers' histories.
  const std::vector<std::string> &files() const { return Files; }
  /// Returns one line with the number of answers by outcome.
  std::string report() const;

private:
  struct Caller;

  const Fleet &F;
  std::vector<std::unique_ptr<Caller>> All;
  std::vector<std::string> Files;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopping{false};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_LOAD_SOAK_CALLERS_H
