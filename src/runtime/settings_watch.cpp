/// \file Reloads the settings file while an instance runs.
#include "runtime/settings_watch.h"

#include "daemon/log.h"
#include "settings/fleet_settings_func.h"
#include "settings/settings_field.h"

#include <csignal>

namespace snipeshunt {

namespace {

// The file may change without a signal. Reading its 1 KB costs 0.1 ms.
constexpr Duration CheckPeriod = std::chrono::seconds(5);

} // namespace

SettingsWatch::SettingsWatch(CellDaemon &Owner, std::string FileName)
    : Owner(Owner), FileName(std::move(FileName)),
      CheckTimer(Owner.loop(), [this] { check(); }),
      OnHangUp(Owner.loop(), SIGHUP,
               [this] { reload(readSettingsFile(this->FileName), "SIGHUP"); }) {
  Result<std::string> Text = readSettingsFile(this->FileName);
  if (!failed(Text))
    LastText = std::move(valueOf(Text));
  CheckTimer.startPeriodic(CheckPeriod);
}

void SettingsWatch::check() {
  Result<std::string> Text = readSettingsFile(FileName);
  if (!failed(Text) && valueOf(Text) != LastText)
    reload(Text, "a file change");
}

void SettingsWatch::reload(const Result<std::string> &Text, const char *Cause) {
  Result<FleetSettings> Settings =
      failed(Text) ? Result<FleetSettings>(errorOf(Text))
                   : parseFleetSettings(valueOf(Text), FileName);
  if (!failed(Text))
    LastText = valueOf(Text);
  if (failed(Settings)) {
    SNIPESHUNT_LOG(ERROR, "instance")
        << "settings read after " << Cause
        << " are invalid, keeping the earlier ones: "
        << errorOf(Settings).Message << "; " << errorOf(Settings).Remedy;
    return;
  }
  SNIPESHUNT_LOG(INFO, "instance") << "settings read again after " << Cause;
  Owner.dispatch(SettingsChanged{std::move(valueOf(Settings))});
}

} // namespace snipeshunt
