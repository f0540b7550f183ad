/// \file Reloading of the settings file.
#ifndef SNIPESHUNT_RUNTIME_SETTINGS_WATCH_H
#define SNIPESHUNT_RUNTIME_SETTINGS_WATCH_H

#include "runtime/cell_daemon.h"

#include <string>

namespace snipeshunt {

/// Reads the settings file again on SIGHUP, and when it has changed without.
class SettingsWatch {
public:
  SettingsWatch(CellDaemon &Owner, std::string FileName);
  SettingsWatch(const SettingsWatch &) = delete;
  SettingsWatch &operator=(const SettingsWatch &) = delete;

private:
  void reload(const Result<std::string> &Text, const char *Cause);
  void check();

  CellDaemon &Owner;
  std::string FileName;
  std::string LastText; ///< As read last.
  Timer CheckTimer;
  SignalWatcher OnHangUp;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_SETTINGS_WATCH_H
