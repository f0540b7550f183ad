/// \file Reads and watches the configuration in the platform's service.
#include "daemon/configuration_watch.h"

#include "configuration/etcd_func.h"
#include "daemon/log.h"

#include <algorithm>

namespace snipeshunt {

namespace {

// Duration of one watch. A broken connection that was not closed delivers no
// events, so each watch is ended after this time and the document read again.
constexpr Duration WatchDuration = std::chrono::seconds(3);
// Longer than UnreachableAfter, so that the answer of a slow service is still
// used; meanwhile another instance may become the watcher.
constexpr Duration ReadTimeout = std::chrono::seconds(10);
// Time without a reply after which the platform counts as unreachable.
constexpr Duration UnreachableAfter = std::chrono::seconds(2);
// The upper bound of the pause after the Nth failed read is FirstPauseMs * 2^N,
// at most MaxPauseMs.
constexpr int64_t FirstPauseMs = 200;
constexpr int64_t MaxPauseMs = 5000;
// Upper bound of the pause after a watch that ended early without events.
constexpr int64_t ShortWatchPauseMs = 500;

} // namespace

ConfigurationWatch::ConfigurationWatch(Daemon &Owner, HttpClient &Client)
    : Owner(Owner), Client(Client), Random(Owner.state().Incarnation.Value),
      RetryTimer(Owner.loop(), [this] { read(); }),
      UnansweredTimer(Owner.loop(), [this] { recordReachability(false); }) {}

void ConfigurationWatch::enable(bool On) {
  Enabled = On;
  // After a failure RetryTimer is already running.
  if (On && !Pending && Failures == 0)
    RetryTimer.startOnce(Duration::zero());
}

void ConfigurationWatch::verifyPlatform() {
  if (!Pending && Failures == 0)
    read();
}

void ConfigurationWatch::read() {
  if (Pending)
    return;
  Pending = true;
  if (Failures == 0)
    UnansweredTimer.startOnce(UnreachableAfter);
  EtcdRequest Request = rangeRequest(ConfigurationKey);
  HttpCall Call;
  Call.Target = *Owner.state().Settings.Platform;
  Call.Method = "POST";
  Call.Path = Request.Path;
  Call.Body = std::move(Request.Body);
  Call.Timeout = ReadTimeout;
  Client.send(std::move(Call),
              [this](const HttpOutcome &Outcome) { handleRead(Outcome); });
}

void ConfigurationWatch::handleRead(const HttpOutcome &Outcome) {
  Pending = false;
  const auto *Reply = std::get_if<HttpReply>(&Outcome);
  if (!Reply)
    return retryLater(std::get<HttpFailure>(Outcome).Message);
  Result<EtcdRangeReply> Read = parseRangeReply(Reply->Body);
  if (failed(Read))
    return retryLater(errorOf(Read).Message);
  EtcdRangeReply &Found = valueOf(Read);
  Failures = 0;
  recordReachability(true);
  Next = {Found.StoreRevision.Value + 1};
  if (Found.Found)
    applyDocument(Found.Found->ModRevision, std::move(Found.Found->Value));
  else
    reportDeleted();
  if (Enabled)
    watch();
}

void ConfigurationWatch::watch() {
  Pending = true;
  PartialLine.clear();
  WatchEnded = false;
  WatchedFrom = Next;
  WatchStarted = Owner.clock().steadyNow();
  EtcdRequest Request = watchRequest(ConfigurationKey, Next);
  HttpCall Call;
  Call.Target = *Owner.state().Settings.Platform;
  Call.Method = "POST";
  Call.Path = Request.Path;
  Call.Body = std::move(Request.Body);
  Call.Timeout = WatchDuration;
  Call.OnChunk = [this](std::string_view Chunk) { handleChunk(Chunk); };
  Client.send(std::move(Call),
              [this](const HttpOutcome &Outcome) { handleWatchEnd(Outcome); });
}

void ConfigurationWatch::handleChunk(std::string_view Chunk) {
  PartialLine += Chunk;
  for (const std::string &Line : takeLines(PartialLine))
    WatchEnded |= !applyEvents(Line);
}

void ConfigurationWatch::handleWatchEnd(const HttpOutcome &Outcome) {
  Pending = false;
  // The last message may lack the line end.
  if (!PartialLine.empty())
    WatchEnded |= !applyEvents(PartialLine);
  if (!Enabled)
    return;
  const auto *Reply = std::get_if<HttpReply>(&Outcome);
  bool Advanced = WatchedFrom < Next;
  if (Reply && Reply->Status == 200 && !WatchEnded && Advanced)
    return watch();
  // Otherwise the document is read again, which also shows whether the platform
  // still answers. The pause limits the rate of calls if every watch ends
  // immediately.
  bool Lasted = Owner.clock().steadyNow() - WatchStarted > WatchDuration / 2;
  RetryTimer.startOnce(Advanced || Lasted ? Duration::zero()
                                          : jitter(ShortWatchPauseMs));
}

bool ConfigurationWatch::applyEvents(std::string_view Line) {
  Result<EtcdWatchReply> Message = parseWatchReply(Line);
  if (failed(Message)) {
    SNIPESHUNT_LOG(WARNING, "platform") << errorOf(Message).Message << ".";
    return false;
  }
  for (EtcdEvent &Event : valueOf(Message).Events) {
    Next = std::max(Next, Revision{Event.Current.ModRevision.Value + 1});
    if (Event.Deleted)
      reportDeleted();
    else
      applyDocument(Event.Current.ModRevision, std::move(Event.Current.Value));
  }
  return !valueOf(Message).Cancelled &&
         valueOf(Message).CompactRevision.Value == 0;
}

void ConfigurationWatch::applyDocument(Revision Number, std::string Text) {
  Deleted = false;
  Revision InForce = Owner.state().Configuration.InForceRevision;
  // The same older revision is read again after each watch; it is logged once.
  if (Number < InForce && Number != ReportedOlderRevision) {
    ReportedOlderRevision = Number;
    SNIPESHUNT_LOG(ERROR, "platform")
        << "the service has configuration revision " << Number.Value
        << ", but revision " << InForce.Value
        << " is in force and stays; restore the service's newer data.";
  }
  Owner.dispatch(ConfigurationReceived{Number, std::move(Text)});
}

void ConfigurationWatch::reportDeleted() {
  Revision InForce = Owner.state().Configuration.InForceRevision;
  if (!Deleted && InForce.Value > 0)
    SNIPESHUNT_LOG(ERROR, "platform")
        << "the configuration was deleted; revision " << InForce.Value
        << " stays in force; set a document by: snipeshunt config set.";
  Deleted = true;
}

void ConfigurationWatch::retryLater(const std::string &Reason) {
  if (Failures++ == 0)
    SNIPESHUNT_LOG(WARNING, "platform")
        << "reading the configuration failed and is retried: " << Reason << ".";
  int64_t MaxMs = std::min(FirstPauseMs << std::min(Failures, 5U), MaxPauseMs);
  RetryTimer.startOnce(jitter(MaxMs));
}

Duration ConfigurationWatch::jitter(int64_t MaxMs) {
  // Random over half of the pause, so that instances don't call in step.
  std::uniform_int_distribution<int64_t> Pause(MaxMs / 2, MaxMs);
  return std::chrono::milliseconds(Pause(Random));
}

void ConfigurationWatch::recordReachability(bool Reachable) {
  UnansweredTimer.stop();
  if (Owner.state().Members.PlatformReachable == Reachable)
    return;
  SNIPESHUNT_LOG(WARNING, "platform")
      << (Reachable ? "the service answers again."
                    : "the service does not answer; the configuration in "
                      "force stays.");
  Owner.dispatch(PlatformReachabilityObserved{Reachable});
}

} // namespace snipeshunt
