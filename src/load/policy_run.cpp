/// \file Simulates a fleet by running its reducers on a fake clock.
#include "load/policy_run.h"

#include <algorithm>

namespace snipeshunt {

namespace {

constexpr size_t Centres = 3;
constexpr size_t PerCentre = 3;
// One-way delays of messages.
constexpr Duration WithinCentre = std::chrono::microseconds(500);
constexpr Duration BetweenCentres = std::chrono::microseconds(1500);
constexpr Duration ToCaller = std::chrono::milliseconds(1);
constexpr Duration TickPeriod = std::chrono::milliseconds(10);
// A task below this run time at speed 1 is short, a run above this time long;
// in seconds.
constexpr double ShortTask = 0.25;
constexpr double LongWork = 2;
// Wait after the last submissions. Jobs without an answer by then are lost.
constexpr double DrainSeconds = 60;

Duration fromSeconds(double S) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(S));
}

DataCentre centre(size_t I) { return {"dc" + std::to_string(I + 1)}; }

Address address(const char *Net, size_t Centre, size_t I) {
  return {std::string(Net) + std::to_string(Centre + 1) + "." +
          std::to_string(I + 1) + ":7000"};
}

std::string bodyOf(const PolicyJob &Job, size_t Index) {
  std::string Body =
      R"({"team":"team)" + std::to_string(Job.Team) + R"(","tasks":[)";
  for (const PolicyTask &T : Job.Tasks) {
    if (Body.back() != '[')
      Body += ',';
    Body += R"({"kind":")" + T.Kind + R"(","payload":")" +
            std::to_string(Index) + '"';
    if (T.DeclaredMs > 0)
      Body += R"(,"expected_ms":)" + std::to_string(T.DeclaredMs);
    Body += '}';
  }
  return Body + "]}";
}

/// Returns the first effect of type \p T, or nullptr.
template <typename T> const T *findEffect(const EffectList &Effects) {
  for (const Effect &E : Effects)
    if (const T *Found = std::get_if<T>(&E))
      return Found;
  return nullptr;
}

} // namespace

PolicyRun::PolicyRun(const PolicyWorkload &W, const PolicyOptions &Options,
                     uint64_t Seed)
    : W(W), Random(Seed) {
  Record.Ends.resize(W.Jobs.size());
  Record.Responses.resize(W.Jobs.size());
  Tickets.resize(W.Jobs.size());
  BehindLongAtArrival.resize(W.Jobs.size());
  addUpstreams();
  addInstances(Options);
  scheduleWork();
}

void PolicyRun::addUpstreams() {
  for (size_t I = 0; I < W.Speeds.size(); ++I) {
    size_t In = I % Centres;
    Upstreams.push_back({address("10.1.", In, I), In, W.Speeds[I]});
    UpstreamAt[Upstreams.back().Endpoint] = I;
  }
}

void PolicyRun::addInstances(const PolicyOptions &Options) {
  for (size_t I = 0; I < Centres * PerCentre; ++I) {
    DaemonSettings S;
    S.Advertise = address("10.0.", I / PerCentre, I % PerCentre);
    S.Centre = centre(I / PerCentre);
    S.FleetKey = "policy";
    for (size_t P = 0; P < Centres * PerCentre; ++P)
      if (P != I)
        S.Peers.push_back({address("10.0.", P / PerCentre, P % PerCentre),
                           centre(P / PerCentre)});
    for (const FakeUpstream &U : Upstreams)
      S.Upstreams.push_back({U.Endpoint, centre(U.Centre), PolicySlots, 0});
    InstanceAt[S.Advertise] = I;
    States.push_back(initialState(std::move(S), {Random()}));
    States.back().Policy = Options;
  }
}

void PolicyRun::scheduleWork() {
  for (size_t I = 0; I < States.size(); ++I)
    after(TickPeriod * static_cast<int64_t>(I) /
              static_cast<int64_t>(States.size()),
          [this, I] { tick(I); });
  // Each submission queues the next one, which keeps the queue short.
  Open = W.Jobs.size();
  if (!W.Jobs.empty())
    after(fromSeconds(W.Jobs[0].At), [this] { submit(0); });
  if (W.FailFrom)
    after(fromSeconds(*W.FailFrom), [this] {
      for (size_t I = 0; I < Upstreams.size(); I += 10)
        Upstreams[I].Failing = true;
    });
}

PolicyRecord PolicyRun::run(double Seconds) {
  while (!Queue.empty() && Open > 0 && seconds() < Seconds + DrainSeconds) {
    ScheduledAction Next = Queue.top();
    Queue.pop();
    Elapsed = Next.At;
    Next.Action();
  }
  for (const FakeUpstream &U : Upstreams)
    if (U.Failing)
      Record.LostBeforeProbing.push_back(U.Lost.size());
  return std::move(Record);
}

