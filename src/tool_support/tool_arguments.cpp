/// \file Command line of the tool.
#include "tool_support/tool_arguments.h"

#include "configuration/configuration_table.h"
#include "http/http_address.h"
#include "tool_support/tool_table.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <getopt.h>

namespace snipeshunt {

namespace {

enum OptionCode {
  InstanceOption = 256,
  TimeoutOption,
  JsonOption,
  HelpOption,
  VersionOption,
  WaitOption,
  AttemptsOption,
  TraceOption,
  JobOption,
  PlatformOption,
  AuthorOption,
  ScopeOption,
  NameOption,
  SettingOption,
  ValueOption,
  ReasonOption,
  IdOption,
};

const option ConfigOptions[] = {
    {"platform", required_argument, nullptr, PlatformOption},
    {"author", required_argument, nullptr, AuthorOption},
    {"scope", required_argument, nullptr, ScopeOption},
    {"name", required_argument, nullptr, NameOption},
    {"setting", required_argument, nullptr, SettingOption},
    {"value", required_argument, nullptr, ValueOption},
    {"reason", required_argument, nullptr, ReasonOption},
    {"id", required_argument, nullptr, IdOption},
};

const option GlobalOptions[] = {
    {"instance", required_argument, nullptr, InstanceOption},
    {"timeout-ms", required_argument, nullptr, TimeoutOption},
    {"json", no_argument, nullptr, JsonOption},
    {"help", no_argument, nullptr, HelpOption},
    {"version", no_argument, nullptr, VersionOption},
};

std::vector<option> optionsOf(std::optional<ToolCommand> Command) {
  std::vector<option> Out(std::begin(GlobalOptions), std::end(GlobalOptions));
  if (Command == ToolCommand::Submit) {
    Out.push_back({"wait", optional_argument, nullptr, WaitOption});
    Out.push_back({"attempts", required_argument, nullptr, AttemptsOption});
  }
  if (Command == ToolCommand::Timeline) {
    Out.push_back({"trace", required_argument, nullptr, TraceOption});
    Out.push_back({"job", required_argument, nullptr, JobOption});
  }
  if (Command == ToolCommand::Log)
    Out.push_back({"job", required_argument, nullptr, JobOption});
  if (Command == ToolCommand::Config)
    Out.insert(Out.end(), std::begin(ConfigOptions), std::end(ConfigOptions));
  Out.push_back({nullptr, 0, nullptr, 0});
  return Out;
}

const ToolCommandRow *findCommand(std::string_view Name) {
  const auto *Found = std::find_if(
      std::begin(ToolCommandTable), std::end(ToolCommandTable),
      [Name](const ToolCommandRow &Row) { return Row.Name == Name; });
  return Found == std::end(ToolCommandTable) ? nullptr : Found;
}

const ToolCommandRow &rowOf(ToolCommand Command) {
  return *std::find_if(
      std::begin(ToolCommandTable), std::end(ToolCommandTable),
      [Command](const ToolCommandRow &Row) { return Row.Command == Command; });
}

Error usageError(std::string Message, std::optional<ToolCommand> Command) {
  std::string Name =
      Command ? " " + std::string(rowOf(*Command).Name) : std::string();
  return {ErrorKind::InvalidField, std::move(Message),
          "see snipeshunt" + Name + " --help"};
}

/// Parses one command line. Each member function handles one step; the first
/// error is kept in `Problem`.
class ArgumentParser {
public:
  explicit ArgumentParser(ToolEnvironment Environment)
      : Environment(std::move(Environment)) {}

  Result<ToolArguments> parse(const std::vector<std::string> &Words);

private:
  /// Parses the options in \p Words and returns the words that are no options.
  /// Before the subcommand is known, stops at the first such word.
  std::vector<std::string> readOptions(const std::vector<std::string> &Words);
  void apply(int Code, const char *Value);
  void readPositionals(const std::vector<std::string> &Words);
  void addInstances(const std::string &List);
  void checkInstances();
  void applyConfig(int Code, const std::string &Value);
  void readConfigVerb(std::vector<std::string> &Words);
  void checkConfig();
  /// Returns the row of \p Table with the name \p Name. Otherwise records an
  /// error that lists the valid names, and returns null.
  template <typename Row, size_t N>
  const Row *findRow(const char *Option, const std::string &Name,
                     const Row (&Table)[N]);
  int readNumber(const char *Option, const char *Text, int Max);
  /// Records the first error; later ones are ignored.
  void fail(std::string Message) {
    if (!Problem)
      Problem = usageError(std::move(Message), Out.Command);
  }

