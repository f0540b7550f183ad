/// \file Test harness of the review's cases.
#include "harness.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <sstream>
#include <thread>

namespace review {

namespace {

std::string env(const char *Name, const std::string &Default) {
  const char *Value = std::getenv(Name);
  return Value && *Value ? Value : Default;
}

sockaddr_in addressOf(const Endpoint &E) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(E.Port);
  inet_pton(AF_INET, E.Ip.c_str(), &Out.sin_addr);
  return Out;
}

/// Waits until \p Socket is ready for \p Events or \p UntilUs has passed.
bool waitFor(int Socket, short Events, int64_t UntilUs) {
  for (;;) {
    int64_t Left = (UntilUs - nowUs()) / 1000;
    if (Left <= 0)
      return false;
    pollfd P{Socket, Events, 0};
    int Ready = poll(&P, 1, static_cast<int>(Left));
    if (Ready > 0)
      return true;
    if (Ready == 0 || errno != EINTR)
      return false;
  }
}

/// Returns the length of the body by the header, or -1.
long contentLength(const std::string &Header) {
  for (size_t At = 0; At < Header.size();) {
    size_t End = Header.find("\r\n", At);
    std::string Line = Header.substr(At, End - At);
    if (strncasecmp(Line.c_str(), "content-length:", 15) == 0)
      return std::atol(Line.c_str() + 15);
    if (End == std::string::npos)
      break;
    At = End + 2;
  }
  return -1;
}

} // namespace

int64_t nowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void sleepMs(int64_t Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

Record::Record(const std::string &File) : Out(File), Start(nowUs()) {}

void Record::line(const std::string &Text) { line(nowUs(), Text); }

void Record::line(int64_t AtUs, const std::string &Text) {
  std::lock_guard<std::mutex> Guard(Lock);
  char Time[32];
  snprintf(Time, sizeof(Time), "%9.3f s  ",
           static_cast<double>(AtUs - Start) / 1e6);
  Out << Time << Text << std::endl;
}

std::vector<Endpoint> freeEndpoints(const std::string &Ip, size_t Count) {
  std::vector<Endpoint> Found;
  std::vector<int> Sockets;
  for (size_t I = 0; I < Count; ++I) {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Bound = addressOf({Ip, 0});
    socklen_t Size = sizeof(Bound);
    if (bind(Socket, reinterpret_cast<sockaddr *>(&Bound), Size) == 0)
      getsockname(Socket, reinterpret_cast<sockaddr *>(&Bound), &Size);
    Found.push_back({Ip, ntohs(Bound.sin_port)});
    Sockets.push_back(Socket);
  }
  for (int Socket : Sockets)
    close(Socket);
  return Found;
}

Answer call(const Endpoint &To, const std::string &Method,
            const std::string &Path, const std::string &Body, int64_t TimeoutMs,
            int64_t DeadlineMs, const std::string &Host) {
  Answer Out;
  int64_t Until = nowUs() + TimeoutMs * 1000;
  auto Fail = [&](int Socket, const std::string &Problem) {
    if (Socket >= 0)
      close(Socket);
    Out.AtUs = nowUs();
    Out.Problem = Problem;
    return Out;
  };
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in Address = addressOf(To);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    int Error = errno;
    socklen_t Size = sizeof(Error);
    if (Error == EINPROGRESS) {
      if (!waitFor(Socket, POLLOUT, Until))
        return Fail(Socket, "time-out of the connection");
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
    }
    if (Error != 0)
      return Fail(Socket, "no connection");
  }
  std::string Text = Method + " " + Path + " HTTP/1.1\r\nHost: " + Host +
                     "\r\nConnection: close\r\n";
  if (DeadlineMs > 0)
    Text += "X-Snipeshunt-Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n";
  if (!Body.empty())
    Text += "Content-Type: application/json\r\n";
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n" + Body;
  for (size_t Sent = 0; Sent < Text.size();) {
    ssize_t Count =
        send(Socket, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count > 0) {
      Sent += static_cast<size_t>(Count);
    } else if (errno != EAGAIN || !waitFor(Socket, POLLOUT, Until)) {
      return Fail(Socket, "connection lost while sending");
    }
  }
  std::string Received;
  for (;;) {
    size_t End = Received.find("\r\n\r\n");
    if (End != std::string::npos) {
      long Length = contentLength(Received.substr(0, End));
      if (Length >= 0 &&
          Received.size() >= End + 4 + static_cast<size_t>(Length)) {
        Out.Status = std::atoi(Received.c_str() + 9);
        Out.Body = Received.substr(End + 4, static_cast<size_t>(Length));
        return Fail(Socket, "");
      }
    }
    char Buffer[8192];
    ssize_t Count = recv(Socket, Buffer, sizeof(Buffer), 0);
    if (Count > 0) {
      Received.append(Buffer, static_cast<size_t>(Count));
      continue;
    }
    if (Count == 0 || errno != EAGAIN)
      return Fail(Socket, "connection ended without an answer");
    if (!waitFor(Socket, POLLIN, Until))
      return Fail(Socket, "time-out");
  }
}

Process::~Process() { kill(); }

bool Process::start(const std::vector<std::string> &Command,
                    const std::string &Log) {
  std::vector<char *> Words;
  for (const std::string &Word : Command)
    Words.push_back(const_cast<char *>(Word.c_str()));
  Words.push_back(nullptr);
  int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (File < 0)
    return false;
  pid_t Parent = getpid();
  Pid = fork();
  if (Pid == 0) {
    // The child must not outlive the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent)
      _exit(127);
    dup2(File, 1);
    dup2(File, 2);
    execv(Words[0], Words.data());
    _exit(127);
  }
  close(File);
  return Pid > 0;
}

