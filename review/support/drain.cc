/// \file Case: a runner begins to drain while the node that starts tasks on it
/// is shut down gracefully. Checks the rule DRAIN.
#include "fleet.hpp"

using namespace review;

namespace {

// From the sheet of rawahel-ops.
constexpr int64_t DrainMs = 2000;
constexpr int64_t StableWindowMs = 3000;
constexpr int64_t DeadlineMs = 30000;
constexpr char JobId[] = "94b36f85c0e7a21d";

int runnerNumber(const std::string &Runner) {
  return std::atoi(Runner.c_str() + Runner.find('-') + 1);
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return CouldNotRun;
  Record Out;
  const int Zones = 3;
  Fleet Instances(9, Zones, std::vector<std::string>(8, "a"));
  if (!Instances.waitUntilReady())
    return CouldNotRun;
  sleepMs(3500);
  Job J;
  J.Id = JobId;
  J.Tasks = 120;
  J.WorkMs = 700;
  std::thread Caller([&] {
    // Node 6 is in the first zone and no sender.
    recorded(Out, "client", Instances.front(6), "POST", J.Id, J.body(),
             DeadlineMs);
  });
  sleepMs(500);
  int Runner = -1;
  for (const RunEvent &E : Instances.events())
    if (E.What == "start" && E.isOf(J.Id))
      Runner = runnerNumber(E.Line.substr(E.Line.find("runner-")));
  int Sender = Runner < 0 ? -1 : Instances.senderOf(1 + Runner % Zones);
  int64_t Terminated = nowMs();
  if (Sender >= 0 && Sender != 6 && withTrouble()) {
    Out.add(Terminated, "SIGTERM to node " + std::to_string(Sender) +
                            ", which starts the tasks");
    Instances.daemon(Sender).signal(SIGTERM);
  }
  sleepMs(500);
  if (Runner >= 0)
    Instances.command("drain " + std::to_string(Runner));
  Caller.join();
  sleepMs(300);

  std::vector<RunEvent> Events = Instances.events();
  std::string Name = "runner-" + std::to_string(Runner);
  int64_t Acknowledged = 0;
  for (const RunEvent &E : Events)
    if (E.What == "runner" && E.Task == Name)
      Acknowledged = E.At;
  int Starts = 0;
  int Late = 0;
  for (const RunEvent &E : Events) {
    if (E.What != "start" || E.Line.find(" " + Name + " ") == std::string::npos)
      continue;
    ++Starts;
    // The node that was terminated is in touch after the window. The others
    // are all the while; the check leaves them this time too.
    Late += Acknowledged != 0 && E.At > Acknowledged + DrainMs &&
            (!withTrouble() || E.At > Terminated + StableWindowMs);
  }
  bool Ran = Sender >= 0 && Sender != 6 && Acknowledged != 0 && Starts > 0;
  Verdict Result = !Ran ? CouldNotRun : Late > 0 ? Broken : Held;
  Out.write(std::string(Argv[1]) + "/record.txt", Events,
            "starts on " + Name + " " + std::to_string(Starts) +
                ", of these by a node in touch and later than drain_ms after "
                "the acknowledgement of draining " +
                std::to_string(Late) + ": exit " + std::to_string(Result));
  return Result;
}
