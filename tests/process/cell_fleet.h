/// \file Real instances of a fleet of cells, with a stand-in for the platform.
#ifndef SNIPESHUNT_TESTS_PROCESS_CELL_FLEET_H
#define SNIPESHUNT_TESTS_PROCESS_CELL_FLEET_H

#include "fleet/child_process.h"
#include "fleet/fleet.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>

namespace snipeshunt {

/// A port of \p Ip that was free a moment ago.
inline uint16_t freePort(const std::string &Ip) {
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  inet_pton(AF_INET, Ip.c_str(), &Where.sin_addr);
  socklen_t Size = sizeof(Where);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&Where), Size) != 0)
    ADD_FAILURE() << "no free port of " << Ip;
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Where), &Size);
  close(Socket);
  return ntohs(Where.sin_port);
}

/// Starts the processes on loopback addresses and ends them.
class CellFleet {
public:
  CellFleet(size_t Instances, size_t Centres) : Centres(Centres) {
    WorkDir = std::filesystem::temp_directory_path() /
              ("snipeshunt-cells-" + std::to_string(getpid()));
    std::filesystem::create_directories(WorkDir);
    Store = address("127.0.90.1");
    for (size_t I = 0; I < Instances; ++I) {
      std::string Ip = "127.0.91." + std::to_string(I + 1);
      Fronts.push_back(address(Ip));
      Readies.push_back(address(Ip));
      Peers.push_back(address(Ip));
      Metrics.push_back(address(Ip));
      Processes.emplace_back();
    }
  }

  ~CellFleet() {
    Processes.clear();
    Platform.reset();
    std::error_code Ignored;
    std::filesystem::remove_all(WorkDir, Ignored);
  }

  void start(size_t Runners) {
    Result<ChildProcess> Started = ChildProcess::start(
        {std::string(BINARY_DIR) + "/standin-cells", "--listen", Store.Value,
         "--runners", std::to_string(Runners), "--centres",
         std::to_string(Centres)},
        log("platform"));
    ASSERT_FALSE(failed(Started)) << errorOf(Started).Message;
    Platform = std::make_unique<ChildProcess>(std::move(valueOf(Started)));
    for (size_t I = 0; I < Fronts.size(); ++I)
      startInstance(I);
  }

