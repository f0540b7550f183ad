/// \file Command line of the tool.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H

#include "core/error_type.h"
#include "tool_support/tool_type.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Environment variables, used when the options that they replace are absent.
struct ToolEnvironment {
  std::string Instances; ///< SNIPESHUNT_INSTANCES
  std::string Platform;  ///< SNIPESHUNT_PLATFORM
  std::string User;      ///< USER
};

/// Reads the arguments after the program's name.
Result<ToolArguments> parseToolArguments(const std::vector<std::string> &Words,
                                         const ToolEnvironment &Environment);

/// Help of the tool or of one subcommand.
std::string toolHelp(std::optional<ToolCommand> Command);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H
