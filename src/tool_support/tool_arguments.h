/// \file Command line of the tool.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H

#include "core/error_type.h"
#include "tool_support/tool_type.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Values of environment variables, which are the defaults of absent options;
/// empty if not set.
struct ToolEnvironment {
  std::string Instances; ///< SNIPESHUNT_INSTANCES, for --instance.
  std::string Platform;  ///< SNIPESHUNT_PLATFORM, for --platform.
  std::string User;      ///< USER, for --author.
};

/// Parses and checks the arguments after the program's name. An error has a
/// message for the user.
Result<ToolArguments> parseToolArguments(const std::vector<std::string> &Words,
                                         const ToolEnvironment &Environment);

/// Returns the help text of the tool, or of one subcommand.
std::string toolHelp(std::optional<ToolCommand> Command);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H
