/// \file Subcommands of the tool and their help texts.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_TABLE_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_TABLE_H

#include "tool_support/tool_type.h"

#include <string_view>

namespace snipeshunt {

/// Name and help texts of one subcommand.
struct ToolCommandRow {
  ToolCommand Command;
  std::string_view Name;
  std::string_view Synopsis; ///< Arguments and its own options.
  std::string_view Brief;    ///< One line for the list of subcommands.
  std::string_view Details;  ///< One option per line; may be empty.
};

/// Printed by `--version`.
inline constexpr std::string_view ToolVersion = "0.1.0";

/// All subcommands, in the order in which the help lists them.
inline constexpr ToolCommandRow ToolCommandTable[] = {
    {ToolCommand::Submit, "submit",
     "[FILE|-] [--wait[=true|false]] [--attempts N]",
     "submit a job and print its results",
     "  FILE              job body as JSON; - or nothing reads standard input\n"
     "  --wait=false      print the ticket without waiting for the answer\n"
     "  --attempts N      times the ticket is sent, 1 to 100 (default 3)\n"},
    {ToolCommand::Status, "status", "TICKET", "print the state of a job", ""},
    {ToolCommand::Cancel, "cancel", "TICKET", "cancel a job", ""},
    {ToolCommand::Instances, "instances", "", "list the known instances", ""},
    {ToolCommand::Upstreams, "upstreams", "", "list the known upstreams", ""},
    {ToolCommand::Drain, "drain", "--instance IP:port",
     "shut one instance down gracefully", ""},
    {ToolCommand::Timeline, "timeline", "[--trace FILE] [--job JOB]",
     "print the merged events of all instances",
     "  --trace FILE      write trace-event JSON to FILE, or - for standard "
     "output\n"
     "  --job JOB         only events of this job id or ticket\n"},
    {ToolCommand::Log, "log", "--job JOB FILE...",
     "print the lines of one job from the logs of several instances",
     "  --job JOB         id of the job\n"
     "  FILE              log of an instance; its name prefixes the lines\n"},
    {ToolCommand::Config, "config",
     "get | set FILE | diff FILE | check FILE | exceptions add OPTIONS |\n"
     "         exceptions remove ID | history | status",
     "read and change the configuration",
     "  get               print the document in the platform's service\n"
     "  set FILE          replace it by FILE, which must be an edited copy of\n"
     "                    the current one; - reads standard input\n"
     "  diff FILE         print what set would change\n"
     "  check FILE        check FILE without any service\n"
     "  exceptions add    add one exception, given by --scope, --name,\n"
     "                    --setting, --value, --reason and optionally --id\n"
     "  exceptions remove ID\n"
     "                    remove the exception called ID\n"
     "  history           print the changes, oldest first\n"
     "  status            print the revision in force on each instance; fails\n"
     "                    unless all have the same and none rejects a newer "
     "one\n"
     "  --platform IP:port\n"
     "                    the platform's service (default:\n"
     "                    SNIPESHUNT_PLATFORM)\n"
     "  --author NAME     who makes the change (default: USER)\n"},
};

/// Syntax of one verb of `config`.
struct ConfigVerbRow {
  ConfigVerb Verb;
  std::string_view Words; ///< The verb as typed, one or two words.
  bool TakesArgument;     ///< Followed by a file or an exception id.
  bool Changes;           ///< Changes the configuration: needs an author.
};

/// All verbs of `config`.
inline constexpr ConfigVerbRow ConfigVerbTable[] = {
    {ConfigVerb::Get, "get", false, false},
    {ConfigVerb::Set, "set", true, true},
    {ConfigVerb::Diff, "diff", true, false},
    {ConfigVerb::Check, "check", true, false},
    {ConfigVerb::AddException, "exceptions add", false, true},
    {ConfigVerb::RemoveException, "exceptions remove", true, true},
    {ConfigVerb::History, "history", false, false},
    {ConfigVerb::Status, "status", false, false},
};

/// Help text of the options that every subcommand accepts.
inline constexpr std::string_view ToolGlobalOptions =
    "  --instance IP:port  instance to query; repeat it to give several\n"
    "                      (default: SNIPESHUNT_INSTANCES, comma separated)\n"
    "  --timeout-ms N      limit of each request (default 30000; submit waits\n"
    "                      at least as long as the job's patience_ms)\n"
    "  --json              print answers as JSON\n"
    "  --help              print this help\n"
    "  --version           print the version\n";

/// Help text of the exit statuses, see `ToolExit`.
inline constexpr std::string_view ToolExitCodes =
    "  0 success, 1 the job failed or a request was rejected, 2 wrong usage,\n"
    "  3 nothing reachable, 4 outcome unknown\n";

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_TABLE_H
