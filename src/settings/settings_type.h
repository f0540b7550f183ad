/// \file Settings that a daemon of the ticket mode reads from its file when it
/// starts.
#ifndef SNIPESHUNT_SETTINGS_SETTINGS_TYPE_H
#define SNIPESHUNT_SETTINGS_SETTINGS_TYPE_H

#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Least severe messages that are logged.
enum class LogLevel { Error, Warning, Info, Debug };

/// Another instance to contact from the start, before any heartbeat from it.
struct PeerSettings {
  Address Endpoint;  ///< Address that it advertises.
  DataCentre Centre; ///< Data centre it runs in.
};

/// An upstream that need not be in the platform's list.
struct UpstreamSettings {
  Address Endpoint;         ///< Address that it listens on.
  DataCentre Centre;        ///< Data centre it runs in.
  int64_t Slots = 8;        ///< Tasks that it runs at the same time.
  int64_t Accelerators = 0; ///< Accelerators that it has.
};

/// Bounds on memory, messages and time of one instance.
struct DaemonLimits {
  using Milliseconds = std::chrono::milliseconds;

  /// Largest number of tasks that wait on this instance.
  int64_t QueueLimitTasks = 20000;
  /// Time until a ticket expires. Ended jobs are remembered for as long.
  Milliseconds TicketLifetime{600000};
  /// Largest number of used tickets whose records are kept. Beyond it, the
  /// oldest tickets expire before their lifetime has passed.
  int64_t MaxUsedTickets = 393216;
  /// Largest number of tasks in one job.
  int64_t MaxTasksPerJob = 200;
  /// Largest size of a request body.
  int64_t MaxBodyBytes = 1048576;
  /// Largest total size of the payloads of running jobs.
  int64_t MaxPayloadBytes = 33554432;
  /// Largest size of the answer to one job.
  int64_t MaxAnswerBytes = 8388608;
  /// Largest total size of retained answers.
  int64_t RetainedAnswerBytes = 67108864;
  /// Period of heartbeats to each peer.
  Milliseconds HeartbeatInterval{500};
  /// Time without a heartbeat after which a peer is suspected.
  Milliseconds SuspectAfter{1500};
  /// Time without a heartbeat after which a peer counts as failed.
  Milliseconds DeadAfter{3000};
  /// Period of status queries to an upstream.
  Milliseconds StatusPollInterval{500};
  /// Age up to which the status of an upstream is used.
  Milliseconds StatusMaxAge{2000};
  /// Time without work after which draining ends.
  Milliseconds DrainIdleTime{1000};
  /// Time after which draining ends in any case.
  Milliseconds DrainLimit{60000};
  /// Number of events that the timeline holds.
  int64_t TimelineEvents = 65536;
};

/// Contents of the settings file of a daemon of the ticket mode.
struct DaemonSettings {
  Address Listen;       ///< Address to listen on.
  Address Advertise;    ///< Address that other processes connect to.
  DataCentre Centre;    ///< Data centre of this instance.
  std::string FleetKey; ///< HMAC key of tickets, shared by the fleet.
  std::vector<PeerSettings> Peers; ///< Instances to contact from the start.
  std::optional<Address> Platform; ///< Address of the platform's service.
  /// Upstreams in addition to the platform's list.
  std::vector<UpstreamSettings> Upstreams;
  DaemonLimits Limits;             ///< Limits of this instance.
  LogLevel Level = LogLevel::Info; ///< Least severe messages logged.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_SETTINGS_TYPE_H
