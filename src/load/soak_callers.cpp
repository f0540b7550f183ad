/// \file Callers of a soak run, each with its own seed and thread.
#include "load/soak_callers.h"

#include "core/weighted_func.h"
#include "fleet/recorded_caller.h"

#include <deque>
#include <random>

namespace snipeshunt {

namespace {

constexpr size_t AuditedJobs = 40;
constexpr int PatienceMs = 8000;
// Beyond the patience, so that only a fault makes a caller give up.
constexpr Duration Timeout = std::chrono::seconds(15);
constexpr Duration TicketPause = std::chrono::milliseconds(50);

/// What a caller does with one job.
enum class Manner {
  Plain,
  EarlyTimeout,  ///< Gives up early and resubmits elsewhere.
  TwoCopies,     ///< Sends two copies at once.
  Cancel,        ///< Cancels while the job runs.
  CancelFirst,   ///< Cancels before it submits.
  NeverFits,     ///< Must be refused, also as a late copy.
  ShortPatience, ///< May run out of time at any point.
  FailingTask,   ///< One task fails.
  Ask,           ///< Submits without waiting and asks by GET.
};

constexpr std::pair<Manner, uint32_t> Manners[] = {
    {Manner::Plain, 34},        {Manner::EarlyTimeout, 18},
    {Manner::TwoCopies, 14},    {Manner::Cancel, 10},
    {Manner::CancelFirst, 4},   {Manner::NeverFits, 4},
    {Manner::ShortPatience, 6}, {Manner::FailingTask, 4},
    {Manner::Ask, 6},
};

constexpr std::pair<size_t, uint32_t> JobSizes[] = {
    {1, 50}, {5, 28}, {20, 18}, {200, 4}};

} // namespace

struct SoakCallers::Caller {
  struct Sent {
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
    std::string Ticket = RecordedCaller::takeTicket(anywhere());
    if (Ticket.empty()) {
      std::this_thread::sleep_for(TicketPause);
      return;
    }
    Manner How = draw(Manners);
    size_t Size = draw(JobSizes);
    RecordedJob Job =
        Record.makeJob(Size, "run_ms=" + std::to_string(5 + Random() % 60));
    Job.PatienceMs = PatienceMs;
    if (How == Manner::NeverFits)
      Job.Accelerators = 9;
    if (How == Manner::ShortPatience)
      Job.PatienceMs = static_cast<int>(1 + Random() % 300);
    if (How == Manner::FailingTask)
      Job.Payloads[Random() % Size] += " fail=1";
    play(How, Ticket, Job);
    Last.push_back({Ticket, std::move(Job)});
    if (Last.size() > AuditedJobs)
      Last.pop_front();
  }

  void play(Manner How, const std::string &Ticket, const RecordedJob &Job) {
    CallerAnswer Answer;
    switch (How) {
    case Manner::EarlyTimeout:
      Answer = submit(Ticket, Job, randomMs(1, 200));
      break;
    case Manner::TwoCopies:
      beside([&] { submit(Ticket, Job, Timeout); },
             [&] { Answer = submit(Ticket, Job, Timeout); });
      break;
    case Manner::Cancel:
      beside([&] { submit(Ticket, Job, Timeout); },
             [&] {
               std::this_thread::sleep_for(randomMs(1, 100));
               Answer =
                   Record.sendJobRequest("DELETE", anywhere(), Ticket, Timeout);
             });
      break;
    case Manner::CancelFirst:
      Record.sendJobRequest("DELETE", anywhere(), Ticket, Timeout);
      Answer = submit(Ticket, Job, Timeout);
      break;
    case Manner::Ask:
      submit(Ticket, Job, randomMs(1, 20));
      std::this_thread::sleep_for(randomMs(1, 200));
      Answer = Record.sendJobRequest("GET", anywhere(), Ticket, Timeout);
      break;
    case Manner::Plain:
    case Manner::NeverFits:
    case Manner::ShortPatience:
    case Manner::FailingTask:
      Answer = submit(Ticket, Job, Timeout);
      break;
    }
    follow(Ticket, Job, Answer);
  }

  /// Resubmits without a final answer; after a refusal, sends a late copy.
  void follow(const std::string &Ticket, const RecordedJob &Job,
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
    for (const Sent &Job : Last)
      submit(Job.Ticket, Job.Job, Timeout);
  }

  CallerAnswer submit(const std::string &Ticket, const RecordedJob &Job,
                      Duration Limit) {
    CallerAnswer Answer = Record.submit(anywhere(), Ticket, Job, Limit);
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Outcomes[Answer.Outcome];
    return Answer;
  }

  template <typename One, typename Two>
  static void beside(One First, Two Second) {
    std::thread Beside(First);
    Second();
    Beside.join();
  }

  template <typename T, size_t N>
  T draw(const std::pair<T, uint32_t> (&Table)[N]) {
    size_t Row = drawWeightedRow(
        Table, [](const auto &R) { return R.second; },
        [this](uint64_t Bound) { return Random() % Bound; });
    return Table[Row].first;
  }

  Duration randomMs(uint64_t Min, uint64_t Max) {
    return std::chrono::milliseconds(Min + number() % (Max - Min));
  }

  Address anywhere() { return F.instance(number() % F.instances()); }

  uint64_t number() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Random();
  }

  const Fleet &F;
  RecordedCaller Record;
  std::mutex Mutex; ///< Two copies are sent from two threads.
  std::mt19937_64 Random;
  std::deque<Sent> Last;
  std::map<std::string, size_t> Outcomes;
};

SoakCallers::SoakCallers(const Fleet &Target, size_t Count, uint64_t Seed)
    : F(Target) {
  for (size_t I = 0; I < Count; ++I) {
    std::string Name = "caller-" + std::to_string(I);
    Files.push_back(F.workDir() + "/" + Name + ".history");
    // Large steps keep the seeds of neighbouring runs apart.
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
