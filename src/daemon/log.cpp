/// \file Log lines on standard output or standard error.
#include "daemon/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <string>

INITIALIZE_EASYLOGGINGPP

namespace snipeshunt {

namespace {

/// Writes to standard error; the library's default is standard output.
class StandardErrorDispatch : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) noexcept override {
    std::cerr << Data->logMessage()->logger()->logBuilder()->build(
        Data->logMessage(),
        Data->dispatchAction() == el::base::DispatchAction::NormalLog);
  }
};

// Size of the lines buffered while standard output accepts none; about one
// second of lines at full load.
constexpr size_t MaxPendingBytes = 128 << 10;

// Limit for lines that are logged per request. Each costs about 10 us, so that
// they use at most 0.2 % of a core.
constexpr int MaxFrequentLinesPerSecond = 200;

/// Lines for standard output that have not been written yet.
struct PendingLines {
  std::string Text;     ///< The lines, up to `MaxPendingBytes`.
  uint64_t Dropped = 0; ///< Number of lines dropped since the start.
};

PendingLines &pendingLines() {
  static PendingLines Lines;
  return Lines;
}

/// Buffers lines, so that `flushLog` writes those of one round of the event
/// loop in one call.
class StandardOutputDispatch : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) noexcept override {
    PendingLines &Pending = pendingLines();
    std::string Line = Data->logMessage()->logger()->logBuilder()->build(
        Data->logMessage(),
        Data->dispatchAction() == el::base::DispatchAction::NormalLog);
    if (Pending.Text.size() + Line.size() > MaxPendingBytes)
      ++Pending.Dropped;
    else
      Pending.Text += Line;
  }
};

void enable(el::Configurations &Conf, el::Level Level, bool Enabled) {
  Conf.set(Level, el::ConfigurationType::Enabled, Enabled ? "true" : "false");
}

} // namespace

void configureLog(LogLevel Level, LogStream Stream) {
  el::Configurations Conf;
  Conf.setToDefault();
  Conf.setGlobally(el::ConfigurationType::Format,
                   "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  Conf.setGlobally(el::ConfigurationType::ToFile, "false");
  Conf.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  enable(Conf, el::Level::Debug, Level >= LogLevel::Debug);
  enable(Conf, el::Level::Info, Level >= LogLevel::Info);
  enable(Conf, el::Level::Warning, Level >= LogLevel::Warning);
  el::Loggers::reconfigureAllLoggers(Conf);
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  if (Stream == LogStream::StandardError) {
    el::Helpers::installLogDispatchCallback<StandardErrorDispatch>(
        "StandardErrorDispatch");
    return;
  }
  int Flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (Flags >= 0)
    fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
  el::Helpers::installLogDispatchCallback<StandardOutputDispatch>(
      "StandardOutputDispatch");
}

void flushLog() {
  std::string &Text = pendingLines().Text;
  if (Text.empty())
    return;
  ssize_t Written = write(STDOUT_FILENO, Text.data(), Text.size());
  if (Written > 0)
    Text.erase(0, static_cast<size_t>(Written));
}

bool admitFrequentLine() {
  static std::chrono::steady_clock::time_point SecondStart{};
  static int Lines = 0;
  auto Now = std::chrono::steady_clock::now();
  if (Now - SecondStart >= std::chrono::seconds(1)) {
    SecondStart = Now;
    Lines = 0;
  }
  if (++Lines <= MaxFrequentLinesPerSecond)
    return true;
  ++pendingLines().Dropped;
  return false;
}

uint64_t droppedLogLines() { return pendingLines().Dropped; }

} // namespace snipeshunt
