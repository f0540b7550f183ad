/// \file Reads the settings of an instance of a fleet of cells.
#ifndef SNIPESHUNT_SETTINGS_FLEET_SETTINGS_FUNC_H
#define SNIPESHUNT_SETTINGS_FLEET_SETTINGS_FUNC_H

#include "core/error_type.h"
#include "settings/fleet_settings_type.h"

#include <string_view>

namespace snipeshunt {

/// Reads settings from JSON with comments. The message of an error gives
/// \p FileName, the key and the allowed values.
Result<FleetSettings> parseFleetSettings(std::string_view Text,
                                         std::string_view FileName);

/// Reads the settings file \p FileName.
Result<FleetSettings> loadFleetSettings(const std::string &FileName);

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_FLEET_SETTINGS_FUNC_H
