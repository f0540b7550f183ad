/// \file Reads and watches the configuration in the platform's service.
#ifndef SNIPESHUNT_DAEMON_CONFIGURATION_WATCH_H
#define SNIPESHUNT_DAEMON_CONFIGURATION_WATCH_H

#include "configuration/etcd_type.h"
#include "daemon/daemon.h"

#include <string>
#include <string_view>

namespace snipeshunt {

/// While enabled, reads the configuration document and then watches it for
/// changes; each document received is dispatched to the reducer. Also reports
/// to the reducer whether the platform's service answers this instance.
class ConfigurationWatch {
public:
  ConfigurationWatch(Daemon &Owner, HttpClient &Client);

  /// Called when the reducer selects this instance as the watcher of its data
  /// centre, or another one. A watch that is open ends by itself.
  void enable(bool On);
  /// Reads the document once to determine whether the platform is reachable.
  /// Called when another call to the platform has failed.
  void verifyPlatform();

private:
  void read();
  void handleRead(const HttpOutcome &Outcome);
  void watch();
  void handleChunk(std::string_view Chunk);
  void handleWatchEnd(const HttpOutcome &Outcome);
  /// Applies the events of one message of the watch. Returns false if the
  /// message is malformed or ends the watch.
  bool applyEvents(std::string_view Line);
  void applyDocument(Revision Number, std::string Text);
  void reportDeleted();
  void retryLater(const std::string &Reason);
  /// Random pause between half of \p MaxMs and \p MaxMs.
  Duration jitter(int64_t MaxMs);
  void recordReachability(bool Reachable);

  Daemon &Owner;
  HttpClient &Client;
  bool Enabled = false; ///< This instance is the watcher of its data centre.
  bool Pending = false; ///< A read or a watch is in progress.
  Revision Next;        ///< First revision that has not been received.
  /// Last revision below the one in force that was logged as an error.
  Revision ReportedOlderRevision;
  bool Deleted = false;    ///< The document was absent or deleted when last
                           ///< read or watched.
  std::string PartialLine; ///< Incomplete last line of the watch's reply.
  /// The watch sent a malformed message or one that ends it.
  bool WatchEnded = false;
  Revision WatchedFrom;      ///< First revision requested by the watch.
  SteadyTime WatchStarted{}; ///< Start of the last watch.
  uint32_t Failures = 0;     ///< Consecutive failed reads.
  std::mt19937_64 Random;    ///< For jitter.
  Timer RetryTimer;          ///< Starts the next read.
  /// Runs from the start of a read until a valid reply; when it expires, the
  /// platform counts as unreachable. Retries don't restart it.
  Timer UnansweredTimer;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_CONFIGURATION_WATCH_H
