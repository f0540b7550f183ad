/// \file Lines of one job in the logs of several instances.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_LOG_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_LOG_H

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace snipeshunt {

/// One line and the log that it is from.
struct JobLogLine {
  std::string Text;
  std::string Source;
};

/// Adds the lines of \p In that name the job.
void readJobLines(std::istream &In, std::string_view Source,
                  std::string_view Job, std::vector<JobLogLine> &Out);

/// The lines in the order of their times, each behind its source.
std::string formatJobLines(std::vector<JobLogLine> Lines);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_LOG_H
