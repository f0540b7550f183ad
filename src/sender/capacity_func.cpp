/// \file Capacity of a sender and the expected wait for it.
#include "sender/capacity_func.h"

#include "core/duration_func.h"
#include "sender/queue_func.h"
#include "sender/sender_table.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace snipeshunt {

namespace {

// Resolution and number of the steps in which the ends of runs are counted. Of
// a job that waits for longer, the exact time does not matter.
constexpr Duration EndStep = std::chrono::milliseconds(10);
constexpr size_t EndSteps = 32;

/// When capacity for tasks of one job becomes free.
struct FreeTimes {
  int64_t PerTask = 1;   ///< Need of a task in thousandths of a core, above 0.
  int64_t FreeTasks = 0; ///< Tasks that could start now.
  /// Thousandths of a core that runs free, by the step in which they are
  /// expected to end.
  std::array<int64_t, EndSteps> FreedCpu{};

  /// Time until \p Tasks could start if no other task waited.
  Duration timeUntilFree(int64_t Tasks) const {
    int64_t Missing = (Tasks - FreeTasks) * PerTask;
    size_t Step = 0;
    while (Missing > 0 && Step < EndSteps)
      Missing -= FreedCpu[Step++];
    return EndStep * static_cast<int64_t>(Step);
  }
};

/// Measures the capacity. \p Times is filled in unless it is null.
CapacityUsage measure(const SenderState &State, SteadyTime Now,
                      FreeTimes *Times) {
  CapacityUsage Usage;
  if (State.Withheld.ReturnsJobs)
    return Usage;
  Usage.Unknown = State.UpstreamListPending;
  for (const auto &[Id, U] : State.Upstreams) {
    if (U.Phase == UpstreamPhase::Unresponsive ||
        U.Phase == UpstreamPhase::Fenced || U.Record.Draining ||
        State.Withheld.Centres.count(U.Record.Centre))
      continue;
    // Upstreams of a newly claimed cell count too, as they will soon be ready.
    Usage.TotalCpu += U.Record.Capacity.CpuMillis;
    if (acceptsStarts(U, Now)) {
      Usage.FreeCpu += U.Free.CpuMillis;
      if (Times)
        Times->FreeTasks += U.Free.CpuMillis / Times->PerTask;
    }
    for (const auto &[Key, Run] : U.Runs) {
      Duration Left =
          std::max(Duration::zero(), Run.ExpectedRunTime - (Now - Run.Ordered));
      Usage.RunningWork +=
          static_cast<double>(Run.Need.CpuMillis) * toSeconds(Left);
      if (Times)
        Times->FreedCpu[std::min<size_t>(Left / EndStep, EndSteps - 1)] +=
            Run.Need.CpuMillis;
    }
  }
  return Usage;
}

} // namespace

CapacityUsage measureCapacity(const SenderState &State, SteadyTime Now) {
  return measure(State, Now, nullptr);
}

bool hasManyRuns(const SenderState &State) {
  size_t Runs = 0;
  for (const auto &[Id, U] : State.Upstreams)
    Runs += U.Runs.size();
  return Runs >
         std::max(ManyRuns, ManyRunsPerUpstream * State.Upstreams.size());
}

Duration delayBehind(const CapacityUsage &Usage, int64_t Cpu, double Work) {
  if (Usage.Unknown)
    return Duration::zero();
  if (Usage.TotalCpu == 0)
    return NoUpstreamDelay;
  if (Cpu <= Usage.FreeCpu / 2)
    return Duration::zero();
  double Usable = static_cast<double>(Usage.TotalCpu) * UsableCpuShare;
  return fromSeconds((Work + Usage.RunningWork * FirstEndShare) / Usable);
}

double spareShare(const SenderState &State, const CapacityUsage &Usage,
                  SteadyTime Now) {
  double Rate = decayedValue(State.Offered, Now, OfferedDecaySeconds) /
                OfferedDecaySeconds;
  double Usable = static_cast<double>(Usage.TotalCpu) * UsableCpuShare;
  return Usable <= 0 ? MinSpareShare
                     : std::clamp(1 - Rate / Usable, MinSpareShare, 1.0);
}

