/// \file Reading and watching the configuration in the platform's service.
#ifndef SNIPESHUNT_DAEMON_CONFIGURATION_WATCH_H
#define SNIPESHUNT_DAEMON_CONFIGURATION_WATCH_H

#include "configuration/etcd_type.h"
#include "daemon/daemon.h"

#include <string>
#include <string_view>

namespace snipeshunt {

/// Reads the document and then watches it while the reducer asks for it, and
/// observes whether the platform's service answers this instance.
class ConfigurationWatch {
public:
  ConfigurationWatch(Daemon &Owner, HttpClient &Client);

  void enable(bool On);
  /// Reads the document once, because another call has failed.
  void verifyPlatform();

private:
  void read();
  void handleRead(const HttpOutcome &Outcome);
  void watch();
  void handleChunk(std::string_view Chunk);
  void handleWatchEnd(const HttpOutcome &Outcome);
  bool applyEvents(std::string_view Line);
  void applyDocument(Revision Number, std::string Text);
  void reportDeleted();
  void retryLater(const std::string &Reason);
  Duration jitter(int64_t MaxMs);
  void recordReachability(bool Reachable);

  Daemon &Owner;
  HttpClient &Client;
  bool Enabled = false;
  bool Pending = false; ///< A read or a watch is open.
  Revision Next;        ///< First revision that has not been seen.
  Revision
      ReportedOlderRevision; ///< Revision below that in force, once logged.
  bool Deleted = false;      ///< The key was missing when last seen.
  std::string PartialLine;   ///< Start of a line of the watch's reply.
  bool WatchEnded = false;   ///< The service ended the watch by a message.
  Revision WatchedFrom;      ///< First revision that the watch asked for.
  SteadyTime WatchStarted{};
  uint32_t Failures = 0;  ///< Consecutive failed reads or watches.
  std::mt19937_64 Random; ///< For jitter.
  Timer RetryTimer;
  Timer
      UnansweredTimer; ///< Runs from the start of a call that is not answered.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_CONFIGURATION_WATCH_H
