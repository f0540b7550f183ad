/// \file JSON-RPC between instances.
#include "daemon/peer_gateway.h"

#include "core/json_func.h"
#include "daemon/log.h"
#include "daemon/view_func.h"
#include "rpc/rpc_codec.h"

namespace snipeshunt {

namespace {

// Peers reply without waiting for tasks, so a call that takes longer counts as
// lost.
constexpr Duration RpcTimeout = std::chrono::milliseconds(1000);

/// Decodes a reply; returns nothing without one. Logs a reply that can't be
/// decoded.
template <typename T, typename F>
std::optional<T> decodeReply(const std::optional<Json::Value> &Reply,
                             F Decode) {
  if (!Reply)
    return std::nullopt;
  Result<T> Decoded = Decode(*Reply);
  if (failed(Decoded)) {
    SNIPESHUNT_LOG(WARNING, "rpc") << errorOf(Decoded).Message << ".";
    return std::nullopt;
  }
  return std::move(valueOf(Decoded));
}

} // namespace

PeerGateway::PeerGateway(Daemon &Owner)
    : Owner(Owner),
      Client(Owner.loop(), clientOptions(Owner.state().Settings, 16)) {
  bindMethods();
  connectEffects();
  connectReplies();
  Owner.server().RequestReceived.connect([this](const HttpRequest &Request) {
    if (Request.Path == "/rpc")
      this->Owner.server().reply(Request.Id, {200, Rpc.handle(Request.Body)});
  });
}

Json::Value PeerGateway::answer(EventBody Body) {
  LastReply = Json::Value(Json::objectValue);
  Owner.dispatch(std::move(Body));
  return std::move(LastReply);
}

void PeerGateway::bindMethods() {
  // Each method decodes its message and passes it to the reducer, whose reply
  // is the result.
  auto Bind = [this](const char *Name, auto Decode, auto ToEvent) {
    Rpc.bind(Name, [this, Decode, ToEvent](const Json::Value &Message) {
      auto Decoded = Decode(Message);
      if (failed(Decoded))
        return encodeRpcError(errorOf(Decoded));
      return answer(ToEvent(std::move(valueOf(Decoded))));
    });
  };
  Bind("task.hand_over", decodeHandover, [](HandoverMessage M) {
    return HandoverReceived{{}, std::move(M)};
  });
  Bind("task.report", decodeReport, [](ReportMessage M) {
    return ReportReceived{{}, std::move(M)};
  });
  Bind("task.revoke", decodeRevoke, [](RevokeMessage M) {
    return RevokeReceived{{}, std::move(M)};
  });
  Bind("member.heartbeat", decodeHeartbeat, [](Heartbeat M) {
    return HeartbeatReceived{{}, std::move(M)};
  });
  Bind("answer.keep", decodeAnswers, [](AnswersReceived M) { return M; });
  Rpc.bind("configuration.fetch", [this](const Json::Value &) {
    return answer(ConfigurationRequested{});
  });
}

void PeerGateway::connectReplies() {
  auto &Effects = Owner.effects();
  Effects.on<ReplyHandover>().connect([this](const ReplyHandover &E) {
    LastReply = encodeHandoverReply(E.Reply);
  });
  Effects.on<ReplyReport>().connect(
      [this](const ReplyReport &E) { LastReply = encodeReportReply(E); });
  Effects.on<ReplyRevoke>().connect(
      [this](const ReplyRevoke &E) { LastReply = encodeRevokeReply(E.Reply); });
  Effects.on<ReplyHeartbeat>().connect([this](const ReplyHeartbeat &E) {
    LastReply = encodeHeartbeat(E.Message);
  });
  Effects.on<ReplyConfiguration>().connect([this](const ReplyConfiguration &E) {
    LastReply = encodeConfiguration(E);
  });
  Effects.on<ReplyAnswers>().connect(
      [this](const ReplyAnswers &E) { LastReply["accepted"] = E.Accepted; });
}

void PeerGateway::connectEffects() {
  auto &Effects = Owner.effects();
  Effects.on<SendHandover>().connect(
      [this](const SendHandover &E) { sendHandover(E); });
  Effects.on<SendReport>().connect(
      [this](const SendReport &E) { sendReport(E); });
  Effects.on<SendRevoke>().connect(
      [this](const SendRevoke &E) { sendRevoke(E); });
  Effects.on<SendHeartbeat>().connect(
      [this](const SendHeartbeat &E) { sendHeartbeat(E); });
  Effects.on<SendAnswers>().connect(
      [this](const SendAnswers &E) { sendAnswers(E); });
  Effects.on<FetchConfiguration>().connect(
      [this](const FetchConfiguration &E) { fetchConfiguration(E); });
}

void PeerGateway::call(const Address &Endpoint, const char *Method,
                       const Json::Value &Message, ReplyHandler OnReply) {
  HttpCall Call;
  Call.Target = Endpoint;
  Call.Method = "POST";
  Call.Path = "/rpc";
  Call.Body = encodeRpcRequest(Method, Message);
  Call.Timeout = RpcTimeout;
  Client.send(std::move(Call),
              [OnReply = std::move(OnReply)](const HttpOutcome &Outcome) {
                if (auto *Failure = std::get_if<HttpFailure>(&Outcome)) {
                  OnReply(std::nullopt, Failure->NothingSent);
                  return;
                }
                Result<Json::Value> Reply =
                    decodeRpcResponse(std::get<HttpReply>(Outcome).Body);
                if (failed(Reply))
                  OnReply(std::nullopt, false);
                else
                  OnReply(std::move(valueOf(Reply)), false);
              });
}

void PeerGateway::sendHandover(const SendHandover &E) {
  IncarnationId Receiver = E.Message.Receiver;
  HandoverSequence Sequence = E.Message.Sequence;
  call(E.Endpoint, "task.hand_over", encodeHandover(E.Message),
       [this, Receiver, Sequence](const std::optional<Json::Value> &Reply,
                                  bool NothingSent) {
         Owner.dispatch(HandoverAnswered{
             Receiver, Sequence,
             decodeReply<HandoverReply>(Reply, decodeHandoverReply),
             NothingSent});
       });
}

void PeerGateway::sendReport(const SendReport &E) {
  IncarnationId Home = E.Message.Home;
  call(E.Endpoint, "task.report", encodeReport(E.Message),
       [this, Home](const std::optional<Json::Value> &Reply, bool) {
         ReportAnswered Event =
             decodeReply<ReportAnswered>(Reply, decodeReportReply)
                 .value_or(ReportAnswered{});
         Event.Home = Home;
         Owner.dispatch(Event);
       });
}

void PeerGateway::sendRevoke(const SendRevoke &E) {
  IncarnationId Receiver = E.Message.Receiver;
  HandoverSequence Sequence = E.Message.Sequence;
  call(E.Endpoint, "task.revoke", encodeRevoke(E.Message),
       [this, Receiver, Sequence](const std::optional<Json::Value> &Reply,
                                  bool) {
         Owner.dispatch(RevokeAnswered{
             Receiver, Sequence,
             decodeReply<RevokeReply>(Reply, decodeRevokeReply)});
       });
}

void PeerGateway::sendHeartbeat(const SendHeartbeat &E) {
  Address Endpoint = E.Endpoint;
  call(E.Endpoint, "member.heartbeat", encodeHeartbeat(E.Message),
       [this, Endpoint](const std::optional<Json::Value> &Reply, bool) {
         Owner.dispatch(HeartbeatAnswered{
             Endpoint, decodeReply<Heartbeat>(Reply, decodeHeartbeat)});
       });
}

void PeerGateway::sendAnswers(const SendAnswers &E) {
  call(E.Endpoint, "answer.keep", encodeAnswers(Owner.state().Incarnation, E),
       [this](const std::optional<Json::Value> &Reply, bool) {
         bool Accepted = Reply && (*Reply)["accepted"].isBool() &&
                         (*Reply)["accepted"].asBool();
         Owner.dispatch(AnswerTransferEnded{Accepted});
       });
}

void PeerGateway::fetchConfiguration(const FetchConfiguration &E) {
  call(E.Endpoint, "configuration.fetch", Json::Value(Json::objectValue),
       [this](const std::optional<Json::Value> &Reply, bool) {
         std::optional<ConfigurationReceived> Read =
             decodeReply<ConfigurationReceived>(Reply, decodeConfiguration);
         if (Read && Read->RevisionNumber.Value > 0)
           Owner.dispatch(std::move(*Read));
       });
}

} // namespace snipeshunt
