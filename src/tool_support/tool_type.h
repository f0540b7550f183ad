/// \file Typed arguments and exit codes of the command-line tool.
#ifndef SNIPESHUNT_TOOL_SUPPORT_TOOL_TYPE_H
#define SNIPESHUNT_TOOL_SUPPORT_TOOL_TYPE_H

#include "configuration/configuration_type.h"
#include "core/clock.h"
#include "core/id_type.h"

#include <optional>
#include <string>
#include <vector>

namespace snipeshunt {

/// Exit status of the tool; scripts rely on the numbers.
enum class ToolExit {
  Success = 0,
  Failed = 1,      ///< The job failed or a request was refused.
  Usage = 2,       ///< Wrong arguments.
  Unreachable = 3, ///< No instance could be reached.
  Unknown = 4,     ///< The request may have taken effect.
};

/// What the tool is asked to do.
enum class ToolCommand {
  Submit,
  Status,
  Cancel,
  Instances,
  Upstreams,
  Drain,
  Timeline,
  Log,
  Config,
};

/// What is done with the configuration.
enum class ConfigVerb {
  Get,
  Set,
  Diff,
  Check,
  AddException,
  RemoveException,
  History,
  Status,
};

/// The command line, checked.
struct ToolArguments {
  std::optional<ToolCommand> Command; ///< None for --help and --version.
  bool Help = false;                  ///< Print help and exit.
  bool Version = false;               ///< Print the version and exit.
  std::vector<Address> Instances;     ///< In the order to try them.
  std::optional<Duration> Timeout;    ///< Limit of each request.
  bool Json = false;                  ///< Print answers as JSON.
  std::string File = "-";             ///< submit: job body, `-` for stdin.
  bool Wait = true;                   ///< submit: wait for the answer.
  int Attempts = 3;                   ///< submit: sends of one ticket.
  std::string Ticket;                 ///< status, cancel.
  std::string TraceFile;              ///< timeline: where to write a trace.
  std::string Job;                    ///< timeline, log: only this job.
  std::vector<std::string> LogFiles;  ///< log: of the instances.
  ConfigVerb Verb = ConfigVerb::Get;  ///< config: what to do.
  std::optional<Address> Platform;    ///< config: the platform's service.
  std::string Author;                 ///< config: who makes the change.
  PolicyException Exception;          ///< config exceptions: to add or remove.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_TYPE_H
