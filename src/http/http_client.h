/// \file Pool of evhttp client connections.
#ifndef SNIPESHUNT_HTTP_HTTP_CLIENT_H
#define SNIPESHUNT_HTTP_HTTP_CLIENT_H

#include "http/event_loop.h"
#include "http/http_type.h"

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

namespace snipeshunt {

/// Settings of a client pool.
struct HttpClientOptions {
  /// Local IP of outgoing connections; empty leaves the choice to the system.
  std::string LocalIp;
  /// Idle connections are closed after this time. It is shorter than the
  /// upstreams' own limit, since a request on a connection that the other
  /// side is closing has an unknown outcome.
  Duration IdleTimeout = std::chrono::seconds(4);
  size_t MaxConnectionsPerTarget = 64; ///< Further calls wait.
  size_t MaxWaitingPerTarget = 4096;   ///< Further calls fail unsent.
  size_t MaxReplyBody = 8 << 20;       ///< Bytes of a reply body.
  /// Silence after which the system probes a connection; 0 never does. A
  /// connection whose probes stay unanswered for 2 s fails.
  std::chrono::seconds KeepAliveIdle{0};
};

/// Sends requests; never repeats one.
class HttpClient {
public:
  using Callback = std::function<void(const HttpOutcome &)>;

  HttpClient(EventLoop &Loop, HttpClientOptions Options);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// Sends \p Call and hands its outcome to \p Done, always later.
  void send(HttpCall Call, Callback Done);
  /// Requests since the start, for the message counts.
  uint64_t callsSent() const { return CallsSent; }
  /// Bytes of requests and of replies since the start, headers included.
  uint64_t bytesSent() const { return BytesSent; }
  uint64_t bytesReceived() const { return BytesReceived; }

private:
  class Connection;
  struct QueuedCall {
    HttpCall Call;
    Callback Done;
    SteadyTime QueuedAt;
  };
  struct Target {
    std::list<std::unique_ptr<Connection>> Busy;
    std::deque<std::unique_ptr<Connection>> Idle;
    std::deque<QueuedCall> Queue;
  };

  void dispatch(const Address &Endpoint);
  void finish(Connection *C, const HttpOutcome &Outcome, bool Reusable);
  void failLater(Callback Done, HttpFailure Failure);
  void runDeferred();
  void closeIdle();

  EventLoop &Loop;
  HttpClientOptions Options;
  std::unordered_map<Address, Target> Targets;
  /// Connections can't be freed inside their own callbacks.
  std::vector<std::unique_ptr<Connection>> PendingDeletion;
  /// Connections that become idle once their callbacks have ended.
  std::vector<std::unique_ptr<Connection>> PendingIdle;
  std::vector<std::function<void()>> Deferred;
  Timer DeferredTimer;
  Timer IdleTimer;
  uint64_t CallsSent = 0;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_HTTP_CLIENT_H
