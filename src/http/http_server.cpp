/// \file HTTP server, based on evhttp, that can answer requests later.
#include "http/http_server.h"

#include "http/http_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <strings.h>
#include <sys/socket.h>

#include <cerrno>
#include <filesystem>
#include <iterator>

#include <algorithm>

namespace snipeshunt {

namespace {

// Bytes that a client can send ahead of the answer to its request. More stay in
// the socket.
constexpr size_t MaxReadAhead = 64 << 10;

/// Returns true if the client has closed or reset \p Connection, from which all
/// bytes of a request have been read.
bool hasDisconnected(evhttp_connection *Connection) {
  int Socket = bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  char Next = 0;
  ssize_t Read = recv(Socket, &Next, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Read < 0)
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  return Read == 0;
}

/// Makes evhttp notice while a request is open that its client disconnects.
/// evhttp stops reading before it calls the handler of a request and would see
/// the end of the connection only with the answer.
void watchForClose(evhttp_connection *Connection) {
  bufferevent *Buffers = evhttp_connection_get_bufferevent(Connection);
  bufferevent_data_cb Write = nullptr;
  bufferevent_event_cb Event = nullptr;
  void *Arg = nullptr;
  bufferevent_getcb(Buffers, nullptr, &Write, &Event, &Arg);
  // The read callback of evhttp ends the process if a further request arrives
  // now. evhttp sets its callbacks again with the answer and then reads what is
  // in the buffer.
  bufferevent_setcb(Buffers, nullptr, Write, Event, Arg);
  bufferevent_setwatermark(Buffers, EV_READ, 0, MaxReadAhead);
  // A client that awaits its answer sends nothing.
  bufferevent_set_timeouts(Buffers, nullptr, nullptr);
  bufferevent_enable(Buffers, EV_READ);
}

/// Undoes `watchForClose`; \p Timeout is that of the connection.
void stopWatchingForClose(evhttp_connection *Connection,
                          std::chrono::seconds Timeout) {
  bufferevent *Buffers = evhttp_connection_get_bufferevent(Connection);
  bufferevent_setwatermark(Buffers, EV_READ, 0, 0);
  evhttp_connection_set_timeout(Connection, static_cast<int>(Timeout.count()));
}

const char *methodName(evhttp_cmd_type Type) {
  switch (Type) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  default:
    return "";
  }
}

std::string decodeUri(const char *Text) {
  size_t Size = 0;
  char *Decoded = evhttp_uridecode(Text, /*decode_plus=*/0, &Size);
  if (!Decoded)
    return {};
  std::string Out(Decoded, Size);
  free(Decoded);
  return Out;
}

std::string bodyOf(evhttp_request *Request) {
  evbuffer *Input = evhttp_request_get_input_buffer(Request);
  std::string Body(evbuffer_get_length(Input), '\0');
  evbuffer_remove(Input, Body.data(), Body.size());
  return Body;
}

/// Reads the parts of \p Request, apart from its number.
HttpRequest readRequest(evhttp_request *Request) {
  HttpRequest Out;
  Out.Method = methodName(evhttp_request_get_command(Request));
  const evhttp_uri *Uri = evhttp_request_get_evhttp_uri(Request);
  const char *Path = Uri ? evhttp_uri_get_path(Uri) : nullptr;
  Out.Path = decodeUri(Path && *Path ? Path : "/");
  if (const char *Query = Uri ? evhttp_uri_get_query(Uri) : nullptr) {
    evkeyvalq Parameters;
    if (evhttp_parse_query_str(Query, &Parameters) == 0) {
      for (evkeyval *Kv = Parameters.tqh_first; Kv; Kv = Kv->next.tqe_next)
        Out.Query[Kv->key] = Kv->value;
      evhttp_clear_headers(&Parameters);
    }
  }
  evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
  for (evkeyval *Kv = Headers->tqh_first; Kv; Kv = Kv->next.tqe_next)
    Out.Headers.emplace_back(Kv->key, Kv->value);
  char *Remote = nullptr;
  ev_uint16_t Port = 0;
  evhttp_connection_get_peer(evhttp_request_get_connection(Request), &Remote,
                             &Port);
  if (Remote)
    Out.RemoteIp = Remote;
  Out.Body = bodyOf(Request);
  return Out;
}

} // namespace