void PolicyRun::tick(size_t Instance) {
  InTick = true;
  dispatch(Instance, Tick{});
  InTick = false;
  after(TickPeriod, [this, Instance] { tick(Instance); });
}

void PolicyRun::submit(size_t Job) {
  const PolicyJob &J = W.Jobs[Job];
  if (Job + 1 < W.Jobs.size())
    after(fromSeconds(W.Jobs[Job + 1].At) - Elapsed,
          [this, Job] { submit(Job + 1); });
  size_t Home = Random() % States.size();
  // Callers hold tickets in advance, so that no message is counted for one.
  Event TicketRequest{SteadyTime(std::chrono::hours(1)) + Elapsed, Random(),
                      TicketsRequested{{}, 1}};
  EffectList TicketEffects = reduce(States[Home], TicketRequest);
  Tickets[Job] = {Home,
                  findEffect<ReplyTickets>(TicketEffects)->Tickets.front()};
  for (const Effect &E : TicketEffects)
    std::visit([&](const auto &Body) { apply(Home, Body); }, E);
  RequestId Request{Job + 1};
  JobOfRequest[Request] = Job;
  after(ToCaller, [this, Job, Home, Request] {
    BehindLongAtArrival[Job] = timeBehindLong();
    JobRequested E;
    E.Request = Request;
    E.TicketText = Tickets[Job].second;
    E.Body = bodyOf(W.Jobs[Job], Job);
    dispatch(Home, std::move(E));
  });
  if (J.CancelAt)
    after(fromSeconds(*J.CancelAt) - Elapsed, [this, Job] { cancel(Job); });
}

void PolicyRun::cancel(size_t Job) {
  if (Record.Ends[Job] != PolicyEnd::None)
    return;
  Record.Ends[Job] = PolicyEnd::Cancelled;
  --Open;
  after(ToCaller, [this, Job] {
    JobRequested E;
    E.Request = {W.Jobs.size() + Job + 1};
    E.Verb = JobVerb::Cancel;
    E.TicketText = Tickets[Job].second;
    dispatch(Tickets[Job].first, std::move(E));
  });
}

void PolicyRun::after(Duration Delay, std::function<void()> Action) {
  Queue.push({Elapsed + Delay, NextOrder++, std::move(Action)});
}

void PolicyRun::dispatch(size_t Instance, EventBody Body) {
  // Offset, because a time of zero means "never" in instance states.
  Event Next{SteadyTime(std::chrono::hours(1)) + Elapsed, Random(),
             std::move(Body)};
  EffectList Effects = reduce(States[Instance], Next);
  for (const Effect &E : Effects)
    std::visit([&](const auto &Known) { apply(Instance, Known); }, E);
  LastEffects = std::move(Effects);
}

void PolicyRun::call(size_t From, const Address &To, EventBody Request,
                     std::function<EventBody(const EffectList &)> ToAnswer) {
  size_t Callee = InstanceAt.at(To);
  Duration Delay = delayBetween(From, Callee);
  after(Delay, [=, Request = std::move(Request),
                ToAnswer = std::move(ToAnswer)]() mutable {
    dispatch(Callee, std::move(Request));
    after(Delay, [this, From, Answer = ToAnswer(LastEffects)] {
      dispatch(From, Answer);
    });
  });
}

Duration PolicyRun::delayBetween(size_t From, size_t To) const {
  return From / PerCentre == To / PerCentre ? WithinCentre : BetweenCentres;
}

double PolicyRun::seconds() const {
  return std::chrono::duration<double>(Elapsed).count();
}

void PolicyRun::apply(size_t From, const PollStatus &E) {
  Record.Messages.StatusPolls += 2;
  Address Endpoint = E.Upstream;
  after(WithinCentre * 2, [this, From, Endpoint] {
    dispatch(From, StatusRead{Endpoint, UpstreamStatus{PolicySlots, 0, false}});
  });
}

void PolicyRun::apply(size_t From, const SendHandover &E) {
  Record.Messages.Handovers += 2;
  IncarnationId Receiver = E.Message.Receiver;
  HandoverSequence Sequence = E.Message.Sequence;
  call(From, E.Endpoint, HandoverReceived{{}, E.Message},
       [=](const EffectList &Effects) {
         return HandoverAnswered{Receiver, Sequence,
                                 findEffect<ReplyHandover>(Effects)->Reply};
       });
}

void PolicyRun::apply(size_t From, const SendReport &E) {
  Record.Messages.Reports += 2;
  IncarnationId Home = E.Message.Home;
  call(From, E.Endpoint, ReportReceived{{}, E.Message},
       [=](const EffectList &Effects) {
         const ReplyReport &Reply = *findEffect<ReplyReport>(Effects);
         return ReportAnswered{Home, true, Reply.WrongIncarnation, Reply.Load};
       });
}

