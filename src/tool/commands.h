/// \file Subcommands of the tool; each runs one and gives the exit status.
#ifndef SNIPESHUNT_TOOL_COMMANDS_H
#define SNIPESHUNT_TOOL_COMMANDS_H

#include "tool_support/tool_type.h"

namespace snipeshunt {

// job_command.cpp
ToolExit runStatus(const ToolArguments &Arguments);
ToolExit runCancel(const ToolArguments &Arguments);
// submit_command.cpp
ToolExit runSubmit(const ToolArguments &Arguments);
// fleet_command.cpp
ToolExit runInstances(const ToolArguments &Arguments);
ToolExit runUpstreams(const ToolArguments &Arguments);
ToolExit runDrain(const ToolArguments &Arguments);
// config_command.cpp
ToolExit runConfig(const ToolArguments &Arguments);
// config_status_command.cpp
ToolExit runConfigStatus(const ToolArguments &Arguments);
// log_command.cpp
ToolExit runLog(const ToolArguments &Arguments);
// timeline_command.cpp
ToolExit runTimeline(const ToolArguments &Arguments);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_COMMANDS_H
