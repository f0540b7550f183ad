/// \file Logging with a fixed prefix for each part.
#ifndef SNIPESHUNT_DAEMON_LOG_H
#define SNIPESHUNT_DAEMON_LOG_H

#include "settings/settings_type.h"

#include <easylogging++.h>

#include <cstdint>

/// Logs one line of \p LEVEL for the part named \p PART.
#define SNIPESHUNT_LOG(LEVEL, PART) LOG(LEVEL) << (PART) << ": "

namespace snipeshunt {

enum class LogStream { StandardOutput, StandardError };

/// Sends log lines of \p Level and above to \p Stream. Never waits for a
/// reader of standard output; lines that find no room are counted and dropped.
void configureLog(LogLevel Level, LogStream Stream);

/// Writes lines that are still held. Called once in each round of the loop.
void flushLog();

/// Whether one more line of a kind that comes with each request may be logged
/// in the current second; if not, it counts as dropped.
bool admitFrequentLine();

/// Lines that were dropped so far.
uint64_t droppedLogLines();

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_LOG_H
