/// \file HTTP client with a pool of evhttp connections.
#include "http/http_client.h"

#include "http/http_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace snipeshunt {

namespace {

// A call that the process was too late to read may outlast its time-out by at
// most this, and at most by the time-out itself.
constexpr Duration MaxExtension = std::chrono::seconds(2);
// A reply that is arriving at the time-out may pause for less than this.
constexpr Duration ArrivalCheckPeriod = std::chrono::milliseconds(100);
// evhttp ends a call itself this long after the last possible moment, which
// only guards against a call that is never ended. A process that stood still
// for less than this must not lose its calls by it.
constexpr std::chrono::seconds EvhttpSlack{30};
// Most bytes that libevent reads from a connection in one turn of the event
// loop. An answer of 300 kB takes 75 turns, and a busy process handles many
// other events in each.
constexpr size_t LibeventRead = 4096;
// Bytes of a reply that are read at most before other events are handled.
constexpr size_t MaxReadPerTurn = 1 << 20;
// Time for reading the replies that arrived while the process stood still. Each
// turn of the event loop reads from a limited number of sockets before it runs
// timers.
constexpr Duration LateReadTime = std::chrono::milliseconds(5);

evhttp_cmd_type methodType(std::string_view Name) {
  if (Name == "POST")
    return EVHTTP_REQ_POST;
  if (Name == "PUT")
    return EVHTTP_REQ_PUT;
  if (Name == "DELETE")
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

} // namespace

/// An evhttp connection, used by one call at a time.
class HttpClient::Connection {
public:
  Connection(HttpClient &Owner, const Address &Endpoint, const HostPort &Parts)
      : Owner(Owner), Endpoint(Endpoint),
        Http(evhttp_connection_base_new(Owner.Loop.base(), nullptr,
                                        Parts.Host.c_str(), Parts.Port)),
        Deadline(Owner.Loop, [this] { expire(); }) {
    // A retry by evhttp could start a task twice.
    evhttp_connection_set_retries(Http, 0);
    evhttp_connection_set_max_body_size(
        Http, static_cast<ev_ssize_t>(Owner.Options.MaxReplyBody));
    evhttp_connection_set_max_headers_size(
        Http, static_cast<ev_ssize_t>(Owner.Options.MaxReplyHeaders));
    if (!Owner.Options.LocalIp.empty())
      evhttp_connection_set_local_address(Http, Owner.Options.LocalIp.c_str());
    bufferevent *Buffers = evhttp_connection_get_bufferevent(Http);
    evbuffer_add_cb(bufferevent_get_output(Buffers), handleOutput, this);
    evbuffer_add_cb(bufferevent_get_input(Buffers), handleInput, this);
    evhttp_connection_set_closecb(Http, handleClosed, this);
  }

  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { evhttp_connection_free(Http); }

  void start(HttpCall Call, Callback WhenDone, uint64_t CallNumber) {
    Done = std::move(WhenDone);
    Number = CallNumber;
    TimedOut = false;
    TooLarge = false;
    ReadAfterDelay = false;
    Started = bootTimeNow();
    Timeout = Call.Timeout;
    BehindAtStart = Owner.Loop.timeBehind();
    Arrived = 0;
    Deadline.startOnce(Timeout);
    if (!Call.Check || leadsTo(*Call.Check)) {
      sendRequest(std::move(Call));
      return;
    }
    HttpCall Question;
    Question.Method = "POST";
    Question.Path = Call.Check->Path;
    Question.Body = Call.Check->Body;
    Question.Headers = Call.Headers;
    Question.Timeout = Call.Timeout;
    Checked = std::move(Call);
    sendRequest(std::move(Question));
  }

  /// Returns true if the connection is open and known to lead to \p Process.
  /// The end of that process would have closed it.
  bool leadsTo(const HttpProcess &Process) const {
    return OpenSince &&
           (*OpenSince <= Process.KnownAt || KnownProcess == Process.Process);
  }

