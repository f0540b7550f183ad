/// \file Log lines on connections and requests that limits have ended.
#include "runtime/limit_log.h"

#include "daemon/log.h"

#include <chrono>

namespace snipeshunt {

namespace {

constexpr std::chrono::milliseconds LogPeriod{5000};

uint64_t endedByLimits(const ConnectionTable &Table) {
  const ConnectionCounts &C = Table.counts();
  return C.HeaderTimeouts + C.OutOfRoom + C.OutOfMemory + C.Rejected;
}

void logLimited(const char *Group, const ConnectionTable &Table) {
  const ConnectionCounts &C = Table.counts();
  SNIPESHUNT_LOG(WARNING, "instance")
      << Group << " limited connections=" << Table.connections()
      << " buffered_bytes=" << Table.bytes()
      << " closed_header_timeout=" << C.HeaderTimeouts
      << " closed_connection_limit=" << C.OutOfRoom
      << " closed_memory_limit=" << C.OutOfMemory
      << " rejected_memory_limit=" << C.Rejected;
}

} // namespace

LimitLog::LimitLog(EventLoop &Loop, const ConnectionTable &Clients,
                   const ConnectionTable &Peers)
    : Clients(Clients), Peers(Peers), CheckTimer(Loop, [this] { check(); }) {
  CheckTimer.startPeriodic(LogPeriod);
}

void LimitLog::check() {
  uint64_t Ended = endedByLimits(Clients) + endedByLimits(Peers);
  if (Ended == LoggedCount)
    return;
  LoggedCount = Ended;
  logLimited("clients", Clients);
  logLimited("peers", Peers);
}

} // namespace snipeshunt
