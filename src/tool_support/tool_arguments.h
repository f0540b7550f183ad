/// \file Command line of the tool.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H

#include "core/error_type.h"
#include "tool_support/tool_type.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Reads the arguments after the program's name. \p InstancesVariable is the
/// value of SNIPESHUNT_INSTANCES, used when no --instance is given.
Result<ToolArguments> parseToolArguments(const std::vector<std::string> &Words,
                                         const std::string &InstancesVariable);

/// Help of the tool or of one subcommand.
std::string toolHelp(std::optional<ToolCommand> Command);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_ARGUMENTS_H
