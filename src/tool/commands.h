/// \file Subcommands of the tool. Each function runs the subcommand of its name
/// with checked arguments, prints its output and returns the exit status.
#ifndef SNIPESHUNT_TOOL_COMMANDS_H
#define SNIPESHUNT_TOOL_COMMANDS_H

#include "tool_support/tool_type.h"

namespace snipeshunt {

// job_command.cpp
/// Prints the state of one job.
ToolExit runStatus(const ToolArguments &Arguments);
/// Cancels one job.
ToolExit runCancel(const ToolArguments &Arguments);
// submit_command.cpp
/// Submits a job and prints its results, or its ticket with `--wait=false`.
ToolExit runSubmit(const ToolArguments &Arguments);
// fleet_command.cpp
/// Prints the instances that one instance lists.
ToolExit runInstances(const ToolArguments &Arguments);
/// Prints the upstreams that one instance lists.
ToolExit runUpstreams(const ToolArguments &Arguments);
/// Starts the graceful shutdown of one instance.
ToolExit runDrain(const ToolArguments &Arguments);
// config_command.cpp
/// Runs the verb of `config` that the arguments select.
ToolExit runConfig(const ToolArguments &Arguments);
// config_status_command.cpp
/// Prints the configuration revision in force on each instance.
ToolExit runConfigStatus(const ToolArguments &Arguments);
// log_command.cpp
/// Prints the lines of one job from several log files.
ToolExit runLog(const ToolArguments &Arguments);
// timeline_command.cpp
/// Prints or exports the merged timelines of all instances.
ToolExit runTimeline(const ToolArguments &Arguments);

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_COMMANDS_H
