/// \file Settings that a daemon reads from its file when it starts.
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

/// Another instance, known before any heartbeat.
struct PeerSettings {
  Address Endpoint;  ///< Address it advertises.
  DataCentre Centre; ///< Data centre it runs in.
};

/// An upstream, known without the platform's list.
struct UpstreamSettings {
  Address Endpoint;         ///< Address it listens on.
  DataCentre Centre;        ///< Data centre it runs in.
  int64_t Slots = 8;        ///< Tasks it runs at the same time.
  int64_t Accelerators = 0; ///< Accelerators it has.
};

/// Bounds on memory, messages and time of one instance.
struct DaemonLimits {
  using Milliseconds = std::chrono::milliseconds;

  int64_t QueueLimitTasks = 20000;        ///< Tasks that may wait.
  Milliseconds TicketLifetime{600000};    ///< How long a used ticket is known.
  int64_t MaxTasksPerJob = 200;           ///< Tasks in one job.
  int64_t MaxBodyBytes = 1048576;         ///< Size of a request body.
  int64_t MaxAnswerBytes = 8388608;       ///< Size of one answer.
  int64_t RetainedAnswerBytes = 67108864; ///< Total size of retained answers.
  Milliseconds HeartbeatInterval{500};    ///< Pause between heartbeats.
  Milliseconds SuspectAfter{1500}; ///< Silence after which a peer is suspected.
  Milliseconds DeadAfter{3000};    ///< Silence after which a peer is dead.
  Milliseconds StatusPollInterval{
      500};                         ///< Pause between queries of an upstream.
  Milliseconds StatusMaxAge{2000};  ///< Age up to which a status is trusted.
  Milliseconds DrainIdleTime{1000}; ///< Time without a job that ends draining.
  Milliseconds DrainLimit{60000};   ///< Longest time spent draining.
  int64_t TimelineEvents = 65536;   ///< Events kept in the timeline.
};

/// Everything a daemon's settings file says.
struct DaemonSettings {
  Address Listen;                  ///< Address to accept connections on.
  Address Advertise;               ///< Address given to others.
  DataCentre Centre;               ///< Data centre of this instance.
  std::string FleetKey;            ///< HMAC key shared by the fleet.
  std::vector<PeerSettings> Peers; ///< Instances known from the start.
  std::optional<Address> Platform; ///< The platform's service, if any.
  std::vector<UpstreamSettings> Upstreams; ///< Besides the platform's list.
  DaemonLimits Limits;                     ///< Bounds of this instance.
  LogLevel Level = LogLevel::Info;         ///< Least severe messages logged.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_SETTINGS_TYPE_H
