/// \file HTTP server, based on evhttp, that can answer requests later.
#ifndef SNIPESHUNT_HTTP_HTTP_SERVER_H
#define SNIPESHUNT_HTTP_HTTP_SERVER_H

#include "core/error_type.h"
#include "http/connection_table.h"
#include "http/event_loop.h"
#include "http/http_type.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <memory>
#include <unordered_map>

struct event;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp;
struct evhttp_bound_socket;

namespace snipeshunt {

/// Limits of an HTTP server.
struct HttpServerLimits {
  size_t MaxBody = 1 << 20;     ///< Largest request body, in bytes.
  size_t MaxHeaders = 16 << 10; ///< Largest request line and headers, in bytes.
  /// Time after which an idle or stalled connection is closed.
  std::chrono::milliseconds Timeout{60000};
  /// Longest time from the first byte of a request to the end of its header.
  std::chrono::milliseconds HeaderTimeout{60000};
  /// Unanswered requests beyond which new ones are rejected.
  size_t MaxOpenRequests = 20000;
  /// Open file descriptors of the process beyond which no connection is
  /// accepted. New connections then wait in the system's backlog.
  size_t MaxDescriptors = callerDescriptors();
  /// Period in which the open descriptors are counted; 0 turns this off. A
  /// burst of connections between two counts may exceed `MaxDescriptors`, which
  /// is therefore below the system's limit.
  std::chrono::milliseconds DescriptorCheckPeriod{250};
};

/// HTTP server on one address.
class HttpServer {
public:
  /// Creates a server whose connections have a table of their own.
  HttpServer(EventLoop &Loop, HttpServerLimits Limits);
  /// Creates a server whose connections are in \p Shared.
  HttpServer(EventLoop &Loop, HttpServerLimits Limits, ConnectionTable &Shared);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// Listens on \p Listen; with port 0 the system chooses a free port. Returns
  /// the address with the actual port.
  Result<Address> listen(const Address &Listen);
  /// Stops accepting connections. Open requests can still be answered.
  void stopListening();
  /// Answers request \p Id. Does nothing if the client has disconnected.
  void reply(RequestId Id, const HttpReply &Reply);
  /// Closes the connection of request \p Id without an answer. The request must
  /// not be used afterwards.
  void drop(RequestId Id);
  /// Closes \p C, which has no unanswered request, from the event loop.
  void close(HttpConnection &C);
  const HttpServerLimits &limits() const { return Limits; }
  /// Replaces the limits of requests and times, also for connections that are
  /// open; the others stay as they are.
  void setRequestLimits(const HttpServerLimits &New);
  /// Returns the number of unanswered requests.
  size_t openRequests() const { return Open.size(); }
  /// Returns the number of requests whose clients had disconnected before they
  /// were read.
  uint64_t abandonedRequests() const { return Abandoned; }

  /// Emitted when a complete request has been received and its client is still
  /// connected.
  sigc::signal<void(const HttpRequest &)> RequestReceived;
  /// Emitted for a complete request whose client had disconnected before it was
  /// read. It gets no answer, and its `Id` is that of no request.
  sigc::signal<void(const HttpRequest &)> AbandonedRequestReceived;
  /// A handler of a request has thrown an exception with this message.
  /// The request was answered with 500, unless it had an answer. While nothing
  /// is connected here, the exception ends the process.
  sigc::signal<void(const std::string &)> HandlerFailed;
  /// Emitted when the client of an unanswered request has disconnected.
  sigc::signal<void(RequestId)> RequestClosed;
  /// Returns the answer to a request that a limit rejects, which has no body
  /// here; 503 if it is unset. The connection is closed after it.
  std::function<HttpReply(const HttpRequest &)> RejectionReply;

private:
  struct HttpDeleter {
    void operator()(evhttp *H) const;
  };
  struct EventDeleter {
    void operator()(event *E) const;
  };

  HttpServer(EventLoop &Loop, HttpServerLimits Limits,
             std::unique_ptr<ConnectionTable> Own, ConnectionTable *Shared);

  /// Called by evhttp for each accepted connection, before it is set up.
  /// Returns its buffers.
  bufferevent *createBuffers();
  /// Registers the connections that were accepted. Called before anything is
  /// read from them.
  void adopt();
  /// Registers the connection of \p Buffers.
  void adopt(bufferevent *Buffers);
  /// Called when bytes have arrived or were taken from a connection's input.
  static void handleInput(evbuffer *Input, const evbuffer_cb_info *Change,
                          void *Arg);
  /// Scans the last \p Size bytes of the input of \p C for the end of a
  /// header. Returns the memory that the lines take beyond their bytes.
  size_t scanHeader(HttpConnection &C, size_t Size);
  /// Limits what is read from \p C beyond its request, or lifts that limit,
  /// with which reading would cost more.
  static void limitReadAhead(HttpConnection &C, bool Limit);
  /// Called by evhttp when the answer to a request has been written.
  static void handleWritten(evhttp_request *Request, void *Arg);
  /// Answers \p Request with `RejectionReply`.
  void reject(evhttp_request *Request);
  /// Called by evhttp for each complete request.
  void handle(evhttp_request *Request);
  /// Passes \p Request to the handlers of \p Signal.
  void emit(const sigc::signal<void(const HttpRequest &)> &Signal,
            const HttpRequest &Request);
  /// Frees the connection of \p C from the event loop.
  void freeLater(HttpConnection &C);
  /// Frees the connections of dropped requests.
  void closeDropped();
  /// Counts the open descriptors. Called periodically.
  void checkDescriptors();
  /// Pauses or resumes accepting connections.
  void updateListener();
  /// Called by evhttp when a connection ends.
  static void handleClose(evhttp_connection *Connection, void *Arg);

  EventLoop &Loop;
  HttpServerLimits Limits;
  std::unique_ptr<ConnectionTable> OwnTable; ///< Null if it is shared.
  ConnectionTable &Table;
  std::unordered_map<evhttp_connection *, std::unique_ptr<HttpConnection>>
      Connections;
  std::vector<bufferevent *> Accepted; ///< For `adopt`.
  std::unique_ptr<event, EventDeleter> AdoptEvent;
  std::unique_ptr<evhttp, HttpDeleter> Http;
  evhttp_bound_socket *Socket = nullptr;
  bool OutOfDescriptors = false;
  bool Paused = false; ///< No connections are accepted.
  /// Connections with an unanswered request.
  std::unordered_map<RequestId, HttpConnection *> Open;
  std::vector<evhttp_connection *> Dropped; ///< For `closeDropped`.
  Timer DropTimer;
  uint64_t NextId = 1;
  uint64_t Abandoned = 0;
  Timer DescriptorCheckTimer;
  sigc::connection TableCheck;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_HTTP_SERVER_H
