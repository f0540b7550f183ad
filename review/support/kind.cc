/// \file Case: an idle runner crashes and starts again under its id as another
/// kind. Checks the rule ROUTE.
#include "fleet.hpp"

using namespace review;

namespace {

constexpr int Rounds = 5;
constexpr int64_t DownMs = 500;
constexpr int64_t DeadlineMs = 1500;

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return CouldNotRun;
  Record Out;
  // One of eight runners crashes. Runners 0, 3 and 6 are in the first zone.
  Fleet Instances(9, 3, {"a", "a", "b", "b", "b", "b", "b", "b"});
  if (!Instances.waitUntilReady())
    return CouldNotRun;
  sleepMs(3500);
  int Answered = 0;
  std::string Kind = "a";
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Next = Kind == "a" ? "b" : "a";
    if (withTrouble()) {
      Instances.command("crash 0");
      sleepMs(DownMs);
      Instances.command("restart 0 " + Next);
      sleepMs(100);
    }
    Job J;
    J.Id = "21d94b36f85c0e7" + std::to_string(Round);
    J.Requirement = Kind;
    Answered += recorded(Out, "client", Instances.front(0), "POST", J.Id,
                         J.body(), DeadlineMs)
                    .Status != 0;
    if (withTrouble())
      Kind = Next;
    sleepMs(4000 + 170 * Round);
  }

  std::vector<RunEvent> Events = Instances.events();
  int Starts = 0;
  int Wrong = 0;
  for (const RunEvent &E : Events) {
    if (E.What != "start")
      continue;
    ++Starts;
    // Jobs of even rounds require `a`; with the disruption, the others `b`.
    int Round = E.Task[15] - '0';
    std::string Required = withTrouble() && Round % 2 ? "b" : "a";
    Wrong += E.field("kind") != Required;
  }
  Verdict Result = Starts == 0 || Answered < Rounds ? CouldNotRun
                   : Wrong > 0                      ? Broken
                                                    : Held;
  Out.write(std::string(Argv[1]) + "/record.txt", Events,
            "starts " + std::to_string(Starts) +
                ", of these on a runner without the label that the step "
                "requires " +
                std::to_string(Wrong) + ": exit " + std::to_string(Result));
  return Result;
}
