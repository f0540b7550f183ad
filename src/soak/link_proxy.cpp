/// \file TCP proxy on loopback addresses that injects link faults.
#include "soak/link_proxy.h"

#include "http/http_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <deque>
#include <future>
#include <optional>

namespace snipeshunt {

namespace {

// Bytes are forwarded by polling, which is simpler than callbacks for each kind
// of fault and delays them by less than a process takes to wake up.
constexpr Duration StepPeriod = std::chrono::milliseconds(1);

struct ListenerDeleter {
  void operator()(evconnlistener *L) const { evconnlistener_free(L); }
};
struct BuffereventDeleter {
  void operator()(bufferevent *B) const { bufferevent_free(B); }
};
using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventDeleter>;

sockaddr_in socketAddress(const std::string &Ip, uint16_t Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &Out.sin_addr);
  return Out;
}

std::string takeAll(evbuffer *From) {
  std::string Text(evbuffer_get_length(From), '\0');
  evbuffer_remove(From, Text.data(), Text.size());
  return Text;
}

/// One end of a forwarded connection.
struct PipeEnd {
  BuffereventPtr Socket;
  bool Closed = false;
  bool WasReset = false;
  /// Bytes received at this end, each chunk with the time to forward it.
  std::deque<std::pair<SteadyTime, std::string>> Delayed;

  void attach(bufferevent *B) {
    Socket.reset(B);
    bufferevent_setcb(
        B, nullptr, nullptr,
        [](bufferevent *, short Events, void *Self) {
          auto *E = static_cast<PipeEnd *>(Self);
          E->Closed = E->Closed || (Events & (BEV_EVENT_EOF | BEV_EVENT_ERROR));
          E->WasReset = E->WasReset || (Events & BEV_EVENT_ERROR);
        },
        this);
    bufferevent_enable(B, EV_READ | EV_WRITE);
  }

  bool drained() const {
    return Delayed.empty() &&
           evbuffer_get_length(bufferevent_get_input(Socket.get())) == 0;
  }

  /// Forwards received bytes to \p To, each \p Delay after it was read.
  void pump(PipeEnd &To, Duration Delay, SteadyTime Now) {
    evbuffer *Input = bufferevent_get_input(Socket.get());
    if (Delay > Duration::zero() || !Delayed.empty()) {
      if (evbuffer_get_length(Input) > 0)
        Delayed.emplace_back(Now + Delay, takeAll(Input));
      for (; !Delayed.empty() && Delayed.front().first <= Now;
           Delayed.pop_front())
        bufferevent_write(To.Socket.get(), Delayed.front().second.data(),
                          Delayed.front().second.size());
      return;
    }
    bufferevent_write_buffer(To.Socket.get(), Input);
  }

  bool flushed() const {
    return evbuffer_get_length(bufferevent_get_output(Socket.get())) == 0;
  }

  void abort() const {
    linger Now{1, 0};
    setsockopt(bufferevent_getfd(Socket.get()), SOL_SOCKET, SO_LINGER, &Now,
               sizeof(Now));
  }
};

} // namespace

class LinkProxy::Link {
public:
  explicit Link(EventLoop &Loop) : Loop(Loop) {}

