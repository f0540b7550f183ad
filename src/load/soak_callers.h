/// \file Callers of a soak run, each with its own seed and thread.
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

/// Submits jobs until stopped, then asks once more for its last jobs.
class SoakCallers {
public:
  SoakCallers(const Fleet &Target, size_t Count, uint64_t Seed);
  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;
  ~SoakCallers();

  /// Lets each caller end its job and waits for all.
  void stop();
  /// Resubmits the last tickets of each caller, which must get the same
  /// answers as before; to be called after the faults have been healed.
  void audit();
  const std::vector<std::string> &files() const { return Files; }
  /// Answers by outcome.
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