  ToolEnvironment Environment;
  ToolArguments Out;
  std::string Scope;
  std::string Setting;
  std::string Value;
  std::optional<Error> Problem;
};

std::vector<std::string>
ArgumentParser::readOptions(const std::vector<std::string> &Words) {
  std::vector<std::string> Copies = Words;
  std::string Program = "snipeshunt";
  std::vector<char *> Pointers = {Program.data()};
  for (std::string &Word : Copies)
    Pointers.push_back(Word.data());
  Pointers.push_back(nullptr);
  int Count = static_cast<int>(Pointers.size()) - 1;
  std::vector<option> Options = optionsOf(Out.Command);
  const char *Short = Out.Command ? ":" : "+:";
  // Setting `optind` to 0 makes glibc reset the state of an earlier parse.
  optind = 0;
  opterr = 0;
  for (;;) {
    int Before = std::max(optind, 1);
    int Code = getopt_long(Count, Pointers.data(), Short, Options.data(),
                           /*longindex=*/nullptr);
    if (Code == -1)
      break;
    std::string Word = Pointers[std::min(std::max(optind - 1, Before), Count)];
    if (Code == ':')
      fail("option '" + Word + "' needs a value");
    else if (Code == '?')
      fail("option '" + Word + "' is unknown or malformed");
    else
      apply(Code, optarg);
  }
  return {Pointers.data() + optind, Pointers.data() + Count};
}

void ArgumentParser::apply(int Code, const char *Value) {
  switch (Code) {
  case InstanceOption:
    addInstances(Value);
    break;
  case TimeoutOption:
    Out.Timeout =
        std::chrono::milliseconds(readNumber("--timeout-ms", Value, 86400000));
    break;
  case JsonOption:
    Out.Json = true;
    break;
  case HelpOption:
    Out.Help = true;
    break;
  case VersionOption:
    Out.Version = true;
    break;
  case WaitOption:
    Out.Wait = !Value || std::string_view(Value) == "true";
    if (Value && !Out.Wait && std::string_view(Value) != "false")
      fail("--wait must be true or false");
    break;
  case AttemptsOption:
    Out.Attempts = readNumber("--attempts", Value, 100);
    break;
  case TraceOption:
    Out.TraceFile = Value;
    break;
  case JobOption:
    Out.Job = Value;
    break;
  default:
    applyConfig(Code, Value);
  }
}

void ArgumentParser::applyConfig(int Code, const std::string &Text) {
  switch (Code) {
  case PlatformOption:
    Out.Platform = Address{Text};
    break;
  case AuthorOption:
    Out.Author = Text;
    break;
  case ScopeOption:
    Scope = Text;
    break;
  case NameOption:
    Out.Exception.Name = Text;
    break;
  case SettingOption:
    Setting = Text;
    break;
  case ValueOption:
    Value = Text;
    break;
  case ReasonOption:
    Out.Exception.Reason = Text;
    break;
  case IdOption:
    Out.Exception.Id.Value = Text;
    break;
  }
}

void ArgumentParser::readConfigVerb(std::vector<std::string> &Words) {
  std::string Verb = Words.empty() ? "" : Words.front();
  size_t Used = Words.empty() ? 0 : 1;
  if (Verb == "exceptions" && Words.size() > 1) {
    Verb += " " + Words[1];
    Used = 2;
  }
  Words.erase(Words.begin(), Words.begin() + static_cast<std::ptrdiff_t>(Used));
  for (const ConfigVerbRow &Row : ConfigVerbTable) {
    if (Row.Words != Verb)
      continue;
    Out.Verb = Row.Verb;
    if (Row.TakesArgument && Words.empty())
      return fail("config " + Verb + " needs an argument");
    if (!Row.TakesArgument)
      return;
    Out.File = Words.front();
    if (Row.Verb == ConfigVerb::RemoveException)
      Out.Exception.Id.Value = Words.front();
    Words.erase(Words.begin());
    return;
  }
  fail("'config " + Verb + "' is not a subcommand");
}

template <typename Row, size_t N>
const Row *ArgumentParser::findRow(const char *Option, const std::string &Name,
                                   const Row (&Table)[N]) {
  std::string Allowed;
  for (const Row &R : Table) {
    if (Name == R.Name)
      return &R;
    Allowed += (Allowed.empty() ? "" : ", ") + std::string(R.Name);
  }
  fail(std::string(Option) + " must be one of " + Allowed);
  return nullptr;
}

void ArgumentParser::checkConfig() {
  if (!Out.Platform && !Environment.Platform.empty())
    Out.Platform = Address{Environment.Platform};
  bool NeedsPlatform =
      Out.Verb != ConfigVerb::Check && Out.Verb != ConfigVerb::Status;
  if (NeedsPlatform && !Out.Platform)
    fail("the platform's service is not given; add --platform IP:port or set "
         "SNIPESHUNT_PLATFORM");
  if (Out.Platform && failed(parseAddress(*Out.Platform)))
    fail("'" + Out.Platform->Value + "' is not an IPv4 address and port");
  if (Out.Author.empty())
    Out.Author = Environment.User;
  for (const ConfigVerbRow &Row : ConfigVerbTable)
    if (Row.Verb == Out.Verb && Row.Changes && Out.Author.empty())
      fail("the author is not known; add --author NAME or set USER");
  if (Out.Verb != ConfigVerb::AddException)
    return;
  PolicyException &E = Out.Exception;
  if (const ScopeRow *Row = findRow("--scope", Scope, ScopeTable))
    E.Scope = Row->Scope;
  if (const SettingRow *Row = findRow("--setting", Setting, SettingTable))
    E.Setting = Row->Setting;
  char *End = nullptr;
  E.Value = strtod(Value.c_str(), &End);
  if (Value.empty() || *End != '\0')
    fail("--value must be a number");
  if (E.Id.Value.empty())
    E.Id.Value = Scope + "/" + E.Name + "/" + Setting;
}

int ArgumentParser::readNumber(const char *Option, const char *Text, int Max) {
  int Number = 0;
  std::string_view View(Text);
  const char *End = View.data() + View.size();
  auto [Rest, Code] = std::from_chars(View.data(), End, Number);
  if (Code == std::errc() && Rest == End && Number >= 1 && Number <= Max)
    return Number;
  fail(std::string(Option) + " must be a whole number from 1 to " +
       std::to_string(Max));
  return 1;
}

void ArgumentParser::addInstances(const std::string &List) {
  std::istringstream Items(List);
  for (std::string Item; std::getline(Items, Item, ',');) {
    if (Item.empty())
      continue;
    Address Name{Item};
    if (failed(parseAddress(Name)))
      fail("'" + Item + "' is not an IPv4 address and port");
    if (std::find(Out.Instances.begin(), Out.Instances.end(), Name) ==
        Out.Instances.end())
      Out.Instances.push_back(std::move(Name));
  }
}

void ArgumentParser::readPositionals(const std::vector<std::string> &Words) {
  if (Out.Command == ToolCommand::Log) {
    Out.LogFiles = Words;
    if (Out.Job.empty())
      fail("the job is missing; add --job JOB");
    if (Words.empty())
      fail("no log file is given");
    return;
  }
  bool TakesTicket =
      Out.Command == ToolCommand::Status || Out.Command == ToolCommand::Cancel;
  size_t Limit = TakesTicket || Out.Command == ToolCommand::Submit ? 1 : 0;
  if (Words.size() > Limit)
    fail("unexpected argument '" + Words[Limit] + "'");
  if (TakesTicket && Words.empty())
    fail("the ticket is missing");
  if (Words.empty())
    return;
  if (TakesTicket)
    Out.Ticket = Words[0];
  else
    Out.File = Words[0];
}

void ArgumentParser::checkInstances() {
  // `log` reads files, and the verbs of `config` other than `status` use only
  // the platform's service, so they need no instance.
  if (Out.Command == ToolCommand::Log)
    return;
  if (Out.Command == ToolCommand::Config && Out.Verb != ConfigVerb::Status)
    return;
  // `drain` ignores SNIPESHUNT_INSTANCES, so that a list in the environment
  // can't shut an instance down by mistake.
  if (Out.Command == ToolCommand::Drain) {
    if (Out.Instances.size() != 1)
      fail("drain needs exactly one --instance");
    return;
  }
  if (Out.Instances.empty())
    addInstances(Environment.Instances);
  if (Out.Instances.empty())
    fail("no instance is given; add --instance IP:port or set "
         "SNIPESHUNT_INSTANCES");
}

Result<ToolArguments>
ArgumentParser::parse(const std::vector<std::string> &Words) {
  std::vector<std::string> Rest = readOptions(Words);
  if (!Problem && (Out.Help || Out.Version))
    return Out;
  if (!Problem && Rest.empty())
    fail("a subcommand is missing");
  if (Problem)
    return *Problem;
  const ToolCommandRow *Row = findCommand(Rest.front());
  if (!Row)
    return usageError("'" + Rest.front() + "' is not a subcommand",
                      std::nullopt);
  Out.Command = Row->Command;
  Rest = readOptions({Rest.begin() + 1, Rest.end()});
  if (!Problem && (Out.Help || Out.Version))
    return Out;
  if (Out.Command == ToolCommand::Config)
    readConfigVerb(Rest);
  readPositionals(Rest);
  if (Out.Command == ToolCommand::Config)
    checkConfig();
  checkInstances();
  if (Problem)
    return *Problem;
  return Out;
}

} // namespace

Result<ToolArguments> parseToolArguments(const std::vector<std::string> &Words,
                                         const ToolEnvironment &Environment) {
  return ArgumentParser(Environment).parse(Words);
}

std::string toolHelp(std::optional<ToolCommand> Command) {
  std::ostringstream Out;
  if (Command) {
    const ToolCommandRow &Row = rowOf(*Command);
    Out << "Usage: snipeshunt " << Row.Name << " " << Row.Synopsis << "\n"
        << Row.Brief << "\n";
    if (!Row.Details.empty())
      Out << "\n" << Row.Details;
  } else {
    Out << "Usage: snipeshunt [OPTIONS] SUBCOMMAND [ARGUMENTS]\n\n"
        << "Subcommands:\n";
    for (const ToolCommandRow &Row : ToolCommandTable)
      Out << "  " << Row.Name << std::string(12 - Row.Name.size(), ' ')
          << Row.Brief << "\n";
  }
  Out << "\nOptions:\n"
      << ToolGlobalOptions << "\nExit status:\n"
      << ToolExitCodes;
  return Out.str();
}

} // namespace snipeshunt
