/// \file Instances and the store of the simulated fleet of cells.
#include "cell_world.h"

#include "directory/evacuation_cmd.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace snipeshunt::testing {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(10);
// Longest delay of the answer to a watch of the evacuations.
constexpr Duration WatchPoll = std::chrono::milliseconds(20);

template <typename... Fs> struct Overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

} // namespace

CellWorld::CellWorld() : Now(std::chrono::hours(1)) {
  Route R;
  R.Name = "queue";
  R.Host = "host.example";
  R.Prefix = "/queue/";
  R.Service = {"service"};
  R.MaxAttempts = 3;
  R.Stretch = 1.6;
  R.Slack = std::chrono::milliseconds(60);
  Configuration.Version = 1;
  Configuration.Routes.push_back(R);
}

void CellWorld::schedule(SteadyTime When, std::function<void()> Action) {
  Events.emplace(std::max(When, Now), std::move(Action));
}

Address CellWorld::addInstance(const std::string &Name,
                               const std::string &Centre, double Weight) {
  Address Endpoint{"10.0.0." + std::to_string(NextPort++) + ":7000"};
  Instance &I = Instances[Endpoint];
  I.Name = Name;
  I.Record = {Endpoint, {Centre}, Weight};
  start(I);
  return Endpoint;
}

void CellWorld::start(Instance &I) {
  FleetSettings Settings;
  Settings.Name = I.Name;
  Settings.Self = I.Record;
  Settings.Bounds = Bounds;
  Settings.Bounds.Evacuate = EvacuationBound;
  if (SeedsOnly)
    Settings.Seeds.push_back(Instances.begin()->first);
  I.State = startInstance(Settings, {NextIncarnation++}, Now);
  I.Alive = true;
  I.Frozen = false;
  I.PoweredOff = false;
  I.WhileFrozen.clear();
  I.Received.clear();
  I.Forwarded.clear();
  I.SilentForwards.clear();
  I.SilentIdle.clear();
  uint64_t StartCount = ++I.StartCount;
  Address Endpoint = I.Record.Endpoint;
  auto Tick = std::make_shared<std::function<void()>>();
  // Only the event queue owns the function, so that it is freed once this
  // process has ended.
  std::weak_ptr<std::function<void()>> Weak = Tick;
  *Tick = [this, Endpoint, StartCount, Weak] {
    Instance &Self = Instances.at(Endpoint);
    auto Again = Weak.lock();
    if (!Self.Alive || Self.StartCount != StartCount || !Again)
      return;
    if (!Self.Frozen)
      execute(Self, reduce(Self.State, {Now, WallTime(Now.time_since_epoch()),
                                        InstanceTick{}}));
    schedule(Now + TickPeriod, [Again] { (*Again)(); });
  };
  schedule(Now, [Tick] { (*Tick)(); });
}

UpstreamId CellWorld::addUpstream(const UpstreamSetup &Setup) {
  UpstreamId Id{Setup.Name};
  Upstream &U = Upstreams[Id];
  U.Record.Id = Id;
  U.Record.Endpoint = {"10.1.0." + std::to_string(NextPort++) + ":8000"};
  U.Record.Centre = {Setup.Centre};
  U.Record.Service = {"service"};
  U.Record.Capacity = {Setup.CpuMillis, 262144, 0};
  U.Record.Kind = Setup.Speed > 1 ? "fast" : "plain";
  U.Record.StartedAt = 1000;
  U.Speed = Setup.Speed;
  U.ClockRate = Setup.ClockRate;
  U.ClockStart = Now - std::chrono::seconds(5);
  return Id;
}

void CellWorld::endProcess(Upstream &U) {
  std::vector<RunKey> Keys;
  for (const auto &[Key, R] : U.Running)
    Keys.push_back(Key);
  for (const RunKey &Key : Keys)
    endRun(U, Key, RunEnd::Lapsed);
  U.Ends.clear();
  U.NextEnd = 1;
  U.Token = {};
  U.LeaseEndMs = 0;
  U.LastEnded.clear();
}

