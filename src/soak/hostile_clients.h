/// \file Clients of a soak test that send what no well-behaved client sends.
#ifndef SNIPESHUNT_SOAK_HOSTILE_CLIENTS_H
#define SNIPESHUNT_SOAK_HOSTILE_CLIENTS_H

#include "standins/cell_fleet.h"

#include <atomic>
#include <memory>
#include <string_view>
#include <thread>
#include <vector>

namespace snipeshunt {

/// First digits of the ids of these clients' jobs.
inline constexpr std::string_view HostileIdPrefix = "eeee";
/// Processors that a task of such a job needs, in thousandths of a core.
constexpr int HostileTaskCpuMillis = 1;

/// Threads that attack random ports of random instances until stopped. All that
/// they do follows from the seed; how far they get does not.
class HostileClients {
public:
  /// Starts \p Count threads. \p Target must outlive them.
  HostileClients(const CellFleet &Target, size_t Count, uint64_t Seed);
  HostileClients(const HostileClients &) = delete;
  HostileClients &operator=(const HostileClients &) = delete;
  ~HostileClients();

  /// Stops the clients and closes their connections.
  void stop();
  /// Returns one line with the number of attacks of each kind.
  std::string report() const;

private:
  class Client;

  std::vector<std::unique_ptr<Client>> All;
  std::vector<std::thread> Threads;
  std::atomic<bool> Stopping{false};
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SOAK_HOSTILE_CLIENTS_H