  /// Sends the call whose check was passed.
  void sendChecked() {
    HttpCall Call = std::move(*Checked);
    Checked.reset();
    CallDue = false;
    // evhttp would open the connection again, to whichever process is there.
    if (!OpenSince)
      complete(HttpFailure{true, "connection lost to " + Endpoint.Value},
               /*Reusable=*/false);
    else
      sendRequest(std::move(Call));
  }

  const Address &endpoint() const { return Endpoint; }
  Callback takeCallback() { return std::exchange(Done, nullptr); }
  uint64_t number() const { return Number; }
  /// Ends the call, if it has not ended, and the connection with it.
  void cancel() { end("cancelled request to "); }
  SteadyTime startedAt() const { return Started; }
  SteadyTime IdleSince{};

private:
  void sendRequest(HttpCall Call) {
    RequestBytesQueued = false;
    Written.reset();
    Request = evhttp_request_new(handleDone, this);
    OnChunk = std::move(Call.OnChunk);
    ProcessOf = std::move(Call.ProcessOf);
    OtherBodySent = Call.OtherBody && !leadsTo(*Call.OtherBody);
    if (OtherBodySent)
      Call.Body = std::move(Call.OtherBody->Body);
    if (OnChunk)
      evhttp_request_set_chunked_cb(Request, handleChunk);
    evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
    bool NamesHost =
        std::any_of(Call.Headers.begin(), Call.Headers.end(),
                    [](const auto &Header) { return Header.first == "Host"; });
    if (!NamesHost)
      evhttp_add_header(Headers, "Host", Endpoint.Value.c_str());
    if (!Call.Body.empty())
      evhttp_add_header(Headers, "Content-Type", "application/json");
    for (const auto &[Key, Value] : Call.Headers)
      evhttp_add_header(Headers, Key.c_str(), Value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(Request), Call.Body.data(),
                 Call.Body.size());
    // The default timeout of evhttp is 50 s. It is set to more than that of the
    // call, so that `Deadline` ends the call and evhttp does not.
    timeval Limit{};
    Limit.tv_sec =
        std::chrono::ceil<std::chrono::seconds>(longestTime() + EvhttpSlack)
            .count();
    evhttp_connection_set_timeout_tv(Http, &Limit);
    ++Owner.CallsSent;
    if (evhttp_make_request(Http, Request, methodType(Call.Method),
                            Call.Path.c_str()) != 0) {
      // evhttp has freed the request and does not call `handleDone`.
      Request = nullptr;
      Owner.failLater(
          [this](const HttpOutcome &Outcome) {
            if (Done)
              complete(Outcome, /*Reusable=*/false);
          },
          {!isCallSent(), "can't open a connection to " + Endpoint.Value});
      return;
    }
    HasSocket = socket() >= 0;
    enableKeepAlive();
  }

  /// Returns true if bytes of the call itself may have been written.
  bool isCallSent() const { return RequestBytesQueued && !Checked; }

  static void handleClosed(evhttp_connection *, void *Arg) {
    auto *Self = static_cast<Connection *>(Arg);
    Self->OpenSince.reset();
    Self->KnownProcess.reset();
  }

  static void handleOutput(evbuffer *Output, const evbuffer_cb_info *Info,
                           void *Arg) {
    auto *Self = static_cast<Connection *>(Arg);
    if (Info->n_added > 0)
      Self->RequestBytesQueued = true;
    if (Info->n_deleted > 0 && evbuffer_get_length(Output) == 0)
      Self->Written = bootTimeNow();
    Self->Owner.BytesSent += Info->n_added;
  }

  static void handleInput(evbuffer *Input, const evbuffer_cb_info *Info,
                          void *Arg) {
    auto *Self = static_cast<Connection *>(Arg);
    Self->Owner.BytesReceived += Info->n_added;
    Self->Arrived += Info->n_added;
    if (Info->n_added >= LibeventRead && !Self->ReadingMore)
      Self->readMore(Input);
    if (evbuffer_get_length(Input) > Self->maxUnparsed())
      Self->endForSize();
  }

