/// \file Logging with a fixed prefix for each part.
#ifndef SNIPESHUNT_DAEMON_LOG_H
#define SNIPESHUNT_DAEMON_LOG_H

#include "settings/settings_type.h"

#include <easylogging++.h>

/// Logs one line of \p LEVEL for the part named \p PART.
#define SNIPESHUNT_LOG(LEVEL, PART) LOG(LEVEL) << (PART) << ": "

namespace snipeshunt {

/// Sends log lines of \p Level and above to standard error.
void configureLog(LogLevel Level);

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_LOG_H
