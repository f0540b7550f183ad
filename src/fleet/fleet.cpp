/// \file A fleet of real processes on loopback addresses.
#include "fleet/fleet.h"

#include "core/json_func.h"
#include "core/scope_guard.h"
#include "http/event_loop.h"
#include "http/http_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

namespace snipeshunt {

namespace {

constexpr uint16_t PublicPort = 7070;
constexpr uint16_t BehindRelayPort = 7071;
constexpr uint32_t MaxPrefixes = 200;
constexpr size_t RoleCount = 5;
// Long, so that a loaded machine does not fail a test.
constexpr Duration StartTimeout = std::chrono::seconds(60);

std::atomic<uint32_t> NextFleet{0};

/// Last number of the first IP address of each role.
uint32_t firstHost(FleetRole Role) {
  switch (Role) {
  case FleetRole::Platform:
    return 1;
  case FleetRole::PlatformRelay:
    return 2;
  case FleetRole::Upstream:
    return 10;
  case FleetRole::Instance:
  case FleetRole::Relay:
    return 200;
  }
  return 1;
}

const char *roleName(FleetRole Role) {
  switch (Role) {
  case FleetRole::Platform:
    return "platform";
  case FleetRole::Upstream:
    return "upstream";
  case FleetRole::Instance:
    return "instance";
  case FleetRole::Relay:
    return "relay";
  case FleetRole::PlatformRelay:
    return "platform-relay";
  }
  return "";
}

/// Returns true if nothing listens at \p Ip on the port that all processes use.
bool isFree(const std::string &Ip) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ScopeGuard Close([Socket] { close(Socket); });
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Endpoint{};
  Endpoint.sin_family = AF_INET;
  Endpoint.sin_port = htons(PublicPort);
  inet_pton(AF_INET, Ip.c_str(), &Endpoint.sin_addr);
  return bind(Socket, reinterpret_cast<sockaddr *>(&Endpoint),
              sizeof(Endpoint)) == 0;
}

/// Returns the first three numbers of the IP addresses of fleet \p Number of
/// this process. The addresses decide which instance sends to which upstream,
/// so they are the same on each run unless another fleet uses them.
std::string freePrefix(uint32_t Number) {
  std::string Prefix;
  for (uint32_t Attempt = 0; Attempt < MaxPrefixes; ++Attempt) {
    Prefix = "127." + std::to_string(10 + Attempt) + "." +
             std::to_string(1 + Number % 250) + ".";
    if (isFree(Prefix + std::to_string(firstHost(FleetRole::Platform))) &&
        isFree(Prefix + std::to_string(firstHost(FleetRole::Upstream))) &&
        isFree(Prefix + std::to_string(firstHost(FleetRole::Instance))))
      break;
  }
  return Prefix;
}

Address join(const std::string &Ip, uint16_t Port) {
  return {Ip + ":" + std::to_string(Port)};
}

Result<std::string> fetchText(HttpCall Call) {
  std::string Url = Call.Target.Value + Call.Path;
  HttpOutcome Outcome = callOnce(std::move(Call));
  if (auto *Failure = std::get_if<HttpFailure>(&Outcome))
    return Error{ErrorKind::Unavailable, Failure->Message,
                 "check that the process runs"};
  auto &Reply = std::get<HttpReply>(Outcome);
  if (Reply.Status / 100 != 2)
    return Error{ErrorKind::Unavailable,
                 Url + " answered " + std::to_string(Reply.Status) + ": " +
                     Reply.Body,
                 "see the process's log"};
  return std::move(Reply.Body);
}

Result<Ok> setRules(const Address &Relay, const std::string &RulesJson) {
  Result<std::string> Reply =
      postText(Relay, "/relay/rules", "{\"rules\":" + RulesJson + "}");
  if (failed(Reply))
    return errorOf(Reply);
  return Ok{};
}

} // namespace

HttpOutcome callOnce(HttpCall Call) {
  EventLoop Loop;
  HttpOutcome Out = HttpFailure{true, "not sent"};
  HttpClientOptions Options;
  Options.MaxReplyBody = 256 << 20;
  HttpClient Client(Loop, Options);
  Client.send(std::move(Call), [&](const HttpOutcome &Outcome) {
    Out = Outcome;
    Loop.stop();
  });
  Loop.run();
  return Out;
}

Result<std::string> getText(const Address &Endpoint, const std::string &Path) {
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Path = Path;
  return fetchText(std::move(Call));
}

Result<std::string> postText(const Address &Endpoint, const std::string &Path,
                             const std::string &Body) {
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Method = "POST";
  Call.Path = Path;
  Call.Body = Body;
  return fetchText(std::move(Call));
}

Fleet::Fleet(FleetOptions Given) : Options(std::move(Given)) {
  IpPrefix = freePrefix(NextFleet++);
  std::string Template =
      (std::filesystem::temp_directory_path() / "snipeshunt-XXXXXX").string();
  WorkDir = mkdtemp(Template.data());
  Processes.resize(RoleCount);
  for (FleetRole Role :
       {FleetRole::Platform, FleetRole::Upstream, FleetRole::Instance,
        FleetRole::Relay, FleetRole::PlatformRelay})
    Processes[static_cast<size_t>(Role)].resize(count(Role));
}

