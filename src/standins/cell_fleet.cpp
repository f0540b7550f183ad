/// \file Test fleet of cells: real instances and stand-ins for the platform.
#include "standins/cell_fleet.h"

#include "core/base64_func.h"
#include "core/scope_guard.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

namespace snipeshunt {

namespace {

// Long, so that the load of the machine does not affect the outcome.
constexpr Duration StartLimit = std::chrono::seconds(30);
constexpr std::chrono::milliseconds Patience{20000};
constexpr Duration AnswerMargin = std::chrono::seconds(5);
constexpr size_t MaxPlatformLogChars = 2000;
constexpr size_t FirstInstanceHost = 10;
constexpr std::string_view TimeField = "at=";

/// Returns a prefix of loopback IPs derived from the process id, so that
/// parallel fleets differ. While an instance is down, a fleet with the same IPs
/// could use its ports as local ports of connections.
std::string processIpPrefix() {
  auto Pid = static_cast<uint32_t>(getpid());
  return "127." + std::to_string(100 + Pid / 256 % 128) + "." +
         std::to_string(Pid % 256) + ".";
}

/// Returns the reply, or status 0 with the error message.
HttpReply replyOf(const HttpOutcome &Outcome) {
  if (const auto *Reply = std::get_if<HttpReply>(&Outcome))
    return *Reply;
  return {0, std::get<HttpFailure>(Outcome).Message};
}

/// Binds \p Socket to a free port of \p Ip and returns the port; 0 on failure.
uint16_t bindFreePort(int Socket, const std::string &Ip) {
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  inet_pton(AF_INET, Ip.c_str(), &SocketAddress.sin_addr);
  socklen_t Size = sizeof(SocketAddress);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&SocketAddress), Size) == 0)
    getsockname(Socket, reinterpret_cast<sockaddr *>(&SocketAddress), &Size);
  return ntohs(SocketAddress.sin_port);
}

} // namespace

std::vector<Address> freeAddresses(const std::string &Ip, size_t Count) {
  std::vector<Address> Found;
  // All sockets stay open until the last port is chosen: the system may give
  // out a port again as soon as its socket is closed.
  std::vector<int> Sockets;
  ScopeGuard Close([&Sockets] {
    for (int Socket : Sockets)
      close(Socket);
  });
  for (size_t I = 0; I < Count; ++I) {
    Sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    Found.push_back(
        {Ip + ":" + std::to_string(bindFreePort(Sockets.back(), Ip))});
  }
  return Found;
}

bool reportsDone(const std::string &Body) {
  return Body == R"({"state":"done"})";
}

std::map<std::string, int> openRuns(const std::vector<RunEvent> &History) {
  std::map<std::string, int> Open;
  for (const RunEvent &E : History)
    Open[E.Task] += E.IsStart ? 1 : -1;
  return Open;
}

std::vector<RunEvent> overlappingStarts(const std::vector<RunEvent> &History) {
  std::map<std::string, int> Open;
  std::vector<RunEvent> Found;
  for (const RunEvent &E : History)
    if ((Open[E.Task] += E.IsStart ? 1 : -1) > 1)
      Found.push_back(E);
  return Found;
}

CellFleet::CellFleet(CellFleetOptions Given) : Options(std::move(Given)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "snipeshunt-cells-XXXXXX")
          .string();
  WorkDir = mkdtemp(Template.data());
  IpPrefix = processIpPrefix();
  Store = freeAddresses(IpPrefix + "1", 1).front();
  for (size_t I = 0; I < Options.Instances; ++I) {
    std::string Ip = IpPrefix + std::to_string(FirstInstanceHost + I);
    std::vector<Address> Free = freeAddresses(Ip, 4);
    Fronts.push_back(Free[0]);
    ReadyEndpoints.push_back(Free[1]);
    Peers.push_back(Free[2]);
    Metrics.push_back(Free[3]);
    Processes.emplace_back();
  }
  PeersLinks = Peers;
  StoreLinks.assign(Options.Instances, Store);
}

CellFleet::~CellFleet() {
  Processes.clear();
  Platform.reset();
  std::error_code Ignored;
  if (!Options.KeepWorkDir)
    std::filesystem::remove_all(WorkDir, Ignored);
}

