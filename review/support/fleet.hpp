/// \file Fleet of the project's own programs for the scripts of the review, and
/// callers that speak to it. Everything runs on loopback addresses and ends
/// with the test.
#ifndef REVIEW_FLEET_HPP
#define REVIEW_FLEET_HPP

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Exit statuses of a script.
enum Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

inline int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// An address `IP:PORT`.
using Endpoint = std::string;

inline sockaddr_in socketAddress(const Endpoint &E) {
  sockaddr_in A{};
  size_t Colon = E.find(':');
  A.sin_family = AF_INET;
  inet_pton(AF_INET, E.substr(0, Colon).c_str(), &A.sin_addr);
  A.sin_port = htons(
      static_cast<uint16_t>(std::strtoul(E.c_str() + Colon + 1, nullptr, 10)));
  return A;
}

/// Returns a socket that listens on \p Port of \p Ip, or -1.
inline int listenOn(const std::string &Ip, int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in A = socketAddress(Ip + ":" + std::to_string(Port));
  if (bind(Socket, reinterpret_cast<sockaddr *>(&A), sizeof(A)) == 0 &&
      listen(Socket, 64) == 0)
    return Socket;
  close(Socket);
  return -1;
}

/// Returns \p Count addresses of \p Ip whose ports are free. They are below
/// those that the system gives to connections.
inline std::vector<Endpoint> freeAddresses(const std::string &Ip, int Count) {
  std::vector<Endpoint> Found;
  for (int Port = 8161; static_cast<int>(Found.size()) < Count; ++Port) {
    int Socket = listenOn(Ip, Port);
    if (Socket < 0)
      continue;
    close(Socket);
    Found.push_back(Ip + ":" + std::to_string(Port));
  }
  return Found;
}

/// What a caller saw of a request.
struct Answer {
  int Status = 0; ///< 0 without a complete answer.
  std::string Body;
  int64_t Sent = 0;  ///< When the request had been written.
  int64_t Ended = 0; ///< When the answer, or the end of the connection, came.
};

/// Sends one request on a connection of its own and waits for the answer.
inline Answer call(const Endpoint &Target, const std::string &Method,
                   const std::string &Path, const std::string &Body,
                   int64_t DeadlineMs, int64_t TimeoutMs) {
  Answer Out;
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in A = socketAddress(Target);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&A), sizeof(A)) == 0) {
    std::string Text = Method + " " + Path +
                       " HTTP/1.1\r\nHost: jobs.example\r\n"
                       "X-Snipeshunt-Deadline-Ms: " +
                       std::to_string(DeadlineMs) +
                       "\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body;
    (void)!send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
    Out.Sent = nowMs();
    std::string Read;
    size_t Need = std::string::npos;
    while (nowMs() - Out.Sent < TimeoutMs) {
      pollfd P{Socket, POLLIN, 0};
      if (poll(&P, 1, 20) <= 0)
        continue;
      char Buffer[4096];
      ssize_t Size = recv(Socket, Buffer, sizeof(Buffer), 0);
      if (Size <= 0)
        break;
      Read.append(Buffer, static_cast<size_t>(Size));
      size_t Head = Read.find("\r\n\r\n");
      if (Head == std::string::npos)
        continue;
      size_t Length = Read.find("Content-Length:");
      Need = Head + 4 +
             (Length == std::string::npos || Length > Head
                  ? 0
                  : std::strtoul(Read.c_str() + Length + 15, nullptr, 10));
      if (Read.size() >= Need) {
        Out.Status = std::atoi(Read.c_str() + 9);
        Out.Body = Read.substr(Head + 4);
        break;
      }
    }
  }
  close(Socket);
  Out.Ended = nowMs();
  return Out;
}

/// A process that ends with this object.
class Process {
public:
  Process(std::vector<std::string> Command, const std::string &Log) {
    int Pipe[2];
    if (pipe2(Pipe, O_CLOEXEC) != 0)
      return;
    Id = fork();
    if (Id == 0) {
      // Nothing outlives the test, even if that is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      int File = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Pipe[0], STDIN_FILENO);
      dup2(File, STDOUT_FILENO);
      dup2(File, STDERR_FILENO);
      std::vector<char *> Words;
      for (std::string &Word : Command)
        Words.push_back(Word.data());
      Words.push_back(nullptr);
      execv(Words[0], Words.data());
      _exit(127);
    }
    close(Pipe[0]);
    Input = Pipe[1];
  }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process() {
    end(SIGKILL);
    close(Input);
  }

