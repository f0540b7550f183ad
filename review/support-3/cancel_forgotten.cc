/// \file Case: a cancellation is forgotten with the process that took it, and a
/// late copy of the submission starts the job.
#include "harness.hpp"

#include <signal.h>

#include <thread>

using namespace review;

namespace {

constexpr int64_t StableWindowMs = 3000; ///< `stable_window_ms`.
constexpr int64_t CancelMs = 3000;       ///< `cancel_ms`.
constexpr int64_t LateCopyMs = 6000;     ///< "Seconds after the 2xx".
constexpr int64_t RestartMs = 1000;      ///< The platform restarts processes.
constexpr int64_t DeadlineMs = 20000;    ///< Of the client.
constexpr int TaskMs = 6000;
const std::string Job = "5c0e7a21d94b36f8";

std::string text(const Answer &A) {
  return A.Status ? std::to_string(A.Status) + " " + A.Body
                  : "no answer: " + A.Problem;
}

} // namespace

int main(int Argc, char **Argv) {
  Record Log(Argc > 1 ? Argv[1] : "record.txt");
  bool Trouble = troubleWanted();
  Log.line(std::string("disruption: ") +
           (Trouble ? "one process is killed" : "none"));
  Fleet Instances(Log, 9, 3, 12);
  if (!Instances.start())
    return CouldNotRun;
  sleepMs(StableWindowMs + 1000);
  // The sender of data centre 1 takes the cancellation; another instance there
  // has taken the job.
  size_t Sender = Instances.instances();
  size_t Entry = Instances.instances();
  for (size_t I = 0; I < Instances.instances(); ++I) {
    if (Instances.centreOf(I) != 1)
      continue;
    (Instances.metric(I, "snipeshunt_cells") > 0 ? Sender : Entry) = I;
  }
  if (Sender == Instances.instances() || Entry == Instances.instances()) {
    Log.line("data centre 1 does not have one sender and an entry");
    return CouldNotRun;
  }
  Answer Submitted;
  int64_t SubmittedAt = nowUs();
  std::thread Client([&] {
    Submitted = call(Instances.front(Entry), "POST", "/jobs/" + Job,
                     jobBody(2, TaskMs), DeadlineMs, DeadlineMs);
  });
  sleepMs(1000);
  Answer Cancelled =
      call(Instances.front(Sender), "DELETE", "/jobs/" + Job, "", 4000);
  Client.join();
  Log.line(SubmittedAt, "POST " + Job + " sent to i" + std::to_string(Entry));
  Log.line(Cancelled.AtUs, "DELETE " + Job + " at i" + std::to_string(Sender) +
                               " answered: " + text(Cancelled));
  Log.line(Submitted.AtUs, "the POST is answered: " + text(Submitted));
  if (Cancelled.Status != 200 || Submitted.Status != 200)
    return CouldNotRun;
  sleepMs(500);
  if (Trouble) {
    Instances.process(Sender).kill();
    Log.line("i" + std::to_string(Sender) + " killed");
    sleepMs(RestartMs);
    if (!Instances.startInstance(Sender))
      return CouldNotRun;
    Log.line("i" + std::to_string(Sender) + " started again");
  }
  sleepMs(LateCopyMs - (nowUs() - Submitted.AtUs) / 1000);
  Log.line("a late copy of the POST is sent to i" + std::to_string(Entry));
  Answer Copy = call(Instances.front(Entry), "POST", "/jobs/" + Job,
                     jobBody(2, TaskMs), DeadlineMs, DeadlineMs);
  Log.line(Copy.AtUs, "the late copy is answered: " + text(Copy));
  int LateStarts = 0;
  for (const RunEvent &E : Instances.runs(Job)) {
    Log.line(E.AtUs, (E.IsStart ? "start " : "end ") + E.Task + " run " +
                         std::to_string(E.Run) + " on " + E.Runner + " " +
                         E.Outcome);
    LateStarts += E.IsStart && E.AtUs > Cancelled.AtUs + CancelMs * 1000;
  }
  Log.line("starts later than cancel_ms after the acknowledgement: " +
           std::to_string(LateStarts));
  return LateStarts > 0 ? RuleBroken : RuleHeld;
}