void CellFleet::setLinks(size_t I, const Address &PeersLink,
                         const Address &StoreLink) {
  PeersLinks[I] = PeersLink;
  StoreLinks[I] = StoreLink;
}

void CellFleet::setRunnerLinks(std::vector<Address> Links) {
  RunnerLinks = std::move(Links);
}

Result<Ok> CellFleet::startPlatform() {
  std::vector<std::string> Command = {Options.BinaryDir + "/standin-cells",
                                      "--listen",
                                      Store.Value,
                                      "--runners",
                                      std::to_string(Options.Runners),
                                      "--centres",
                                      std::to_string(Options.Centres)};
  for (const Address &Link : RunnerLinks) {
    Command.emplace_back("--announce");
    Command.push_back(Link.Value);
  }
  Result<ChildProcess> Started = ChildProcess::start(Command, log("platform"));
  if (failed(Started))
    return errorOf(Started);
  Platform = std::make_unique<ChildProcess>(std::move(valueOf(Started)));
  return Ok{};
}

Result<Ok> CellFleet::start() {
  Result<Ok> Done = startPlatform();
  for (size_t I = 0; I < instances() && !failed(Done); ++I)
    Done = startInstance(I);
  return Done;
}

Result<Ok> CellFleet::startInstance(size_t I) {
  std::ofstream File(settings(I));
  File << "{ // Instance " << I << " of a test.\n"
       << R"("name":"i)" << I << R"(","data_centre":"dc)"
       << 1 + I % Options.Centres << R"(","weight":0.)" << 9 - I % 9
       << R"(,"front":")" << Fronts[I].Value << R"(","ready":")"
       << ReadyEndpoints[I].Value << R"(","peers":")" << PeersLinks[I].Value
       << R"(","peers_listen":")" << Peers[I].Value << R"(","metrics":")"
       << Metrics[I].Value << R"(","store":")" << StoreLinks[I].Value
       << R"(","seeds":[")" << PeersLinks[0].Value << R"("])";
  if (Options.Evacuate)
    File << R"(,"bounds":{"evacuate_ms":)" << Options.Evacuate->count() << "}";
  File << "}";
  File.close();
  if (!File)
    return Error{ErrorKind::Unavailable, "can't write " + settings(I),
                 "don't delete the directory of a running fleet"};
  std::vector<std::string> Command =
      withDescriptorLimit({Options.BinaryDir + "/snipeshuntd", "--cells",
                           "--settings", settings(I)},
                          Options.DescriptorLimit);
  Result<ChildProcess> Started =
      ChildProcess::start(Command, log("i" + std::to_string(I)));
  if (failed(Started))
    return errorOf(Started);
  Processes[I] = std::make_unique<ChildProcess>(std::move(valueOf(Started)));
  return Ok{};
}

std::vector<Address> CellFleet::runnerAddresses() const {
  std::vector<Address> Found(Options.Runners);
  size_t Listed = 0;
  std::istringstream Lines(logText("platform"));
  for (std::string Kind; Lines >> Kind;) {
    size_t Number = 0;
    std::string Rest;
    if (Kind == "runner" && Lines >> Number && Number < Found.size() &&
        Lines >> Found[Number].Value)
      ++Listed;
    std::getline(Lines, Rest);
  }
  return Listed == Found.size() ? Found : std::vector<Address>();
}

bool CellFleet::isReady(size_t I) const {
  HttpCall Call;
  Call.Target = ReadyEndpoints[I];
  Call.Path = "/snipeshunt/ready";
  return replyOf(callOnce(std::move(Call))).Status == 200;
}

bool CellFleet::waitUntilReady() const {
  bool Ready = false;
  // An instance that has not read its settings yet would never become ready,
  // and nothing could be read of what the fleet does.
  auto Deleted = [this] { return !std::filesystem::exists(WorkDir); };
  Fleet::waitUntil(
      [&] {
        Ready = true;
        for (size_t I = 0; I < instances() && Ready; ++I)
          Ready = isReady(I);
        return Ready || Deleted();
      },
      StartLimit);
  return Ready && !Deleted();
}

