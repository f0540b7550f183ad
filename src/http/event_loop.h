/// \file RAII wrappers of libevent's event loop, timers and signals.
#ifndef SNIPESHUNT_HTTP_EVENT_LOOP_H
#define SNIPESHUNT_HTTP_EVENT_LOOP_H

#include "core/clock.h"

#include <functional>
#include <memory>

struct event;
struct event_base;

namespace snipeshunt {

/// An event loop. All callbacks run in the thread that calls `run` or `runFor`.
class EventLoop {
public:
  EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;
  ~EventLoop();

  /// Runs until `stop` is called.
  void run();
  /// Waits for events for at most \p Wait and handles those that are ready.
  void runFor(Duration Wait);
  /// Makes `run` return once the current callback has ended.
  void stop();
  event_base *base() const { return Base.get(); }
  /// Returns the total time for which due events waited because the process
  /// did not run or handled others. Measured since the first call.
  Duration timeBehind();

private:
  struct BaseDeleter {
    void operator()(event_base *B) const;
  };
  class LagMeter;
  std::unique_ptr<event_base, BaseDeleter> Base;
  std::unique_ptr<LagMeter> Lag; ///< Null before the first `timeBehind`.
};

/// Calls a function after a delay, once or periodically. Starting a running
/// timer replaces its delay.
class Timer {
public:
  Timer(EventLoop &Loop, std::function<void()> Function);
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  ~Timer();

  void startOnce(Duration Delay);
  /// As `startOnce`, but does nothing if the timer is running. Used for work
  /// that many events ask for: the loop handles sockets before timers, so that
  /// a restart by each event would postpone a due timer without end.
  void startOnceIfStopped(Duration Delay);
  void startPeriodic(Duration Period);
  /// Cancels the timer.
  void stop();

private:
  void start(Duration Delay, bool Periodic);

  EventLoop &Loop;
  std::function<void()> Function;
  struct EventDeleter {
    void operator()(event *E) const;
  };
  std::unique_ptr<event, EventDeleter> Event;
};

/// Calls a function from the event loop when the process receives a signal.
class SignalWatcher {
public:
  SignalWatcher(EventLoop &Loop, int Signal, std::function<void()> Function);
  SignalWatcher(const SignalWatcher &) = delete;
  SignalWatcher &operator=(const SignalWatcher &) = delete;
  ~SignalWatcher();

private:
  std::function<void()> Function;
  event *Event;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_HTTP_EVENT_LOOP_H
