/// \file `snipeshunt`, the command-line tool: parses the arguments and runs one
/// subcommand.
#include "tool/commands.h"
#include "tool_support/tool_answer.h"
#include "tool_support/tool_arguments.h"
#include "tool_support/tool_table.h"

#include <cstdlib>
#include <iostream>

namespace snipeshunt {

namespace {

ToolExit runCommand(const ToolArguments &Arguments) {
  switch (*Arguments.Command) {
  case ToolCommand::Submit:
    return runSubmit(Arguments);
  case ToolCommand::Status:
    return runStatus(Arguments);
  case ToolCommand::Cancel:
    return runCancel(Arguments);
  case ToolCommand::Instances:
    return runInstances(Arguments);
  case ToolCommand::Upstreams:
    return runUpstreams(Arguments);
  case ToolCommand::Drain:
    return runDrain(Arguments);
  case ToolCommand::Timeline:
    return runTimeline(Arguments);
  case ToolCommand::Log:
    return runLog(Arguments);
  case ToolCommand::Config:
    return runConfig(Arguments);
  }
  return ToolExit::Usage;
}

/// Returns the value of an environment variable; empty if it is not set.
std::string environmentVariable(const char *Name) {
  const char *Value = getenv(Name);
  return Value ? Value : "";
}

ToolExit runTool(const std::vector<std::string> &Words) {
  Result<ToolArguments> Parsed =
      parseToolArguments(Words, {environmentVariable("SNIPESHUNT_INSTANCES"),
                                 environmentVariable("SNIPESHUNT_PLATFORM"),
                                 environmentVariable("USER")});
  if (failed(Parsed)) {
    const Error &Problem = errorOf(Parsed);
    std::cerr << formatError(Problem.Message, Problem.Remedy);
    return ToolExit::Usage;
  }
  const ToolArguments &Arguments = valueOf(Parsed);
  if (Arguments.Help)
    std::cout << toolHelp(Arguments.Command);
  else if (Arguments.Version)
    std::cout << "snipeshunt " << ToolVersion << "\n";
  else
    return runCommand(Arguments);
  return ToolExit::Success;
}

} // namespace

} // namespace snipeshunt

int main(int Count, char **Words) {
  return static_cast<int>(
      snipeshunt::runTool({Words + (Count > 0 ? 1 : 0), Words + Count}));
}