  void signal(int Number) const {
    if (Id > 0)
      kill(Id, Number);
  }
  /// Sends \p Number and waits for the end of the process.
  void end(int Number) {
    if (Id <= 0)
      return;
    kill(Id, Number);
    waitpid(Id, nullptr, 0);
    Id = -1;
  }
  void write(const std::string &Line) const {
    (void)!::write(Input, Line.data(), Line.size());
  }

private:
  pid_t Id = -1;
  int Input = -1;
};

/// Description of a job of one step with best effort.
struct Job {
  std::string Id;
  int Tasks = 1;
  int WorkMs = 100;
  int Cpu = 27000;         ///< Thousandths of a core of each task.
  std::string Requirement; ///< Label that its runner must have.

  std::string body() const {
    return R"({"spec":"work_ms=)" + std::to_string(WorkMs) +
           R"(","best_effort":true,"steps":[{"count":)" +
           std::to_string(Tasks) + R"(,"cpu":)" + std::to_string(Cpu) +
           R"(,"mem_mb":256,"estimate_ms":)" + std::to_string(WorkMs) +
           (Requirement.empty() ? ""
                                : R"(,"requirements":")" + Requirement + "\"") +
           "}]}";
  }
};

/// An event at a runner, as the stand-in of the platform wrote it.
struct RunEvent {
  int64_t At = 0;
  std::string What; ///< `start`, `end` or `runner`.
  std::string Task; ///< Or the runner.
  std::string Line;

  bool isOf(const std::string &Job) const {
    return Task.compare(0, Job.size() + 1, Job + ".") == 0;
  }
  /// Returns the word after \p Name and "=".
  std::string field(const std::string &Name) const {
    size_t At = Line.find(" " + Name + "=");
    if (At == std::string::npos)
      return {};
    At += Name.size() + 2;
    return Line.substr(At, Line.find(' ', At) - At);
  }
};

/// The platform's stand-in and instances of the daemon, as the deploy file
/// starts them, with settings that its template renders for a small site.
class Fleet {
public:
  Fleet(int Instances, int Zones, std::vector<std::string> Kinds,
        int TaskCpu = 27000, bool Relayed = false)
      : Instances(Instances), Zones(Zones) {
    std::string Template =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    Folder = mkdtemp(Template.data());
    auto Pid = static_cast<uint32_t>(getpid());
    Prefix = "127." + std::to_string(100 + Pid / 256 % 128) + "." +
             std::to_string(Pid % 256) + ".";
    Store = freeAddresses(Prefix + "1", 1)[0];
    for (int I = 0; I < Instances; ++I) {
      std::string Ip = Prefix + std::to_string(10 + I);
      std::vector<Endpoint> Free = freeAddresses(Ip, 4);
      Fronts.push_back(Free[0]);
      Ready.push_back(Free[1]);
      Peers.push_back(Free[2]);
      Metrics.push_back(Free[3]);
    }
    PeersListen = Peers;
    if (Relayed)
      startRelay(Kinds.size());
    std::vector<std::string> Command = {"target/review/platform", Store,
                                        std::to_string(Zones),
                                        std::to_string(TaskCpu)};
    Command.insert(Command.end(), Kinds.begin(), Kinds.end());
    if (Relayed)
      Command.insert(Command.begin() + 1, "--relayed");
    Platform = std::make_unique<Process>(Command, Folder + "/platform.log");
    for (int I = 0; I < Instances; ++I) {
      writeSettings(I);
      start(I);
    }
  }
  ~Fleet() {
    Daemons.clear();
    Platform.reset();
    Relay.reset();
    std::error_code Ignored;
    if (!getenv("KEEP"))
      std::filesystem::remove_all(Folder, Ignored);
  }

  void start(int I) {
    Daemons[I] = std::make_unique<Process>(
        std::vector<std::string>{"target/snipeshuntd", "--cells", "--settings",
                                 settings(I)},
        log(I));
  }

  /// Waits until all instances report themselves ready.
  bool waitUntilReady() const {
    int64_t Limit = nowMs() + 20000;
    for (int I = 0; I < Instances; ++I)
      while (
          call(Ready[I], "GET", "/snipeshunt/ready", "", 1000, 1000).Status !=
          200) {
        if (nowMs() > Limit)
          return false;
        sleepMs(50);
      }
    return true;
  }

  Process &daemon(int I) { return *Daemons.at(I); }
  void command(const std::string &Line) { Platform->write(Line + "\n"); }
  /// Makes the open connections between nodes and to runners silent for good.
  void silence() { Relay->write("silence\n"); }
  const Endpoint &front(int I) const { return Fronts[I]; }
  const std::string &prefix() const { return Prefix; }
  std::string log(int I) const {
    return Folder + "/i" + std::to_string(I) + ".log";
  }

