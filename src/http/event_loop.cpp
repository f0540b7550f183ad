/// \file RAII wrappers over libevent's loop, timers and signals.
#include "http/event_loop.h"

#include <event2/event.h>

#include <csignal>

namespace snipeshunt {

namespace {

timeval toTimeval(Duration D) {
  auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(D).count();
  if (Micros < 0)
    Micros = 0;
  timeval Tv{};
  Tv.tv_sec = Micros / 1000000;
  Tv.tv_usec = Micros % 1000000;
  return Tv;
}

// Period of the checks whether the loop is late.
constexpr Duration LagCheckPeriod = std::chrono::milliseconds(50);
// Shorter delays occur between any two events and are not counted.
constexpr Duration LagTolerance = std::chrono::milliseconds(10);

} // namespace

/// Adds up how late a periodic timer of the loop runs.
class EventLoop::LagMeter {
public:
  explicit LagMeter(EventLoop &Loop) : Check(Loop, [this] { restart(); }) {
    restart();
  }

  Duration total() const { return Total + currentDelay(); }

private:
  Duration currentDelay() const {
    Duration Late = bootTimeNow() - Due;
    return Late > LagTolerance ? Late : Duration::zero();
  }

  void restart() {
    if (Due != SteadyTime{})
      Total += currentDelay();
    Due = bootTimeNow() + LagCheckPeriod;
    Check.startOnce(LagCheckPeriod);
  }

  Timer Check;
  Duration Total{0};
  SteadyTime Due{}; ///< Of the next check; unset before the first.
};

void EventLoop::BaseDeleter::operator()(event_base *B) const {
  event_base_free(B);
}

EventLoop::EventLoop() {
  // A peer that closes its connection must not end the process.
  signal(SIGPIPE, SIG_IGN);
  // The precise timer keeps sub-millisecond timers from being rounded up.
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  Base.reset(event_base_new_with_config(Config));
  event_config_free(Config);
}

EventLoop::~EventLoop() = default;

void EventLoop::run() { event_base_dispatch(Base.get()); }

void EventLoop::runFor(Duration Wait) {
  timeval Tv = toTimeval(Wait);
  event_base_loopexit(Base.get(), &Tv);
  event_base_loop(Base.get(), EVLOOP_ONCE);
}

void EventLoop::stop() { event_base_loopbreak(Base.get()); }

Duration EventLoop::timeBehind() {
  if (!Lag)
    Lag = std::make_unique<LagMeter>(*this);
  return Lag->total();
}

void Timer::EventDeleter::operator()(event *E) const { event_free(E); }

Timer::Timer(EventLoop &Loop, std::function<void()> Function)
    : Loop(Loop), Function(std::move(Function)) {}

Timer::~Timer() = default;

void Timer::start(Duration Delay, bool Periodic) {
  auto Callback = [](evutil_socket_t, short, void *Arg) {
    static_cast<Timer *>(Arg)->Function();
  };
  short Flags = Periodic ? EV_PERSIST : 0;
  Event.reset(event_new(Loop.base(), -1, Flags, Callback, this));
  timeval Tv = toTimeval(Delay);
  event_add(Event.get(), &Tv);
}

void Timer::startOnce(Duration Delay) { start(Delay, /*Periodic=*/false); }

void Timer::startOnceIfStopped(Duration Delay) {
  if (!Event || event_pending(Event.get(), EV_TIMEOUT, nullptr) == 0)
    startOnce(Delay);
}

void Timer::startPeriodic(Duration Period) { start(Period, /*Periodic=*/true); }

void Timer::stop() { Event.reset(); }

SignalWatcher::SignalWatcher(EventLoop &Loop, int Signal,
                             std::function<void()> Function)
    : Function(std::move(Function)) {
  auto Callback = [](evutil_socket_t, short, void *Arg) {
    static_cast<SignalWatcher *>(Arg)->Function();
  };
  Event = evsignal_new(Loop.base(), Signal, Callback, this);
  event_add(Event, nullptr);
}

SignalWatcher::~SignalWatcher() { event_free(Event); }

} // namespace snipeshunt
