/// \file Reads fields that the settings files of both modes have.
#ifndef SNIPESHUNT_SETTINGS_SETTINGS_FIELD_H
#define SNIPESHUNT_SETTINGS_SETTINGS_FIELD_H

#include "core/json_func.h"
#include "settings/settings_type.h"

#include <string>
#include <string_view>

namespace snipeshunt {

/// Reads an address if present. It must be an IPv4 number with a port other
/// than 0, because other processes have to connect to it.
void readOptionalAddress(ObjectReader &Reader, const char *Name, Address &Out);

/// As `readOptionalAddress`, but the field must be present.
void readRequiredAddress(ObjectReader &Reader, const char *Name, Address &Out);

/// Reads the field `level` of the object `log`, if present.
void readLogLevel(ObjectReader &Top, LogLevel &Out);

/// Returns \p E with a message that consists of the file name, the old message
/// and the remedy.
Error withFileName(Error E, std::string_view FileName);

/// Parses the text of a settings file, which may have comments.
Result<Json::Value> parseSettingsText(std::string_view Text,
                                      std::string_view FileName);

/// Returns the text of a settings file.
Result<std::string> readSettingsFile(const std::string &FileName);

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_SETTINGS_FIELD_H