void CellWorld::restartUpstream(const UpstreamId &Id) {
  Upstream &U = Upstreams[Id];
  endProcess(U);
  U.ClockStart = Now;
  ++U.Record.StartedAt;
}

void CellWorld::crashUpstream(const UpstreamId &Id, Duration DownTime) {
  Upstream &U = Upstreams[Id];
  if (U.Faults.Down)
    return;
  ++Crashes;
  U.Faults.Down = true;
  endProcess(U);
  schedule(Now + DownTime, [this, Id] {
    restartUpstream(Id);
    Upstreams[Id].Faults.Down = false;
  });
}

void CellWorld::run(Duration Time) {
  SteadyTime End = Now + Time;
  while (!Events.empty() && Events.begin()->first <= End) {
    auto Next = Events.begin();
    Now = Next->first;
    std::function<void()> Action = std::move(Next->second);
    Events.erase(Next);
    advanceUpstreams();
    Action();
  }
  Now = End;
  advanceUpstreams();
}

void CellWorld::deliver(const Address &To, InstanceEventBody Event) {
  auto It = Instances.find(To);
  if (It == Instances.end() || !It->second.Alive)
    return;
  if (It->second.Frozen) {
    It->second.WhileFrozen.push_back(std::move(Event));
    return;
  }
  execute(It->second,
          reduce(It->second.State,
                 {Now, WallTime(Now.time_since_epoch()), std::move(Event)}));
}

bool CellWorld::areLinked(const Address &A, const Address &B) const {
  return CutGroup.count(A) == CutGroup.count(B);
}

bool CellWorld::canReach(const Address &From, const Upstream &U) const {
  return !U.Faults.Unreachable && areLinked(From, U.Record.Endpoint);
}

size_t CellWorld::submit(const Address &Entry, const std::string &Job,
                         uint32_t Tasks, Duration TaskTime, Duration Patience,
                         int64_t CpuMillis, const std::string &Requirement) {
  return submit(Entry, {Job, Tasks, TaskTime, TaskTime, Patience, CpuMillis,
                        Requirement});
}

size_t CellWorld::submit(const Address &Entry, const JobSetup &Job) {
  size_t Number = Callers.size();
  Callers.push_back({Now, std::nullopt, {}});
  RequestId Request{Number + 1};
  CallerByRequest[{Entry, Request}] = Number;
  TaskTimes[{Job.Name}] = Job.TaskTime;
  TaskCpu[{Job.Name}] = Job.CpuMillis;
  JobSubmitted Event;
  Event.Request = Request;
  Event.Queue = Configuration.Routes.at(Job.Route);
  Event.Job.Id = {Job.Name};
  Event.Job.Step.Count = Job.Tasks;
  Event.Job.Step.PerTask = {Job.CpuMillis, 64, 0};
  Event.Job.Step.Estimate = Job.DeclaredTime;
  Event.Job.Step.Requirement = Job.Requirement;
  Event.Patience = Job.Patience;
  deliver(Entry, Event);
  return Number;
}

size_t CellWorld::cancel(const Address &Entry, const std::string &Job) {
  size_t Number = Callers.size();
  Callers.push_back({Now, std::nullopt, {}});
  RequestId Request{Number + 1};
  CallerByRequest[{Entry, Request}] = Number;
  deliver(Entry, JobCancelled{Request, {Job}});
  return Number;
}

size_t CellWorld::query(const Address &Entry, const std::string &Job) {
  size_t Number = Callers.size();
  Callers.push_back({Now, std::nullopt, {}});
  RequestId Request{Number + 1};
  CallerByRequest[{Entry, Request}] = Number;
  deliver(Entry, JobQueried{Request, {Job}});
  return Number;
}

void CellWorld::disconnectCaller(size_t Number) {
  for (const auto &[Key, N] : CallerByRequest)
    if (N == Number)
      deliver(Key.first, JobCallerDisconnected{Key.second});
}