void PolicyRun::apply(size_t From, const SendRevoke &E) {
  Record.Messages.Revokes += 2;
  IncarnationId Receiver = E.Message.Receiver;
  HandoverSequence Sequence = E.Message.Sequence;
  call(From, E.Endpoint, RevokeReceived{{}, E.Message},
       [=](const EffectList &Effects) {
         return RevokeAnswered{Receiver, Sequence,
                               findEffect<ReplyRevoke>(Effects)->Reply};
       });
}

void PolicyRun::apply(size_t From, const SendHeartbeat &E) {
  (InTick ? Record.Messages.Heartbeats : Record.Messages.Announcements) += 2;
  Address Endpoint = E.Endpoint;
  call(From, Endpoint, HeartbeatReceived{{}, E.Message},
       [=](const EffectList &Effects) {
         return HeartbeatAnswered{Endpoint,
                                  findEffect<ReplyHeartbeat>(Effects)->Message};
       });
}

void PolicyRun::apply(size_t From, const ReplyToCaller &E) {
  auto Known = JobOfRequest.find(E.Request);
  if (Known == JobOfRequest.end())
    return;
  size_t Job = Known->second;
  Outcome Result = E.Answer->Result;
  after(ToCaller, [this, Job, Result] {
    if (Record.Ends[Job] != PolicyEnd::None)
      return;
    --Open;
    Record.Responses[Job] = seconds() - W.Jobs[Job].At;
    if (Result == Outcome::Complete)
      Record.Ends[Job] = PolicyEnd::Complete;
    else
      Record.Ends[Job] =
          Result == Outcome::NotRun ? PolicyEnd::Rejected : PolicyEnd::Lost;
  });
}

void PolicyRun::apply(size_t From, const StartTask &E) {
  ++Record.Starts;
  FakeUpstream &U = Upstreams[UpstreamAt.at(E.Upstream)];
  after(WithinCentre, [this, From, E, &U] { handleStart(From, E, U); });
}

void PolicyRun::handleStart(size_t From, const StartTask &E, FakeUpstream &U) {
  if (U.Busy >= PolicySlots) {
    --Record.Starts;
    Record.Messages.BusyReplies += 2;
    reply(From, E.Attempt, AttemptEnd::Busy);
    return;
  }
  if (U.Failing) {
    recordFailure(From, E, U);
    reply(From, E.Attempt, AttemptEnd::Failed);
    return;
  }
  size_t Job = std::stoul(E.Spec->Payload);
  double RunTime = W.Jobs[Job].Tasks[E.Key.Index.Value].Base / U.Speed;
  recordStart(E, U, RunTime);
  ++U.Busy;
  bool Long = RunTime > LongWork;
  AttemptId Attempt = E.Attempt;
  after(fromSeconds(RunTime), [this, From, Attempt, Long, &U] {
    --U.Busy;
    if (Long && --LongRuns == 0)
      LongTotal += seconds() - LongSince;
    reply(From, Attempt, AttemptEnd::Finished);
  });
}

void PolicyRun::reply(size_t From, AttemptId Attempt, AttemptEnd End) {
  after(WithinCentre, [this, From, Attempt, End] {
    dispatch(From, AttemptEnded{Attempt, {End, "done"}});
  });
}

void PolicyRun::recordStart(const StartTask &E, const FakeUpstream &U,
                            double RunTime) {
  size_t Job = std::stoul(E.Spec->Payload);
  const PolicyJob &J = W.Jobs[Job];
  Record.Runs.push_back({Job, seconds(), seconds() + RunTime, U.Speed});
  // The delay of the message to the upstream does not count as waiting.
  if (J.Tasks[E.Key.Index.Value].Base < ShortTask && J.At >= PolicyWarmUp)
    Record.LongWaits.push_back(
        std::max(0.0, timeBehindLong() - BehindLongAtArrival[Job] -
                          std::chrono::duration<double>(WithinCentre).count()));
  if (RunTime > LongWork && LongRuns++ == 0)
    LongSince = seconds();
}

void PolicyRun::recordFailure(size_t Sender, const StartTask &E,
                              FakeUpstream &U) {
  ++Record.TaskFailures;
  const Upstream &Known = States[Sender].Upstreams.All.at(U.Endpoint);
  if (!Known.Probing)
    U.Lost.insert(std::stoul(E.Spec->Payload));
}

double PolicyRun::timeBehindLong() const {
  return LongTotal + (LongRuns > 0 ? seconds() - LongSince : 0);
}

} // namespace snipeshunt