  /// Returns the instance that has acquired the cells of \p Zone, or -1. Only
  /// used to choose the process that a signal goes to.
  int senderOf(int Zone) const {
    for (int I = Zone - 1; I < Instances; I += Zones) {
      std::ifstream File(log(I));
      std::stringstream Text;
      Text << File.rdbuf();
      if (Text.str().find("cells acquired") != std::string::npos)
        return I;
    }
    return -1;
  }

  std::vector<RunEvent> events() const {
    std::vector<RunEvent> Found;
    std::ifstream File(Folder + "/platform.log");
    for (std::string Line; std::getline(File, Line);) {
      RunEvent E;
      E.Line = Line;
      std::istringstream Words(Line);
      if (Words >> E.At >> E.What >> E.Task)
        Found.push_back(E);
    }
    return Found;
  }

private:
  /// Puts a relay in front of all nodes, for each other, and of the runners.
  void startRelay(size_t Runners) {
    std::vector<std::string> Command = {"target/review/relay"};
    for (int I = 0; I < Instances; ++I) {
      Peers[I] = Prefix + std::to_string(50 + I) + ":8161";
      Command.push_back(Peers[I] + "=" + PeersListen[I]);
    }
    for (size_t I = 0; I < Runners; ++I)
      Command.push_back(Prefix + std::to_string(150 + I) + ":8161=" + Prefix +
                        std::to_string(100 + I) + ":8161");
    Relay = std::make_unique<Process>(Command, Folder + "/relay.log");
  }

  std::string settings(int I) const {
    return Folder + "/i" + std::to_string(I) + ".json";
  }

  void writeSettings(int I) const {
    std::ofstream File(settings(I));
    File << R"({"name":"edge-)" << I << R"(","data_centre":"zone)"
         << 1 + I % Zones << R"(","weight":0.)" << 62 - 3 * I << R"(,"front":")"
         << Fronts[I] << R"(","ready":")" << Ready[I] << R"(","peers":")"
         << Peers[I] << R"(","peers_listen":")" << PeersListen[I]
         << R"(","metrics":")" << Metrics[I] << R"(","store":")" << Store
         << R"(","seeds":[")" << Peers[0] << "\",\"" << Peers[1] << "\",\""
         << Peers[2]
         << R"("],"bounds":{"max_lease_ms":1000,"stop_timeout_ms":50,)"
         << R"("drain_notice_ms":2000,"grace_s":6}})";
  }

  int Instances;
  int Zones;
  std::string Folder;
  std::string Prefix;
  Endpoint Store;
  std::vector<Endpoint> Fronts;
  std::vector<Endpoint> Ready;
  std::vector<Endpoint> Peers;       ///< As other nodes reach them.
  std::vector<Endpoint> PeersListen; ///< As the nodes listen.
  std::vector<Endpoint> Metrics;
  std::unique_ptr<Process> Relay;
  std::unique_ptr<Process> Platform;
  std::map<int, std::unique_ptr<Process>> Daemons;
};

/// What was sent and answered; written to `record.txt` with what was run.
class Record {
public:
  void add(int64_t At, const std::string &Line) {
    std::lock_guard<std::mutex> Hold(Lock);
    Lines.emplace(At, Line);
  }

  /// Adds the events of the runners and writes the file. Times are in
  /// milliseconds since the first line.
  void write(const std::string &File, const std::vector<RunEvent> &Events,
             const std::string &Result) {
    for (const RunEvent &E : Events)
      add(E.At, E.Line.substr(E.Line.find(' ') + 1));
    std::ofstream Out(File);
    for (const auto &[At, Line] : Lines)
      Out << At - Lines.begin()->first << " " << Line << "\n";
    Out << Result << "\n";
    printf("%s\n", Result.c_str());
  }

private:
  std::mutex Lock;
  std::multimap<int64_t, std::string> Lines;
};

/// Sends a request and records it and its answer.
inline Answer recorded(Record &Out, const std::string &Name,
                       const Endpoint &Target, const std::string &Method,
                       const std::string &JobId, const std::string &Body,
                       int64_t DeadlineMs) {
  Out.add(nowMs(), Name + " sends " + Method + " " + JobId);
  Answer A = call(Target, Method, "/jobs/" + JobId, Body, DeadlineMs,
                  DeadlineMs + 1000);
  Out.add(A.Ended, Name + " gets " +
                       (A.Status ? std::to_string(A.Status) + " " + A.Body
                                 : std::string("no answer")) +
                       " to " + Method + " " + JobId);
  return A;
}

/// Returns false if the environment asks for a run without the disruption.
inline bool withTrouble() {
  const char *Value = getenv("TROUBLE");
  return !Value || std::strcmp(Value, "0") != 0;
}

} // namespace review

#endif // REVIEW_FLEET_HPP