void CellWorld::breakConnections(const Address &Endpoint) {
  Instance &Stopped = Instances.at(Endpoint);
  // Peers that await its answers to their forwards, and peers that received its
  // own jobs.
  for (auto &[Other, I] : Instances) {
    if (Other == Endpoint || !areLinked(Other, Endpoint))
      continue;
    Address To = Other;
    for (const auto &[Forward, Target] : I.Forwarded)
      if (Target == Endpoint && !I.SilentForwards.count(Forward)) {
        RequestId Request = Forward;
        schedule(Now + Hop, [this, To, Endpoint, Request] {
          ForwardAnswered Event;
          Event.Sender = Endpoint;
          Event.Request = Request;
          deliver(To, Event);
        });
      }
    for (const auto &[Request, From] : I.Received)
      if (From.first == Endpoint &&
          !Stopped.SilentForwards.count(From.second)) {
        RequestId Closed = Request;
        schedule(Now + Hop,
                 [this, To, Closed] { deliver(To, JobAbandoned{Closed}); });
      }
  }
  Stopped.Received.clear();
  Stopped.Forwarded.clear();
}

void CellWorld::kill(const Address &Endpoint) {
  Instance &I = Instances.at(Endpoint);
  I.Ended = Now;
  I.Alive = false;
  breakConnections(Endpoint);
}

void CellWorld::powerOff(const Address &Endpoint) {
  Instance &I = Instances.at(Endpoint);
  I.Alive = false;
  I.PoweredOff = true;
}

void CellWorld::restart(const Address &Endpoint) {
  start(Instances.at(Endpoint));
}

void CellWorld::freeze(const Address &Endpoint) {
  Instances.at(Endpoint).Frozen = true;
}

void CellWorld::thaw(const Address &Endpoint) {
  Instance &I = Instances.at(Endpoint);
  I.Frozen = false;
  std::vector<InstanceEventBody> Events = std::move(I.WhileFrozen);
  I.WhileFrozen.clear();
  for (InstanceEventBody &E : Events)
    deliver(Endpoint, std::move(E));
}

void CellWorld::shutDown(const Address &Endpoint) {
  deliver(Endpoint, ShutdownRequested{});
}

void CellWorld::cut(const std::set<Address> &Group) { CutGroup = Group; }

void CellWorld::heal() {
  CutGroup.clear();
  OneWayCuts.clear();
  for (std::function<void()> &Message : DelayedMessages)
    schedule(Now + Hop, std::move(Message));
  DelayedMessages.clear();
}

void CellWorld::silenceForwards(const Address &Entry, const Address &Sender,
                                size_t Idle) {
  Instance &I = Instances.at(Entry);
  for (const auto &[Forward, To] : I.Forwarded)
    if (To == Sender)
      I.SilentForwards.insert(Forward);
  I.SilentIdle[Sender] = Idle;
}

void CellWorld::breakForwardAtEntry(const Address &Entry,
                                    const std::string &Job) {
  Instance &I = Instances.at(Entry);
  RequestId Forward = I.State.Entry.ByJob.at(JobId{Job});
  ForwardAnswered Event;
  Event.Sender = I.Forwarded.at(Forward);
  Event.Request = Forward;
  I.Forwarded.erase(Forward);
  deliver(Entry, Event);
}

void CellWorld::sendMessage(const Address &From, const Address &To,
                            const std::function<void()> &Message) {
  auto Arrive = [this, From, To, Message] {
    if (areLinked(From, To))
      Message();
    else if (CutsDelayMessages)
      DelayedMessages.push_back(Message);
  };
  if (areLinked(From, To))
    schedule(Now + Hop, Arrive);
  else
    Arrive();
}

void CellWorld::setEvacuated(const std::string &Centre, bool Value) {
  if (Value)
    Evacuated.insert({Centre});
  else
    Evacuated.erase({Centre});
  EvacuationChanges[++Revision] = {{Centre}, !Value};
}

