/// \file Upstreams of the world of cells.
#include "cell_world.h"

#include "sender/sender_table.h"

#include <algorithm>

namespace snipeshunt::testing {

namespace {

constexpr Duration Hop = std::chrono::milliseconds(1);
constexpr Duration OrderLimit = OrderTimeout;
constexpr Duration RenewalLimit = RenewalSlack;
constexpr Duration StopTime = std::chrono::milliseconds(20);
constexpr int64_t MaxLeaseMs = 1000;

} // namespace

int64_t CellWorld::clockOf(const Upstream &U) const {
  return toMilliseconds(Now - U.ClockStart);
}

void CellWorld::endRun(Upstream &U, const RunKey &Key, RunEnd How) {
  auto It = U.Running.find(Key);
  if (It == U.Running.end())
    return;
  Runs[It->second.Record].Ended = Now;
  Runs[It->second.Record].Done = How == RunEnd::Done;
  U.Running.erase(It);
  uint32_t &Last = U.LastEnded[{Key.Job, Key.Step, Key.Index}];
  Last = std::max(Last, Key.Run);
  U.Ends.push_back({U.NextEnd++, Key, How});
  std::vector<std::function<void()>> Woken = std::move(U.Waiting);
  U.Waiting.clear();
  for (auto &W : Woken)
    at(Now, W);
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
      else if (!U.Faults.Hangs && Now - R.Began >= R.Work)
        Ended.emplace_back(Key, RunEnd::Done);
    }
    for (const auto &[Key, How] : Ended)
      endRun(U, Key, How);
  }
}

OrderVerdict CellWorld::applyStart(Upstream &U, const StartRun &E) {
  if (E.Token < U.Token)
    return OrderVerdict::Fenced;
  U.Token = E.Token;
  if (E.DeadlineClock <= clockOf(U))
    return OrderVerdict::TooLate;
  U.LeaseEndMs = std::max(U.LeaseEndMs,
                          std::min(E.DeadlineClock, clockOf(U) + MaxLeaseMs));
  if (U.Running.count(E.Key))
    return OrderVerdict::Accepted;
  auto Last = U.LastEnded.find({E.Key.Job, E.Key.Step, E.Key.Index});
  if (Last != U.LastEnded.end() && E.Key.Run <= Last->second)
    return OrderVerdict::Outdated;
  Run R;
  R.Key = E.Key;
  R.Began = Now;
  R.Work = std::chrono::duration_cast<Duration>(TaskTimes[E.Key.Job] / U.Speed);
  R.Record = Runs.size();
  Runs.push_back({E.Key, U.Entry.Id, Now, SteadyTime::max(), false});
  U.Running[E.Key] = R;
  // It may be over before the next look at the clock.
  at(Now + R.Work, [] {});
  at(Now + std::chrono::milliseconds(MaxLeaseMs), [] {});
  return OrderVerdict::Accepted;
}

void CellWorld::order(Instance &I, const StartRun &E) {
  Address From = I.Entry.Where;
  UpstreamId Id = E.Upstream;
  StartAnswered Lost{Id, E.Token, E.Key, OrderVerdict::Unknown, {}};
  Upstream &U = Upstreams[Id];
  if (U.Faults.AppliesLate) {
    int64_t Born = U.Entry.Born;
    at(Now + *U.Faults.AppliesLate, [this, Id, E, Born] {
      // Orders name the process that they are for.
      if (Upstreams[Id].Entry.Born == Born)
        applyStart(Upstreams[Id], E);
    });
    at(Now + OrderLimit, [this, From, Lost] { deliver(From, Lost); });
    return;
  }
  if (!reachable(From, U)) {
    at(Now + OrderLimit, [this, From, Lost] { deliver(From, Lost); });
    return;
  }
  at(Now + Hop, [this, From, Id, E] {
    Upstream &Target = Upstreams[Id];
    StartAnswered Event{Id, E.Token, E.Key, applyStart(Target, E),
                        clockOf(Target)};
    if (reachable(From, Target))
      at(Now + Hop, [this, From, Event] { deliver(From, Event); });
  });
}

