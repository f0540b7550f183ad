/// \file Callers of a soak test, each with its own seed and thread.
#include "load/soak_callers.h"

#include "core/weighted_func.h"
#include "fleet/recorded_caller.h"

#include <deque>
#include <random>

namespace snipeshunt {

namespace {

constexpr size_t AuditedJobs = 40;
constexpr int PatienceMs = 8000;
// Above the job's time limit, so that a request times out only under a fault.
constexpr Duration Timeout = std::chrono::seconds(15);
constexpr Duration TicketRetryPause = std::chrono::milliseconds(50);

/// How a caller submits one job.
enum class Scenario {
  Plain,
  EarlyTimeout,  ///< Times out early and resubmits to a random instance.
  Duplicate,     ///< Submits the job twice at once.
  Cancel,        ///< Cancels while the job runs.
  CancelFirst,   ///< Cancels before it submits.
  NeverFits,     ///< Must be rejected, also when submitted again.
  ShortPatience, ///< The time limit may end at any point.
  FailingTask,   ///< One task fails.
  SubmitThenGet, ///< Times out early and queries by GET.
};

constexpr std::pair<Scenario, uint32_t> Scenarios[] = {
    {Scenario::Plain, 34},        {Scenario::EarlyTimeout, 18},
    {Scenario::Duplicate, 14},    {Scenario::Cancel, 10},
    {Scenario::CancelFirst, 4},   {Scenario::NeverFits, 4},
    {Scenario::ShortPatience, 6}, {Scenario::FailingTask, 4},
    {Scenario::SubmitThenGet, 6},
};

constexpr std::pair<size_t, uint32_t> JobSizes[] = {
    {1, 50}, {5, 28}, {20, 18}, {200, 4}};

} // namespace

struct SoakCallers::Caller {
  struct SubmittedJob {
    std::string Ticket;
    RecordedJob Job;
  };

  Caller(const Fleet &F, std::string Name, const std::string &File,
         uint64_t Seed)
      : F(F), Record(std::move(Name), File), Random(Seed) {}

  void run(const std::atomic<bool> &Stopping) {
    while (!Stopping)
      runOne();
  }

  void runOne() {
    std::string Ticket = RecordedCaller::takeTicket(randomInstance());
    if (Ticket.empty()) {
      std::this_thread::sleep_for(TicketRetryPause);
      return;
    }
    Scenario Kind = draw(Scenarios);
    size_t Size = draw(JobSizes);
    RecordedJob Job =
        Record.makeJob(Size, "run_ms=" + std::to_string(5 + Random() % 60));
    Job.PatienceMs = PatienceMs;
    if (Kind == Scenario::NeverFits)
      Job.Accelerators = 9;
    if (Kind == Scenario::ShortPatience)
      Job.PatienceMs = static_cast<int>(1 + Random() % 300);
    if (Kind == Scenario::FailingTask)
      Job.Payloads[Random() % Size] += " fail=1";
    runScenario(Kind, Ticket, Job);
    RecentJobs.push_back({Ticket, std::move(Job)});
    if (RecentJobs.size() > AuditedJobs)
      RecentJobs.pop_front();
  }

  void runScenario(Scenario Kind, const std::string &Ticket,
                   const RecordedJob &Job) {
    CallerAnswer Answer;
    switch (Kind) {
    case Scenario::EarlyTimeout:
      Answer = submit(Ticket, Job, randomMs(1, 200));
      break;
    case Scenario::Duplicate:
      runConcurrently([&] { submit(Ticket, Job, Timeout); },
                      [&] { Answer = submit(Ticket, Job, Timeout); });
      break;
    case Scenario::Cancel:
      runConcurrently([&] { submit(Ticket, Job, Timeout); },
                      [&] {
                        std::this_thread::sleep_for(randomMs(1, 100));
                        Answer = Record.sendJobRequest(
                            "DELETE", randomInstance(), Ticket, Timeout);
                      });
      break;
    case Scenario::CancelFirst:
      Record.sendJobRequest("DELETE", randomInstance(), Ticket, Timeout);
      Answer = submit(Ticket, Job, Timeout);
      break;
    case Scenario::SubmitThenGet:
      submit(Ticket, Job, randomMs(1, 20));
      std::this_thread::sleep_for(randomMs(1, 200));
      Answer = Record.sendJobRequest("GET", randomInstance(), Ticket, Timeout);
      break;
    case Scenario::Plain:
    case Scenario::NeverFits:
    case Scenario::ShortPatience:
    case Scenario::FailingTask:
      Answer = submit(Ticket, Job, Timeout);
      break;
    }
    resubmit(Ticket, Job, Answer);
  }

