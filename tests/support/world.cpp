/// \file Processes, callers and time of the test fleet.
#include "world.h"

#include "core/json_func.h"
#include "tickets/ticket_func.h"

#include <xxhash.h>

#include <algorithm>

namespace snipeshunt {

namespace {

using std::chrono::milliseconds;

// One slot per upstream, so that tasks wait, get refused and are handed over.
constexpr uint32_t SlotsPerUpstream = 1;
constexpr milliseconds Lifetime{5000};
constexpr milliseconds LongestPatience{2000};
constexpr size_t MaxOldHeartbeats = 16;

Address addressOf(size_t Place) {
  return {"127.0.0." + std::to_string(Place + 1) + ":7100"};
}

Address upstreamOf(size_t Place) {
  return {"127.0.1." + std::to_string(Place + 1) + ":8100"};
}

DataCentre centreOf(size_t Place) { return {Place == 3 ? "b" : "a"}; }

DaemonSettings settingsOf(size_t Place, size_t Instances) {
  DaemonSettings S;
  S.Listen = S.Advertise = addressOf(Place);
  S.Centre = centreOf(Place);
  S.FleetKey = TestFleetKey;
  for (size_t I = 0; I < Instances; ++I) {
    if (I != Place)
      S.Peers.push_back({addressOf(I), centreOf(I)});
    S.Upstreams.push_back({upstreamOf(I), centreOf(I), SlotsPerUpstream, 0});
  }
  S.Limits.QueueLimitTasks = 3;
  S.Limits.TicketLifetime = Lifetime;
  // Longer than a tick, or every tick would count as a pause of the process.
  S.Limits.Heartbeat = milliseconds(260);
  S.Limits.Suspect = milliseconds(600);
  S.Limits.Dead = milliseconds(1000);
  S.Limits.StatusPoll = milliseconds(100);
  S.Limits.StatusFresh = milliseconds(800);
  S.Limits.DrainQuiet = milliseconds(200);
  S.Limits.DrainLimit = milliseconds(3000);
  return S;
}

/// Body of ticket \p Number; the variants of one ticket differ in payloads.
std::string bodyOf(size_t Number, size_t Variant) {
  Json::Value Body;
  Body["team"] = "team" + std::to_string(Number % 2);
  Body["patience_ms"] = Json::Int64(LongestPatience.count() /
                                    static_cast<int64_t>(1 + Number % 3));
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
  size_t Place;
  Process Self;

  void send(Address To, const Effect &Message) const {
    W.Calls.push_back({Self, std::move(To), Message});
  }
  void operator()(const ReplyTickets &E) const {
    for (const std::string &Text : E.Tickets)
      W.Tickets.push_back({Text, Place, W.Tickets.size()});
  }
  void operator()(const ReplyToCaller &E) const {
    W.answerAsk(E.Request, *E.Answer);
  }
  void operator()(const StartTask &E) const {
    W.Rules.noteStart(E.Key);
    bool Over = ++W.Busy[E.Where] > SlotsPerUpstream;
    W.Attempts.push_back({Self, E, Over});
  }
  void operator()(const ReplyRevoke &E) const {
    for (const TaskKey &Key : E.Reply.Revoked)
      W.Rules.noteRevoked(Key);
  }
  void operator()(const PollStatus &E) const {
    W.Replies.push_back(
        {Self,
         StatusRead{E.Where, UpstreamStatus{SlotsPerUpstream, 0, false}}});
  }
  void operator()(const ForwardRequest &E) const { send(E.Home, E); }
  void operator()(const SendHandover &E) const { send(E.Where, E); }
  void operator()(const SendReport &E) const { send(E.Where, E); }
  void operator()(const SendRevoke &E) const { send(E.Where, E); }
  void operator()(const SendAnswers &E) const { send(E.Where, E); }
  void operator()(const SendHeartbeat &E) const {
    W.Heartbeats.push_back({Self, E.Where, E});
  }
  void operator()(const ExitProcess &) const { W.Nodes[Place].Exiting = true; }
  template <typename T> void operator()(const T &) const {}
};

World::World(size_t Instances) {
  Nodes.resize(Instances);
  for (size_t Place = 0; Place < Instances; ++Place) {
    Nodes[Place].Where = addressOf(Place);
    Nodes[Place].Centre = centreOf(Place);
    start(Place);
  }
  // Three rounds, so that all know each other and have read all statuses.
  for (int Round = 0; Round < 3; ++Round) {
    passTime(milliseconds(250), 1);
    flushAll();
  }
}

void World::start(size_t Place) {
  IncarnationId Id{0x1000 + ++Counter};
  // Built in place; the state is never moved.
  Nodes[Place].State.reset(
      new InstanceState(initialState(settingsOf(Place, Nodes.size()), Id)));
  Nodes[Place].Paused = Nodes[Place].Exiting = false;
  feed(Place, Tick{});
}

void World::kill(size_t Place) {
  Process Dead = processAt(Place);
  Nodes[Place].State.reset();
  Nodes[Place].Paused = Nodes[Place].Exiting = false;
  // The upstream ends what the process had started; nobody hears of it.
  for (const Running &R : Attempts)
    if (R.By.Incarnation == Dead.Incarnation)
      --Busy[R.Start.Where];
  Attempts.erase(std::remove_if(Attempts.begin(), Attempts.end(),
                                [&](const Running &R) {
                                  return R.By.Incarnation == Dead.Incarnation;
                                }),
                 Attempts.end());
  for (auto It = Asks.begin(); It != Asks.end();) {
    if (It->second.At.Incarnation != Dead.Incarnation) {
      ++It;
      continue;
    }
    if (auto Origin = It->second.ForwardOf)
      Replies.push_back({Origin->first, ForwardEnded{Origin->second, {}}});
    It = Asks.erase(It);
  }
}

bool World::alive(const Process &P) const {
  const Node &N = Nodes[P.Place];
  return N.State && N.State->Incarnation == P.Incarnation;
}

bool World::ready(size_t Place) const {
  return Nodes[Place].State && !Nodes[Place].Paused;
}

size_t World::placeOf(const Address &Where) const {
  for (size_t Place = 0; Place < Nodes.size(); ++Place)
    if (Nodes[Place].Where == Where)
      return Place;
  return 0;
}

World::Process World::processAt(size_t Place) const {
  const Node &N = Nodes[Place];
  return {Place, N.State ? N.State->Incarnation : IncarnationId{}};
}

EffectList World::feed(size_t Place, EventBody Body) {
  uint64_t Seed = ++Counter * 0x9e3779b97f4a7c15ULL;
  EffectList Out = reduce(*Nodes[Place].State, {Now, Seed, std::move(Body)});
  Process Self = processAt(Place);
  for (const Effect &E : Out)
    std::visit(EffectVisitor{*this, Place, Self}, E);
  if (Nodes[Place].Exiting)
    kill(Place);
  return Out;
}

void World::ask(size_t Place, JobVerb Verb, const TakenTicket &T,
                size_t Variant) {
  Ask A;
  A.At = processAt(Place);
  A.Verb = Verb;
  A.Ticket = T.Text;
  if (Verb == JobVerb::Submit)
    A.Body = bodyOf(T.Number, Variant);
  openAsk(std::move(A), false, Verb != JobVerb::Query);
}

void World::openAsk(Ask A, bool Forwarded, bool Wait) {
  JobRequested Event;
  Event.Request = RequestId{++Counter};
  Event.Verb = A.Verb;
  Event.TicketText = A.Ticket;
  Event.Body = A.Body;
  Event.BodyHash = XXH64(A.Body.data(), A.Body.size(), 0);
  Event.Forwarded = Forwarded;
  Event.Wait = Wait;
  size_t Place = A.At.Place;
  Asks.emplace(Event.Request, std::move(A));
  feed(Place, std::move(Event));
}

void World::hangUp(uint32_t Choice) {
  if (Asks.empty())
    return;
  auto It = std::next(Asks.begin(), Choice % Asks.size());
  if (It->second.ForwardOf || !ready(It->second.At.Place))
    return;
  size_t Place = It->second.At.Place;
  RequestId Request = It->first;
  Asks.erase(It);
  feed(Place, CallerLeft{Request});
}

void World::answerAsk(RequestId Request, const StoredAnswer &Answer) {
  auto It = Asks.find(Request);
  if (It == Asks.end()) {
    Rules.fail("answered a request that is not open: " + Answer.Body);
    return;
  }
  Ask A = std::move(It->second);
  Asks.erase(It);
  Rules.noteAnswer(A.Ticket, A.Body, Answer);
  if (A.ForwardOf)
    Replies.push_back(
        {A.ForwardOf->first, ForwardEnded{A.ForwardOf->second, Answer}});
}

void World::passTime(milliseconds Part, int Parts) {
  for (int I = 0; I < Parts; ++I) {
    Now += Part;
    for (size_t Place = 0; Place < Nodes.size(); ++Place)
      if (ready(Place))
        feed(Place, Tick{});
    flushHeartbeats();
  }
}

void World::settle() {
  Cuts.clear();
  for (Node &N : Nodes)
    N.Paused = false;
  for (int Round = 0; Round < 30; ++Round) {
    flushAll();
    passTime(milliseconds(100), 1);
  }
  flushAll();
  for (const auto &[Request, A] : Asks)
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
    for (const auto &[Where, U] : S.Upstreams.All)
      Slots += U.Busy;
    const std::pair<const char *, size_t> Left[] = {
        {"records", S.Jobs.Records.size()},
        {"running jobs", S.Jobs.Running},
        {"waiters", S.Jobs.WaitedFor.size()},
        {"deadlines", S.Jobs.Deadlines.size()},
        {"team tasks", S.Jobs.TeamTasks.size()},
        {"retained answers", S.Jobs.Retained.size() + S.Jobs.RetainedBytes},
        {"inherited answers", S.Jobs.Inherited.size()},
        {"waiting tasks", S.Queue.size()},
        {"held tasks", S.Handovers.Held.size()},
        {"given tasks", S.Handovers.Given.size()},
        {"unsettled batches", Batches},
        {"unreported results", Reports},
        {"closed homes", S.Handovers.ClosedHomes.size()},
        {"former members", S.Members.Former.size()},
        {"attempts", S.Upstreams.Attempts.size() + S.Upstreams.ByTask.size()},
        {"busy slots", Slots},
        {"forwards", S.Forwards.size()}};
    for (const auto &[What, Count] : Left)
      if (Count != 0)
        Rules.fail("left at " + N.Where.Value + ": " + std::to_string(Count) +
                   " " + What);
  }
}

void World::apply(const Step &S) {
  size_t Place = S.A % Nodes.size();
  const TakenTicket *T =
      Tickets.empty() ? nullptr : &Tickets[S.A % Tickets.size()];
  size_t Other = S.B % Nodes.size();
  switch (S.What) {
  case Op::TakeTicket:
    if (ready(Place))
      feed(Place, TicketsRequested{RequestId{++Counter}, 1});
    break;
  case Op::Submit:
  case Op::SubmitOtherBody:
  case Op::Query:
  case Op::Cancel:
    if (T && ready(Other))
      ask(Other,
          S.What == Op::Query    ? JobVerb::Query
          : S.What == Op::Cancel ? JobVerb::Cancel
                                 : JobVerb::Submit,
          TakenTicket(*T), S.What == Op::SubmitOtherBody);
    break;
  case Op::HangUp:
    hangUp(S.A);
    break;
  case Op::Deliver:
  case Op::LoseRequest:
  case Op::LoseReply:
  case Op::DeliverTwice:
  case Op::RefuseConnection:
    stepOnCall(S.What, S.A);
    break;
  case Op::DeliverOldCopy:
    deliverOldCopy(Archive, S.A);
    break;
  case Op::DeliverOldHeartbeat:
    deliverOldCopy(OldHeartbeats, S.A);
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
    if (!Cuts.erase({Place, Other}))
      Cuts.insert({Place, Other});
    break;
  case Op::PauseOrResume:
    Nodes[Place].Paused = Nodes[Place].State && !Nodes[Place].Paused;
    break;
  case Op::Kill:
    if (Nodes[Place].State)
      kill(Place);
    break;
  case Op::Restart:
    if (Nodes[Place].State)
      kill(Place);
    start(Place);
    break;
  case Op::Drain:
    if (ready(Place))
      feed(Place, DrainRequested{});
    break;
  }
  if (OldHeartbeats.size() > MaxOldHeartbeats)
    OldHeartbeats.erase(OldHeartbeats.begin(),
                        OldHeartbeats.end() - MaxOldHeartbeats);
}

} // namespace snipeshunt
