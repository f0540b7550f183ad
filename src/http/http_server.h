/// \file HTTP server over evhttp with answers that may come later.
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

/// Bounds on what a client of the server may use.
struct HttpServerLimits {
  size_t MaxBody = 1 << 20;         ///< Bytes of a request body.
  size_t MaxHeaders = 16 << 10;     ///< Bytes of request line and headers.
  std::chrono::seconds Timeout{60}; ///< Idle or stalled connection.
  size_t MaxOpenRequests = 20000;   ///< Requests without an answer yet.
  /// Open descriptors of the process beyond which no connection is accepted;
  /// further ones wait in the system's queue.
  size_t MaxDescriptors = 30000;
  /// Pause between counts of the descriptors; 0 never counts them. A burst
  /// within this time may exceed the bound; the system's limit is above it.
  std::chrono::milliseconds DescriptorCheckPeriod{250};
};

/// Serves HTTP on one address.
class HttpServer {
public:
  HttpServer(EventLoop &Loop, HttpServerLimits Limits);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// Listens on \p Listen; port 0 takes a free one. Gives the real address.
  Result<Address> listen(const Address &Listen);
  /// Stops accepting connections; open requests go on.
  void stopListening();
  /// Answers request \p Id; does nothing when the client has gone.
  void reply(RequestId Id, const HttpReply &Reply);
  /// Closes the connection of request \p Id without an answer; the request
  /// must not be used afterwards.
  void drop(RequestId Id);
  size_t openRequests() const { return Open.size(); }

  /// A whole request has come in.
  sigc::signal<void(const HttpRequest &)> RequestReceived;
  /// The client of an unanswered request has closed its connection.
  sigc::signal<void(RequestId)> RequestClosed;

private:
  struct OpenRequest {
    HttpServer *Server;
    RequestId Id;
    evhttp_request *Request;
    evhttp_connection *Connection;
  };
  struct HttpDeleter {
    void operator()(evhttp *H) const;
  };

  void handle(evhttp_request *Request);
  void closeDropped();
  /// Pauses accepting while too many descriptors are open.
  void checkDescriptors();
  static void handleClose(evhttp_connection *Connection, void *Arg);

  EventLoop &Loop;
  HttpServerLimits Limits;
  std::unique_ptr<evhttp, HttpDeleter> Http;
  evhttp_bound_socket *Socket = nullptr;
  std::unordered_map<RequestId, std::unique_ptr<OpenRequest>> Open;
  std::vector<evhttp_connection *> Dropped;
  Timer DropTimer;
  uint64_t NextId = 1;
  Timer DescriptorCheckTimer;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_HTTP_SERVER_H
