/// \file Reads the settings of a daemon of the ticket mode.
#ifndef SNIPESHUNT_SETTINGS_SETTINGS_FUNC_H
#define SNIPESHUNT_SETTINGS_SETTINGS_FUNC_H

#include "core/error_type.h"
#include "settings/settings_type.h"

#include <string>
#include <string_view>

namespace snipeshunt {

/// Reads settings from JSON with comments. The message of an error gives
/// \p FileName, the key and the allowed values.
Result<DaemonSettings> parseSettings(std::string_view Text,
                                     std::string_view FileName);

/// Reads the settings file \p FileName.
Result<DaemonSettings> loadSettings(const std::string &FileName);

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_SETTINGS_FUNC_H
