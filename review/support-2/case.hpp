/// \file Common parts of the cases: the record and a caller.
#ifndef SNIPESHUNT_REVIEW_CASE_HPP
#define SNIPESHUNT_REVIEW_CASE_HPP

#include "soak/link_proxy.h"
#include "standins/cell_fleet.h"

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <thread>

namespace review {

using namespace snipeshunt;
using Ms = std::chrono::milliseconds;

enum ExitStatus { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Time on the clock that the stand-in runners print.
inline SteadyTime now() { return std::chrono::steady_clock::now(); }

/// Writes lines with the time since its construction.
class Record {
public:
  explicit Record(const char *FileName)
      : File(std::fopen(FileName, "w")), Start(now()) {}
  ~Record() { std::fclose(File); }

  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    std::fprintf(File, "%8.3f s  ", seconds(now()));
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }

  /// Seconds from the start of the record to \p T.
  double seconds(SteadyTime T) const { return toSeconds(T - Start); }

  /// Writes what the runners have run of the jobs in \p Jobs.
  void runs(const CellFleet &F, const std::vector<std::string> &Jobs) {
    for (const RunEvent &E : F.history())
      for (const std::string &Job : Jobs)
        if (E.Task.rfind(Job + ".", 0) == 0)
          std::fprintf(File, "%8.3f s  runner: %s of %s run %s on %s %s\n",
                       seconds(E.At), E.IsStart ? "start" : "end",
                       E.Task.c_str(), E.Run.c_str(), E.Runner.c_str(),
                       E.Outcome.c_str());
    std::fflush(File);
  }

private:
  std::FILE *File;
  SteadyTime Start;
};

/// True unless the case is run without its disruption (TROUBLE=0).
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::strcmp(Value, "0") != 0;
}

inline void sleepUntil(SteadyTime T) { std::this_thread::sleep_until(T); }

/// The stand-in runners write their lines when a run ends by itself. A short
/// job makes them write those of stopped runs too.
inline void flushRunners(const CellFleet &F, size_t I) {
  for (int Try = 0; Try < 20; ++Try) {
    char Id[17];
    std::snprintf(Id, sizeof(Id), "%016x", 0xf1a50000U + Try);
    if (F.submit(I, Id, 1, 20).Status == 200)
      break;
    std::this_thread::sleep_for(Ms(500));
  }
  std::this_thread::sleep_for(Ms(200));
}

/// Returns the submission of one step to instance \p I. The client waits for
/// \p Deadline.
inline HttpCall jobCall(const CellFleet &F, size_t I, const std::string &Id,
                        int Tasks, int WorkMs, int EstimateMs, Ms Deadline) {
  HttpCall Call = F.submission(I, Id, Tasks, WorkMs, Deadline);
  Call.Body = R"({"spec":"work_ms=)" + std::to_string(WorkMs) +
              R"(","best_effort":true,"steps":[{"count":)" +
              std::to_string(Tasks) +
              R"(,"cpu":27000,"mem_mb":64,"estimate_ms":)" +
              std::to_string(EstimateMs) + "}]}";
  Call.Timeout = Deadline;
  return Call;
}

/// Starts the fleet that \p Make returns and waits until it is ready. A port
/// that was free may be taken meanwhile, so there are three attempts.
/// \p AfterStart is called with the fleet before it is ready.
template <typename MakeFleet>
std::unique_ptr<CellFleet>
startFleet(Record &Log, MakeFleet Make,
           const std::function<void(CellFleet &)> &AfterStart = nullptr) {
  for (int Try = 0; Try < 3; ++Try) {
    std::unique_ptr<CellFleet> F = Make();
    bool Started = F && !failed(F->start());
    if (Started && AfterStart)
      AfterStart(*F);
    for (int Wait = 0; Started && Wait < 40; ++Wait) {
      bool Ready = true;
      for (size_t I = 0; I < F->instances(); ++I)
        Ready = Ready && F->isReady(I);
      if (Ready)
        return std::this_thread::sleep_for(Ms(3000)), std::move(F);
      std::this_thread::sleep_for(Ms(200));
    }
    Log.line("the fleet did not get ready");
  }
  return nullptr;
}

/// Sends the call; returns 0 if there was no answer until its time-out.
inline int statusOf(HttpCall Call, std::string *Body = nullptr) {
  HttpOutcome Outcome = callOnce(std::move(Call));
  const auto *Reply = std::get_if<HttpReply>(&Outcome);
  if (Body)
    *Body = Reply ? Reply->Body : std::get<HttpFailure>(Outcome).Message;
  return Reply ? Reply->Status : 0;
}

} // namespace review

#endif // SNIPESHUNT_REVIEW_CASE_HPP
