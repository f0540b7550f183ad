/// \file Logging with a fixed prefix for each part.
#include "daemon/log.h"

#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace snipeshunt {

namespace {

/// Writes to standard error; the library's own output is standard output.
class StandardErrorDispatch : public el::LogDispatchCallback {
protected:
  void handle(const el::LogDispatchData *Data) noexcept override {
    std::cerr << Data->logMessage()->logger()->logBuilder()->build(
        Data->logMessage(),
        Data->dispatchAction() == el::base::DispatchAction::NormalLog);
  }
};

void enable(el::Configurations &Conf, el::Level Level, bool Enabled) {
  Conf.set(Level, el::ConfigurationType::Enabled, Enabled ? "true" : "false");
}

} // namespace

void configureLog(LogLevel Level) {
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
  el::Helpers::installLogDispatchCallback<StandardErrorDispatch>(
      "StandardErrorDispatch");
}

} // namespace snipeshunt
