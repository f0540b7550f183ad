/// \file Messages between the instances of the simulated fleet of cells.
#include "cell_world.h"

#include <algorithm>

namespace snipeshunt::testing {

namespace {

constexpr Duration PingLimit = std::chrono::milliseconds(350);

} // namespace

void CellWorld::sendPing(Instance &I, const SendPing &E) {
  Address From = I.Record.Endpoint;
  Address To = E.Endpoint;
  auto It = Instances.find(To);
  bool ConnectionRefused =
      It == Instances.end() || (!It->second.Alive && !It->second.PoweredOff);
  if (ConnectionRefused && areLinked(From, To)) {
    schedule(Now + Hop * 2, [this, From, To] {
      deliver(From, PingAnswered{To, std::nullopt, true});
    });
    return;
  }
  // A ping times out unless its answer was delivered before.
  uint64_t StartCount = I.StartCount;
  SteadyTime Sent = Now;
  schedule(Now + PingLimit, [this, From, To, StartCount, Sent] {
    Instance &Self = Instances.at(From);
    auto P = Self.State.Cells.Peers.find(To);
    if (Self.StartCount == StartCount && P != Self.State.Cells.Peers.end() &&
        P->second.PingPending && P->second.PingSent == Sent)
      deliver(From, PingAnswered{To, std::nullopt, false});
  });
  if (OneWayCuts.count({From, To}) || OneWayCuts.count({To, From}))
    return;
  PeerPing Message = E.Message;
  sendMessage(From, To, [this, From, To, Message] {
    auto Peer = Instances.find(To);
    if (Peer == Instances.end() || !Peer->second.Alive)
      return;
    RequestId Request{Peer->second.NextRequest++};
    Peer->second.Pings[Request] = From;
    deliver(To, PingArrived{Request, Message});
  });
}

void CellWorld::forwardJob(Instance &I, const ForwardJob &E) {
  Address From = I.Record.Endpoint;
  Address To = E.Sender;
  I.Forwarded[E.Request] = To;
  I.SilentForwards.erase(E.Request);
  if (size_t &Idle = I.SilentIdle[To]; Idle > 0) {
    --Idle;
    I.SilentForwards.insert(E.Request);
    return;
  }
  auto It = Instances.find(To);
  bool ConnectionRefused =
      It == Instances.end() || (!It->second.Alive && !It->second.PoweredOff);
  if (ConnectionRefused && areLinked(From, To)) {
    schedule(Now + Hop * 2, [this, From, To, Request = E.Request] {
      ForwardAnswered Event;
      Event.Sender = To;
      Event.Request = Request;
      Event.NothingSent = true;
      deliver(From, Event);
    });
    return;
  }
  if (OneWayCuts.count({From, To}))
    return;
  sendMessage(From, To, [this, From, To, E] {
    auto Peer = Instances.find(To);
    if (Peer == Instances.end() || !Peer->second.Alive)
      return;
    RequestId Request{Peer->second.NextRequest++};
    Peer->second.Received[Request] = {From, E.Request};
    deliver(To, JobArrived{Request, E.Order});
  });
}

void CellWorld::sendQuery(Instance &I, const SendResultQuery &E) {
  ++ResultQueries;
  Address From = I.Record.Endpoint;
  Address To = E.Sender;
  if (OneWayCuts.count({From, To}) || OneWayCuts.count({To, From}))
    return;
  sendMessage(From, To, [this, From, To, E] {
    auto Peer = Instances.find(To);
    if (Peer == Instances.end() || !Peer->second.Alive)
      return;
    RequestId Request{Peer->second.NextRequest++};
    Peer->second.Pings[Request] = From;
    deliver(To, ResultQueryArrived{Request, E.Query});
  });
}

void CellWorld::sendQuery(Instance &I, const SendOpenJobQuery &E) {
  ++OpenJobQueries;
  Address From = I.Record.Endpoint;
  Address To = E.Receiver;
  auto It = Instances.find(To);
  OpenJobQueryAnswered Failure;
  Failure.Receiver = To;
  Failure.Number = E.Number;
  Failure.ConnectionRefused =
      areLinked(From, To) &&
      (It == Instances.end() || (!It->second.Alive && !It->second.PoweredOff));
  Failure.NotUnderstood = areLinked(From, To) && EarlierVersions.count(To) != 0;
  bool AtOnce = Failure.ConnectionRefused || Failure.NotUnderstood;
  // The reducer ignores the time-out of a query that was answered before.
  uint64_t StartCount = I.StartCount;
  schedule(Now + (AtOnce ? Hop * 2 : PingLimit),
           [this, From, StartCount, Failure] {
             if (Instances.at(From).StartCount == StartCount)
               deliver(From, Failure);
           });
  if (AtOnce || OneWayCuts.count({From, To}) || OneWayCuts.count({To, From}))
    return;
  sendMessage(From, To, [this, From, To, E] {
    auto Peer = Instances.find(To);
    if (Peer == Instances.end() || !Peer->second.Alive)
      return;
    RequestId Request{Peer->second.NextRequest++};
    Peer->second.Pings[Request] = From;
    Peer->second.QueryNumbers[Request] = E.Number;
    deliver(To, OpenJobQueryArrived{Request, E.Query});
  });
}

void CellWorld::abandonForward(const Address &From, const AbandonForward &E) {
  Instance &Entry = Instances.at(From);
  if (E.Silent)
    Entry.SilentIdle.erase(E.Sender);
  if (Entry.SilentForwards.count(E.Request))
    return;
  sendMessage(From, E.Sender, [this, From, E] {
    auto Sender = Instances.find(E.Sender);
    if (Sender == Instances.end())
      return;
    for (const auto &[Request, Origin] : Sender->second.Received)
      if (Origin == std::make_pair(From, E.Request)) {
        RequestId Closed = Request;
        Sender->second.Received.erase(Closed);
        return deliver(E.Sender, JobAbandoned{Closed});
      }
  });
}

} // namespace snipeshunt::testing