void Process::signal(int Number) const {
  if (Pid > 0)
    ::kill(Pid, Number);
}

void Process::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  Pid = -1;
}

bool Process::running() {
  if (Pid <= 0)
    return false;
  if (waitpid(Pid, nullptr, WNOHANG) == 0)
    return true;
  Pid = -1;
  return false;
}

Fleet::Fleet(Record &Log, size_t Instances, size_t Centres, size_t Runners)
    : Log(Log), Centres(Centres), Runners(Runners), Processes(Instances) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "snipeshunt-case-XXXXXX")
          .string();
  Dir = mkdtemp(Template.data());
  auto Pid = static_cast<unsigned>(getpid());
  std::string Prefix = "127." + std::to_string(100 + Pid / 256 % 128) + "." +
                       std::to_string(Pid % 256) + ".";
  Store = freeEndpoints(Prefix + "1", 1)[0];
  for (size_t I = 0; I < Instances; ++I) {
    std::vector<Endpoint> Free =
        freeEndpoints(Prefix + std::to_string(10 + I), 4);
    Fronts.push_back(Free[0]);
    Readys.push_back(Free[1]);
    Peers.push_back(Free[2]);
    Metrics.push_back(Free[3]);
  }
}

Fleet::~Fleet() {
  for (Process &P : Processes)
    P.kill();
  Platform.kill();
  std::error_code Ignored;
  if (env("KEEP", "").empty())
    std::filesystem::remove_all(Dir, Ignored);
}

std::string Fleet::logFile(const std::string &Name) const {
  return Dir + "/" + Name + ".log";
}

bool Fleet::startPlatform() {
  return Platform.start({supportDir() + "/standin-cells", "--listen",
                         Store.text(), "--runners", std::to_string(Runners),
                         "--centres", std::to_string(Centres)},
                        logFile("platform"));
}

bool Fleet::startInstance(size_t I) {
  std::string Name = "i" + std::to_string(I);
  std::string File = Dir + "/" + Name + ".json";
  std::ofstream Out(File);
  // The keys of deploy/settings.json.template, with the bounds of the small
  // deployments.
  Out << "{\"name\":\"" << Name << "\",\"data_centre\":\"dc" << centreOf(I)
      << "\",\"weight\":0." << 9 - I % 9 << ",\"front\":\"" << Fronts[I].text()
      << "\",\"ready\":\"" << Readys[I].text() << "\",\"peers\":\""
      << Peers[I].text() << "\",\"metrics\":\"" << Metrics[I].text()
      << "\",\"store\":\"" << Store.text() << "\",\"seeds\":[";
  for (size_t Seed = 0; Seed < std::min<size_t>(3, instances()); ++Seed)
    Out << (Seed ? "," : "") << '"' << Peers[Seed].text() << '"';
  Out << "],\"bounds\":{\"max_lease_ms\":1000,\"stop_timeout_ms\":50,"
         "\"drain_notice_ms\":2000,\"grace_s\":6},"
         "\"limits\":{\"memory_mb\":260}}";
  Out.close();
  return Processes[I].start({daemonProgram(), "--cells", "--settings", File},
                            logFile(Name));
}

bool Fleet::start() {
  if (!startPlatform())
    return false;
  for (size_t I = 0; I < instances(); ++I)
    if (!startInstance(I))
      return false;
  for (int64_t Until = nowUs() + 20'000'000; nowUs() < Until; sleepMs(50)) {
    bool All = true;
    for (size_t I = 0; I < instances() && All; ++I)
      All = ready(I);
    if (All)
      return true;
  }
  Log.line("the instances did not become ready");
  return false;
}

bool Fleet::ready(size_t I) const {
  return call(Readys[I], "GET", "/snipeshunt/ready", "", 1000).Status == 200;
}

double Fleet::metric(size_t I, const std::string &Name) const {
  std::istringstream Lines(call(Metrics[I], "GET", "/metrics", "", 2000).Body);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.compare(0, Name.size() + 1, Name + " ") == 0)
      return std::atof(Line.c_str() + Name.size() + 1);
  return -1;
}

std::vector<RunEvent> Fleet::runs(const std::string &Job) const {
  std::vector<RunEvent> Found;
  std::ifstream File(logFile("platform"));
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Words(Line);
    RunEvent E;
    std::string Kind;
    Words >> Kind >> E.Task >> E.Run >> E.Runner;
    E.IsStart = Kind == "start";
    if ((!E.IsStart && Kind != "end") || E.Task.rfind(Job + ".", 0) != 0)
      continue;
    for (std::string Word; Words >> Word;) {
      if (Word.rfind("at=", 0) == 0)
        E.AtUs = std::atoll(Word.c_str() + 3);
      else
        E.Outcome = Word;
    }
    Found.push_back(E);
  }
  return Found;
}

std::string jobBody(int Tasks, int WorkMs, int Cpu) {
  return "{\"spec\":\"work_ms=" + std::to_string(WorkMs) +
         "\",\"best_effort\":true,\"steps\":[{\"count\":" +
         std::to_string(Tasks) + ",\"cpu\":" + std::to_string(Cpu) +
         ",\"mem_mb\":64,\"estimate_ms\":" + std::to_string(WorkMs) + "}]}";
}

bool troubleWanted() { return env("TROUBLE", "1") != "0"; }

std::string daemonProgram() { return env("DAEMON", "target/snipeshuntd"); }

std::string supportDir() { return env("SUPPORT", "target/review-3"); }

} // namespace review