ExpectedWait expectedWait(const SenderState &State, const SenderJob &J,
                          SteadyTime Now) {
  QueueRank Own = rankOf(State, J, Now);
  int64_t Cpu = 0;
  double Work = 0;
  int64_t AllCpu = 0;
  double AllWork = 0;
  for (const auto &[Id, Other] : State.Jobs) {
    if (Other.WaitingTasks == 0)
      continue;
    QueueRank Rank = rankOf(State, Other, Now);
    if (Rank < Own) {
      Cpu += waitingCpu(Other);
      Work += waitingWork(Other);
    }
    AllCpu += waitingCpu(Other);
    AllWork += waitingWork(Other);
  }
  FreeTimes Times;
  Times.PerTask = std::max<int64_t>(1, J.Order.Step.PerTask.CpuMillis);
  bool Overloaded = State.Shares.Overloaded;
  CapacityUsage Usage = measure(State, Now, Overloaded ? &Times : nullptr);
  ExpectedWait Wait;
  Wait.Delay = delayBehind(Usage, Cpu, Work);
  auto Tasks = static_cast<int64_t>(J.WaitingTasks);
  Wait.FreeNow = Overloaded && AllCpu + Tasks * Times.PerTask <=
                                   Times.FreeTasks * Times.PerTask;
  if (Overloaded && Usage.TotalCpu > 0 && Wait.Delay > Duration::zero()) {
    // The estimate above takes the runs as one amount of work, so that a few
    // long ones look like a wait of 100 ms for a job that needs eight of sixty
    // slots. Its last task decides, so all of them have to be free.
    double Usable = static_cast<double>(Usage.TotalCpu) * UsableCpuShare;
    Wait.Delay = fromSeconds(Work / Usable) + Times.timeUntilFree(Tasks);
  }
  Wait.Late = Now + Wait.Delay > J.Objective - J.ExpectedRunTime;
  // A late job also waits for jobs in time that arrive after it.
  if (Wait.Late)
    Wait.Delay = scaled(delayBehind(Usage, AllCpu, AllWork),
                        1 / spareShare(State, Usage, Now));
  return Wait;
}

bool endsInTime(const SenderJob &J, Duration Delay, SteadyTime Now) {
  return Now + Delay + scaled(J.ExpectedRunTime, StartMargin) <
         J.LatestUsefulEnd;
}

bool fitsAnyUpstream(const SenderState &State, const JobOrder &Order) {
  return State.UpstreamListPending ||
         std::any_of(State.Upstreams.begin(), State.Upstreams.end(),
                     [&](const auto &Entry) {
                       const SenderUpstream &U = Entry.second;
                       return !State.Withheld.Centres.count(U.Record.Centre) &&
                              U.Phase != UpstreamPhase::Fenced &&
                              U.Record.Service == Order.Service &&
                              U.Record.Capacity.covers(Order.Step.PerTask);
                     });
}

SenderLoad senderLoad(const SenderState &State, SteadyTime Now) {
  CapacityUsage Usage = measureCapacity(State, Now);
  SenderLoad Load;
  Load.TotalCpu = Usage.TotalCpu;
  Load.FreeCpu = Usage.FreeCpu;
  double WaitingWork = 0;
  int64_t WaitingCpu = 0;
  for (const auto &[Id, J] : State.Jobs) {
    if (J.WaitingTasks == 0)
      continue;
    ++Load.Waiting;
    if (rankOf(State, J, Now).LateClass > 0)
      continue;
    WaitingCpu += waitingCpu(J);
    WaitingWork += waitingWork(J);
  }
  Load.Delay = delayBehind(Usage, WaitingCpu, WaitingWork);
  return Load;
}

} // namespace snipeshunt