Fleet::~Fleet() {
  Processes.clear();
  std::error_code Ignored;
  if (!Options.KeepWorkDir)
    std::filesystem::remove_all(WorkDir, Ignored);
}

size_t Fleet::count(FleetRole Role) const {
  switch (Role) {
  case FleetRole::Platform:
    return 1;
  case FleetRole::Upstream:
    return size_t{Options.Centres} * Options.UpstreamsPerCentre;
  case FleetRole::Instance:
    return size_t{Options.Centres} * Options.InstancesPerCentre;
  case FleetRole::Relay:
    return Options.Relays ? count(FleetRole::Instance) : 0;
  case FleetRole::PlatformRelay:
    return Options.PlatformRelay ? 1 : 0;
  }
  return 0;
}

size_t Fleet::instances() const { return count(FleetRole::Instance); }
size_t Fleet::upstreams() const { return count(FleetRole::Upstream); }

std::string Fleet::ip(FleetRole Role, size_t I) const {
  return IpPrefix + std::to_string(firstHost(Role) + I);
}

Address Fleet::instance(size_t I) const {
  return join(ip(FleetRole::Instance, I), PublicPort);
}
Address Fleet::directInstance(size_t I) const {
  return join(ip(FleetRole::Instance, I),
              Options.Relays ? BehindRelayPort : PublicPort);
}
Address Fleet::upstream(size_t I) const {
  return join(ip(FleetRole::Upstream, I), PublicPort);
}
Address Fleet::platform() const {
  return join(ip(FleetRole::Platform, 0), PublicPort);
}
Address Fleet::relay(size_t I) const { return instance(I); }
Address Fleet::platformRelay() const {
  return Options.PlatformRelay
             ? join(ip(FleetRole::PlatformRelay, 0), PublicPort)
             : platform();
}
std::string Fleet::instanceIp(size_t I) const {
  return ip(FleetRole::Instance, I);
}

std::string Fleet::centreOf(FleetRole Role, size_t I) const {
  size_t PerCentre = Role == FleetRole::Upstream ? Options.UpstreamsPerCentre
                                                 : Options.InstancesPerCentre;
  return "dc" + std::to_string(1 + I / PerCentre);
}

ChildProcess &Fleet::process(FleetRole Role, size_t I) {
  return *Processes[static_cast<size_t>(Role)][I];
}

std::string Fleet::historyFile(size_t Upstream) const {
  return WorkDir + "/upstream-" + std::to_string(Upstream) + ".history";
}

std::vector<std::string> Fleet::historyFiles() const {
  std::vector<std::string> Files;
  for (size_t I = 0; I < upstreams(); ++I)
    Files.push_back(historyFile(I));
  return Files;
}

std::string Fleet::logFile(FleetRole Role, size_t I) const {
  return WorkDir + "/" + roleName(Role) + "-" + std::to_string(I) + ".log";
}

std::vector<std::string> Fleet::command(FleetRole Role, size_t I) const {
  std::string Seed = std::to_string(Options.Seed * 1000 + I);
  switch (Role) {
  case FleetRole::Platform:
    return {Options.BinaryDir + "/standin-platform",
            "--listen",
            platform().Value,
            "--seed",
            Seed,
            "--list-lag-ms",
            "200"};
  case FleetRole::Upstream: {
    uint32_t Position = static_cast<uint32_t>(I % Options.UpstreamsPerCentre);
    double Speed = Options.Speed ? Options.Speed(Position) : 1.0;
    std::vector<std::string> Arguments = {
        Options.BinaryDir + "/standin-upstream",
        "--listen",
        upstream(I).Value,
        "--slots",
        std::to_string(Options.SlotsPerUpstream),
        "--speed",
        std::to_string(Speed),
        "--seed",
        Seed,
        "--history",
        historyFile(I)};
    Arguments.insert(Arguments.end(), Options.UpstreamArguments.begin(),
                     Options.UpstreamArguments.end());
    return Arguments;
  }
  case FleetRole::Instance:
    return withDescriptorLimit(
        {Options.BinaryDir + "/snipeshuntd", "--settings",
         WorkDir + "/instance-" + std::to_string(I) + ".json"},
        Options.DescriptorLimit);
  case FleetRole::Relay:
    return {Options.BinaryDir + "/standin-relay",
            "--listen",
            relay(I).Value,
            "--target",
            directInstance(I).Value,
            "--seed",
            Seed};
  case FleetRole::PlatformRelay:
    return {Options.BinaryDir + "/standin-relay",
            "--listen",
            platformRelay().Value,
            "--target",
            platform().Value,
            "--seed",
            Seed};
  }
  return {};
}

