/// \file Subcommand that collects the lines of one job from several logs.
#include "tool/api_client.h"
#include "tool/commands.h"
#include "tool_support/tool_log.h"

#include <fstream>
#include <iostream>

namespace snipeshunt {

ToolExit runLog(const ToolArguments &Arguments) {
  std::vector<JobLogLine> Lines;
  for (const std::string &Name : Arguments.LogFiles) {
    std::ifstream File(Name);
    if (!File)
      return fail(ToolExit::Failed, "the log " + Name + " can't be read",
                  "check its name and permissions");
    readJobLines(File, Name, Arguments.Job, Lines);
  }
  if (Lines.empty())
    return fail(ToolExit::Failed, "no line has the field job=" + Arguments.Job,
                "give the logs of all instances; frequent lines are dropped "
                "under load and counted in snipeshunt_log_dropped_total");
  std::cout << formatJobLines(std::move(Lines));
  return ToolExit::Success;
}

} // namespace snipeshunt
