/// \file Reloads the settings file while an instance runs.
#ifndef SNIPESHUNT_RUNTIME_SETTINGS_WATCH_H
#define SNIPESHUNT_RUNTIME_SETTINGS_WATCH_H

#include "runtime/cell_daemon.h"

#include <string>

namespace snipeshunt {

/// Reloads the settings file on SIGHUP, and also when a periodic check finds
/// that its text has changed. Invalid settings are logged and not applied.
class SettingsWatch {
public:
  SettingsWatch(CellDaemon &Owner, std::string FileName);
  SettingsWatch(const SettingsWatch &) = delete;
  SettingsWatch &operator=(const SettingsWatch &) = delete;

private:
  /// Parses \p Text and dispatches `SettingsChanged`; \p Cause is for the log.
  void reload(const Result<std::string> &Text, const char *Cause);
  /// Reloads the file if its text differs from `LastText`.
  void check();

  CellDaemon &Owner;
  std::string FileName;
  std::string LastText; ///< Text of the file when it was last readable.
  Timer CheckTimer;
  SignalWatcher OnHangUp;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RUNTIME_SETTINGS_WATCH_H