  void startInstance(size_t I) {
    std::ofstream File(settings(I));
    File << "{ // Instance " << I << " of a test.\n"
         << R"("name":"i)" << I << R"(","data_centre":"dc)" << 1 + I % Centres
         << R"(","weight":0.)" << 9 - I % 9 << R"(,"front":")"
         << Fronts[I].Value << R"(","ready":")" << Readies[I].Value
         << R"(","peers":")" << Peers[I].Value << R"(","metrics":")"
         << Metrics[I].Value << R"(","store":")" << Store.Value
         << R"(","seeds":[")" << Peers[0].Value << R"("]})";
    File.close();
    Result<ChildProcess> Started =
        ChildProcess::start({std::string(BINARY_DIR) + "/snipeshuntd",
                             "--cells", "--settings", settings(I)},
                            log("i" + std::to_string(I)));
    ASSERT_FALSE(failed(Started)) << errorOf(Started).Message;
    Processes[I] = std::make_unique<ChildProcess>(std::move(valueOf(Started)));
  }

  bool isReady(size_t I) const {
    HttpCall Call;
    Call.Target = Readies[I];
    Call.Path = "/snipeshunt/ready";
    HttpOutcome Outcome = callOnce(std::move(Call));
    const auto *Reply = std::get_if<HttpReply>(&Outcome);
    return Reply && Reply->Status == 200;
  }

  bool waitUntilReady() const {
    return Fleet::waitUntil(
        [this] {
          for (size_t I = 0; I < Fronts.size(); ++I)
            if (!isReady(I))
              return false;
          return true;
        },
        std::chrono::seconds(30));
  }

  std::string allLogs() const {
    std::string Text;
    for (size_t I = 0; I < Fronts.size(); ++I)
      Text += logText("i" + std::to_string(I));
    return Text + logText("platform").substr(0, 2000);
  }

  /// Submits a job of the stand-in's route and waits for the answer.
  HttpReply submit(size_t I, const std::string &Id, int Tasks,
                   int WorkMs) const {
    HttpCall Call = makeCall(I, "POST", "/jobs/" + Id);
    Call.Body = R"({"spec":"work_ms=)" + std::to_string(WorkMs) +
                R"(","best_effort":true,"steps":[{"count":)" +
                std::to_string(Tasks) +
                R"(,"cpu":27000,"mem_mb":64,"estimate_ms":)" +
                std::to_string(WorkMs) + "}]}";
    return replyOf(callOnce(std::move(Call)));
  }

  HttpReply get(size_t I, const std::string &Path,
                const std::string &Host = "jobs.example") const {
    HttpCall Call = makeCall(I, "GET", Path);
    Call.Headers[0].second = Host;
    return replyOf(callOnce(std::move(Call)));
  }

  std::string metrics(size_t I) const {
    Result<std::string> Text = getText(Metrics[I], "/metrics");
    return failed(Text) ? errorOf(Text).Message : valueOf(Text);
  }

  ChildProcess &process(size_t I) { return *Processes[I]; }
  std::string settings(size_t I) const {
    return (WorkDir / ("i" + std::to_string(I) + ".json")).string();
  }
  std::string log(const std::string &Name) const {
    return (WorkDir / (Name + ".log")).string();
  }
  std::string logText(const std::string &Name) const {
    std::ifstream File(log(Name));
    std::stringstream Text;
    Text << File.rdbuf();
    return Text.str();
  }

  /// Starts of a job's tasks, by task, from the stand-in's history.
  std::map<std::string, int> starts(const std::string &Job) const {
    std::map<std::string, int> Found;
    std::istringstream Lines(logText("platform"));
    for (std::string Kind, Task; Lines >> Kind;) {
      std::string Rest;
      if (Kind == "start" && Lines >> Task && Task.rfind(Job + ".", 0) == 0)
        ++Found[Task];
      std::getline(Lines, Rest);
    }
    return Found;
  }

  /// Tasks of which two runs were open at the same time.
  std::vector<std::string> overlaps() const {
    std::map<std::string, int> Open;
    std::vector<std::string> Found;
    std::istringstream Lines(logText("platform"));
    for (std::string Kind, Task; Lines >> Kind;) {
      std::string Rest;
      if ((Kind == "start" || Kind == "end") && Lines >> Task) {
        Open[Task] += Kind == "start" ? 1 : -1;
        if (Open[Task] > 1)
          Found.push_back(Task);
      }
      std::getline(Lines, Rest);
    }
    return Found;
  }

private:
  static Address address(const std::string &Ip) {
    return {Ip + ":" + std::to_string(freePort(Ip))};
  }

  HttpCall makeCall(size_t I, const char *Method,
                    const std::string &Path) const {
    HttpCall Call;
    Call.Target = Fronts[I];
    Call.Method = Method;
    Call.Path = Path;
    Call.Headers.emplace_back("Host", "jobs.example");
    Call.Headers.emplace_back("X-Snipeshunt-Deadline-Ms", "20000");
    Call.Timeout = std::chrono::seconds(25);
    return Call;
  }

  static HttpReply replyOf(const HttpOutcome &Outcome) {
    if (const auto *Reply = std::get_if<HttpReply>(&Outcome))
      return *Reply;
    return {0, std::get<HttpFailure>(Outcome).Message};
  }

  size_t Centres;
  std::filesystem::path WorkDir;
  Address Store;
  std::vector<Address> Fronts, Readies, Peers, Metrics;
  std::unique_ptr<ChildProcess> Platform;
  std::vector<std::unique_ptr<ChildProcess>> Processes;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_TESTS_PROCESS_CELL_FLEET_H