  /// Returns the bytes of a reply that evhttp may not have taken yet: a part of
  /// a chunked body is taken only once it is complete.
  size_t maxUnparsed() const {
    return Owner.Options.MaxReplyHeaders + Owner.Options.MaxReplyBody +
           MaxReadPerTurn;
  }

  /// Ends the call from the event loop, as its reply has no end. evhttp limits
  /// neither the line before a chunk nor what follows a reply.
  void endForSize() {
    TooLarge = true;
    bufferevent_disable(evhttp_connection_get_bufferevent(Http), EV_READ);
    Deadline.startOnce(Duration::zero());
  }

  /// Reads what has arrived in addition to what libevent has read.
  void readMore(evbuffer *Input) {
    ReadingMore = true;
    int Socket = socket();
    for (size_t Total = 0; Total < MaxReadPerTurn;) {
      // An end or an error of the connection is left to evhttp.
      int Unread = unreadBytes(Socket);
      int Count = Unread > 0 ? evbuffer_read(Input, Socket, Unread) : 0;
      if (Count <= 0)
        break;
      Total += static_cast<size_t>(Count);
    }
    ReadingMore = false;
  }

  /// Returns the number of bytes that have arrived and were not read yet.
  static int unreadBytes(int Socket) {
    int Bytes = 0;
    return Socket >= 0 && ioctl(Socket, FIONREAD, &Bytes) == 0 ? Bytes : 0;
  }

  static void handleChunk(evhttp_request *Request, void *Arg) {
    // Only the status of an error reply is used; its body is not read here.
    if (evhttp_request_get_response_code(Request) != 200)
      return;
    evbuffer *Input = evhttp_request_get_input_buffer(Request);
    std::string Part(evbuffer_get_length(Input), '\0');
    evbuffer_remove(Input, Part.data(), Part.size());
    static_cast<Connection *>(Arg)->OnChunk(Part);
  }

  static void handleDone(evhttp_request *Finished, void *Arg) {
    auto *Self = static_cast<Connection *>(Arg);
    Self->Request = nullptr;
    int Status = Finished ? evhttp_request_get_response_code(Finished) : 0;
    if (Status == 0) {
      std::string Reason = Self->TimedOut             ? "timed out waiting for "
                           : Self->RequestBytesQueued ? "connection lost to "
                                                      : "can't connect to ";
      HttpFailure Failure{!Self->isCallSent(), Reason + Self->Endpoint.Value};
      Failure.ConnectionRefused =
          Self->HasSocket && !Self->RequestBytesQueued && !Self->TimedOut;
      if (Self->isCallSent() && Self->Written && !Self->TimedOut)
        Failure.LostAfter = bootTimeNow() - *Self->Written;
      Self->complete(Failure, /*Reusable=*/false);
      return;
    }
    HttpReply Reply;
    Reply.Status = Status;
    evbuffer *Input = evhttp_request_get_input_buffer(Finished);
    Reply.Body.resize(evbuffer_get_length(Input));
    evbuffer_remove(Input, Reply.Body.data(), Reply.Body.size());
    evkeyvalq *Headers = evhttp_request_get_input_headers(Finished);
    for (evkeyval *Kv = Headers->tqh_first; Kv; Kv = Kv->next.tqe_next)
      Reply.Headers.emplace_back(Kv->key, Kv->value);
    const char *Close = evhttp_find_header(Headers, "Connection");
    bool Reusable = !Close || evutil_ascii_strcasecmp(Close, "close") != 0;
    if (Reusable && !Self->OpenSince)
      Self->OpenSince = bootTimeNow();
    if (Self->Checked)
      return Self->applyCheck(std::move(Reply), Reusable);
    if (Reusable && Self->ProcessOf && !Self->KnownProcess)
      Self->KnownProcess = Self->ProcessOf(Reply);
    Reply.OtherBodySent = Self->OtherBodySent;
    Self->complete(std::move(Reply), Reusable);
  }

