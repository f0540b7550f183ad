/// \file Log lines on connections and requests that limits have ended.
#ifndef SNIPESHUNT_RUNTIME_LIMIT_LOG_H
#define SNIPESHUNT_RUNTIME_LIMIT_LOG_H

#include "http/connection_table.h"

namespace snipeshunt {

/// Logs at intervals what the limits on connections have ended since.
class LimitLog {
public:
  LimitLog(EventLoop &Loop, const ConnectionTable &Clients,
           const ConnectionTable &Peers);

private:
  void check();

  const ConnectionTable &Clients;
  const ConnectionTable &Peers;
  uint64_t LoggedCount = 0; ///< Ended before the last log line.
  Timer CheckTimer;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_LIMIT_LOG_H
