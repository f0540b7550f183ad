/// \file Callers of a soak test, each with its own seed and thread.
#include "soak/cell_soak_callers.h"

#include "http/http_client.h"

#include <algorithm>
#include <random>

namespace snipeshunt {

namespace {

// Pause before a job whose answer was lost is submitted again; the platform's
// callers use the same.
constexpr Duration RetryPause = std::chrono::milliseconds(1300);
constexpr int MaxAttempts = 4;
// Time-out of a request after the job's time limit, by which the answer is
// due. Long, so that a slow machine does not cause a violation.
constexpr Duration AnswerLimit = std::chrono::seconds(40);
// Upper bound on one turn of the event loop while a request is open.
constexpr Duration LoopStep = std::chrono::milliseconds(100);
// One in this many jobs has a caller that disconnects early.
constexpr uint64_t DisconnectOneIn = 8;

} // namespace

class CellSoakCallers::Caller {
public:
  Caller(const CellFleet &F, size_t Number, uint64_t Seed)
      : F(F), Number(Number), Random(Seed), Client(Loop, {}) {}

  void run(const std::atomic<bool> &Stopping) {
    while (!Stopping)
      runJob(Stopping);
  }

  std::vector<SoakAttempt> Attempts;

private:
  void runJob(const std::atomic<bool> &Stopping) {
    char Id[17];
    snprintf(Id, sizeof(Id), "%08zx%08zx", Number, ++Jobs);
    int Tasks = 1 + static_cast<int>(Random() % 4);
    int WorkMs = static_cast<int>(Random() % 5 == 0 ? 200 + Random() % 600
                                                    : 5 + Random() % 60);
    auto Wait = std::chrono::milliseconds(1500 + Random() % 3000);
    bool Disconnects = Random() % DisconnectOneIn == 0;
    for (int Try = 0; Try < MaxAttempts; ++Try) {
      const SoakAttempt &A = submit(Id, Tasks, WorkMs, Wait, Disconnects);
      bool Lost = A.Status == 0 || A.Status == 502 || A.Status == 504;
      if (!Lost || Disconnects || Stopping)
        return;
      pause(RetryPause);
    }
  }

  /// Waits for \p For and runs the event loop meanwhile, so that connections
  /// closed by the other side are detected before they are used again.
  void pause(Duration For) {
    SteadyTime End = std::chrono::steady_clock::now() + For;
    do
      Loop.runFor(
          std::max(Duration::zero(), End - std::chrono::steady_clock::now()));
    while (std::chrono::steady_clock::now() < End);
  }

  const SoakAttempt &submit(const std::string &Id, int Tasks, int WorkMs,
                            std::chrono::milliseconds Wait, bool Disconnects) {
    pause(Duration::zero());
    SoakAttempt A;
    A.Job = Id;
    A.Tasks = Tasks;
    A.Disconnected = Disconnects;
    A.Instance = Random() % F.instances();
    A.Sent = std::chrono::steady_clock::now();
    HttpCall Call = F.submission(A.Instance, Id, Tasks, WorkMs, Wait);
    Call.Timeout =
        Disconnects
            ? Duration(std::chrono::milliseconds(1 + Random() % (2 * WorkMs)))
            : Wait + AnswerLimit;
    bool Ended = false;
    Client.send(std::move(Call), [&](const HttpOutcome &Outcome) {
      if (const auto *Failure = std::get_if<HttpFailure>(&Outcome)) {
        A.NothingSent = Failure->NothingSent;
        A.Body = Failure->Message;
      } else {
        A.Status = std::get<HttpReply>(Outcome).Status;
        A.Body = std::get<HttpReply>(Outcome).Body;
      }
      Ended = true;
    });
    while (!Ended)
      Loop.runFor(LoopStep);
    A.Ended = std::chrono::steady_clock::now();
    Attempts.push_back(std::move(A));
    return Attempts.back();
  }

  const CellFleet &F;
  size_t Number;
  std::mt19937_64 Random;
  size_t Jobs = 0;
  EventLoop Loop;
  HttpClient Client;
};

CellSoakCallers::CellSoakCallers(const CellFleet &Target, size_t Count,
                                 uint64_t Seed) {
  for (size_t I = 0; I < Count; ++I)
    // The factor keeps the callers' seeds of consecutive runs distinct.
    All.push_back(std::make_unique<Caller>(Target, I, Seed * 1000003 + I));
  for (const std::unique_ptr<Caller> &One : All)
    Threads.emplace_back([this, &One] { One->run(Stopping); });
}

CellSoakCallers::~CellSoakCallers() { stop(); }

void CellSoakCallers::stop() {
  Stopping = true;
  for (std::thread &T : Threads)
    T.join();
  Threads.clear();
}

std::vector<SoakAttempt> CellSoakCallers::attempts() const {
  std::vector<SoakAttempt> Sum;
  for (const std::unique_ptr<Caller> &One : All)
    Sum.insert(Sum.end(), One->Attempts.begin(), One->Attempts.end());
  return Sum;
}

} // namespace snipeshunt
