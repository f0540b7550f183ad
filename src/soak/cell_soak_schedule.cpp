/// \file Generates the schedule of faults.
#include "soak/cell_soak_schedule.h"

#include "core/weighted_func.h"
#include "soak/cell_soak_table.h"

#include <map>
#include <random>

namespace snipeshunt {

namespace {

// Minimum time between two faults of a process, so that faults also hit
// processes that have become ready after a restart.
constexpr Duration ProcessPause = std::chrono::milliseconds(1500);

class FaultGenerator {
public:
  explicit FaultGenerator(uint64_t Seed) : Random(Seed) {}

  uint64_t below(uint64_t Bound) { return Bound ? Random() % Bound : 0; }

  size_t fault() {
    return drawWeightedRow(
        CellFaults, [](const CellFault &F) { return F.Weight; },
        [this](uint64_t Bound) { return below(Bound); });
  }

private:
  std::mt19937_64 Random;
};

} // namespace

std::vector<size_t> processesOf(const FaultStep &Step, size_t Instances) {
  FaultTarget Target = CellFaults[Step.Fault].Target;
  if (Target == FaultTarget::Process)
    return {Step.Number};
  std::vector<size_t> All;
  for (size_t I = 0; Target == FaultTarget::AllProcesses && I < Instances; ++I)
    All.push_back(I);
  return All;
}

std::vector<FaultStep> cellSoakSchedule(const CellSoakSizes &Sizes,
                                        uint64_t Seed, double Rate,
                                        Duration Length) {
  FaultGenerator Draw(Seed);
  std::vector<FaultStep> Steps;
  std::map<size_t, Duration> BusyUntil;
  auto MeanUs = static_cast<uint64_t>(1e6 / Rate);
  for (Duration At{};;) {
    At += std::chrono::microseconds(1 + Draw.below(2 * MeanUs));
    if (At >= Length)
      return Steps;
    FaultStep Step{};
    Step.At = At;
    Step.Fault = Draw.fault();
    const CellFault &F = CellFaults[Step.Fault];
    Step.Length =
        std::chrono::milliseconds(F.MinMs + Draw.below(F.MaxMs - F.MinMs + 1));
    Step.Number = Draw.below(
        F.Target == FaultTarget::RunnerLink ? Sizes.Runners : Sizes.Instances);
    std::vector<size_t> Processes = processesOf(Step, Sizes.Instances);
    bool Free = true;
    for (size_t I : Processes)
      Free = Free && BusyUntil[I] <= At;
    if (!Free)
      continue;
    for (size_t I : Processes)
      BusyUntil[I] = At + Step.Length + ProcessPause;
    Steps.push_back(Step);
  }
}

std::string formatSchedule(const std::vector<FaultStep> &Steps) {
  std::string Out;
  for (const FaultStep &Step : Steps)
    Out += std::to_string(toMilliseconds(Step.At)) + " ms " +
           CellFaults[Step.Fault].Name +
           " number=" + std::to_string(Step.Number) + " for " +
           std::to_string(toMilliseconds(Step.Length)) + " ms\n";
  return Out;
}

} // namespace snipeshunt
