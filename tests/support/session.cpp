/// \file One instance that receives events, and a log of its effects.
#include "session.h"

#include "effect_text.h"
#include "history_rules.h"
#include "tickets/ticket_func.h"

#include <xxhash.h>

namespace snipeshunt {

using std::chrono::milliseconds;

namespace {

DaemonSettings settingsWith(bool SenderUpstream) {
  DaemonSettings S;
  S.Listen = S.Advertise = OwnEndpoint;
  S.Centre = {"a"};
  S.FleetKey = TestFleetKey;
  S.Upstreams.push_back({UpstreamEndpoint, {SenderUpstream ? "a" : "b"}, 2, 0});
  return S;
}

} // namespace

Session::Session(bool SenderUpstream)
    : State(initialState(settingsWith(SenderUpstream), OwnIncarnation)) {}

EffectList Session::feed(const std::string &Name, EventBody Body) {
  auto Since = Time.steadyNow() - SteadyTime(std::chrono::hours(1));
  Text << "+" << toMilliseconds(Since) << "ms " << Name << "\n";
  // A constant seed makes the randomised delays the same in every run.
  EffectList Out = reduce(State, {Time.steadyNow(), 512, std::move(Body)});
  for (const Effect &E : Out)
    Text << "  " << effectText(E) << "\n";
  return Out;
}

EffectList Session::tick(milliseconds After) {
  Time.advance(After);
  return feed("tick", Tick{});
}

EffectList Session::status() {
  return feed("status read",
              StatusRead{UpstreamEndpoint, UpstreamStatus{2, 0, false}});
}

namespace {

Heartbeat peerHeartbeat(IncarnationId Id, uint32_t FreeSlots, MemberState As) {
  Heartbeat H;
  H.Location = {PeerEndpoint, {"a"}};
  H.Incarnation = Id;
  H.State = As;
  H.Load.FreeSlots = H.Load.TotalSlots = FreeSlots;
  return H;
}

} // namespace

EffectList Session::heartbeat(IncarnationId Id, uint32_t FreeSlots,
                              MemberState As) {
  return feed(
      "heartbeat of " + incarnationText(Id),
      HeartbeatReceived{nextRequest(), peerHeartbeat(Id, FreeSlots, As)});
}

EffectList Session::heartbeatAnswer(IncarnationId Id, uint32_t FreeSlots) {
  return feed(
      "heartbeat answered by " + incarnationText(Id),
      HeartbeatAnswered{PeerEndpoint,
                        peerHeartbeat(Id, FreeSlots, MemberState::Live)});
}

JobRequested Session::request(uint64_t Sequence) {
  Ticket T{
      {"a"}, OwnEndpoint, OwnIncarnation, {Sequence}, milliseconds(3600000)};
  JobRequested E;
  E.TicketText = encodeTicket(T, TestFleetKey);
  return E;
}

EffectList Session::submit(uint64_t Sequence, const std::string &Payloads,
                           int PatienceMs) {
  JobRequested E = request(Sequence);
  E.Request = nextRequest();
  std::string Tasks;
  for (char Payload : Payloads)
    Tasks += std::string(Tasks.empty() ? "" : ",") +
             R"({"kind":"lookup","payload":")" + Payload + R"("})";
  E.Body = R"({"team":"t","patience_ms":)" + std::to_string(PatienceMs) +
           R"(,"tasks":[)" + Tasks + "]}";
  E.BodyHash = XXH64(E.Body.data(), E.Body.size(), 0);
  return feed("submit ticket " + std::to_string(Sequence) + " " + Payloads, E);
}

EffectList Session::cancel(uint64_t Sequence) {
  JobRequested E = request(Sequence);
  E.Request = nextRequest();
  E.Verb = JobVerb::Cancel;
  return feed("cancel ticket " + std::to_string(Sequence), E);
}

EffectList Session::attemptEnded(uint64_t Attempt, AttemptEnd End,
                                 const std::string &Output) {
  return feed("attempt " + std::to_string(Attempt) + " ended: " + Output,
              AttemptEnded{AttemptId{Attempt}, {End, Output}});
}

EffectList Session::handoverAnswered(std::optional<HandoverReply> Reply,
                                     uint64_t Sequence) {
  return feed(Reply ? "handover answered" : "handover without reply",
              HandoverAnswered{PeerIncarnation, HandoverSequence{Sequence},
                               Reply, false});
}

EffectList Session::report(uint64_t Sequence, uint32_t Index,
                           const std::string &Output) {
  ReportMessage M;
  M.Home = OwnIncarnation;
  M.Receiver = PeerIncarnation;
  M.Reports.push_back(
      {HandoverSequence{1},
       {OwnIncarnation, TicketSequence{Sequence}, TaskIndex{Index}},
       {TaskEnd::Finished, Output}});
  return feed("report " + Output, ReportReceived{nextRequest(), M});
}

HandoverMessage Session::handoverOf(IncarnationId Home, uint64_t Sequence,
                                    uint32_t Tasks) {
  HandoverMessage M;
  M.Home = Home;
  M.HomeAddress = PeerEndpoint;
  M.Receiver = OwnIncarnation;
  M.Sequence = HandoverSequence{Sequence};
  M.SettledBelow = HandoverSequence{1};
  // With a shorter wait at the home, tasks without a free slot would be
  // returned.
  M.Load.ExpectedWait = std::chrono::milliseconds(5000);
  for (uint32_t I = 0; I < Tasks; ++I) {
    auto Spec = std::make_shared<TaskSpec>();
    Spec->Kind = {"lookup"};
    Spec->Payload = std::to_string(I);
    M.Tasks.push_back({TicketSequence{7},
                       TaskIndex{I},
                       {"t"},
                       Spec,
                       milliseconds(4000),
                       milliseconds(0)});
  }
  return M;
}

} // namespace snipeshunt