void CellWorld::watchEvacuations(const Address &From, const WatchCollection &W,
                                 SteadyTime End) {
  WatchAnswered Event;
  Event.Collection = W.Collection;
  Event.Sequence = W.Sequence;
  Event.Revision = {Revision};
  Event.Status = !StoreUp || CutGroup.count(From) || StoreCuts.count(From)
                     ? StoreStatus::Failed
                 : W.AfterRevision.Value < Compacted ? StoreStatus::Gone
                                                     : StoreStatus::Done;
  if (Event.Status == StoreStatus::Done)
    for (auto It = EvacuationChanges.upper_bound(W.AfterRevision.Value);
         It != EvacuationChanges.end(); ++It)
      Event.Evacuations.push_back(It->second);
  Event.Changed = !Event.Evacuations.empty();
  if (Event.Status != StoreStatus::Done || Event.Changed || Now >= End)
    return deliver(From, Event);
  schedule(Now + WatchPoll,
           [this, From, W, End] { watchEvacuations(From, W, End); });
}

std::vector<Address> CellWorld::senders() const {
  std::vector<Address> Found;
  for (const auto &[Endpoint, I] : Instances)
    if (I.Alive && !I.State.Cells.Claims.empty())
      Found.push_back(Endpoint);
  return Found;
}

void CellWorld::execute(Instance &I, const InstanceEffects &Effects) {
  for (const InstanceEffect &E : Effects)
    executeOne(I, E);
}