  std::optional<Address> listen(const std::string &Ip) {
    sockaddr_in Endpoint = socketAddress(Ip, 0);
    Listener.reset(evconnlistener_new_bind(
        Loop.base(),
        [](evconnlistener *, evutil_socket_t Socket, sockaddr *, int,
           void *Self) { static_cast<Link *>(Self)->accept(Socket); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<sockaddr *>(&Endpoint), sizeof(Endpoint)));
    if (!Listener)
      return std::nullopt;
    socklen_t Size = sizeof(Endpoint);
    getsockname(evconnlistener_get_fd(Listener.get()),
                reinterpret_cast<sockaddr *>(&Endpoint), &Size);
    return Address{Ip + ":" + std::to_string(ntohs(Endpoint.sin_port))};
  }

  void step(SteadyTime Now) {
    for (auto It = Pipes.begin(); It != Pipes.end();)
      It = stepOne(**It, Now) ? std::next(It) : Pipes.erase(It);
  }

  void reset() {
    for (const auto &P : Pipes) {
      P->Near.abort();
      if (P->Far.Socket)
        P->Far.abort();
    }
    Pipes.clear();
  }

  void silence() {
    for (const auto &P : Pipes)
      P->Silent = true;
  }

  std::optional<HostPort> Target;
  LinkFault Fault;

private:
  struct Pipe {
    PipeEnd Near;        ///< Connection accepted by the proxy.
    PipeEnd Far;         ///< Connection from the proxy to the target.
    bool Silent = false; ///< See silence().
  };

  void accept(evutil_socket_t Socket) {
    evutil_make_socket_nonblocking(Socket);
    auto P = std::make_unique<Pipe>();
    P->Near.attach(
        bufferevent_socket_new(Loop.base(), Socket, BEV_OPT_CLOSE_ON_FREE));
    Pipes.push_back(std::move(P));
  }

  void connect(Pipe &P) {
    sockaddr_in Endpoint = socketAddress(Target->Host, Target->Port);
    P.Far.attach(
        bufferevent_socket_new(Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
    if (bufferevent_socket_connect(P.Far.Socket.get(),
                                   reinterpret_cast<sockaddr *>(&Endpoint),
                                   sizeof(Endpoint)) != 0)
      P.Far.Closed = true;
  }

  /// Forwards bytes and closes; returns false once the connection has ended.
  bool stepOne(Pipe &P, SteadyTime Now) {
    if (P.Silent || !Target)
      return true;
    // As on a real link, a reset discards the bytes in transit.
    if (P.Near.WasReset || P.Far.WasReset) {
      P.Near.abort();
      if (P.Far.Socket)
        P.Far.abort();
      return false;
    }
    if (!P.Far.Socket) {
      if (!Fault.HoldForward)
        connect(P);
      return true;
    }
    if (!Fault.HoldForward)
      P.Near.pump(P.Far, Fault.Delay, Now);
    if (!Fault.HoldBackward)
      P.Far.pump(P.Near, Fault.Delay, Now);
    // A close is forwarded after all bytes that precede it.
    bool NearOver = P.Near.Closed && !Fault.HoldForward && P.Near.drained();
    bool FarOver = P.Far.Closed && !Fault.HoldBackward && P.Far.drained();
    if (NearOver)
      return !P.Far.flushed() && !P.Far.Closed;
    if (FarOver)
      return !P.Near.flushed() && !P.Near.Closed;
    return true;
  }

  EventLoop &Loop;
  std::unique_ptr<evconnlistener, ListenerDeleter> Listener;
  std::list<std::unique_ptr<Pipe>> Pipes;
};

LinkProxy::LinkProxy() : StepTimer(Loop, [this] { runCommands(); }) {
  StepTimer.startPeriodic(StepPeriod);
  Thread = std::thread([this] { Loop.run(); });
}

LinkProxy::~LinkProxy() {
  post([this] {
    Links.clear();
    Loop.stop();
  });
  Thread.join();
}

void LinkProxy::post(std::function<void()> Command) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Commands.push_back(std::move(Command));
}

void LinkProxy::runCommands() {
  std::vector<std::function<void()>> Due;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Due.swap(Commands);
  }
  for (const std::function<void()> &Command : Due)
    Command();
  SteadyTime Now = std::chrono::steady_clock::now();
  for (const std::unique_ptr<Link> &L : Links)
    L->step(Now);
}

Result<size_t> LinkProxy::open(const std::string &Ip) {
  std::promise<std::optional<Address>> Opened;
  post([&] {
    Links.push_back(std::make_unique<Link>(Loop));
    Opened.set_value(Links.back()->listen(Ip));
  });
  std::optional<Address> Endpoint = Opened.get_future().get();
  if (!Endpoint)
    return Error{ErrorKind::Unavailable, "no link can listen on " + Ip,
                 "stop other soak tests on this machine"};
  Addresses.push_back(*Endpoint);
  return Addresses.size() - 1;
}

void LinkProxy::setTarget(size_t Number, const Address &Target) {
  Result<HostPort> Parsed = parseAddress(Target);
  if (!failed(Parsed))
    post([this, Number, To = valueOf(Parsed)] { Links[Number]->Target = To; });
}

void LinkProxy::setFault(size_t Number, LinkFault Fault) {
  post([this, Number, Fault] { Links[Number]->Fault = Fault; });
}

void LinkProxy::reset(size_t Number) {
  post([this, Number] { Links[Number]->reset(); });
}

void LinkProxy::silence(size_t Number) {
  post([this, Number] { Links[Number]->silence(); });
}

} // namespace snipeshunt
