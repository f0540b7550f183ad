/// \file Case: connections go silent, and a node that has forwarded a job is
/// killed later. Checks the rule TWICE.
#include "fleet.hpp"

#include <set>

using namespace review;

namespace {

constexpr int64_t RetryMs = 1300; // `retry_ms`, from the sheet of rawahel-ops.
constexpr int64_t DeadlineMs = 20000;
constexpr int64_t DownMs = 3000; // `for_s` of `node_kill` in the site file.
constexpr int Rounds = 5;
constexpr char JobId[] = "e7a21d94b36f85c";

/// Returns the times for which two runs of one task were in progress.
std::vector<int64_t> overlaps(const std::vector<RunEvent> &Events) {
  std::map<std::string, std::set<std::string>> Open;
  std::map<std::string, int64_t> Since;
  std::vector<int64_t> Found;
  for (const RunEvent &E : Events) {
    if (E.What == "runner")
      continue;
    std::istringstream Words(E.Line);
    std::string Skipped;
    std::string Run;
    std::string Runner;
    Words >> Skipped >> Skipped >> Skipped >> Run >> Runner;
    std::set<std::string> &Runs = Open[E.Task];
    if (E.What == "start") {
      Runs.insert(Runner + "/" + Run);
      if (Runs.size() == 2)
        Since[E.Task] = E.At;
    } else {
      if (Runs.size() == 2)
        Found.push_back(E.At - Since[E.Task]);
      Runs.erase(Runner + "/" + Run);
    }
  }
  return Found;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return CouldNotRun;
  // With `TROUBLE=silence` or `TROUBLE=kill`, there is only one disruption.
  std::string Trouble = getenv("TROUBLE") ? getenv("TROUBLE") : "";
  bool Silences = withTrouble() && Trouble != "kill";
  bool Kills = withTrouble() && Trouble != "silence";
  Record Out;
  Fleet Instances(9, 3, std::vector<std::string>(8, "a"), 8000,
                  /*Relayed=*/true);
  // All in the first zone. Node 0 is its sender.
  const int Taker = 6;
  const int Other = 3;
  for (int Round = 0; Round < Rounds; ++Round) {
    if (!Instances.waitUntilReady())
      return CouldNotRun;
    // The disruptions of the last round are over for `stable_window_ms`.
    sleepMs(3500);
    std::string Suffix = std::to_string(Round);
    std::vector<std::thread> Callers;
    auto Submit = [&](const std::string &Name, const Job &J) {
      Callers.emplace_back([&Out, &Instances, Name, J] {
        recorded(Out, Name, Instances.front(Other), "POST", J.Id, J.body(),
                 DeadlineMs);
      });
    };
    Job J;
    J.Id = JobId + Suffix;
    J.WorkMs = 4000;
    J.Cpu = 8000;
    Callers.emplace_back([&Out, &Instances, J] {
      Answer First = recorded(Out, "client 1", Instances.front(Taker), "POST",
                              J.Id, J.body(), DeadlineMs);
      if (First.Status != 0 && First.Status != 502 && First.Status != 504)
        return;
      sleepMs(RetryMs);
      recorded(Out, "client 1 (retry at another node)", Instances.front(Other),
               "POST", J.Id, J.body(), DeadlineMs);
    });
    sleepMs(300);
    // It takes what is left of the zone's runners, so that the node which the
    // retry reaches finds no room there.
    Job Large;
    Large.Id = "a21d94b36f85c0e" + Suffix;
    Large.Tasks = 23;
    Large.WorkMs = 4000;
    Large.Cpu = 8000;
    Submit("client 2", Large);
    sleepMs(60);
    if (Silences) {
      Out.add(nowMs(), "open connections go silent");
      Instances.silence();
    }
    sleepMs(750);
    if (Kills) {
      Out.add(nowMs(), "node 6 is killed");
      Instances.daemon(Taker).end(SIGKILL);
      sleepMs(DownMs);
      Instances.start(Taker);
    }
    for (std::thread &T : Callers)
      T.join();
  }

  std::vector<RunEvent> Events = Instances.events();
  int Starts = 0;
  for (const RunEvent &E : Events)
    Starts += E.What == "start";
  std::vector<int64_t> Found = overlaps(Events);
  Verdict Result = Starts == 0 ? CouldNotRun : !Found.empty() ? Broken : Held;
  std::string Times;
  for (int64_t Time : Found)
    Times += " " + std::to_string(Time);
  Out.write(std::string(Argv[1]) + "/record.txt", Events,
            "rounds " + std::to_string(Rounds) + ", starts " +
                std::to_string(Starts) +
                ", times with two runs of one task, in ms: " +
                std::to_string(Found.size()) + " (" + Times + " ): exit " +
                std::to_string(Result));
  return Result;
}