void Fleet::writeSettings(size_t I) const {
  Json::Value V(Json::objectValue);
  V["listen"] = directInstance(I).Value;
  V["advertise"] = instance(I).Value;
  V["data_centre"] = centreOf(FleetRole::Instance, I);
  V["fleet_key"] = "test fleet key, not a secret";
  V["platform"] = platformRelay().Value;
  for (size_t Peer = 0; Peer < instances(); ++Peer) {
    if (Peer == I)
      continue;
    Json::Value Record(Json::objectValue);
    Record["address"] = instance(Peer).Value;
    Record["data_centre"] = centreOf(FleetRole::Instance, Peer);
    V["peers"].append(Record);
  }
  std::string Text = writeJson(V);
  if (!Options.ExtraSettings.empty())
    Text.insert(Text.size() - 1, "," + Options.ExtraSettings);
  std::ofstream(WorkDir + "/instance-" + std::to_string(I) + ".json") << Text;
}

Result<Ok> Fleet::startOne(FleetRole Role, size_t I) {
  Result<ChildProcess> Started =
      ChildProcess::start(command(Role, I), logFile(Role, I));
  if (failed(Started))
    return errorOf(Started);
  Processes[static_cast<size_t>(Role)][I] =
      std::make_unique<ChildProcess>(std::move(valueOf(Started)));
  return Ok{};
}

Result<Ok> Fleet::restart(FleetRole Role, size_t I) {
  process(Role, I).kill();
  return startOne(Role, I);
}

Result<Ok> Fleet::start() {
  for (size_t I = 0; I < instances(); ++I)
    writeSettings(I);
  for (FleetRole Role :
       {FleetRole::Platform, FleetRole::PlatformRelay, FleetRole::Upstream,
        FleetRole::Relay, FleetRole::Instance})
    for (size_t I = 0; I < count(Role); ++I) {
      Result<Ok> Started = startOne(Role, I);
      if (failed(Started))
        return Started;
    }
  bool Listed =
      waitUntil([this] { return !failed(publishList()); }, StartTimeout);
  if (!Listed || !waitUntil([this] { return isReady(); }, StartTimeout))
    return Error{ErrorKind::Unavailable, "the fleet did not become ready",
                 "see the logs in " + WorkDir};
  return Ok{};
}

bool Fleet::rosterComplete() const {
  for (size_t I = 0; I < instances(); ++I) {
    Result<std::string> Text = getText(directInstance(I), "/v1/instances");
    if (failed(Text))
      return false;
    Result<Json::Value> Parsed = parseJson(valueOf(Text));
    size_t Live = 0;
    for (const Json::Value &Record : valueOf(Parsed)["instances"])
      Live += Record["state"].asString() == "live" ? 1 : 0;
    if (Live != instances())
      return false;
  }
  return true;
}

bool Fleet::isReady() const {
  if (!rosterComplete())
    return false;
  size_t Usable = 0;
  for (size_t I = 0; I < instances(); ++I) {
    Result<std::string> Text = getText(directInstance(I), "/v1/upstreams");
    if (failed(Text))
      return false;
    Result<Json::Value> Parsed = parseJson(valueOf(Text));
    // An instance without the list rejects jobs that others could run.
    if (valueOf(Parsed)["upstreams"].size() < upstreams())
      return false;
    for (const Json::Value &Record : valueOf(Parsed)["upstreams"])
      if (Record["sender"].asString() == instance(I).Value &&
          Record["state"].asString() == "usable")
        ++Usable;
  }
  return Usable == upstreams();
}

Result<Ok> Fleet::setRelayRules(size_t I, const std::string &RulesJson) {
  return setRules(relay(I), RulesJson);
}

Result<Ok> Fleet::setPlatformRules(const std::string &RulesJson) {
  return setRules(platformRelay(), RulesJson);
}

Result<Ok> Fleet::publishList(const std::vector<std::string> &UpstreamStates) {
  Json::Value V(Json::objectValue);
  V["instances"] = Json::Value(Json::arrayValue);
  V["upstreams"] = Json::Value(Json::arrayValue);
  for (size_t I = 0; I < instances(); ++I) {
    Json::Value Record(Json::objectValue);
    Record["address"] = instance(I).Value;
    Record["data_centre"] = centreOf(FleetRole::Instance, I);
    Record["state"] = "live";
    V["instances"].append(Record);
  }
  for (size_t I = 0; I < upstreams(); ++I) {
    Json::Value Record(Json::objectValue);
    Record["address"] = upstream(I).Value;
    Record["data_centre"] = centreOf(FleetRole::Upstream, I);
    Record["slots"] = Options.SlotsPerUpstream;
    Record["accelerators"] = 0;
    Record["state"] = I < UpstreamStates.size() ? UpstreamStates[I] : "live";
    V["upstreams"].append(Record);
  }
  Result<std::string> Reply = postText(platform(), "/v1/list", writeJson(V));
  if (failed(Reply))
    return errorOf(Reply);
  return Ok{};
}

bool Fleet::waitUntil(const std::function<bool()> &Condition,
                      Duration Timeout) {
  SteadyTime End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

} // namespace snipeshunt