  void applyCheck(HttpReply Reply, bool Reusable) {
    const HttpCheck &Check = *Checked->Check;
    if (!Reusable || !Check.Accepts(Reply)) {
      HttpFailure Failure{true, "check not passed by " + Endpoint.Value};
      Failure.CheckReply = std::move(Reply);
      complete(Failure, Reusable);
      return;
    }
    KnownProcess = Check.Process;
    CallDue = true;
    // evhttp still uses the connection after this callback.
    Owner.Deferred.push_back([&Client = Owner, To = Endpoint, Call = Number] {
      if (Connection *C = Client.findBusy(To, Call))
        C->sendChecked();
    });
    Owner.DeferredTimer.startOnceIfStopped(Duration::zero());
  }

  int socket() const {
    return bufferevent_getfd(evhttp_connection_get_bufferevent(Http));
  }

  /// Turns on TCP keep-alive, so that a dead connection fails early even if its
  /// call waits for a long time.
  void enableKeepAlive() {
    int Socket = socket();
    if (Owner.Options.KeepAliveIdle.count() == 0 || Socket < 0)
      return;
    auto Set = [Socket](int Level, int Option, int Value) {
      setsockopt(Socket, Level, Option, &Value, sizeof(Value));
    };
    auto Seconds = static_cast<int>(Owner.Options.KeepAliveIdle.count());
    Set(SOL_SOCKET, SO_KEEPALIVE, 1);
    Set(IPPROTO_TCP, TCP_KEEPIDLE, Seconds);
    Set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
    Set(IPPROTO_TCP, TCP_KEEPCNT, 2);
  }

  /// Longest time for which the call can last.
  Duration longestTime() const {
    return Timeout + std::min(Timeout, MaxExtension);
  }

  /// Returns true if a part of the reply has arrived since the last check.
  bool replyArrives() {
    int Socket = socket();
    return std::exchange(Arrived, 0) > 0 || unreadBytes(Socket) > 0;
  }

  /// Ends the call, or extends it if the process could not have read the reply
  /// for a part of the time, or is reading it.
  void expire() {
    if (TooLarge)
      return end("too large a reply from ");
    Duration Behind = Owner.Loop.timeBehind() - BehindAtStart;
    Duration Used = bootTimeNow() - Started;
    Duration Left = Timeout + Behind - Used;
    if (Left <= Duration::zero() && replyArrives())
      Left = ArrivalCheckPeriod;
    Left = std::min(Left, longestTime() - Used);
    if (Left <= Duration::zero() && Behind > Duration::zero() &&
        !std::exchange(ReadAfterDelay, true))
      Left = LateReadTime;
    if (Left > Duration::zero())
      return Deadline.startOnce(Left);
    TimedOut = true;
    end("timed out waiting for ");
  }

  void end(const char *Reason) {
    if (!Request && !CallDue)
      return;
    // evhttp does not call `handleDone` for a cancelled request.
    if (Request)
      evhttp_cancel_request(std::exchange(Request, nullptr));
    HttpFailure Failure{!isCallSent(), Reason + Endpoint.Value};
    if (TimedOut)
      Failure.UnansweredSince = Started;
    complete(Failure, /*Reusable=*/false);
  }

  void complete(const HttpOutcome &Outcome, bool Reusable) {
    Deadline.stop();
    Checked.reset();
    CallDue = false;
    Owner.finish(this, Outcome, Reusable);
  }

