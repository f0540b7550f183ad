/// \file Generates the schedule of faults.
#include "load/soak_schedule.h"

#include "core/weighted_func.h"
#include "load/soak_table.h"

#include <algorithm>
#include <map>
#include <random>

namespace snipeshunt {

namespace {

/// Kind of object that a fault affects. Two faults of one instance, relay,
/// upstream or platform do not overlap.
enum class Subject { Instance, Relay, Upstream, Platform, Link };

Subject subjectOf(SoakAction Action) {
  switch (Action) {
  case SoakAction::KillInstance:
  case SoakAction::PauseInstance:
  case SoakAction::DrainInstance:
    return Subject::Instance;
  case SoakAction::CutCentres:
  case SoakAction::CutInstances:
  case SoakAction::CutOneWay:
    return Subject::Link;
  case SoakAction::RelayFault:
    return Subject::Relay;
  case SoakAction::UpstreamMode:
  case SoakAction::UpstreamLeaves:
  case SoakAction::KillUpstream:
    return Subject::Upstream;
  case SoakAction::Platform:
  case SoakAction::OperatorRace:
    return Subject::Platform;
  }
  return Subject::Platform;
}

class Scheduler {
public:
  Scheduler(const SoakSizes &Sizes, uint64_t Seed)
      : Sizes(Sizes), Random(Seed) {}

  /// Returns a random step at \p At; nothing if its target is not free.
  std::optional<SoakStep> draw(Duration At) {
    SoakStep Step{};
    Step.At = At;
    Step.Fault = drawFault();
    const SoakFault &Fault = SoakFaults[Step.Fault];
    Step.Length = std::chrono::milliseconds(below(Fault.MaxMs - Fault.MinMs) +
                                            Fault.MinMs);
    Step.Probability = 0.1 * static_cast<double>(2 + below(9));
    Step.DelayMs = static_cast<uint32_t>(50 + below(2500));
    Subject Kind = subjectOf(Fault.Action);
    size_t Count = countOf(Kind, Fault.Action);
    Step.Target = below(Count);
    if (Kind == Subject::Link) {
      if (Count < 2)
        return std::nullopt;
      Step.Other = (Step.Target + 1 + below(Count - 1)) % Count;
      return Step;
    }
    // Operators race also during a fault of the platform.
    if (Fault.Action == SoakAction::OperatorRace)
      return Step;
    if (!reserve(Kind, Step))
      return std::nullopt;
    if (Fault.Action == SoakAction::UpstreamLeaves)
      return reserveLeaving(Step);
    return Step;
  }

  uint64_t below(uint64_t Bound) { return Bound ? Random() % Bound : 0; }

private:
  size_t drawFault() {
    return drawWeightedRow(
        SoakFaults, [](const SoakFault &F) { return F.Weight; },
        [this](uint64_t Bound) { return below(Bound); });
  }

  size_t countOf(Subject Kind, SoakAction Action) const {
    if (Action == SoakAction::CutCentres)
      return Sizes.Centres;
    if (Kind == Subject::Upstream)
      return Sizes.Upstreams;
    return Kind == Subject::Platform ? 1 : Sizes.Instances;
  }

  bool reserve(Subject Kind, const SoakStep &Step) {
    // Faults affect at most a third of the instances and half of the upstreams
    // at once.
    size_t Limit = Kind == Subject::Instance   ? (Sizes.Instances + 2) / 3
                   : Kind == Subject::Upstream ? Sizes.Upstreams / 2
                                               : Sizes.Instances;
    std::map<size_t, Duration> &Until = BusyUntil[Kind];
    auto Busy = static_cast<size_t>(
        std::count_if(Until.begin(), Until.end(), [&](const auto &Entry) {
          return Entry.second > Step.At;
        }));
    auto It = Until.find(Step.Target);
    bool Free = It == Until.end() || It->second <= Step.At;
    if (!Free || Busy >= Limit)
      return false;
    // A drained or restarted process needs a moment before its next fault.
    Until[Step.Target] = Step.At + Step.Length + std::chrono::seconds(2);
    return true;
  }

  /// Reserves a leaving upstream until the end of the test. If it returned to
  /// normal, the checks would report later starts as starts on a leaving one.
  std::optional<SoakStep> reserveLeaving(const SoakStep &Step) {
    if (++Leaving > Sizes.Upstreams / 4)
      return std::nullopt;
    BusyUntil[Subject::Upstream][Step.Target] = Duration::max();
    return Step;
  }

  SoakSizes Sizes;
  std::mt19937_64 Random;
  std::map<Subject, std::map<size_t, Duration>> BusyUntil;
  size_t Leaving = 0;
};

} // namespace

std::vector<SoakStep> soakSchedule(const SoakSizes &Sizes, uint64_t Seed,
                                   double Rate, Duration Length) {
  Scheduler Generator(Sizes, Seed);
  std::vector<SoakStep> Steps;
  auto MeanUs = static_cast<uint64_t>(1e6 / Rate);
  Duration At{};
  while (true) {
    At += std::chrono::microseconds(1 + Generator.below(2 * MeanUs));
    if (At >= Length)
      return Steps;
    if (std::optional<SoakStep> Step = Generator.draw(At))
      Steps.push_back(*Step);
  }
}

std::string formatSchedule(const std::vector<SoakStep> &Steps) {
  std::string Out;
  for (const SoakStep &Step : Steps)
    Out += std::to_string(toMilliseconds(Step.At)) + " ms " +
           SoakFaults[Step.Fault].Name +
           " target=" + std::to_string(Step.Target) +
           " other=" + std::to_string(Step.Other) + " for " +
           std::to_string(toMilliseconds(Step.Length)) +
           " ms delay=" + std::to_string(Step.DelayMs) +
           " probability=" + std::to_string(Step.Probability) + "\n";
  return Out;
}

} // namespace snipeshunt
