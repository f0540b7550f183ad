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

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <iterator>
#include <utility>

namespace snipeshunt {

namespace {

// Bytes that a client can send ahead of the answer to its request. More stay in
// the socket. As much as libevent reads at once.
constexpr size_t MaxReadAhead = 4 << 10;
// Memory of a header line beyond its bytes: evhttp's record and the allocations
// of the name and the value, of at least 32 bytes each.
constexpr size_t HeaderLineOverhead = 128;
// Copies of the body of an unanswered request: the spec of the job, which its
// parts share, and the order that is sent to a sender or an upstream. 100 jobs
// of 250 KB were measured to take 1.64 times their size.
constexpr size_t BodyCopies = 2;
// Connections that are accepted before they are registered.
constexpr size_t MaxAcceptedAtOnce = 32;

timeval toTimeval(std::chrono::milliseconds Time) {
  timeval Out{};
  Out.tv_sec = Time.count() / 1000;
  Out.tv_usec = Time.count() % 1000 * 1000;
  return Out;
}

/// Returns the bytes that may wait to be taken by evhttp. It takes a part of a
/// chunked body only once it is complete.
size_t maxRequest(const HttpServerLimits &Limits) {
  return Limits.MaxHeaders + Limits.MaxBody + MaxReadAhead;
}

size_t inputSize(const HttpConnection &C) {
  return evbuffer_get_length(bufferevent_get_input(C.Buffers));
}

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
  // A client that awaits its answer sends nothing.
  bufferevent_set_timeouts(Buffers, nullptr, nullptr);
  bufferevent_enable(Buffers, EV_READ);
}

/// Answers a request. It is freed once the reply has been written.
void sendReply(evhttp_request *Request, const HttpReply &Reply) {
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Content-Type", Reply.ContentType.c_str());
  for (const auto &[Name, Value] : Reply.Headers)
    evhttp_add_header(Headers, Name.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(Request), Reply.Body.data(),
               Reply.Body.size());
  evhttp_send_reply(Request, Reply.Status, nullptr, nullptr);
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

/// Reads the parts of \p Request, apart from its number and its body.
HttpRequest readHead(evhttp_request *Request) {
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

void HttpServer::EventDeleter::operator()(event *E) const { event_free(E); }

HttpServer::HttpServer(EventLoop &Loop, HttpServerLimits Limits)
    : HttpServer(Loop, Limits,
                 std::make_unique<ConnectionTable>(Loop, ConnectionLimits{}),
                 nullptr) {}

HttpServer::HttpServer(EventLoop &Loop, HttpServerLimits Limits,
                       ConnectionTable &Shared)
    : HttpServer(Loop, Limits, nullptr, &Shared) {}

HttpServer::HttpServer(EventLoop &Loop, HttpServerLimits Given,
                       std::unique_ptr<ConnectionTable> Own,
                       ConnectionTable *Shared)
    : Loop(Loop), Limits(Given), OwnTable(std::move(Own)),
      Table(Shared ? *Shared : *OwnTable), Http(evhttp_new(Loop.base())),
      DropTimer(Loop, [this] { closeDropped(); }),
      DescriptorCheckTimer(Loop, [this] { checkDescriptors(); }) {
  setRequestLimits(Given);
  evhttp_set_allowed_methods(Http.get(),
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                 EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
  auto Callback = [](evhttp_request *Request, void *Arg) {
    static_cast<HttpServer *>(Arg)->handle(Request);
  };
  evhttp_set_gencb(Http.get(), Callback, this);
  auto Create = [](event_base *, void *Arg) {
    return static_cast<HttpServer *>(Arg)->createBuffers();
  };
  evhttp_set_bevcb(Http.get(), Create, this);
  auto Adopt = [](evutil_socket_t, short, void *Arg) {
    static_cast<HttpServer *>(Arg)->adopt();
  };
  AdoptEvent.reset(event_new(Loop.base(), -1, 0, Adopt, this));
  TableCheck = Table.Checked.connect([this] {
    if (Paused)
      updateListener();
  });
}

HttpServer::~HttpServer() {
  TableCheck.disconnect();
  for (bufferevent *Buffers : Accepted)
    bufferevent_decref(Buffers);
  // Otherwise evhttp, which is freed after this, would call back into a
  // destroyed server.
  for (auto &[Connection, C] : Connections) {
    evhttp_connection_set_closecb(Connection, nullptr, nullptr);
    evbuffer_remove_cb_entry(bufferevent_get_input(C->Buffers),
                             C->InputCallback);
    Table.remove(*C);
  }
}

void HttpServer::setRequestLimits(const HttpServerLimits &New) {
  Limits.MaxBody = New.MaxBody;
  Limits.MaxHeaders = New.MaxHeaders;
  Limits.Timeout = New.Timeout;
  Limits.HeaderTimeout = New.HeaderTimeout;
  timeval Timeout = toTimeval(Limits.Timeout);
  evhttp_set_max_body_size(Http.get(), static_cast<ev_ssize_t>(Limits.MaxBody));
  evhttp_set_max_headers_size(Http.get(),
                              static_cast<ev_ssize_t>(Limits.MaxHeaders));
  evhttp_set_timeout_tv(Http.get(), &Timeout);
  for (auto &[Connection, C] : Connections) {
    evhttp_connection_set_max_body_size(
        Connection, static_cast<ev_ssize_t>(Limits.MaxBody));
    evhttp_connection_set_max_headers_size(
        Connection, static_cast<ev_ssize_t>(Limits.MaxHeaders));
    // The others get these values with the answer to their request.
    if (!C->Request && !C->Dropped)
      evhttp_connection_set_timeout_tv(Connection, &Timeout);
  }
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
  OutOfDescriptors = Count > Limits.MaxDescriptors;
  updateListener();
}

void HttpServer::updateListener() {
  if (!Socket)
    return;
  evconnlistener *Listener = evhttp_bound_socket_get_listener(Socket);
  Paused = OutOfDescriptors || Table.full();
  if (Paused)
    evconnlistener_disable(Listener);
  else
    evconnlistener_enable(Listener);
}

bufferevent *HttpServer::createBuffers() {
  bufferevent *Buffers = bufferevent_socket_new(Loop.base(), -1, 0);
  if (!Buffers)
    return nullptr;
  // evhttp has no call that returns a new connection. It is found from its
  // buffers, once evhttp has set it up and before anything is read.
  bufferevent_incref(Buffers);
  Accepted.push_back(Buffers);
  if (Accepted.size() == 1)
    event_active(AdoptEvent.get(), EV_TIMEOUT, 0);
  if (Accepted.size() >= MaxAcceptedAtOnce && Socket)
    evconnlistener_disable(evhttp_bound_socket_get_listener(Socket));
  return Buffers;
}

void HttpServer::adopt() {
  std::vector<bufferevent *> Now = std::exchange(Accepted, {});
  for (bufferevent *Buffers : Now) {
    adopt(Buffers);
    bufferevent_decref(Buffers);
  }
  updateListener();
}

void HttpServer::adopt(bufferevent *Buffers) {
  void *Arg = nullptr;
  bufferevent_getcb(Buffers, nullptr, nullptr, nullptr, &Arg);
  // evhttp has closed the connection at once.
  if (!Arg)
    return;
  auto C = std::make_unique<HttpConnection>();
  C->Server = this;
  C->Buffers = Buffers;
  C->Connection = static_cast<evhttp_connection *>(Arg);
  C->InputCallback =
      evbuffer_add_cb(bufferevent_get_input(Buffers), handleInput, C.get());
  evhttp_connection_set_closecb(C->Connection, handleClose, C.get());
  HttpConnection &Added = *C;
  Connections.emplace(C->Connection, std::move(C));
  Table.add(Added);
}

void HttpServer::handleInput(evbuffer *Input, const evbuffer_cb_info *Change,
                             void *Arg) {
  auto &C = *static_cast<HttpConnection *>(Arg);
  if (C.Dropped)
    return;
  HttpServer &Server = *C.Server;
  if (Change->n_added == 0) {
    // evhttp has begun to take a request that was read ahead. It may need more
    // bytes, for instance of a large chunk.
    if (C.Limited && !C.Request && !C.Writing)
      Server.limitReadAhead(C, false);
    return;
  }
  size_t Lines = C.Request ? 0 : Server.scanHeader(C, Change->n_added);
  Server.Table.setHeld(C, C.Held + Change->n_added + Lines);
  if (evbuffer_get_length(Input) > maxRequest(Server.Limits))
    Server.Table.closeForMemory(C);
  else
    Server.Table.enforceBytes(C);
}

void HttpServer::limitReadAhead(HttpConnection &C, bool Limit) {
  C.Limited = Limit;
  bufferevent_setwatermark(C.Buffers, EV_READ, 0, Limit ? MaxReadAhead : 0);
}

size_t HttpServer::scanHeader(HttpConnection &C, size_t Size) {
  if (C.Scan.done())
    return 0;
  if (C.HeaderTick == 0)
    Table.beginHeader(C);
  evbuffer *Input = bufferevent_get_input(C.Buffers);
  evbuffer_ptr Begin{};
  evbuffer_ptr_set(Input, &Begin, evbuffer_get_length(Input) - Size,
                   EVBUFFER_PTR_SET);
  size_t Lines = 0;
  evbuffer_iovec Part{};
  while (Size > 0 && !C.Scan.done() &&
         evbuffer_peek(Input, -1, &Begin, &Part, 1) > 0 && Part.iov_len > 0) {
    size_t Count = std::min(Size, Part.iov_len);
    Lines += C.Scan.add(static_cast<const char *>(Part.iov_base), Count);
    Size -= Count;
    if (Size > 0)
      evbuffer_ptr_set(Input, &Begin, Count, EVBUFFER_PTR_ADD);
  }
  if (C.Scan.done())
    Table.endHeader(C);
  return Lines * HeaderLineOverhead;
}

void HttpServer::stopListening() {
  if (!Socket)
    return;
  evhttp_del_accept_socket(Http.get(), Socket);
  Socket = nullptr;
}

void HttpServer::reject(evhttp_request *Request) {
  HttpReply Reply{503, "{}"};
  if (RejectionReply)
    Reply = RejectionReply(readHead(Request));
  evhttp_add_header(evhttp_request_get_output_headers(Request), "Connection",
                    "close");
  sendReply(Request, Reply);
}

void HttpServer::handle(evhttp_request *Request) {
  evhttp_connection *Connection = evhttp_request_get_connection(Request);
  auto Found = Connections.find(Connection);
  // It could not be registered.
  if (Found == Connections.end())
    return reject(Request);
  HttpConnection &C = *Found->second;
  // The request is freed with its connection.
  if (C.Dropped)
    return;
  // The next bytes are those of a further request.
  Table.endHeader(C);
  Table.setHeld(C, inputSize(C));
  limitReadAhead(C, true);
  if (Open.size() >= Limits.MaxOpenRequests)
    return reject(Request);
  size_t Body = BodyCopies *
                evbuffer_get_length(evhttp_request_get_input_buffer(Request));
  if (Table.mustReject(Body)) {
    Table.countRejected();
    return reject(Request);
  }
  HttpRequest Out = readHead(Request);
  Out.Body = bodyOf(Request);
  // The request may have waited in the socket while its client gave up. The
  // client may have sent it to another instance since.
  if (hasDisconnected(Connection)) {
    ++Abandoned;
    freeLater(C);
    return emit(AbandonedRequestReceived, Out);
  }
  C.Id = RequestId{NextId++};
  C.Request = Request;
  Table.setBusy(C);
  Table.setHeld(C, C.Held + Body);
  watchForClose(Connection);

  Out.Id = C.Id;
  Open.emplace(Out.Id, &C);
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

void HttpServer::handleClose(evhttp_connection *Connection, void *Arg) {
  auto &C = *static_cast<HttpConnection *>(Arg);
  HttpServer &Server = *C.Server;
  evbuffer_remove_cb_entry(bufferevent_get_input(C.Buffers), C.InputCallback);
  Server.Table.remove(C);
  if (C.Dropped) {
    auto &List = Server.Dropped;
    List.erase(std::remove(List.begin(), List.end(), Connection), List.end());
  }
  evhttp_request *Request = C.Request;
  RequestId Id = C.Id;
  Server.Connections.erase(Connection);
  if (!Request)
    return;
  // evhttp leaves a request that it has taken off its connection to its user.
  if (!evhttp_request_get_connection(Request))
    evhttp_request_free(Request);
  Server.Open.erase(Id);
  Server.RequestClosed.emit(Id);
}

void HttpServer::drop(RequestId Id) {
  auto It = Open.find(Id);
  if (It == Open.end())
    return;
  HttpConnection &C = *It->second;
  Open.erase(It);
  C.Request = nullptr;
  freeLater(C);
}

void HttpServer::close(HttpConnection &C) { freeLater(C); }

void HttpServer::freeLater(HttpConnection &C) {
  // evhttp may still use the connection after its request callback, so it is
  // freed later from the event loop. Until then nothing is read: evhttp would
  // take the request off a connection that ends, and leave it to its user. If
  // evhttp frees the connection itself, it is taken off the list.
  bufferevent_disable(C.Buffers, EV_READ);
  Table.setDropped(C);
  // What has just arrived would still be parsed. In one turn of the event loop,
  // this can be a part of the header of each connection.
  evbuffer_drain(bufferevent_get_input(C.Buffers), inputSize(C));
  Dropped.push_back(C.Connection);
  DropTimer.startOnceIfStopped(Duration::zero());
}

void HttpServer::closeDropped() {
  std::vector<evhttp_connection *> Now = std::exchange(Dropped, {});
  // This also frees the request, which is still on the connection's list.
  for (evhttp_connection *Connection : Now)
    evhttp_connection_free(Connection);
  if (Paused)
    updateListener();
}

void HttpServer::reply(RequestId Id, const HttpReply &Reply) {
  auto It = Open.find(Id);
  if (It == Open.end())
    return;
  HttpConnection &C = *It->second;
  Open.erase(It);
  evhttp_request *Request = std::exchange(C.Request, nullptr);
  C.Writing = true;
  Table.setWaiting(C);
  timeval Timeout = toTimeval(Limits.Timeout);
  evhttp_connection_set_timeout_tv(C.Connection, &Timeout);
  evhttp_request_set_on_complete_cb(Request, handleWritten, &C);
  sendReply(Request, Reply);
  // What was read ahead belongs to the next request.
  size_t Ahead = inputSize(C);
  C.Scan = {};
  size_t Lines = Ahead > 0 ? scanHeader(C, Ahead) : 0;
  Table.setHeld(C, Ahead + Lines +
                       evbuffer_get_length(bufferevent_get_output(C.Buffers)));
  Table.enforceBytes(C);
}

void HttpServer::handleWritten(evhttp_request *, void *Arg) {
  auto &C = *static_cast<HttpConnection *>(Arg);
  if (C.Dropped)
    return;
  C.Writing = false;
  size_t Ahead = inputSize(C);
  C.Server->Table.setHeld(C, Ahead);
  // Otherwise a client could send more in each turn of the event loop than is
  // taken from what it sent before.
  if (Ahead < MaxReadAhead)
    C.Server->limitReadAhead(C, false);
}

} // namespace snipeshunt