  HttpClient &Owner;
  Address Endpoint;
  evhttp_connection *Http;
  evhttp_request *Request = nullptr;
  uint64_t Number = 0; ///< Of the present call.
  Callback Done;
  std::function<void(std::string_view)> OnChunk;
  Timer Deadline;
  SteadyTime Started{};      ///< When the present call was sent.
  Duration Timeout{0};       ///< Of the present call.
  Duration BehindAtStart{0}; ///< `EventLoop::timeBehind` at that time.
  size_t Arrived = 0; ///< Bytes of the reply since the last `replyArrives`.
  bool ReadingMore = false;
  /// False if none could be opened for the call, as without free descriptors.
  bool HasSocket = false;
  bool RequestBytesQueued = false;
  std::optional<SteadyTime> Written; ///< When the last byte was written.
  bool TimedOut = false;
  bool TooLarge = false;       ///< The reply exceeds `maxUnparsed`.
  bool ReadAfterDelay = false; ///< `LateReadTime` was added to the time-out.
  /// The call that follows once its check is passed; unset if there is no check
  /// or the call itself was sent.
  std::optional<HttpCall> Checked;
  bool CallDue = false; ///< The check was passed; the call is sent next.
  /// When the first reply arrived on the open connection; unset while it is not
  /// open. evhttp opens a closed connection again with the next request.
  std::optional<SteadyTime> OpenSince;
  /// Process of the last check that was passed, or that a reply has named, on
  /// the connection since it was opened.
  std::optional<int64_t> KnownProcess;
  /// `HttpCall::ProcessOf` of the present call.
  std::function<std::optional<int64_t>(const HttpReply &)> ProcessOf;
  bool OtherBodySent = false; ///< The present call has `HttpCall::OtherBody`.
};

HttpClient::HttpClient(EventLoop &Loop, HttpClientOptions Options)
    : Loop(Loop), Options(std::move(Options)),
      DeferredTimer(Loop, [this] { runDeferred(); }),
      IdleTimer(Loop, [this] { closeExpired(); }) {
  IdleTimer.startPeriodic(std::chrono::milliseconds(500));
}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::send(HttpCall Call, Callback Done) {
  Address Endpoint = Call.Target;
  uint64_t Number = NextCall++;
  Target &T = Targets[Endpoint];
  if (T.Queue.size() >= Options.MaxWaitingPerTarget) {
    failLater(std::move(Done),
              {true, "too many requests are queued for " + Endpoint.Value});
    return Number;
  }
  T.Queue.push_back({std::move(Call), std::move(Done), bootTimeNow(), Number});
  dispatch(Endpoint);
  return Number;
}

void HttpClient::cancel(const Address &Target, uint64_t Number) {
  auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  auto &Queue = Found->second.Queue;
  auto Queued = std::find_if(Queue.begin(), Queue.end(), [&](const auto &Call) {
    return Call.Number == Number;
  });
  if (Queued != Queue.end()) {
    failLater(std::move(Queued->Done),
              {true, "cancelled request to " + Target.Value});
    Queue.erase(Queued);
    return;
  }
  if (Connection *C = findBusy(Target, Number))
    C->cancel();
}

HttpClient::Connection *HttpClient::findBusy(const Address &Endpoint,
                                             uint64_t Number) {
  for (const std::unique_ptr<Connection> &C : Targets[Endpoint].Busy)
    if (C->number() == Number)
      return C.get();
  return nullptr;
}

std::unique_ptr<HttpClient::Connection>
HttpClient::takeIdle(Target &T, const HttpCall &Call) {
  if (T.Idle.empty())
    return nullptr;
  auto Best = std::prev(T.Idle.end());
  if (Call.Check) {
    auto Known =
        std::find_if(T.Idle.rbegin(), T.Idle.rend(),
                     [&](const auto &C) { return C->leadsTo(*Call.Check); });
    if (Known != T.Idle.rend())
      Best = std::prev(Known.base());
  }
  std::unique_ptr<Connection> C = std::move(*Best);
  T.Idle.erase(Best);
  return C;
}

void HttpClient::dispatch(const Address &Endpoint) {
  Target &T = Targets[Endpoint];
  while (!T.Queue.empty() && T.Busy.size() < Options.MaxConnectionsPerTarget) {
    // `runDeferred` goes on as soon as these can be used.
    if (T.Idle.empty() && T.Queue.size() <= T.Returning)
      return;
    QueuedCall Next = std::move(T.Queue.front());
    T.Queue.pop_front();
    std::unique_ptr<Connection> C = takeIdle(T, Next.Call);
    if (!C) {
      Result<HostPort> Parts = parseAddress(Endpoint);
      if (failed(Parts)) {
        failLater(std::move(Next.Done), {true, errorOf(Parts).Message});
        continue;
      }
      C = std::make_unique<Connection>(*this, Endpoint, valueOf(Parts));
    }
    Connection *Started = C.get();
    T.Busy.push_back(std::move(C));
    Started->start(std::move(Next.Call), std::move(Next.Done), Next.Number);
  }
}

void HttpClient::finish(Connection *C, const HttpOutcome &Outcome,
                        bool Reusable) {
  Callback Done = C->takeCallback();
  Address Endpoint = C->endpoint();
  Target &T = Targets[Endpoint];
  auto It =
      std::find_if(T.Busy.begin(), T.Busy.end(),
                   [C](const auto &Candidate) { return Candidate.get() == C; });
  std::unique_ptr<Connection> Owned = std::move(*It);
  T.Busy.erase(It);
  const auto *Failure = std::get_if<HttpFailure>(&Outcome);
  // Connections may fall silent together. Each would cost a later call its
  // time-out.
  if (Failure && Failure->UnansweredSince)
    closeIdleSince(Endpoint, *Failure->UnansweredSince);
  // evhttp still uses the connection after its callback, so the connection can
  // be neither freed nor given a new request before that has returned.
  T.Returning += Reusable ? 1 : 0;
  (Reusable ? PendingIdle : PendingDeletion).push_back(std::move(Owned));
  Deferred.push_back([this, Endpoint] { dispatch(Endpoint); });
  DeferredTimer.startOnceIfStopped(Duration::zero());
  if (Done)
    report(Done, Outcome);
}

void HttpClient::report(const Callback &Done, const HttpOutcome &Outcome) {
  try {
    Done(Outcome);
  } catch (const std::exception &E) {
    // Without a handler of `HandlerFailed`, the error would go unseen.
    if (HandlerFailed.empty())
      throw;
    HandlerFailed.emit(E.what());
  }
}

void HttpClient::failLater(Callback Done, HttpFailure Failure) {
  Deferred.push_back([this, Done = std::move(Done),
                      Failure = std::move(Failure)] { report(Done, Failure); });
  DeferredTimer.startOnceIfStopped(Duration::zero());
}

void HttpClient::runDeferred() {
  PendingDeletion.clear();
  for (std::unique_ptr<Connection> &C : PendingIdle) {
    C->IdleSince = bootTimeNow();
    Target &T = Targets[C->endpoint()];
    --T.Returning;
    T.Idle.push_back(std::move(C));
  }
  PendingIdle.clear();
  std::vector<std::function<void()>> Now = std::move(Deferred);
  Deferred.clear();
  for (std::function<void()> &Step : Now)
    Step();
}

void HttpClient::closeIdle(const Address &Target) {
  auto Found = Targets.find(Target);
  if (Found != Targets.end())
    Found->second.Idle.clear();
}

void HttpClient::closeIdleSince(const Address &Target, SteadyTime Since) {
  auto Found = Targets.find(Target);
  if (Found == Targets.end())
    return;
  auto &Idle = Found->second.Idle;
  Idle.erase(
      std::remove_if(Idle.begin(), Idle.end(),
                     [Since](const auto &C) { return C->startedAt() < Since; }),
      Idle.end());
}

void HttpClient::closeExpired() {
  SteadyTime Limit = bootTimeNow() - Options.IdleTimeout;
  for (auto It = Targets.begin(); It != Targets.end();) {
    Target &T = It->second;
    while (!T.Idle.empty() && T.Idle.front()->IdleSince < Limit)
      T.Idle.pop_front();
    bool Unused =
        T.Idle.empty() && T.Busy.empty() && T.Queue.empty() && T.Returning == 0;
    It = Unused ? Targets.erase(It) : std::next(It);
  }
}

} // namespace snipeshunt
