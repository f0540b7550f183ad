/// \file Command line of the soak tests.
#include "fleet/soak_options.h"

#include "core/number_func.h"

#include <getopt.h>

namespace snipeshunt {

namespace {

enum Code {
  SecondsOption,
  SeedOption,
  RateOption,
  CallersOption,
  BinaryDirOption,
  KeepOption,
  PrintScheduleOption,
  FirstSizeOption, ///< First of the size options, in the order of their table.
};

constexpr option SharedNames[] = {
    {"seconds", required_argument, nullptr, SecondsOption},
    {"seed", required_argument, nullptr, SeedOption},
    {"rate", required_argument, nullptr, RateOption},
    {"callers", required_argument, nullptr, CallersOption},
    {"bin-dir", required_argument, nullptr, BinaryDirOption},
    {"keep", no_argument, nullptr, KeepOption},
    {"print-schedule", no_argument, nullptr, PrintScheduleOption},
};

bool readWhole(int64_t Min, int64_t Max,
               const std::function<void(int64_t)> &Set) {
  std::optional<int64_t> Value = parseInteger(optarg, Min, Max);
  if (Value)
    Set(*Value);
  return Value.has_value();
}

bool readOption(int Option, const std::vector<SoakSizeOption> &Sizes,
                SoakOptions &Out) {
  switch (Option) {
  case SecondsOption:
    return readWhole(1, 86400, [&](int64_t V) { Out.Seconds = V; });
  case SeedOption:
    return readWhole(0, INT32_MAX,
                     [&](int64_t V) { Out.Seed = static_cast<uint64_t>(V); });
  case RateOption:
    Out.Rate = parseReal(optarg, 0, 100).value_or(0);
    return Out.Rate > 0;
  case CallersOption:
    return readWhole(1, 100, [&](int64_t V) { Out.Callers = V; });
  case BinaryDirOption:
    Out.BinaryDir = optarg;
    return true;
  case KeepOption:
    Out.KeepWorkDir = true;
    return true;
  case PrintScheduleOption:
    Out.PrintSchedule = true;
    return true;
  default:
    break;
  }
  auto Row = static_cast<size_t>(Option - FirstSizeOption);
  if (Option < FirstSizeOption || Row >= Sizes.size())
    return false;
  return readWhole(1, Sizes[Row].Max, Sizes[Row].Set);
}

} // namespace

bool parseSoakOptions(int Argc, char **Argv,
                      const std::vector<SoakSizeOption> &Sizes,
                      SoakOptions &Out) {
  std::vector<option> Names(std::begin(SharedNames), std::end(SharedNames));
  for (size_t I = 0; I < Sizes.size(); ++I)
    Names.push_back({Sizes[I].Name, required_argument, nullptr,
                     FirstSizeOption + static_cast<int>(I)});
  Names.push_back({nullptr, 0, nullptr, 0});
  std::string Program = Argv[0];
  size_t Slash = Program.rfind('/');
  Out.BinaryDir = Slash == std::string::npos ? "." : Program.substr(0, Slash);
  for (int Option;
       (Option = getopt_long(Argc, Argv, "", Names.data(), nullptr)) != -1;)
    if (!readOption(Option, Sizes, Out))
      return false;
  return optind == Argc;
}

} // namespace snipeshunt
