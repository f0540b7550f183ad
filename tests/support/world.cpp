/// \file Processes, callers and time of the simulated fleet.
#include "world.h"

#include "core/json_func.h"
#include "tickets/ticket_func.h"

#include <xxhash.h>

#include <algorithm>

namespace snipeshunt {

namespace {

using std::chrono::milliseconds;

// One slot per upstream, so that tasks wait, are rejected and are handed over.
constexpr uint32_t SlotsPerUpstream = 1;
constexpr milliseconds Lifetime{5000};
constexpr milliseconds MaxPatience{2000};
constexpr size_t MaxHeartbeatCopies = 16;

Address addressOf(size_t Index) {
  return {"127.0.0." + std::to_string(Index + 1) + ":7100"};
}

Address upstreamOf(size_t Index) {
  return {"127.0.1." + std::to_string(Index + 1) + ":8100"};
}

DataCentre centreOf(size_t Index) { return {Index == 3 ? "b" : "a"}; }

DaemonSettings settingsOf(size_t Index, size_t Instances) {
  DaemonSettings S;
  S.Listen = S.Advertise = addressOf(Index);
  S.Centre = centreOf(Index);
  S.FleetKey = TestFleetKey;
  for (size_t I = 0; I < Instances; ++I) {
    if (I != Index)
      S.Peers.push_back({addressOf(I), centreOf(I)});
    S.Upstreams.push_back({upstreamOf(I), centreOf(I), SlotsPerUpstream, 0});
  }
  S.Limits.QueueLimitTasks = 3;
  S.Limits.TicketLifetime = Lifetime;
  // Longer than a tick; otherwise every tick would count as a pause of the
  // process.
  S.Limits.HeartbeatInterval = milliseconds(260);
  S.Limits.SuspectAfter = milliseconds(600);
  S.Limits.DeadAfter = milliseconds(1000);
  S.Limits.StatusPollInterval = milliseconds(100);
  S.Limits.StatusMaxAge = milliseconds(800);
  S.Limits.DrainIdleTime = milliseconds(200);
  S.Limits.DrainLimit = milliseconds(3000);
  return S;
}

/// Returns the body for ticket \p Number; variants differ in their payloads.
std::string bodyOf(size_t Number, size_t Variant) {
  Json::Value Body;
  Body["team"] = "team" + std::to_string(Number % 2);
  Body["patience_ms"] =
      Json::Int64(MaxPatience.count() / static_cast<int64_t>(1 + Number % 3));
  for (size_t I = 0; I < 1 + Number % 4; ++I) {
    Json::Value Task;
    Task["kind"] = "lookup";
    Task["payload"] = std::to_string(Number) + "/" + std::to_string(Variant) +
                      "/" + std::to_string(I);
    Body["tasks"].append(std::move(Task));
  }
  return writeJson(Body);
}

} // namespace

/// Turns effects into pending deliveries.
struct World::EffectVisitor {
  World &W;
  size_t Index;
  Process Self;