std::string HttpRequest::header(std::string_view Name) const {
  for (const auto &[Key, Value] : Headers)
    if (Key.size() == Name.size() &&
        strncasecmp(Key.data(), Name.data(), Name.size()) == 0)
      return Value;
  return {};
}

void HttpServer::HttpDeleter::operator()(evhttp *H) const { evhttp_free(H); }

HttpServer::HttpServer(EventLoop &Loop, HttpServerLimits Limits)
    : Loop(Loop), Limits(Limits), Http(evhttp_new(Loop.base())),
      DropTimer(Loop, [this] { closeDropped(); }),
      DescriptorCheckTimer(Loop, [this] { checkDescriptors(); }) {
  evhttp_set_max_body_size(Http.get(), Limits.MaxBody);
  evhttp_set_max_headers_size(Http.get(), Limits.MaxHeaders);
  evhttp_set_timeout(Http.get(), static_cast<int>(Limits.Timeout.count()));
  evhttp_set_allowed_methods(Http.get(),
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                 EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
  auto Callback = [](evhttp_request *Request, void *Arg) {
    static_cast<HttpServer *>(Arg)->handle(Request);
  };
  evhttp_set_gencb(Http.get(), Callback, this);
}

HttpServer::~HttpServer() {
  // Otherwise evhttp, which is freed after this, would call back into a
  // destroyed server.
  for (auto &[Id, Record] : Open)
    evhttp_connection_set_closecb(Record->Connection, nullptr, nullptr);
  for (evhttp_connection *Connection : Dropped)
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
}

Result<Address> HttpServer::listen(const Address &Listen) {
  Result<HostPort> Parsed = parseAddress(Listen);
  if (failed(Parsed))
    return errorOf(Parsed);
  const HostPort &Parts = valueOf(Parsed);
  Socket = evhttp_bind_socket_with_handle(Http.get(), Parts.Host.c_str(),
                                          Parts.Port);
  if (!Socket)
    return Error{ErrorKind::Unavailable, "can't listen on " + Listen.Value,
                 "choose a free port and an address of this machine"};
  if (Limits.DescriptorCheckPeriod.count() > 0)
    DescriptorCheckTimer.startPeriodic(Limits.DescriptorCheckPeriod);
  sockaddr_in Bound{};
  socklen_t Size = sizeof(Bound);
  getsockname(evhttp_bound_socket_get_fd(Socket),
              reinterpret_cast<sockaddr *>(&Bound), &Size);
  return Address{Parts.Host + ":" + std::to_string(ntohs(Bound.sin_port))};
}

void HttpServer::checkDescriptors() {
  if (!Socket)
    return;
  // evhttp 2.1 can neither count nor limit its connections, so the descriptors
  // of the whole process are counted.
  std::error_code Problem;
  std::filesystem::directory_iterator Entries("/proc/self/fd", Problem);
  if (Problem)
    return;
  size_t Count = static_cast<size_t>(
      std::distance(begin(Entries), std::filesystem::directory_iterator()));
  evconnlistener *Listener = evhttp_bound_socket_get_listener(Socket);
  if (Count > Limits.MaxDescriptors)
    evconnlistener_disable(Listener);
  else
    evconnlistener_enable(Listener);
}

void HttpServer::stopListening() {
  if (!Socket)
    return;
  evhttp_del_accept_socket(Http.get(), Socket);
  Socket = nullptr;
}

void HttpServer::handle(evhttp_request *Request) {
  if (Open.size() >= Limits.MaxOpenRequests) {
    evhttp_send_error(Request, 503, "too many open requests");
    return;
  }
  HttpRequest Out = readRequest(Request);
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  // The request may have waited in the socket while its client gave up. The
  // client may have sent it to another instance since.
  if (hasDisconnected(Connection)) {
    ++Abandoned;
    freeLater(Connection);
    return emit(AbandonedRequestReceived, Out);
  }
  auto Record = std::make_unique<OpenRequest>();
  Record->Server = this;
  Record->Id = RequestId{NextId++};
  Record->Request = Request;
  Record->Connection = Connection;
  evhttp_connection_set_closecb(Connection, handleClose, Record.get());
  watchForClose(Connection);

  Out.Id = Record->Id;
  Open.emplace(Out.Id, std::move(Record));
  emit(RequestReceived, Out);
}

void HttpServer::emit(const sigc::signal<void(const HttpRequest &)> &Signal,
                      const HttpRequest &Request) {
  // An exception must not reach evhttp, which is written in C: it would end the
  // process because of one request.
  try {
    Signal.emit(Request);
  } catch (const std::exception &E) {
    // Without a handler of `HandlerFailed`, the error would go unseen.
    if (HandlerFailed.empty())
      throw;
    reply(Request.Id, {500, "{}"});
    HandlerFailed.emit(E.what());
  }
}

void HttpServer::handleClose(evhttp_connection *, void *Arg) {
  auto *Record = static_cast<OpenRequest *>(Arg);
  HttpServer *Server = Record->Server;
  RequestId Id = Record->Id;
  // evhttp leaves a request that it has taken off its connection to its user.
  if (!evhttp_request_get_connection(Record->Request))
    evhttp_request_free(Record->Request);
  Server->Open.erase(Id);
  Server->RequestClosed.emit(Id);
}

void HttpServer::drop(RequestId Id) {
  auto It = Open.find(Id);
  if (It == Open.end())
    return;
  evhttp_connection *Connection = It->second->Connection;
  Open.erase(It);
  freeLater(Connection);
}

void HttpServer::freeLater(evhttp_connection *Connection) {
  // evhttp may still use the connection after its request callback, so it is
  // freed later from the event loop. Until then nothing is read: evhttp would
  // take the request off a connection that ends, and leave it to its user. If
  // evhttp frees the connection itself, it is taken off the list.
  auto RemoveClosed = [](evhttp_connection *Closed, void *Arg) {
    auto &List = static_cast<HttpServer *>(Arg)->Dropped;
    List.erase(std::remove(List.begin(), List.end(), Closed), List.end());
  };
  bufferevent_disable(evhttp_connection_get_bufferevent(Connection), EV_READ);
  evhttp_connection_set_closecb(Connection, RemoveClosed, this);
  Dropped.push_back(Connection);
  DropTimer.startOnceIfStopped(Duration::zero());
}

void HttpServer::closeDropped() {
  std::vector<evhttp_connection *> Now = std::move(Dropped);
  Dropped.clear();
  for (evhttp_connection *Connection : Now) {
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
    // This also frees the request, which is still on the connection's list.
    evhttp_connection_free(Connection);
  }
}

void HttpServer::reply(RequestId Id, const HttpReply &Reply) {
  auto It = Open.find(Id);
  if (It == Open.end())
    return;
  std::unique_ptr<OpenRequest> Record = std::move(It->second);
  Open.erase(It);
  evhttp_connection_set_closecb(Record->Connection, nullptr, nullptr);
  stopWatchingForClose(Record->Connection, Limits.Timeout);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Record->Request);
  evhttp_add_header(Headers, "Content-Type", Reply.ContentType.c_str());
  for (const auto &[Name, Value] : Reply.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer *Output = evhttp_request_get_output_buffer(Record->Request);
  evbuffer_add(Output, Reply.Body.data(), Reply.Body.size());
  evhttp_send_reply(Record->Request, Reply.Status, nullptr, nullptr);
}

} // namespace snipeshunt
