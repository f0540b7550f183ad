/// \file Upstreams of the simulated fleet of cells.
#include "cell_world.h"

#include "sender/sender_table.h"

#include <algorithm>

namespace snipeshunt::testing {

namespace {

constexpr Duration OrderLimit = OrderTimeout;
constexpr Duration RenewalLimit = RenewalSlack;
constexpr Duration StopTime = std::chrono::milliseconds(20);
constexpr int64_t MaxLeaseMs = 1000;
// Time after which a crashed upstream is back.
constexpr Duration CrashDownTime = std::chrono::seconds(3);

} // namespace

int64_t CellWorld::clockOf(const Upstream &U) const {
  return toMilliseconds(
      std::chrono::duration_cast<Duration>((Now - U.ClockStart) * U.ClockRate));
}

void CellWorld::endRun(Upstream &U, const RunKey &Key, RunEnd Outcome) {
  auto It = U.Running.find(Key);
  if (It == U.Running.end())
    return;
  Runs[It->second.Record].Ended = Now;
  Runs[It->second.Record].Done = Outcome == RunEnd::Done;
  Runs[It->second.Record].Failed = Outcome == RunEnd::Failed;
  U.Running.erase(It);
  uint32_t &Last = U.LastEnded[{Key.Job, Key.Step, Key.Index}];
  Last = std::max(Last, Key.Run);
  U.Ends.push_back({U.NextEnd++, Key, Outcome});
  std::vector<std::function<void()>> Woken = std::move(U.WaitingRenewals);
  U.WaitingRenewals.clear();
  for (auto &W : Woken)
    schedule(Now, W);
}

void CellWorld::advanceUpstreams() {
  for (auto &[Id, U] : Upstreams) {
    std::vector<std::pair<RunKey, RunEnd>> Ended;
    bool Lapsed = clockOf(U) >= U.LeaseEndMs;
    for (const auto &[Key, R] : U.Running) {
      if (Lapsed)
        Ended.emplace_back(Key, RunEnd::Lapsed);
      else if (U.Faults.FailsAll)
        Ended.emplace_back(Key, RunEnd::Failed);
      else if (!U.Faults.Stalls && Now - R.Started >= R.Work)
        Ended.emplace_back(Key, RunEnd::Done);
    }
    for (const auto &[Key, Outcome] : Ended)
      endRun(U, Key, Outcome);
  }
}

OrderStatus CellWorld::applyStart(Upstream &U, const StartRun &E) {
  if (E.Token < U.Token)
    return OrderStatus::Fenced;
  U.Token = E.Token;
  if (E.LeaseDeadlineMs <= clockOf(U))
    return OrderStatus::TooLate;
  U.LeaseEndMs = std::max(U.LeaseEndMs,
                          std::min(E.LeaseDeadlineMs, clockOf(U) + MaxLeaseMs));
  if (U.Running.count(E.Key))
    return OrderStatus::Accepted;
  auto Last = U.LastEnded.find({E.Key.Job, E.Key.Step, E.Key.Index});
  if (Last != U.LastEnded.end() && E.Key.Run <= Last->second)
    return OrderStatus::Outdated;
  Run R;
  R.Key = E.Key;
  R.Started = Now;
  R.Work = std::chrono::duration_cast<Duration>(TaskTimes[E.Key.Job] / U.Speed);
  R.Record = Runs.size();
  Runs.push_back(
      {E.Key, U.Record.Id, Now, SteadyTime::max(), false, U.Record.Kind});
  U.Running[E.Key] = R;
  int64_t UsedCpu = 0;
  for (const auto &[Key, Other] : U.Running)
    UsedCpu += TaskCpu[Key.Job];
  if (UsedCpu > U.Record.Capacity.CpuMillis)
    Overloads.push_back(Runs.back());
  auto Crash = CrashingTasks.find({E.Key.Job, E.Key.Index});
  if (Crash != CrashingTasks.end())
    schedule(Now + Crash->second,
             [this, Id = U.Record.Id, StartedAt = U.Record.StartedAt] {
               if (Upstreams[Id].Record.StartedAt == StartedAt)
                 crashUpstream(Id, CrashDownTime);
             });
  // `advanceUpstreams` runs with each event; these are for the end of the run
  // and of the lease.
  schedule(Now + R.Work, [] {});
  schedule(Now + std::chrono::milliseconds(MaxLeaseMs), [] {});
  return OrderStatus::Accepted;
}

bool CellWorld::occurs(double Share) {
  return Share > 0 && std::bernoulli_distribution(Share)(Random);
}

bool CellWorld::answerOtherProcess(const Address &From, const StartRun &E) {
  const Upstream &U = Upstreams[E.Upstream];
  if (!E.OnlyTo || U.Faults.Down || U.Faults.Refuses ||
      E.OnlyTo->StartedAt == U.Record.StartedAt)
    return false;
  StartAnswered Event{E.Upstream, E.Token,
                      E.Key,      OrderStatus::OtherProcess,
                      {},         U.Record.StartedAt};
  if (canReach(From, U))
    schedule(Now + Hop, [this, From, Event] { deliver(From, Event); });
  return true;
}

void CellWorld::timeOutOrder(const Address &From, const UpstreamId &Id,
                             InstanceEventBody Answer) {
  schedule(Now + OrderLimit, [this, From, Id, Answer = std::move(Answer)] {
    Upstreams[Id].Faults.SilentConnections = false;
    deliver(From, Answer);
  });
}

void CellWorld::sendOrder(Instance &I, const StartRun &E) {
  Address From = I.Record.Endpoint;
  UpstreamId Id = E.Upstream;
  StartAnswered Lost{Id, E.Token, E.Key, OrderStatus::Unknown, {}, {}};
  Upstream &U = Upstreams[Id];
  std::optional<Duration> Delay = U.Faults.StartDelay;
  if (occurs(U.Faults.LateOrders))
    Delay = LateOrderDelay;
  if (Delay) {
    int64_t StartedAt = U.Record.StartedAt;
    schedule(Now + *Delay, [this, Id, E, StartedAt] {
      // Orders are for one process of the upstream and are dropped by the next
      // one, unless that is taken for the same.
      Upstream &Target = Upstreams[Id];
      if (Target.Record.StartedAt == StartedAt ||
          Target.Faults.StartsOutliveProcess)
        applyStart(Target, E);
    });
    timeOutOrder(From, Id, Lost);
    return;
  }
  if (!canReach(From, U) || U.Faults.SilentConnections) {
    timeOutOrder(From, Id, Lost);
    return;
  }
  schedule(Now + Hop, [this, From, Id, E, Lost] {
    Upstream &Target = Upstreams[Id];
    if (answerOtherProcess(From, E))
      return;
    StartAnswered Event{Id, E.Token, E.Key, OrderStatus::Refused, {}, {}};
    if (!Target.Faults.Down && !Target.Faults.Refuses) {
      Event.Status = applyStart(Target, E);
      Event.ClockMs = clockOf(Target);
    }
    if (!canReach(From, Target))
      return;
    schedule(Now, [this, From, Lost, Event, Id,
                   StartedAt = Target.Record.StartedAt] {
      // A task that crashes its upstream at once takes the answer with it.
      const Upstream &Answering = Upstreams[Id];
      bool Crashed = Event.ClockMs && (Answering.Faults.Down ||
                                       Answering.Record.StartedAt != StartedAt);
      StartAnswered Answer = Crashed ? Lost : Event;
      schedule(Now + Hop, [this, From, Answer] { deliver(From, Answer); });
    });
  });
}

OrderStatus CellWorld::applyStop(Upstream &U, const StopRun &E) {
  if (U.Faults.Down || U.Faults.Refuses)
    return OrderStatus::Refused;
  if (E.Token < U.Token)
    return OrderStatus::Fenced;
  U.Token = E.Token;
  uint32_t &Last = U.LastEnded[{E.Key.Job, E.Key.Step, E.Key.Index}];
  Last = std::max(Last, E.Key.Run);
  schedule(Now + StopTime, [this, Id = U.Record.Id, E] {
    endRun(Upstreams[Id], E.Key, RunEnd::Stopped);
  });
  return OrderStatus::Accepted;
}

void CellWorld::sendOrder(Instance &I, const StopRun &E) {
  Address From = I.Record.Endpoint;
  UpstreamId Id = E.Upstream;
  bool Late = occurs(Upstreams[Id].Faults.LateOrders);
  if (Late)
    schedule(Now + LateOrderDelay,
             [this, Id, E, StartedAt = Upstreams[Id].Record.StartedAt] {
               if (Upstreams[Id].Record.StartedAt == StartedAt)
                 applyStop(Upstreams[Id], E);
             });
  ++StopsSent;
  if (Late || !canReach(From, Upstreams[Id]) ||
      Upstreams[Id].Faults.LosesStops ||
      Upstreams[Id].Faults.SilentConnections) {
    StopAnswered Lost{Id, E.Token, E.Key, OrderStatus::Unknown};
    timeOutOrder(From, Id, Lost);
    return;
  }
  schedule(Now + Hop, [this, From, Id, E] {
    StopAnswered Event{Id, E.Token, E.Key, applyStop(Upstreams[Id], E)};
    schedule(Now + Hop, [this, From, Event] { deliver(From, Event); });
  });
}

UpstreamReport CellWorld::report(Upstream &U, const RenewUpstream &E) {
  UpstreamReport Out;
  Out.ClockMs = clockOf(U);
  Out.StartedAt = U.Record.StartedAt;
  for (const auto &[Key, R] : U.Running) {
    double Share = toSeconds(Now - R.Started) / toSeconds(R.Work);
    Out.Running.push_back(
        {Key, U.Faults.Stalls ? 0 : static_cast<int32_t>(Share * 100)});
  }
  for (const EndReport &End : U.Ends) {
    Out.Ended.push_back(End);
    Out.LastNumber = End.Number;
  }
  return Out;
}

void CellWorld::sendOrder(Instance &I, const RenewUpstream &E) {
  Address From = I.Record.Endpoint;
  UpstreamId Id = E.Upstream;
  auto Answered = std::make_shared<bool>(false);
  auto Acknowledged = std::make_shared<uint64_t>(0);
  ++RenewalsSent;
  auto Answer = [this, From, Answered, Acknowledged,
                 E](OrderStatus Status, std::optional<UpstreamReport> R,
                    std::optional<Duration> LostAfter = std::nullopt) {
    if (*Answered)
      return;
    *Answered = true;
    RenewalAnswered Event;
    Event.LostAfter = LostAfter;
    Event.AcknowledgedUpTo = *Acknowledged;
    Event.Upstream = E.Upstream;
    Event.Token = E.Token;
    Event.Sequence = E.Sequence;
    Event.Status = Status;
    Event.Report = std::move(R);
    deliver(From, Event);
  };
  schedule(Now + Duration(E.Wait) + RenewalLimit,
           [Answer] { Answer(OrderStatus::Unknown, std::nullopt); });
  if (!canReach(From, Upstreams[Id]) ||
      occurs(Upstreams[Id].Faults.LostRenewalShare))
    return;
  Duration Transit = Hop + Upstreams[Id].Faults.RenewalDelay;
  schedule(Now + Transit, [this, From, Id, E, Answer, Acknowledged,
                           Written = Now] {
    Upstream &U = Upstreams[Id];
    if (U.Faults.Down || U.Faults.Refuses) {
      schedule(Now + Hop,
               [Answer] { Answer(OrderStatus::Refused, std::nullopt); });
      return;
    }
    if (E.Token < U.Token) {
      schedule(Now + Hop,
               [Answer] { Answer(OrderStatus::Fenced, std::nullopt); });
      return;
    }
    U.Token = E.Token;
    U.OpenRenewals.push_back([this, Answer, Written] {
      Answer(OrderStatus::Unknown, std::nullopt, Now - Written);
    });
    if (E.LeaseDeadlineMs)
      U.LeaseEndMs = std::max(
          U.LeaseEndMs, std::min(*E.LeaseDeadlineMs, clockOf(U) + MaxLeaseMs));
    // The client leaves the acknowledgement out on a connection that is not
    // known to lead to the process that it is for.
    bool NewConnection = U.Faults.NewConnections > 0;
    if (NewConnection)
      --U.Faults.NewConnections;
    if (!E.AcknowledgeOnlyTo ||
        (!NewConnection &&
         E.AcknowledgeOnlyTo->StartedAt == U.Record.StartedAt))
      *Acknowledged = E.AcknowledgeUpTo;
    U.Ends.erase(std::remove_if(U.Ends.begin(), U.Ends.end(),
                                [&](const EndReport &End) {
                                  return End.Number <= *Acknowledged;
                                }),
                 U.Ends.end());
    if (U.Faults.LostRenewals > 0) {
      --U.Faults.LostRenewals;
      return;
    }
    int64_t StartedAt = U.Record.StartedAt;
    auto Reply = [this, From, Id, E, Answer, StartedAt, Written] {
      Upstream &Target = Upstreams[Id];
      if (!canReach(From, Target) || Target.Faults.Refuses)
        return;
      if (Target.Faults.Down || Target.Record.StartedAt != StartedAt) {
        Answer(OrderStatus::Unknown, std::nullopt, Now - Written);
        return;
      }
      if (Target.Faults.Mute)
        return;
      UpstreamReport R = report(Target, E);
      schedule(Now + Hop + Target.Faults.RenewalDelay,
               [Answer, R] { Answer(OrderStatus::Accepted, R); });
    };
    if (E.Wait.count() == 0 || !U.Ends.empty()) {
      Reply();
      return;
    }
    U.WaitingRenewals.push_back(Reply);
    schedule(Now + E.Wait, Reply);
  });
}

std::vector<uint64_t> CellWorld::listedEnds(const UpstreamId &Id) const {
  std::vector<uint64_t> Numbers;
  for (const EndReport &End : Upstreams.at(Id).Ends)
    Numbers.push_back(End.Number);
  return Numbers;
}

void CellWorld::resetConnections(const UpstreamId &Id) {
  std::vector<std::function<void()>> Open =
      std::move(Upstreams[Id].OpenRenewals);
  Upstreams[Id].OpenRenewals.clear();
  for (auto &Lose : Open)
    schedule(Now + Hop, Lose);
}

std::vector<std::string> CellWorld::overlappingRuns() const {
  std::map<std::tuple<JobId, uint32_t, uint32_t>, std::vector<RunRecord>> Tasks;
  for (const RunRecord &R : Runs)
    Tasks[{R.Key.Job, R.Key.Step, R.Key.Index}].push_back(R);
  std::vector<std::string> Found;
  for (auto &[Task, List] : Tasks)
    for (size_t L = 0; L < List.size(); ++L)
      for (size_t R = L + 1; R < List.size(); ++R)
        if (List[L].Started < List[R].Ended && List[R].Started < List[L].Ended)
          Found.push_back(
              runText(List[L].Key) + " on " + List[L].Upstream.Value + " and " +
              runText(List[R].Key) + " on " + List[R].Upstream.Value);
  return Found;
}

} // namespace snipeshunt::testing
