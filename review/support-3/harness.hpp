/// \file Test harness of the review's cases: starts the project's programs as
/// separate processes on loopback addresses and plays their clients.
#ifndef REVIEW_SUPPORT_3_HARNESS_HPP
#define REVIEW_SUPPORT_3_HARNESS_HPP

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Microseconds of the steady clock, which all processes share.
int64_t nowUs();
void sleepMs(int64_t Ms);

/// Writes `record.txt`: one line for each event, with the seconds since the
/// start of the case.
class Record {
public:
  explicit Record(const std::string &File);
  void line(const std::string &Text);
  /// Writes an event that happened at \p AtUs.
  void line(int64_t AtUs, const std::string &Text);
  int64_t startUs() const { return Start; }

private:
  std::mutex Lock;
  std::ofstream Out;
  int64_t Start;
};

/// Host and port.
struct Endpoint {
  std::string Ip;
  uint16_t Port = 0;
  std::string text() const { return Ip + ":" + std::to_string(Port); }
};

/// Returns free ports of a loopback address.
std::vector<Endpoint> freeEndpoints(const std::string &Ip, size_t Count);

struct Answer {
  int Status = 0; ///< 0: no complete answer.
  std::string Body;
  int64_t AtUs = 0; ///< When it arrived, or the connection ended.
  std::string Problem;
};

/// Sends one request on a connection of its own and reads the answer.
Answer call(const Endpoint &To, const std::string &Method,
            const std::string &Path, const std::string &Body, int64_t TimeoutMs,
            int64_t DeadlineMs = 0, const std::string &Host = "jobs.example");

/// A child process, which is killed with its owner.
class Process {
public:
  Process() = default;
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  ~Process();
  /// Starts a program whose output goes to the end of \p Log.
  bool start(const std::vector<std::string> &Command, const std::string &Log);
  void signal(int Number) const;
  /// Sends SIGKILL and waits for the end.
  void kill();
  bool running();
  pid_t pid() const { return Pid; }

private:
  pid_t Pid = -1;
};

/// A start or an end of a run, as the stand-in of the runners has seen it.
struct RunEvent {
  bool IsStart = false;
  std::string Task;
  int Run = 0;
  std::string Runner;
  std::string Outcome;
  int64_t AtUs = 0;
};

/// A fleet of the project's instances with the store and the runners of
/// `standin-cells`.
class Fleet {
public:
  Fleet(Record &Log, size_t Instances, size_t Centres, size_t Runners);
  ~Fleet();
  bool startPlatform();
  bool startInstance(size_t I);
  /// Starts all and waits until all instances are ready.
  bool start();
  bool ready(size_t I) const;
  /// Returns a number of the instance's metrics, or -1.
  double metric(size_t I, const std::string &Name) const;
  size_t instances() const { return Fronts.size(); }
  size_t centreOf(size_t I) const { return 1 + I % Centres; }
  const Endpoint &front(size_t I) const { return Fronts[I]; }
  Process &process(size_t I) { return Processes[I]; }
  /// Returns the starts and ends of the runs of \p Job.
  std::vector<RunEvent> runs(const std::string &Job) const;
  /// Returns the names of the log files.
  std::string logFile(const std::string &Name) const;

private:
  Record &Log;
  size_t Centres;
  size_t Runners;
  std::string Dir;
  Endpoint Store;
  std::vector<Endpoint> Fronts, Readys, Peers, Metrics;
  Process Platform;
  std::vector<Process> Processes;
};

/// Body of a job of equal tasks that need not be stored.
std::string jobBody(int Tasks, int WorkMs, int Cpu = 27000);

/// True unless the variable TROUBLE is 0.
bool troubleWanted();
/// The deploy file's program, from the environment or `target/snipeshuntd`.
std::string daemonProgram();
/// Folder of the stand-ins that build-3.sh has built.
std::string supportDir();

} // namespace review

#endif // REVIEW_SUPPORT_3_HARNESS_HPP
