/// \file Injects faults into a fleet and heals them.
#include "load/soak_injector.h"

#include "load/soak_table.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace snipeshunt {

namespace {

constexpr Duration HealRetry = std::chrono::milliseconds(100);
// Time limit of a drain, which ends when no job has run for a second and takes
// long under load.
constexpr Duration DrainLimit = std::chrono::seconds(20);

std::string relayRule(const std::string &From, const char *Path,
                      const char *Action, const SoakStep &Step,
                      double Probability) {
  return "{\"from\":\"" + From + "\",\"path\":\"" + Path + "\",\"action\":\"" +
         Action + "\",\"delay_ms\":" + std::to_string(Step.DelayMs) +
         ",\"probability\":" + std::to_string(Probability) + "}";
}

} // namespace

SoakInjector::SoakInjector(Fleet &Target, SoakOperators &Operators)
    : F(Target), Operators(Operators), Counts(std::size(SoakFaults)) {}

void SoakInjector::run(const std::vector<SoakStep> &Steps) {
  SteadyTime Start = std::chrono::steady_clock::now();
  for (const SoakStep &Step : Steps) {
    waitUntil(Start + Step.At);
    Count &Counted = Counts[Step.Fault];
    if (!inject(Step)) {
      ++Counted.Failed;
      continue;
    }
    ++Counted.Injected;
    if (SoakFaults[Step.Fault].Action == SoakAction::UpstreamLeaves)
      continue;
    SteadyTime End = Start + Step.At + Step.Length;
    Pending.insert({End, {Step, End + DrainLimit}});
  }
  while (!Pending.empty())
    waitUntil(Pending.begin()->first + HealRetry);
}

void SoakInjector::waitUntil(SteadyTime When) {
  while (true) {
    SteadyTime Now = std::chrono::steady_clock::now();
    healDueFaults(Now);
    if (Now >= When)
      return;
    SteadyTime Next =
        Pending.empty() ? When : std::min(When, Pending.begin()->first);
    std::this_thread::sleep_until(Next);
  }
}

void SoakInjector::healDueFaults(SteadyTime Now) {
  while (!Pending.empty() && Pending.begin()->first <= Now) {
    Healing Due = Pending.extract(Pending.begin()).mapped();
    if (!heal(Due))
      Pending.insert({Now + HealRetry, Due});
  }
}

bool SoakInjector::inject(const SoakStep &Step) {
  const SoakFault &Fault = SoakFaults[Step.Fault];
  switch (Fault.Action) {
  case SoakAction::KillInstance:
    F.process(FleetRole::Instance, Step.Target).kill();
    return true;
  case SoakAction::PauseInstance:
    F.process(FleetRole::Instance, Step.Target).signal(SIGSTOP);
    return true;
  case SoakAction::DrainInstance:
    F.process(FleetRole::Instance, Step.Target).signal(SIGTERM);
    return true;
  case SoakAction::CutCentres:
  case SoakAction::CutInstances:
  case SoakAction::CutOneWay:
    return setCut(Step, true);
  case SoakAction::RelayFault:
    return setRule(
        Step.Target,
        relayRule("", Fault.Path, Fault.Detail, Step, Step.Probability), true);
  case SoakAction::UpstreamMode:
  case SoakAction::UpstreamLeaves:
    return setMode(Step, Fault.Detail);
  case SoakAction::KillUpstream:
    F.process(FleetRole::Upstream, Step.Target).kill();
    return true;
  case SoakAction::Platform:
    return !failed(postText(F.platform(), "/v1/faults", Fault.Detail));
  case SoakAction::OperatorRace:
    return Operators.race();
  }
  return false;
}

bool SoakInjector::heal(const Healing &Due) {
  const SoakStep &Step = Due.Step;
  const SoakFault &Fault = SoakFaults[Step.Fault];
  switch (Fault.Action) {
  case SoakAction::KillInstance:
  case SoakAction::DrainInstance:
    return healProcess(Due, FleetRole::Instance);
  case SoakAction::PauseInstance:
    F.process(FleetRole::Instance, Step.Target).signal(SIGCONT);
    return true;
  case SoakAction::CutCentres:
  case SoakAction::CutInstances:
  case SoakAction::CutOneWay:
    return setCut(Step, false);
  case SoakAction::RelayFault:
    return setRule(
        Step.Target,
        relayRule("", Fault.Path, Fault.Detail, Step, Step.Probability), false);
  case SoakAction::UpstreamMode:
    return setMode(Step, "normal");
  case SoakAction::UpstreamLeaves:
    return true;
  case SoakAction::KillUpstream:
    return healProcess(Due, FleetRole::Upstream);
  case SoakAction::Platform:
    return !failed(postText(F.platform(), "/v1/faults", "{}"));
  case SoakAction::OperatorRace:
    return true;
  }
  return true;
}

bool SoakInjector::healProcess(const Healing &Due, FleetRole Role) {
  ChildProcess &Process = F.process(Role, Due.Step.Target);
  bool Ended = Process.id() < 0 || Process.wait(Duration::zero()).has_value();
  if (!Ended && std::chrono::steady_clock::now() < Due.KillAt)
    return false;
  return !failed(F.restart(Role, Due.Step.Target));
}

bool SoakInjector::setMode(const SoakStep &Step, const std::string &Mode) {
  return !failed(postText(F.upstream(Step.Target), "/v1/mode",
                          "{\"mode\":\"" + Mode + "\",\"rate\":" +
                              std::to_string(Step.Probability) + "}"));
}

bool SoakInjector::setCut(const SoakStep &Step, bool On) {
  SoakAction Action = SoakFaults[Step.Fault].Action;
  auto Matches = [&](size_t I, size_t Expected) {
    if (Action != SoakAction::CutCentres)
      return I == Expected;
    return F.centreOf(FleetRole::Instance, I) ==
           "dc" + std::to_string(Expected + 1);
  };
  bool Done = true;
  for (size_t To = 0; To < F.instances(); ++To)
    for (size_t From = 0; From < F.instances(); ++From) {
      bool Forward = Matches(To, Step.Target) && Matches(From, Step.Other);
      bool Backward = Action != SoakAction::CutOneWay &&
                      Matches(To, Step.Other) && Matches(From, Step.Target);
      if (Forward || Backward)
        Done &= setRule(To, relayRule(F.instanceIp(From), "", "cut", Step, 1.0),
                        On);
    }
  return Done;
}

bool SoakInjector::setRule(size_t Relay, const std::string &Rule, bool On) {
  std::vector<std::string> &List = Rules[Relay];
  if (On) {
    List.push_back(Rule);
  } else {
    auto It = std::find(List.begin(), List.end(), Rule);
    if (It != List.end())
      List.erase(It);
  }
  std::string Text;
  for (const std::string &Entry : List)
    Text += (Text.empty() ? "" : ",") + Entry;
  return !failed(F.setRelayRules(Relay, "[" + Text + "]"));
}

std::string SoakInjector::report() const {
  std::string Out;
  for (size_t Row = 0; Row < Counts.size(); ++Row) {
    Out += std::string(SoakFaults[Row].Name) + ": " +
           std::to_string(Counts[Row].Injected) + " injected";
    if (Counts[Row].Failed > 0)
      Out += ", " + std::to_string(Counts[Row].Failed) + " not possible";
    Out += "\n";
  }
  return Out;
}

} // namespace snipeshunt