void CellWorld::executeOne(Instance &I, const InstanceEffect &E) {
  Address Self = I.Record.Endpoint;
  auto Store = [&](auto Make) {
    bool Reached = StoreUp && !CutGroup.count(Self) && !StoreCuts.count(Self);
    schedule(Now + StoreTime, [this, Self, Reached, Make] {
      deliver(Self, Make(Reached && StoreUp));
    });
  };
  std::visit(
      Overloaded{
          [&](const AnswerCaller &A) {
            auto It = CallerByRequest.find({Self, A.Request});
            if (It == CallerByRequest.end() || Callers[It->second].Answer)
              return;
            Callers[It->second].Answer = A;
            Callers[It->second].Answered = Now;
          },
          [&](const ForwardJob &F) { forwardJob(I, F); },
          [&](const AbandonForward &A) { abandonForward(Self, A); },
          [&](const AnswerJob &A) {
            auto It = I.Received.find(A.Request);
            if (It == I.Received.end())
              return;
            auto [Entry, Forward] = It->second;
            I.Received.erase(It);
            if (!areLinked(Self, Entry) || OneWayCuts.count({Self, Entry}) ||
                Instances.at(Entry).SilentForwards.count(Forward))
              return;
            ForwardAnswered Event;
            Event.Sender = Self;
            Event.Request = Forward;
            Event.Result = A.Result;
            schedule(Now + Hop, [this, Entry = Entry, Event] {
              auto Peer = Instances.find(Entry);
              if (Peer != Instances.end())
                Peer->second.Forwarded.erase(Event.Request);
              deliver(Entry, Event);
            });
          },
          [&](const SendPing &P) { sendPing(I, P); },
          [&](const AnswerPing &A) {
            auto It = I.Pings.find(A.Request);
            if (It == I.Pings.end())
              return;
            Address To = It->second;
            I.Pings.erase(It);
            PingAnswered Event{Self, A.Message, false};
            if (areLinked(Self, To))
              schedule(Now + Hop, [this, To, Event] { deliver(To, Event); });
          },
          [&](const SendResultQuery &Q) { sendQuery(I, Q); },
          [&](const AnswerResultQuery &A) {
            auto It = I.Pings.find(A.Request);
            if (It == I.Pings.end())
              return;
            Address To = It->second;
            I.Pings.erase(It);
            ResultQueryAnswered Event{Self, A.Reply};
            if (areLinked(Self, To))
              schedule(Now + Hop, [this, To, Event] { deliver(To, Event); });
          },
          [&](const SendOpenJobQuery &Q) { sendQuery(I, Q); },
          [&](const AnswerOpenJobQuery &A) {
            auto It = I.Pings.find(A.Request);
            if (It == I.Pings.end())
              return;
            Address To = It->second;
            OpenJobQueryAnswered Event;
            Event.Receiver = Self;
            Event.Number = I.QueryNumbers[A.Request];
            Event.Reply = A.Reply;
            I.Pings.erase(It);
            I.QueryNumbers.erase(A.Request);
            if (areLinked(Self, To))
              schedule(Now + Hop, [this, To, Event] { deliver(To, Event); });
          },
          [&](const StartRun &S) { sendOrder(I, S); },
          [&](const StopRun &S) { sendOrder(I, S); },
          [&](const RenewUpstream &R) { sendOrder(I, R); },
          [&](const ReadCollection &R) {
            if (R.Collection == StoreCollection::Upstreams && !R.AllowStale)
              ++I.UpstreamReads;
            if (R.Collection == StoreCollection::Evacuations)
              ++EvacuationReads;
            Store([this, R](bool Up) {
              CollectionReadAnswered Event;
              Event.Collection = R.Collection;
              Event.Sequence = R.Sequence;
              Event.Status = Up ? StoreStatus::Done : StoreStatus::Failed;
              Event.Revision = {Revision};
              if (R.Collection == StoreCollection::Evacuations)
                Event.Evacuated = Evacuated;
              if (R.Collection == StoreCollection::Configuration)
                Event.Configuration = Configuration;
              if (R.Collection == StoreCollection::Upstreams)
                for (const auto &[Id, U] : Upstreams) {
                  if (!U.Listed)
                    continue;
                  Event.Upstreams.push_back(U.Record);
                  Event.Upstreams.back().Draining = U.Draining;
                }
              if (R.Collection == StoreCollection::Instances)
                for (const auto &[Endpoint, Other] : Instances)
                  if (Other.Alive &&
                      (!SeedsOnly ||
                       Now - Other.State.Cells.Started > StoreTime * 2))
                    Event.Instances.push_back(Other.Record);
              return Event;
            });
          },
          [&](const WatchCollection &W) {
            if (W.Collection == StoreCollection::Evacuations)
              return watchEvacuations(Self, W, Now + W.Wait);
            schedule(Now + std::chrono::milliseconds(500), [this, Self, W] {
              WatchAnswered Event;
              Event.Collection = W.Collection;
              Event.Sequence = W.Sequence;
              bool Up =
                  StoreUp && !CutGroup.count(Self) && !StoreCuts.count(Self);
              Event.Status = Up ? StoreStatus::Done : StoreStatus::Failed;
              Event.Revision = {Revision};
              Event.Changed = Up;
              if (Up)
                Event.Configuration = Configuration;
              deliver(Self, Event);
            });
          },
          [&](const AcquireLease &) {
            Store([](bool Up) {
              return LeaseAnswered{Up ? StoreStatus::Done : StoreStatus::Failed,
                                   {1}};
            });
          },
          [&](const PublishInstance &) {
            Store([](bool Up) {
              return PublishAnswered{Up ? StoreStatus::Done
                                        : StoreStatus::Failed};
            });
          },
          [&](const RenewLease &) {
            Store([](bool Up) {
              return LeaseRenewalAnswered{Up ? StoreStatus::Done
                                             : StoreStatus::Failed};
            });
          },
          [&](const EndLease &) {},
          [&](const FetchSnapshot &F) {
            auto Peer = Instances.find(F.Endpoint);
            if (Peer == Instances.end() || !Peer->second.Alive ||
                !areLinked(Self, F.Endpoint))
              return;
            SnapshotFetched Event{Peer->second.State.Directory.Configuration,
                                  Peer->second.State.Directory.Upstreams,
                                  std::nullopt};
            if (F.WantsEvacuation)
              Event.Evacuation =
                  evacuationForPeers(Peer->second.State.Directory.Evacuation);
            schedule(Now + Hop * 2,
                     [this, Self, Event] { deliver(Self, Event); });
          },
          [&](const LogDecision &L) {
            if (std::getenv("CELL_WORLD_LOG"))
              std::cerr << toMilliseconds(Now.time_since_epoch()) - 3600000
                        << " " << I.Name << " " << L.Job << " " << L.Message
                        << "\n";
          },
          [&](const StopProcess &) { kill(Self); }},
      E);
}

} // namespace snipeshunt::testing
