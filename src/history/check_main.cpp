/// \file `snipeshunt-check`: checks the histories of a run against the
/// guarantees.
#include "history/history_func.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <string_view>

#include <getopt.h>

namespace snipeshunt {

namespace {

// Exit statuses; scripts rely on the numbers.
constexpr int ExitPassed = 0;
constexpr int ExitViolation = 1;
constexpr int ExitInvalidInput = 2; ///< Wrong usage or unreadable input.

constexpr std::string_view Usage =
    "Usage: snipeshunt-check --upstream FILE... --caller FILE...\n"
    "                        [--timeline FILE...] [--leaving-grace-ms N]\n"
    "Checks the histories of a run against the guarantees.\n\n"
    "  --upstream FILE...      histories of upstreams\n"
    "  --caller FILE...        histories of callers\n"
    "  --timeline FILE...      timelines of instances\n"
    "  --leaving-grace-ms N    how long a leaving upstream may still get\n"
    "                          tasks (default 5000)\n"
    "  --help                  print this help\n\n"
    "Exit status: 0 all guarantees hold, 1 a violation was found, 2 wrong\n"
    "usage or unreadable input.\n";

/// Reads one history file into the input of the checks.
using Reader = std::optional<Error> (*)(std::istream &, const std::string &,
                                        HistoryInput &);

/// The parsed command line.
struct CheckArguments {
  /// Name of each file with the reader of its kind, in the order given.
  std::vector<std::pair<Reader, std::string>> Files;
  bool HasUpstream = false; ///< `--upstream` is present.
  bool HasCaller = false;   ///< `--caller` is present.
  Duration Grace = std::chrono::milliseconds(5000); ///< `--leaving-grace-ms`.
  bool Help = false;                                ///< Print help and exit.
};

Error usageError(std::string Message) {
  return {ErrorKind::InvalidField, std::move(Message),
          "see snipeshunt-check --help"};
}

bool readGrace(std::string_view Text, Duration &Out) {
  constexpr int64_t Max = 86400000;
  int64_t Number = 0;
  auto [Rest, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  Out = std::chrono::milliseconds(Number);
  return Code == std::errc() && Rest == Text.data() + Text.size() &&
         Number >= 0 && Number <= Max;
}

Result<CheckArguments> parseArguments(int Count, char **Words) {
  enum Code { Upstream = 256, Caller, Timeline, Grace, Help };
  static const option Options[] = {
      {"upstream", required_argument, nullptr, Upstream},
      {"caller", required_argument, nullptr, Caller},
      {"timeline", required_argument, nullptr, Timeline},
      {"leaving-grace-ms", required_argument, nullptr, Grace},
      {"help", no_argument, nullptr, Help},
      {nullptr, 0, nullptr, 0}};
  CheckArguments Out;
  Reader Current = nullptr;
  opterr = 0;
  // With the leading dash, getopt returns arguments that are no options as code
  // 1; these are further files of the option before them.
  for (int Code; (Code = getopt_long(Count, Words, "-:", Options,
                                     /*longindex=*/nullptr)) != -1;) {
    if (Code == '?' || Code == ':')
      return usageError("'" + std::string(Words[optind - 1]) +
                        "' is unknown or has no value");
    if (Code == Help) {
      Out.Help = true;
      return Out;
    }
    if (Code == Grace) {
      Current = nullptr;
      if (!readGrace(optarg, Out.Grace))
        return usageError("--leaving-grace-ms must be a whole number");
      continue;
    }
    if (Code != 1)
      Current = Code == Upstream ? readUpstreamHistory
                : Code == Caller ? readCallerHistory
                                 : readTimelineHistory;
    if (!Current)
      return usageError("'" + std::string(optarg) + "' follows no option");
    Out.HasUpstream |= Code == Upstream;
    Out.HasCaller |= Code == Caller;
    Out.Files.emplace_back(Current, optarg);
  }
  if (!Out.HasUpstream || !Out.HasCaller)
    return usageError("--upstream and --caller are needed");
  return Out;
}

Result<HistoryInput> readFiles(const CheckArguments &Arguments) {
  HistoryInput Out;
  for (const auto &[Read, Name] : Arguments.Files) {
    std::ifstream In(Name, std::ios::binary);
    if (!In)
      return Error{ErrorKind::NotFound, "can't open " + Name,
                   "check the name and its permissions"};
    if (std::optional<Error> Problem = Read(In, Name, Out))
      return *Problem;
  }
  // Input without records would pass every check.
  if (Out.Upstreams.empty() && Out.Callers.empty())
    return Error{ErrorKind::InvalidField, "the histories contain no record",
                 "check that the run wrote them"};
  return Out;
}

int fail(const Error &Problem) {
  std::cerr << "snipeshunt-check: " << Problem.Message << "; " << Problem.Remedy
            << "\n";
  return ExitInvalidInput;
}

int runCheck(int Count, char **Words) {
  Result<CheckArguments> Arguments = parseArguments(Count, Words);
  if (failed(Arguments))
    return fail(errorOf(Arguments));
  if (valueOf(Arguments).Help) {
    std::cout << Usage;
    return ExitPassed;
  }
  Result<HistoryInput> Input = readFiles(valueOf(Arguments));
  if (failed(Input))
    return fail(errorOf(Input));
  std::vector<GuaranteeReport> Reports =
      checkHistories(valueOf(Input), valueOf(Arguments).Grace);
  std::cout << formatReports(Reports)
            << "truncated last lines: " << valueOf(Input).TruncatedLastLines
            << ", dropped timeline events: "
            << valueOf(Input).DroppedTimelineEvents << "\n";
  return anyViolation(Reports) ? ExitViolation : ExitPassed;
}

} // namespace

} // namespace snipeshunt

int main(int Count, char **Words) { return snipeshunt::runCheck(Count, Words); }
