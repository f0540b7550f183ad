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
  Failed = 1,      ///< The job failed or a request was rejected.
  Usage = 2,       ///< Wrong arguments.
  Unreachable = 3, ///< No instance could be reached.
  Unknown = 4,     ///< Outcome unknown; the request may have taken effect.
};

/// Subcommands of the tool.
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

/// Verbs of the subcommand `config`.
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

/// The parsed and checked command line. A subcommand in front of a colon means
/// that only this one uses the field.
struct ToolArguments {
  std::optional<ToolCommand> Command; ///< None for --help and --version.
  bool Help = false;                  ///< Print help and exit.
  bool Version = false;               ///< Print the version and exit.
  std::vector<Address> Instances;     ///< Tried in this order.
  std::optional<Duration> Timeout;    ///< Limit of each request; none: default.
  bool Json = false;                  ///< Print answers as JSON.
  std::string File = "-";             ///< submit: job body, `-` for stdin.
  bool Wait = true;                   ///< submit: wait for the answer.
  int Attempts = 3;                   ///< submit: times one ticket is sent.
  std::string Ticket;                 ///< status, cancel: ticket of the job.
  std::string TraceFile;              ///< timeline: output file of the trace.
  std::string Job;                    ///< timeline, log: id of the only job.
  std::vector<std::string> LogFiles;  ///< log: log files of the instances.
  ConfigVerb Verb = ConfigVerb::Get;  ///< config: the verb.
  std::optional<Address> Platform;    ///< config: the platform's service.
  std::string Author;                 ///< config: author of the change.
  PolicyException Exception;          ///< config exceptions: to add or remove.
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TOOL_SUPPORT_TOOL_TYPE_H
