/// \file HTTP client with a pool of evhttp connections.
#ifndef SNIPESHUNT_HTTP_HTTP_CLIENT_H
#define SNIPESHUNT_HTTP_HTTP_CLIENT_H

#include "http/event_loop.h"
#include "http/http_type.h"

#include <sigc++/sigc++.h>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

namespace snipeshunt {

/// Options of an HTTP client.
struct HttpClientOptions {
  /// Local IP of outgoing connections; if empty, the system chooses it.
  std::string LocalIp;
  /// Time after which idle connections are closed. It has to be shorter than
  /// the idle timeout of the upstreams, because a request on a connection that
  /// the other side is closing has an unknown outcome.
  Duration IdleTimeout = std::chrono::seconds(4);
  size_t MaxConnectionsPerTarget = 64; ///< Further calls are queued.
  size_t MaxWaitingPerTarget = 4096;   ///< Further calls fail without a send.
  size_t MaxReplyBody = 8 << 20;       ///< Largest reply body, in bytes.
  size_t MaxReplyHeaders = 16 << 10;   ///< Largest reply headers, in bytes.
  /// Idle time after which the system sends TCP keep-alive probes on a
  /// connection; 0 turns them off. The connection fails if the probes stay
  /// unanswered for 2 s.
  std::chrono::seconds KeepAliveIdle{0};
};

/// Sends HTTP requests and never repeats one, because a repeated order could
/// start a task twice.
class HttpClient {
public:
  using Callback = std::function<void(const HttpOutcome &)>;

  HttpClient(EventLoop &Loop, HttpClientOptions Options);
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// Sends \p Call, or queues it while all connections to its target are in
  /// use. Calls \p Done with the outcome from the event loop, never from within
  /// `send`.
  /// Returns the number of the call.
  uint64_t send(HttpCall Call, Callback Done);
  /// Ends call \p Number to \p Target with a failure and closes its connection.
  /// Does nothing if the call has ended.
  void cancel(const Address &Target, uint64_t Number);
  /// Closes the connections to \p Target that have no call.
  void closeIdle(const Address &Target);
  /// Closes the connections to \p Target that have no call and whose last call
  /// was sent before \p Since. The reply to it may have been on its way when
  /// the connection fell silent, so only its request shows when the connection
  /// worked. A call that times out does so by itself, with the time when it was
  /// sent.
  void closeIdleSince(const Address &Target, SteadyTime Since);
  /// The callback of a call has thrown an exception with this message. While
  /// nothing is connected here, the exception ends the process.
  sigc::signal<void(const std::string &)> HandlerFailed;
  /// Number of requests sent since this client was created.
  uint64_t callsSent() const { return CallsSent; }
  /// Bytes of requests and of replies since this client was created, including
  /// headers.
  uint64_t bytesSent() const { return BytesSent; }
  uint64_t bytesReceived() const { return BytesReceived; }

private:
  class Connection;
  /// A call that waits for a connection.
  struct QueuedCall {
    HttpCall Call;
    Callback Done;
    SteadyTime QueuedAt;
    uint64_t Number;
  };
  /// Connections to one address and the calls that wait for one of them.
  struct Target {
    std::list<std::unique_ptr<Connection>> Busy;  ///< Connections with a call.
    std::deque<std::unique_ptr<Connection>> Idle; ///< Idle for longest first.
    std::deque<QueuedCall> Queue;
    /// Connections in `PendingIdle`. Calls wait for them, since opening another
    /// connection takes longer.
    size_t Returning = 0;
  };

  /// Takes the best of the idle connections for \p Call, null if there is none.
  static std::unique_ptr<Connection> takeIdle(Target &T, const HttpCall &Call);
  /// Returns the connection that has call \p Number, or null.
  Connection *findBusy(const Address &Endpoint, uint64_t Number);
  /// Starts queued calls to a target while connections are available.
  void dispatch(const Address &Endpoint);
  /// Releases a connection whose call has ended and reports the outcome.
  void finish(Connection *C, const HttpOutcome &Outcome, bool Reusable);
  /// Calls \p Done. An exception of it must not reach evhttp, which is written
  /// in C, and is reported by `HandlerFailed`.
  void report(const Callback &Done, const HttpOutcome &Outcome);
  /// Calls \p Done with \p Failure from the event loop.
  void failLater(Callback Done, HttpFailure Failure);
  /// Runs what could not be done inside the callbacks of connections.
  void runDeferred();
  /// Closes connections that were idle for longer than `IdleTimeout`. Called
  /// periodically.
  void closeExpired();

  EventLoop &Loop;
  HttpClientOptions Options;
  std::unordered_map<Address, Target> Targets;
  /// Connections to be freed, which is not possible inside their callbacks.
  std::vector<std::unique_ptr<Connection>> PendingDeletion;
  /// Connections that become idle once their callbacks have ended.
  std::vector<std::unique_ptr<Connection>> PendingIdle;
  /// Functions for `runDeferred`.
  std::vector<std::function<void()>> Deferred;
  Timer DeferredTimer;
  Timer IdleTimer;
  uint64_t NextCall = 1;
  uint64_t CallsSent = 0;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_HTTP_CLIENT_H