  void send(Address To, const Effect &Message) const {
    W.Calls.push_back({Self, std::move(To), Message});
  }
  void operator()(const ReplyTickets &E) const {
    for (const std::string &Text : E.Tickets)
      W.Tickets.push_back({Text, Index, W.Tickets.size()});
  }
  void operator()(const ReplyToCaller &E) const {
    W.answerRequest(E.Request, *E.Answer);
  }
  void operator()(const StartTask &E) const {
    W.Rules.recordStart(E.Key);
    bool Over = ++W.Busy[E.Upstream] > SlotsPerUpstream;
    W.Attempts.push_back({Self, E, Over});
  }
  void operator()(const ReplyRevoke &E) const {
    for (const TaskKey &Key : E.Reply.Revoked)
      W.Rules.recordRevoked(Key);
  }
  void operator()(const PollStatus &E) const {
    W.Replies.push_back(
        {Self,
         StatusRead{E.Upstream, UpstreamStatus{SlotsPerUpstream, 0, false}}});
  }
  void operator()(const ForwardRequest &E) const { send(E.Home, E); }
  void operator()(const SendHandover &E) const { send(E.Endpoint, E); }
  void operator()(const SendReport &E) const { send(E.Endpoint, E); }
  void operator()(const SendRevoke &E) const { send(E.Endpoint, E); }
  void operator()(const SendAnswers &E) const { send(E.Endpoint, E); }
  void operator()(const SendHeartbeat &E) const {
    W.Heartbeats.push_back({Self, E.Endpoint, E});
  }
  void operator()(const ExitProcess &) const { W.Nodes[Index].Exiting = true; }
  template <typename T> void operator()(const T &) const {}
};

World::World(size_t Instances) {
  Nodes.resize(Instances);
  for (size_t Index = 0; Index < Instances; ++Index) {
    Nodes[Index].Endpoint = addressOf(Index);
    Nodes[Index].Centre = centreOf(Index);
    start(Index);
  }
  // Three rounds, after which all have exchanged heartbeats and read all
  // statuses.
  for (int Round = 0; Round < 3; ++Round) {
    passTime(milliseconds(250), 1);
    flushAll();
  }
}

void World::start(size_t Index) {
  IncarnationId Id{0x1000 + ++Counter};
  // Built in place, so that the state is never moved.
  Nodes[Index].State.reset(
      new InstanceState(initialState(settingsOf(Index, Nodes.size()), Id)));
  Nodes[Index].Paused = Nodes[Index].Exiting = false;
  feed(Index, Tick{});
}

void World::kill(size_t Index) {
  Process Dead = processAt(Index);
  Nodes[Index].State.reset();
  Nodes[Index].Paused = Nodes[Index].Exiting = false;
  // The upstream ends the attempts of the process; nobody receives the results.
  for (const RunningAttempt &R : Attempts)
    if (R.StartedBy.Incarnation == Dead.Incarnation)
      --Busy[R.Start.Upstream];
  Attempts.erase(std::remove_if(Attempts.begin(), Attempts.end(),
                                [&](const RunningAttempt &R) {
                                  return R.StartedBy.Incarnation ==
                                         Dead.Incarnation;
                                }),
                 Attempts.end());
  for (auto It = PendingRequests.begin(); It != PendingRequests.end();) {
    if (It->second.At.Incarnation != Dead.Incarnation) {
      ++It;
      continue;
    }
    if (auto Origin = It->second.ForwardOf)
      Replies.push_back({Origin->first, ForwardEnded{Origin->second, {}}});
    It = PendingRequests.erase(It);
  }
}

bool World::alive(const Process &P) const {
  const Node &N = Nodes[P.Index];
  return N.State && N.State->Incarnation == P.Incarnation;
}

bool World::ready(size_t Index) const {
  return Nodes[Index].State && !Nodes[Index].Paused;
}

size_t World::indexOf(const Address &Endpoint) const {
  for (size_t Index = 0; Index < Nodes.size(); ++Index)
    if (Nodes[Index].Endpoint == Endpoint)
      return Index;
  return 0;
}

World::Process World::processAt(size_t Index) const {
  const Node &N = Nodes[Index];
  return {Index, N.State ? N.State->Incarnation : IncarnationId{}};
}

EffectList World::feed(size_t Index, EventBody Body) {
  uint64_t Seed = ++Counter * 0x9e3779b97f4a7c15ULL;
  EffectList Out = reduce(*Nodes[Index].State, {Now, Seed, std::move(Body)});
  Process Self = processAt(Index);
  for (const Effect &E : Out)
    std::visit(EffectVisitor{*this, Index, Self}, E);
  if (Nodes[Index].Exiting)
    kill(Index);
  return Out;
}

void World::sendRequest(size_t Index, JobVerb Verb, const IssuedTicket &T,
                        size_t Variant) {
  PendingRequest A;
  A.At = processAt(Index);
  A.Verb = Verb;
  A.Ticket = T.Text;
  if (Verb == JobVerb::Submit)
    A.Body = bodyOf(T.Number, Variant);
  openRequest(std::move(A), false, Verb != JobVerb::Query);
}

void World::openRequest(PendingRequest A, bool Forwarded, bool Wait) {
  JobRequested Event;
  Event.Request = RequestId{++Counter};
  Event.Verb = A.Verb;
  Event.TicketText = A.Ticket;
  Event.Body = A.Body;
  Event.BodyHash = XXH64(A.Body.data(), A.Body.size(), 0);
  Event.Forwarded = Forwarded;
  Event.Wait = Wait;
  size_t Index = A.At.Index;
  PendingRequests.emplace(Event.Request, std::move(A));
  feed(Index, std::move(Event));
}

void World::disconnectCaller(uint32_t Choice) {
  if (PendingRequests.empty())
    return;
  auto It = std::next(PendingRequests.begin(), Choice % PendingRequests.size());
  if (It->second.ForwardOf || !ready(It->second.At.Index))
    return;
  size_t Index = It->second.At.Index;
  RequestId Request = It->first;
  PendingRequests.erase(It);
  feed(Index, CallerDisconnected{Request});
}

void World::answerRequest(RequestId Request, const StoredAnswer &Answer) {
  auto It = PendingRequests.find(Request);
  if (It == PendingRequests.end()) {
    Rules.fail("answered a request that is not open: " + Answer.Body);
    return;
  }
  PendingRequest A = std::move(It->second);
  PendingRequests.erase(It);
  Rules.recordAnswer(A.Ticket, A.Body, Answer);
  if (A.ForwardOf)
    Replies.push_back(
        {A.ForwardOf->first, ForwardEnded{A.ForwardOf->second, Answer}});
}

void World::passTime(milliseconds Part, int Parts) {
  for (int I = 0; I < Parts; ++I) {
    Now += Part;
    for (size_t Index = 0; Index < Nodes.size(); ++Index)
      if (ready(Index))
        feed(Index, Tick{});
    flushHeartbeats();
  }
}

void World::settle() {
  CutLinks.clear();
  for (Node &N : Nodes)
    N.Paused = false;
  for (int Round = 0; Round < 30; ++Round) {
    flushAll();
    passTime(milliseconds(100), 1);
  }
  flushAll();
  for (const auto &[Request, A] : PendingRequests)
    if (!A.Ignored && alive(A.At))
      Rules.fail("never answered: " + A.Ticket);
  for (int Round = 0; Round < 50; ++Round) {
    passTime(milliseconds(250), 1);
    flushAll();
  }
  checkNothingLeft();
}

void World::checkNothingLeft() {
  for (const Node &N : Nodes) {
    if (!N.State)
      continue;
    const InstanceState &S = *N.State;
    size_t Batches = 0;
    size_t Reports = 0;
    size_t Slots = 0;
    for (const auto &[Receiver, Channel] : S.Handovers.Outgoing)
      Batches += Channel.Batches.size();
    for (const auto &[Home, Channel] : S.Handovers.Incoming)
      Reports += Channel.Unreported.size();
    for (const auto &[Endpoint, U] : S.Upstreams.All)
      Slots += U.SlotsInUse;
    const std::pair<const char *, size_t> Left[] = {
        {"records", S.Jobs.Records.size()},
        {"running jobs", S.Jobs.Running},
        {"waiters", S.Jobs.JobsByWaiter.size()},
        {"deadlines", S.Jobs.Deadlines.size()},
        {"team tasks", S.Jobs.TeamTasks.size()},
        {"retained answers", S.Jobs.Retained.size() + S.Jobs.RetainedBytes},
        {"inherited answers", S.Jobs.ImportedAnswers.size()},
        {"waiting tasks", S.Queue.size()},
        {"held tasks", S.Handovers.ReceivedTasks.size()},
        {"given tasks", S.Handovers.HandedOver.size()},
        {"unsettled batches", Batches},
        {"unreported results", Reports},
        {"closed homes", S.Handovers.ClosedHomes.size()},
        {"former members", S.Members.ReplacedIncarnations.size()},
        {"attempts",
         S.Upstreams.Attempts.size() + S.Upstreams.AttemptsByTask.size()},
        {"busy slots", Slots},
        {"forwards", S.Forwards.size()}};
    for (const auto &[What, Count] : Left)
      if (Count != 0)
        Rules.fail("left at " + N.Endpoint.Value + ": " +
                   std::to_string(Count) + " " + What);
  }
}

void World::apply(const Step &S) {
  size_t Index = S.A % Nodes.size();
  const IssuedTicket *T =
      Tickets.empty() ? nullptr : &Tickets[S.A % Tickets.size()];
  size_t Other = S.B % Nodes.size();
  switch (S.What) {
  case Op::TakeTicket:
    if (ready(Index))
      feed(Index, TicketsRequested{RequestId{++Counter}, 1});
    break;
  case Op::Submit:
  case Op::SubmitOtherBody:
  case Op::Query:
  case Op::Cancel:
    if (T && ready(Other))
      sendRequest(Other,
                  S.What == Op::Query    ? JobVerb::Query
                  : S.What == Op::Cancel ? JobVerb::Cancel
                                         : JobVerb::Submit,
                  IssuedTicket(*T), S.What == Op::SubmitOtherBody);
    break;
  case Op::Disconnect:
    disconnectCaller(S.A);
    break;
  case Op::Deliver:
  case Op::LoseRequest:
  case Op::LoseReply:
  case Op::DeliverTwice:
  case Op::RefuseConnection:
    stepOnCall(S.What, S.A);
    break;
  case Op::DeliverOldCopy:
    deliverOldCopy(CallCopies, S.A);
    break;
  case Op::DeliverOldHeartbeat:
    deliverOldCopy(HeartbeatCopies, S.A);
    break;
  case Op::DeliverReply:
    deliverReply(S.A);
    break;
  case Op::EndAttempt:
    endAttempt(S.A, S.B);
    break;
  case Op::ShortTime:
    passTime(milliseconds(1 + S.A % 60), 1);
    break;
  case Op::TimeBeyondDead:
    passTime(milliseconds(200), 7);
    break;
  case Op::TimeBeyondTicket:
    passTime(milliseconds(250), 22);
    break;
  case Op::CutOrHeal:
    if (!CutLinks.erase({Index, Other}))
      CutLinks.insert({Index, Other});
    break;
  case Op::PauseOrResume:
    Nodes[Index].Paused = Nodes[Index].State && !Nodes[Index].Paused;
    break;
  case Op::Kill:
    if (Nodes[Index].State)
      kill(Index);
    break;
  case Op::Restart:
    if (Nodes[Index].State)
      kill(Index);
    start(Index);
    break;
  case Op::Drain:
    if (ready(Index))
      feed(Index, DrainRequested{});
    break;
  }
  if (HeartbeatCopies.size() > MaxHeartbeatCopies)
    HeartbeatCopies.erase(HeartbeatCopies.begin(),
                          HeartbeatCopies.end() - MaxHeartbeatCopies);
}

} // namespace snipeshunt
