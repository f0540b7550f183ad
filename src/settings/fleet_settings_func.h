/// \file Reading the settings of a fleet instance.
#ifndef SNIPESHUNT_SETTINGS_FLEET_SETTINGS_FUNC_H
#define SNIPESHUNT_SETTINGS_FLEET_SETTINGS_FUNC_H

#include "core/error_type.h"
#include "settings/fleet_settings_type.h"

#include <string_view>

namespace snipeshunt {

/// Reads settings from JSON with comments.
Result<FleetSettings> parseFleetSettings(std::string_view Text,
                                         std::string_view FileName);

Result<FleetSettings> loadFleetSettings(const std::string &FileName);

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_FLEET_SETTINGS_FUNC_H
