/// \file Injects faults into a fleet of cells and heals them.
#include "soak/cell_soak_injector.h"

#include "soak/cell_soak_schedule.h"
#include "soak/cell_soak_table.h"

#include <csignal>
#include <thread>

namespace snipeshunt {

namespace {

// Time limit for a process to start or to shut down. Far above the grace period
// of 6 s, which a slow machine may exceed.
constexpr Duration ProcessTimeout = std::chrono::seconds(60);
// Longest time between two calls of `OnSample`.
constexpr Duration SamplePeriod = std::chrono::milliseconds(200);
// Interval between checks whether a process that got SIGTERM has exited.
constexpr Duration ShutdownPollInterval = std::chrono::milliseconds(20);
// A caller notices a failed connection a little after the end of the outage
// that caused it.
constexpr Duration OutageSlack = std::chrono::milliseconds(500);

} // namespace

Result<Ok> CellSoakInjector::startFleet() {
  std::vector<Address> Runners;
  for (size_t I = 0; I < 2 * F.instances() + F.options().Runners; ++I) {
    Result<size_t> Link = Proxy.open(F.linkIp());
    if (failed(Link))
      return errorOf(Link);
    std::vector<size_t> &Group = I < F.instances()       ? PeersLinks
                                 : I < 2 * F.instances() ? StoreLinks
                                                         : RunnerLinks;
    Group.push_back(valueOf(Link));
  }
  for (size_t I = 0; I < F.instances(); ++I) {
    F.setLinks(I, Proxy.address(PeersLinks[I]), Proxy.address(StoreLinks[I]));
    Proxy.setTarget(PeersLinks[I], F.peers(I));
    Proxy.setTarget(StoreLinks[I], F.store());
  }
  for (size_t Link : RunnerLinks)
    Runners.push_back(Proxy.address(Link));
  F.setRunnerLinks(Runners);
  Result<Ok> Started = F.startPlatform();
  if (failed(Started))
    return Started;
  bool Listening = Fleet::waitUntil(
      [&] { return !F.runnerAddresses().empty(); }, ProcessTimeout);
  if (!Listening)
    return Error{ErrorKind::Unavailable,
                 "the stand-in of the platform did not start",
                 "see " + F.log("platform")};
  std::vector<Address> Targets = F.runnerAddresses();
  for (size_t I = 0; I < Targets.size(); ++I)
    Proxy.setTarget(RunnerLinks[I], Targets[I]);
  for (size_t I = 0; I < F.instances() && !failed(Started); ++I)
    Started = F.startInstance(I);
  if (!failed(Started) && !F.waitUntilReady())
    return Error{ErrorKind::Unavailable, "the fleet did not become ready",
                 "run again with --keep and see the logs"};
  return Started;
}

void CellSoakInjector::run(const std::vector<FaultStep> &Steps) {
  SteadyTime Start = std::chrono::steady_clock::now();
  auto PlayUntil = [this](SteadyTime When) {
    while (true) {
      healDueFaults(std::chrono::steady_clock::now());
      if (std::chrono::steady_clock::now() >= When)
        return;
      if (OnSample)
        OnSample();
      SteadyTime Next =
          std::min(When, std::chrono::steady_clock::now() + SamplePeriod);
      std::this_thread::sleep_until(
          Pending.empty() ? Next : std::min(Next, Pending.begin()->first));
    }
  };
  for (const FaultStep &Step : Steps) {
    PlayUntil(Start + Step.At);
    ++Counts[Step.Fault];
    inject(Step);
    Pending.insert({Start + Step.At + Step.Length, Step});
  }
  while (!Pending.empty())
    PlayUntil(Pending.begin()->first);
}

void CellSoakInjector::healDueFaults(SteadyTime Now) {
  while (!Pending.empty() && Pending.begin()->first <= Now) {
    FaultStep Step = Pending.extract(Pending.begin()).mapped();
    if (!heal(Step, Now))
      Pending.insert({Now + ShutdownPollInterval, Step});
  }
}

std::vector<size_t> CellSoakInjector::linksOf(const FaultStep &Step) const {
  switch (CellFaults[Step.Fault].Target) {
  case FaultTarget::PeersLink:
    return {PeersLinks[Step.Number]};
  case FaultTarget::StoreLink:
    return {StoreLinks[Step.Number]};
  case FaultTarget::AllStores:
    return StoreLinks;
  case FaultTarget::RunnerLink:
    return {RunnerLinks[Step.Number]};
  case FaultTarget::Process:
  case FaultTarget::AllProcesses:
    return {};
  }
  return {};
}

void CellSoakInjector::inject(const FaultStep &Step) {
  const CellFault &Fault = CellFaults[Step.Fault];
  for (size_t I : processesOf(Step, F.instances()))
    injectProcessFault(Fault.Action, I);
  for (size_t Link : linksOf(Step))
    injectLinkFault(Fault.Action, Link);
}

Outage *CellSoakInjector::openOutage(size_t I) {
  for (Outage &O : Outages)
    if (O.Instance == I && O.End == SteadyTime::max())
      return &O;
  return nullptr;
}

void CellSoakInjector::injectProcessFault(FaultAction Action, size_t I) {
  // A shutdown may take longer than its scheduled duration, so that the next
  // fault of the process comes before its end; that fault is skipped.
  if (openOutage(I))
    return;
  if (Action != FaultAction::HangUp)
    Outages.push_back({I, Action, std::chrono::steady_clock::now()});
  switch (Action) {
  case FaultAction::Kill:
    return F.process(I).kill();
  case FaultAction::Pause:
    return F.process(I).signal(SIGSTOP);
  case FaultAction::End:
    return F.process(I).signal(SIGTERM);
  case FaultAction::HangUp:
    return F.process(I).signal(SIGHUP);
  default:
    return;
  }
}

void CellSoakInjector::injectLinkFault(FaultAction Action, size_t Link) {
  LinkFault Fault;
  switch (Action) {
  case FaultAction::Reset:
    return Proxy.reset(Link);
  case FaultAction::Silence:
    return Proxy.silence(Link);
  case FaultAction::Delay:
    Fault.Delay = LinkDelay;
    break;
  case FaultAction::Cut:
    Fault.HoldForward = Fault.HoldBackward = true;
    break;
  case FaultAction::CutForward:
    Fault.HoldForward = true;
    break;
  case FaultAction::CutBackward:
    Fault.HoldBackward = true;
    break;
  default:
    return;
  }
  Proxy.setFault(Link, Fault);
}

bool CellSoakInjector::heal(const FaultStep &Step, SteadyTime Now) {
  const CellFault &Fault = CellFaults[Step.Fault];
  bool Healed = true;
  for (size_t I : processesOf(Step, F.instances()))
    Healed = healProcess(Fault.Action, I, Now) && Healed;
  bool IsPersistent = Fault.Action != FaultAction::Reset &&
                      Fault.Action != FaultAction::Silence;
  // If faults of a link overlap, the end of the first one removes all.
  for (size_t Link : linksOf(Step))
    if (IsPersistent)
      Proxy.setFault(Link, {});
  return Healed;
}

bool CellSoakInjector::healProcess(FaultAction Action, size_t I,
                                   SteadyTime Now) {
  Outage *Open = openOutage(I);
  // The fault was skipped, or the outage belongs to another fault.
  if (!Open || Open->Cause != Action)
    return true;
  if (Action == FaultAction::Pause)
    F.process(I).signal(SIGCONT);
  if (Action == FaultAction::End) {
    std::optional<int> Status = F.process(I).wait(Duration::zero());
    if (!Status && Now - Open->Begin < ProcessTimeout)
      return false;
    ++Shutdowns;
    if (Status != std::optional<int>(0))
      ShutdownFailures.push_back(
          "instance " + std::to_string(I) +
          (Status ? " exited with status " + std::to_string(*Status)
                  : std::string(" did not exit after SIGTERM")));
  }
  if (Action != FaultAction::Pause) {
    Result<Ok> Started = F.startInstance(I);
    if (failed(Started))
      ShutdownFailures.push_back(errorOf(Started).Message);
  }
  Open->End = std::chrono::steady_clock::now() + OutageSlack;
  return true;
}

std::string CellSoakInjector::report() const {
  std::string Out = "faults:";
  for (const auto &[Row, Count] : Counts)
    Out +=
        std::string(" ") + CellFaults[Row].Name + "=" + std::to_string(Count);
  return Out + "\n";
}

} // namespace snipeshunt