void CellWorld::order(Instance &I, const StopRun &E) {
  Address From = I.Entry.Where;
  UpstreamId Id = E.Upstream;
  if (!reachable(From, Upstreams[Id])) {
    StopAnswered Lost{Id, E.Token, E.Key, OrderVerdict::Unknown};
    at(Now + OrderLimit, [this, From, Lost] { deliver(From, Lost); });
    return;
  }
  at(Now + Hop, [this, From, Id, E] {
    Upstream &U = Upstreams[Id];
    StopAnswered Event{Id, E.Token, E.Key, OrderVerdict::Accepted};
    if (E.Token < U.Token) {
      Event.Verdict = OrderVerdict::Fenced;
    } else {
      U.Token = E.Token;
      uint32_t &Last = U.LastEnded[{E.Key.Job, E.Key.Step, E.Key.Index}];
      Last = std::max(Last, E.Key.Run);
      at(Now + StopTime,
         [this, Id, E] { endRun(Upstreams[Id], E.Key, RunEnd::Stopped); });
    }
    at(Now + Hop, [this, From, Event] { deliver(From, Event); });
  });
}

UpstreamReport CellWorld::report(Upstream &U, const RenewUpstream &E) {
  UpstreamReport Out;
  Out.ClockMs = clockOf(U);
  Out.Born = U.Entry.Born;
  for (const auto &[Key, R] : U.Running) {
    double Share = toSeconds(Now - R.Began) / toSeconds(R.Work);
    Out.Running.push_back(
        {Key, U.Faults.Hangs ? 0 : static_cast<int32_t>(Share * 100)});
  }
  for (const EndReport &End : U.Ends) {
    Out.Ended.push_back(End);
    Out.LastNumber = End.Number;
  }
  return Out;
}

void CellWorld::order(Instance &I, const RenewUpstream &E) {
  Address From = I.Entry.Where;
  UpstreamId Id = E.Upstream;
  auto Answered = std::make_shared<bool>(false);
  auto Answer = [this, From, Answered, E](OrderVerdict Verdict,
                                          std::optional<UpstreamReport> R) {
    if (*Answered)
      return;
    *Answered = true;
    RenewalAnswered Event;
    Event.Upstream = E.Upstream;
    Event.Token = E.Token;
    Event.Sequence = E.Sequence;
    Event.Verdict = Verdict;
    Event.Report = std::move(R);
    deliver(From, Event);
  };
  at(Now + Duration(E.Wait) + RenewalLimit,
     [Answer] { Answer(OrderVerdict::Unknown, std::nullopt); });
  if (!reachable(From, Upstreams[Id]))
    return;
  at(Now + Hop, [this, From, Id, E, Answer] {
    Upstream &U = Upstreams[Id];
    if (E.Token < U.Token) {
      at(Now + Hop, [Answer] { Answer(OrderVerdict::Fenced, std::nullopt); });
      return;
    }
    U.Token = E.Token;
    if (E.DeadlineClock)
      U.LeaseEndMs = std::max(
          U.LeaseEndMs, std::min(*E.DeadlineClock, clockOf(U) + MaxLeaseMs));
    U.Ends.erase(std::remove_if(U.Ends.begin(), U.Ends.end(),
                                [&](const EndReport &End) {
                                  return End.Number <= E.AcknowledgeUpTo;
                                }),
                 U.Ends.end());
    if (U.Faults.LostRenewals > 0) {
      --U.Faults.LostRenewals;
      return;
    }
    auto Reply = [this, From, Id, E, Answer] {
      Upstream &Target = Upstreams[Id];
      if (!reachable(From, Target))
        return;
      UpstreamReport R = report(Target, E);
      at(Now + Hop, [Answer, R] { Answer(OrderVerdict::Accepted, R); });
    };
    if (E.Wait.count() == 0 || !U.Ends.empty()) {
      Reply();
      return;
    }
    U.Waiting.push_back(Reply);
    at(Now + E.Wait, Reply);
  });
}

std::vector<std::string> CellWorld::overlappingRuns() const {
  std::map<std::tuple<JobId, uint32_t, uint32_t>, std::vector<RunRecord>> Tasks;
  for (const RunRecord &R : Runs)
    Tasks[{R.Key.Job, R.Key.Step, R.Key.Index}].push_back(R);
  std::vector<std::string> Found;
  for (auto &[Task, List] : Tasks)
    for (size_t L = 0; L < List.size(); ++L)
      for (size_t R = L + 1; R < List.size(); ++R)
        if (List[L].Began < List[R].Ended && List[R].Began < List[L].Ended)
          Found.push_back(runText(List[L].Key) + " on " + List[L].Where.Value +
                          " and " + runText(List[R].Key) + " on " +
                          List[R].Where.Value);
  return Found;
}

} // namespace snipeshunt::testing
