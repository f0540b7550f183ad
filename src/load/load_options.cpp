/// \file Command line of the load program.
#include "load/load_func.h"

#include <getopt.h>

#include <charconv>
#include <cstring>
#include <sstream>

namespace snipeshunt {

namespace {

std::vector<std::string> split(const std::string &Text, char Separator) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, Separator);)
    Parts.push_back(Part);
  return Parts;
}

bool readNumber(const std::string &Text, double Min, double Max, double &Out) {
  double Value = 0;
  auto [Rest, Problem] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Problem != std::errc() || Rest != Text.data() + Text.size() ||
      !(Value >= Min && Value <= Max))
    return false;
  Out = Value;
  return true;
}

template <typename T> bool readWhole(const char *Text, double Max, T &Out) {
  double Value = 0;
  if (!readNumber(Text, 0, Max, Value) ||
      Value != static_cast<double>(static_cast<uint64_t>(Value)))
    return false;
  Out = static_cast<T>(Value);
  return true;
}

/// Parses `5` (constant), `50..1000` (uniform) or `exp:300` (exponential with
/// mean 300); in ms.
bool readRunTimes(const std::string &Text, RunTimes &Out) {
  constexpr double MaxMs = 3.6e6;
  constexpr std::string_view Exponential = "exp:";
  size_t Dots = Text.find("..");
  if (Dots != std::string::npos) {
    Out.Form = RunTimes::Shape::Uniform;
    return readNumber(Text.substr(0, Dots), 0, MaxMs, Out.First) &&
           readNumber(Text.substr(Dots + 2), Out.First, MaxMs, Out.Second);
  }
  if (Text.compare(0, Exponential.size(), Exponential) == 0) {
    Out.Form = RunTimes::Shape::Exponential;
    return readNumber(Text.substr(Exponential.size()), 0.001, MaxMs, Out.First);
  }
  Out.Form = RunTimes::Shape::Constant;
  return readNumber(Text, 0, MaxMs, Out.First);
}

bool readSpeeds(const char *Text, std::vector<double> &Out) {
  Out.clear();
  for (const std::string &Part : split(Text, ',')) {
    double Speed = 1;
    if (!readNumber(Part, 0.001, 1000, Speed))
      return false;
    Out.push_back(Speed);
  }
  return !Out.empty();
}

enum Code {
  Centres,
  Instances,
  Upstreams,
  Slots,
  Speeds,
  Settings,
  Instance,
  Rate,
  Tasks,
  RunMs,
  WarmUp,
  Seconds,
  Grace,
  Seed,
  Teams,
  ExpectedMs,
  PatienceMs,
  PayloadBytes,
  ForwardShare,
  Jobs,
  PrintJson,
  Help,
};

const option Names[] = {
    {"centres", required_argument, nullptr, Centres},
    {"instances", required_argument, nullptr, Instances},
    {"upstreams", required_argument, nullptr, Upstreams},
    {"slots", required_argument, nullptr, Slots},
    {"speeds", required_argument, nullptr, Speeds},
    {"settings", required_argument, nullptr, Settings},
    {"instance", required_argument, nullptr, Instance},
    {"rate", required_argument, nullptr, Rate},
    {"tasks", required_argument, nullptr, Tasks},
    {"run-ms", required_argument, nullptr, RunMs},
    {"warm-up", required_argument, nullptr, WarmUp},
    {"seconds", required_argument, nullptr, Seconds},
    {"grace", required_argument, nullptr, Grace},
    {"seed", required_argument, nullptr, Seed},
    {"teams", required_argument, nullptr, Teams},
    {"expected-ms", required_argument, nullptr, ExpectedMs},
    {"patience-ms", required_argument, nullptr, PatienceMs},
    {"payload-bytes", required_argument, nullptr, PayloadBytes},
    {"forward-share", required_argument, nullptr, ForwardShare},
    {"jobs", required_argument, nullptr, Jobs},
    {"json", no_argument, nullptr, PrintJson},
    {"help", no_argument, nullptr, Help},
    {nullptr, 0, nullptr, 0}};