HttpCall CellFleet::submission(size_t I, const std::string &Id, int Tasks,
                               int WorkMs,
                               std::chrono::milliseconds Wait) const {
  HttpCall Call = makeCall(I, "POST", "/jobs/" + Id, Wait);
  Call.Body = R"({"spec":"work_ms=)" + std::to_string(WorkMs) +
              R"(","best_effort":true,"steps":[{"count":)" +
              std::to_string(Tasks) +
              R"(,"cpu":27000,"mem_mb":64,"estimate_ms":)" +
              std::to_string(WorkMs) + "}]}";
  return Call;
}

HttpReply CellFleet::submit(size_t I, const std::string &Id, int Tasks,
                            int WorkMs) const {
  return replyOf(callOnce(submission(I, Id, Tasks, WorkMs, Patience)));
}

HttpReply CellFleet::get(size_t I, const std::string &Path,
                         const std::string &Host) const {
  HttpCall Call = makeCall(I, "GET", Path, Patience);
  Call.Headers[0].second = Host;
  return replyOf(callOnce(std::move(Call)));
}

HttpCall CellFleet::makeCall(size_t I, const char *Method,
                             const std::string &Path,
                             std::chrono::milliseconds Wait) const {
  HttpCall Call;
  Call.Target = Fronts[I];
  Call.Method = Method;
  Call.Path = Path;
  Call.Headers.emplace_back("Host", "jobs.example");
  Call.Headers.emplace_back("X-Snipeshunt-Deadline-Ms",
                            std::to_string(Wait.count()));
  Call.Timeout = Wait + AnswerMargin;
  return Call;
}

bool CellFleet::setEvacuated(const std::string &Centre, bool Evacuated) const {
  std::string Key = "op/evacuate/" + Centre;
  HttpCall Call;
  Call.Target = Store;
  Call.Method = "POST";
  Call.Path = "/snipeshunt/kv-txn";
  Call.Body = Evacuated ? R"({"writes":[{"key":")" + Key + R"(","value":")" +
                              encodeBase64("{}") + R"("}],"remove":[]})"
                        : R"({"writes":[],"remove":[")" + Key + R"("]})";
  Call.Timeout = AnswerMargin;
  return replyOf(callOnce(std::move(Call))).Status == 200;
}

std::string CellFleet::metrics(size_t I) const {
  Result<std::string> Text = getText(Metrics[I], "/metrics");
  return failed(Text) ? errorOf(Text).Message : valueOf(Text);
}

std::string CellFleet::settings(size_t I) const {
  return (WorkDir / ("i" + std::to_string(I) + ".json")).string();
}

std::string CellFleet::log(const std::string &Name) const {
  return (WorkDir / (Name + ".log")).string();
}

std::string CellFleet::logText(const std::string &Name) const {
  std::ifstream File(log(Name));
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string CellFleet::allLogs() const {
  if (!std::filesystem::exists(WorkDir))
    return "another program deleted " + WorkDir.string() +
           ", the settings and logs of a running fleet";
  std::string Text;
  for (size_t I = 0; I < instances(); ++I)
    Text += logText("i" + std::to_string(I));
  return Text + logText("platform").substr(0, MaxPlatformLogChars);
}

std::vector<RunEvent> CellFleet::history() const {
  std::vector<RunEvent> Found;
  std::istringstream Lines(logText("platform"));
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Words(Line);
    std::string Kind;
    RunEvent E;
    Words >> Kind >> E.Task >> E.Run >> E.Runner;
    E.IsStart = Kind == "start";
    if (!E.IsStart && Kind != "end")
      continue;
    std::string Word;
    while (Words >> Word)
      if (Word.rfind(TimeField, 0) == 0)
        E.At = SteadyTime(std::chrono::microseconds(
            std::strtoll(Word.c_str() + TimeField.size(), nullptr, 10)));
      else
        E.Outcome = Word;
    Found.push_back(std::move(E));
  }
  return Found;
}

std::map<std::string, int> CellFleet::starts(const std::string &Job) const {
  std::map<std::string, int> Found;
  for (const RunEvent &E : history())
    if (E.IsStart && E.Task.rfind(Job + ".", 0) == 0)
      ++Found[E.Task];
  return Found;
}

std::vector<std::string> CellFleet::overlaps() const {
  std::vector<std::string> Found;
  for (const RunEvent &E : overlappingStarts(history()))
    Found.push_back(E.Task);
  return Found;
}

} // namespace snipeshunt