  /// Resubmits up to three times until there is a final answer. A rejected job
  /// is resubmitted once, as a late copy of its submission.
  void resubmit(const std::string &Ticket, const RecordedJob &Job,
                CallerAnswer Answer) {
    for (int Attempt = 0; Attempt < 3; ++Attempt) {
      bool Refused = Answer.Outcome == "not_run" && Attempt == 0;
      bool Open = Answer.Outcome == "none" || Answer.Outcome == "unknown" ||
                  Answer.Outcome == "running";
      if (!Refused && !Open)
        return;
      std::this_thread::sleep_for(randomMs(1, 300));
      Answer = submit(Ticket, Job, Timeout);
    }
  }

  void audit() {
    for (const SubmittedJob &Job : RecentJobs)
      submit(Job.Ticket, Job.Job, Timeout);
  }

  CallerAnswer submit(const std::string &Ticket, const RecordedJob &Job,
                      Duration Limit) {
    CallerAnswer Answer = Record.submit(randomInstance(), Ticket, Job, Limit);
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Outcomes[Answer.Outcome];
    return Answer;
  }

  template <typename One, typename Two>
  static void runConcurrently(One First, Two Second) {
    std::thread Other(First);
    Second();
    Other.join();
  }

  template <typename T, size_t N>
  T draw(const std::pair<T, uint32_t> (&Table)[N]) {
    size_t Row = drawWeightedRow(
        Table, [](const auto &R) { return R.second; },
        [this](uint64_t Bound) { return Random() % Bound; });
    return Table[Row].first;
  }

  Duration randomMs(uint64_t Min, uint64_t Max) {
    return std::chrono::milliseconds(Min + randomNumber() % (Max - Min));
  }

  Address randomInstance() {
    return F.instance(randomNumber() % F.instances());
  }

  uint64_t randomNumber() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Random();
  }

  const Fleet &F;
  RecordedCaller Record;
  std::mutex Mutex; ///< Some scenarios use two threads.
  std::mt19937_64 Random;
  std::deque<SubmittedJob> RecentJobs;
  std::map<std::string, size_t> Outcomes;
};

SoakCallers::SoakCallers(const Fleet &Target, size_t Count, uint64_t Seed)
    : F(Target) {
  for (size_t I = 0; I < Count; ++I) {
    std::string Name = "caller-" + std::to_string(I);
    Files.push_back(F.workDir() + "/" + Name + ".history");
    // The factor keeps the callers' seeds of consecutive runs distinct.
    All.push_back(
        std::make_unique<Caller>(F, Name, Files.back(), Seed * 1000003 + I));
  }
  for (const std::unique_ptr<Caller> &One : All)
    Threads.emplace_back([this, &One] { One->run(Stopping); });
}

SoakCallers::~SoakCallers() { stop(); }

void SoakCallers::stop() {
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
}

void SoakCallers::audit() {
  for (const std::unique_ptr<Caller> &One : All)
    Threads.emplace_back([&One] { One->audit(); });
  stop();
}

std::string SoakCallers::report() const {
  std::map<std::string, size_t> Sum;
  for (const std::unique_ptr<Caller> &One : All)
    for (const auto &[Outcome, Count] : One->Outcomes)
      Sum[Outcome] += Count;
  std::string Out = "answers to submissions:";
  for (const auto &[Outcome, Count] : Sum)
    Out += " " + Outcome + "=" + std::to_string(Count);
  return Out + "\n";
}

} // namespace snipeshunt
