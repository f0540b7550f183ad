/// \file Merges the log lines of one job from several instances.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_LOG_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_LOG_H

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

/// One log line with its origin.
struct JobLogLine {
  std::string Text;   ///< The line; begins with its time.
  std::string Source; ///< Name of the log file.
};

/// Appends the lines of \p In that have the field `job=` with the id \p Job to
/// \p Out. \p Source is the name of the log file.
void readJobLines(std::istream &In, std::string_view Source,
                  std::string_view Job, std::vector<JobLogLine> &Out);

/// Formats the lines in the order of their times, each prefixed with its
/// source.
std::string formatJobLines(std::vector<JobLogLine> Lines);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_LOG_H