bool readFleetOption(int Option, const char *Text, LoadOptions &O) {
  switch (Option) {
  case Centres:
    return readWhole(Text, 16, O.Fleet.Centres) && O.Fleet.Centres > 0;
  case Instances:
    return readWhole(Text, 50, O.Fleet.InstancesPerCentre) &&
           O.Fleet.InstancesPerCentre > 0;
  case Upstreams:
    return readWhole(Text, 180, O.Fleet.UpstreamsPerCentre) &&
           O.Fleet.UpstreamsPerCentre > 0;
  case Slots:
    return readWhole(Text, 1024, O.Fleet.SlotsPerUpstream) &&
           O.Fleet.SlotsPerUpstream > 0;
  case Speeds:
    return readSpeeds(Text, O.Speeds);
  case Settings:
    O.Fleet.ExtraSettings = Text;
    return true;
  case Instance:
    for (const std::string &Part : split(Text, ','))
      O.Targets.push_back({Part});
    return true;
  default:
    return false;
  }
}

bool readOption(int Option, const char *Text, LoadOptions &O) {
  switch (Option) {
  case Rate:
    return readNumber(Text, 0, 1e6, O.JobsPerSecond);
  case Tasks:
    return readWhole(Text, 200, O.TasksPerJob) && O.TasksPerJob > 0;
  case RunMs:
    return readRunTimes(Text, O.Run);
  case WarmUp:
    return readNumber(Text, 0, 3600, O.WarmUpSeconds);
  case Seconds:
    return readNumber(Text, 0.1, 86400, O.Seconds);
  case Grace:
    return readNumber(Text, 0, 3600, O.GraceSeconds);
  case Seed:
    return readWhole(Text, 1e15, O.Seed);
  case Teams:
    return readWhole(Text, 1e6, O.Teams) && O.Teams > 0;
  case ExpectedMs:
    return readWhole(Text, 3.6e6, O.ExpectedMs);
  case PatienceMs:
    return readWhole(Text, 600000, O.PatienceMs) && O.PatienceMs > 0;
  case PayloadBytes:
    return readWhole(Text, 1e6, O.PayloadBytes);
  case ForwardShare:
    return readNumber(Text, 0, 1, O.ForwardShare);
  case Jobs:
    return readWhole(Text, 1e12, O.JobLimit);
  case PrintJson:
    O.Json = true;
    return true;
  default:
    return readFleetOption(Option, Text, O);
  }
}

} // namespace

const char *loadHelp() {
  return "usage: snipeshunt-load [options]\n"
         "Starts a fleet, or drives a running one:\n"
         "  --centres N --instances N --upstreams N   per centre; 1, 3, 2\n"
         "  --slots N           slots of an upstream; 8\n"
         "  --speeds X,Y,...    speeds of the upstreams, in turn; 1\n"
         "  --settings TEXT     members added to each settings file\n"
         "  --instance IP:port,...   a running fleet\n"
         "Sends jobs at random times that do not depend on the answers:\n"
         "  --rate N            jobs per second; 200\n"
         "  --tasks N           tasks per job; 1\n"
         "  --run-ms D          run time: 5, 50..1000 or exp:300; 5\n"
         "  --warm-up S --seconds S --grace S   2, 10, 30\n"
         "  --seed N            1\n"
         "  --jobs N            stops sending after this many\n"
         "  --teams N --expected-ms N --patience-ms N --payload-bytes N\n"
         "  --forward-share X   share of jobs not sent to their home; 0\n"
         "  --json              prints the report as JSON\n";
}

Result<LoadOptions> parseLoadOptions(int Argc, char **Argv) {
  LoadOptions O;
  for (int Option, Index = 0;
       (Option = getopt_long(Argc, Argv, "", Names, &Index)) != -1;)
    if (Option == '?' || Option == Help || !readOption(Option, optarg, O))
      return Error{ErrorKind::InvalidField, "invalid option or option value",
                   loadHelp()};
  if (optind != Argc)
    return Error{ErrorKind::InvalidField,
                 std::string("unexpected argument ") + Argv[optind],
                 loadHelp()};
  O.Fleet.Seed = O.Seed;
  if (!O.Speeds.empty())
    O.Fleet.Speed = [Speeds = O.Speeds](uint32_t Position) {
      return Speeds[Position % Speeds.size()];
    };
  return O;
}

} // namespace snipeshunt
