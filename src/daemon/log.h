/// \file Log lines on standard output or standard error.
#ifndef SNIPESHUNT_DAEMON_LOG_H
#define SNIPESHUNT_DAEMON_LOG_H

#include "settings/settings_type.h"

#include <easylogging++.h>

#include <cstdint>

/// Logs one line of \p LEVEL that starts with the name of the part, \p PART.
#define SNIPESHUNT_LOG(LEVEL, PART) LOG(LEVEL) << (PART) << ": "

namespace snipeshunt {

enum class LogStream { StandardOutput, StandardError };

/// Sends log lines of \p Level and above to \p Stream. Called once at start.
/// Lines for standard output are buffered and written without blocking; lines
/// that exceed the buffer are dropped and counted. Standard error is written
/// directly.
void configureLog(LogLevel Level, LogStream Stream);

/// Writes as many buffered lines as standard output accepts. Called on each
/// tick of an instance in a fleet of cells.
void flushLog();

/// Returns true if one more line of a kind that is logged per request may be
/// logged in the current second; otherwise counts it as dropped.
bool admitFrequentLine();

/// Number of lines dropped since the start, by a full buffer or by
/// `admitFrequentLine`.
uint64_t droppedLogLines();

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_LOG_H
