/// \file HTTP server, based on evhttp, that can answer requests later.
#ifndef SNIPESHUNT_HTTP_HTTP_SERVER_H
#define SNIPESHUNT_HTTP_HTTP_SERVER_H

#include "core/error_type.h"
#include "http/event_loop.h"
#include "http/http_type.h"

#include <sigc++/sigc++.h>

#include <memory>
#include <unordered_map>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace snipeshunt {

/// Limits of an HTTP server.
struct HttpServerLimits {
  size_t MaxBody = 1 << 20;     ///< Largest request body, in bytes.
  size_t MaxHeaders = 16 << 10; ///< Largest request line and headers, in bytes.
  /// Time after which an idle or stalled connection is closed.
  std::chrono::seconds Timeout{60};
  /// Unanswered requests beyond which new ones are answered with 503.
  size_t MaxOpenRequests = 20000;
  /// Open file descriptors of the process beyond which no connection is
  /// accepted. New connections then wait in the system's backlog.
  size_t MaxDescriptors = 30000;
  /// Period in which the open descriptors are counted; 0 turns this off. A
  /// burst of connections between two counts may exceed `MaxDescriptors`, which
  /// is therefore below the system's limit.
  std::chrono::milliseconds DescriptorCheckPeriod{250};
};

/// HTTP server on one address.
class HttpServer {
public:
  HttpServer(EventLoop &Loop, HttpServerLimits Limits);
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

private:
  /// A request that has not been answered.
  struct OpenRequest {
    HttpServer *Server;
    RequestId Id;
    evhttp_request *Request;
    evhttp_connection *Connection;
  };
  struct HttpDeleter {
    void operator()(evhttp *H) const;
  };

  /// Called by evhttp for each complete request.
  void handle(evhttp_request *Request);
  /// Passes \p Request to the handlers of \p Signal.
  void emit(const sigc::signal<void(const HttpRequest &)> &Signal,
            const HttpRequest &Request);
  /// Frees \p Connection from the event loop.
  void freeLater(evhttp_connection *Connection);
  /// Frees the connections of dropped requests.
  void closeDropped();
  /// Pauses or resumes accepting connections by the number of open descriptors.
  /// Called periodically.
  void checkDescriptors();
  /// Called by evhttp when the client of an open request has disconnected.
  static void handleClose(evhttp_connection *Connection, void *Arg);

  EventLoop &Loop;
  HttpServerLimits Limits;
  std::unique_ptr<evhttp, HttpDeleter> Http;
  evhttp_bound_socket *Socket = nullptr;
  std::unordered_map<RequestId, std::unique_ptr<OpenRequest>> Open;
  std::vector<evhttp_connection *> Dropped; ///< For `closeDropped`.
  Timer DropTimer;
  uint64_t NextId = 1;
  uint64_t Abandoned = 0;
  Timer DescriptorCheckTimer;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_HTTP_SERVER_H
