/// \file Fields that several settings files share.
#ifndef SNIPESHUNT_SETTINGS_SETTINGS_FIELD_H
#define SNIPESHUNT_SETTINGS_SETTINGS_FIELD_H

#include "core/json_func.h"
#include "settings/settings_type.h"

#include <string>
#include <string_view>

namespace snipeshunt {

/// Reads an address if present; others must be able to connect to it.
void readOptionalAddress(ObjectReader &Reader, const char *Name, Address &Out);

void readRequiredAddress(ObjectReader &Reader, const char *Name, Address &Out);

/// Reads the object `log`, if present.
void readLogLevel(ObjectReader &Top, LogLevel &Out);

/// Names the file in an error.
Error withFileName(Error E, std::string_view FileName);

/// Parses the text of a settings file, which may have comments.
Result<Json::Value> parseSettingsText(std::string_view Text,
                                      std::string_view FileName);

/// Text of a settings file.
Result<std::string> readSettingsFile(const std::string &FileName);

} // namespace snipeshunt

#endif // SNIPESHUNT_SETTINGS_SETTINGS_FIELD_H
