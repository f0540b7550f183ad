/// \file Runs the reducer of an instance of a fleet of cells.
#include "runtime/cell_daemon.h"

#include "cells/cell_table.h"
#include "core/json_func.h"
#include "daemon/log.h"
#include "directory/evacuation_cmd.h"
#include "http/http_address.h"
#include "rpc/cell_codec.h"
#include "rpc/job_codec.h"
#include "rpc/rpc_codec.h"
#include "runtime/client_limit_func.h"

#include <csignal>
#include <random>

namespace snipeshunt {

namespace {

// Jobs that one sender can have from this instance at a time. Each occupies a
// connection until it has ended.
constexpr size_t MaxJobConnections = 400;
// Idle connections are closed before the other side closes them, for peers
// after `PeerTimeout`: a request on a connection that the other side is closing
// has an unknown outcome. A peak of jobs opens up to `MaxJobConnections` to
// each sender; kept for 10 s, they slowed senders that have a part of a core.
constexpr Duration IdleTimeout = std::chrono::seconds(2);
constexpr std::chrono::seconds PeerTimeout{15};
constexpr size_t MaxReply = 4 << 20;

IncarnationId drawIncarnation() {
  std::random_device Device;
  uint64_t High = Device();
  return {(High << 32) | Device()};
}

HttpServerLimits peerLimits() {
  HttpServerLimits Limits;
  Limits.Timeout = PeerTimeout;
  // A peer sends a whole request at once; it may be paused meanwhile.
  Limits.HeaderTimeout = PeerTimeout;
  // The table of the connections limits their number.
  Limits.DescriptorCheckPeriod = {};
  return Limits;
}

const char *partName(DecisionPart Part) {
  switch (Part) {
  case DecisionPart::Entry:
    return "entry";
  case DecisionPart::Sender:
    return "sender";
  case DecisionPart::Cells:
    return "cells";
  case DecisionPart::Upstreams:
    return "upstreams";
  case DecisionPart::Directory:
    return "directory";
  case DecisionPart::Instance:
    return "instance";
  }
  return "";
}

/// Applies \p Decode to \p Parsed, or returns its error.
template <typename T>
Result<T> decodeParsed(const Result<Json::Value> &Parsed,
                       Result<T> (*Decode)(const Json::Value &)) {
  if (failed(Parsed))
    return errorOf(Parsed);
  return Decode(valueOf(Parsed));
}

void writeLog(const LogDecision &E) {
  if (E.Frequent && !admitFrequentLine())
    return;
  if (E.Job.empty())
    SNIPESHUNT_LOG(INFO, partName(E.Part)) << E.Message;
  else
    SNIPESHUNT_LOG(INFO, partName(E.Part))
        << "job=" << E.Job << " " << E.Message;
}

} // namespace

CellDaemon::CellDaemon(EventLoop &Loop, const Clock &TimeSource,
                       FleetSettings Settings)
    : Loop(Loop), TimeSource(TimeSource),
      State(startInstance(std::move(Settings), drawIncarnation(),
                          TimeSource.steadyNow())),
      LogLimits(TimeSource),
      ClientConnections(Loop, clientConnectionLimits(State.Settings.Limits)),
      PeerConnections(Loop, peerConnectionLimits(State.Settings.Limits)),
      Limits(Loop, ClientConnections, PeerConnections),
      Server(Loop, peerLimits(), PeerConnections),
      PingClient(Loop, clientOptions(1)),
      JobClient(Loop, clientOptions(MaxJobConnections)),
      QueryClient(Loop, clientOptions(1)), TickTimer(Loop,
                                                     [this] {
                                                       dispatch(InstanceTick{});
                                                       flushLog();
                                                     }),
      OnTerminate(Loop, SIGTERM, [this] { dispatch(ShutdownRequested{}); }),
      OnInterrupt(Loop, SIGINT, [this] { dispatch(ShutdownRequested{}); }) {
  registerPeerHandlers();
  Server.HandlerFailed.connect(sigc::ptr_fun(logHandlerFailure));
  PingClient.HandlerFailed.connect(sigc::ptr_fun(logHandlerFailure));
  JobClient.HandlerFailed.connect(sigc::ptr_fun(logHandlerFailure));
  QueryClient.HandlerFailed.connect(sigc::ptr_fun(logHandlerFailure));
  Effects.on<LogDecision>().connect(sigc::ptr_fun(writeLog));
  Effects.on<StopProcess>().connect(
      [this](const StopProcess &) { this->Loop.stop(); });
}

void CellDaemon::logHandlerFailure(const std::string &What) {
  SNIPESHUNT_LOG(ERROR, "instance")
      << "message dropped, its handler failed: " << What
      << "; report it to the developers with the lines before";
}

HttpClientOptions CellDaemon::clientOptions(size_t MaxConnections) const {
  HttpClientOptions Options;
  Result<HostPort> Own = parseAddress(State.Settings.PeersListen);
  if (!failed(Own))
    Options.LocalIp = valueOf(Own).Host;
  Options.MaxConnectionsPerTarget = MaxConnections;
  Options.MaxReplyBody = MaxReply;
  Options.IdleTimeout = IdleTimeout;
  return Options;
}

Result<Ok> CellDaemon::start() {
  Result<Address> Bound = Server.listen(State.Settings.PeersListen);
  if (failed(Bound))
    return errorOf(Bound);
  SNIPESHUNT_LOG(INFO, "instance")
      << "started name=" << State.Settings.Name
      << " centre=" << State.Settings.Self.Centre.Value
      << " address=" << valueOf(Bound).Value
      << " weight=" << State.Settings.Self.Weight
      << " incarnation=" << State.Cells.Incarnation.Value;
  TickTimer.startPeriodic(CellTickPeriod);
  dispatch(InstanceTick{});
  return Ok{};
}

void CellDaemon::dispatch(InstanceEventBody Body) {
  Pending.push_back(std::move(Body));
  // The handler of an effect may dispatch another event, which is handled after
  // the current one.
  if (Dispatching)
    return;
  Dispatching = true;
  while (!Pending.empty()) {
    InstanceEvent Next{TimeSource.steadyNow(), TimeSource.wallNow(),
                       std::move(Pending.front())};
    Pending.pop_front();
    // Timers and requests call this from C code, which no exception may reach.
    try {
      for (const InstanceEffect &E : reduce(State, Next))
        Effects.emit(E);
    } catch (const std::exception &E) {
      logHandlerFailure(E.what());
    }
  }
  Dispatching = false;
}

void CellDaemon::registerPeerHandlers() {
  Rpc.bind("cell.ping",
           [this](const Json::Value &Message, const Json::Value &Parameters) {
             Result<PeerPing> Decoded = decodePing(Message);
             if (failed(Decoded))
               return encodeRpcError(errorOf(Decoded));
             valueOf(Decoded).WantsEvacuation = wantsEvacuation(Parameters);
             PongReply = Json::Value(Json::objectValue);
             dispatch(PingArrived{{}, std::move(valueOf(Decoded))});
             return std::move(PongReply);
           });
  Rpc.bind("cell.snapshot", [this](const Json::Value &,
                                   const Json::Value &Parameters) {
    SnapshotFetched Snapshot{State.Directory.Configuration,
                             State.Directory.Upstreams, std::nullopt};
    if (wantsEvacuation(Parameters))
      Snapshot.Evacuation = evacuationForPeers(State.Directory.Evacuation);
    return encodeSnapshot(Snapshot);
  });
  Rpc.bind("cell.results", [this](const Json::Value &Message) {
    Result<ResultQuery> Decoded = decodeResultQuery(Message);
    if (failed(Decoded))
      return encodeRpcError(errorOf(Decoded));
    ResultsReply = Json::Value(Json::objectValue);
    dispatch(ResultQueryArrived{{}, std::move(valueOf(Decoded))});
    return std::move(ResultsReply);
  });
  Rpc.bind("cell.open_jobs", [this](const Json::Value &Message) {
    Result<OpenJobQuery> Decoded = decodeOpenJobQuery(Message);
    if (failed(Decoded)) {
      if (auto Omitted = LogLimits.admit("open_job_query"))
        SNIPESHUNT_LOG(WARNING, "sender")
            << "malformed open-job query from a peer rejected: "
            << errorOf(Decoded).Message << "; " << errorOf(Decoded).Remedy
            << *Omitted;
      return encodeRpcError(errorOf(Decoded));
    }
    OpenJobsReply = Json::Value(Json::objectValue);
    dispatch(OpenJobQueryArrived{{}, std::move(valueOf(Decoded))});
    return std::move(OpenJobsReply);
  });
  Server.RequestReceived.connect([this](const HttpRequest &Request) {
    if (Request.Path == "/rpc")
      Server.reply(Request.Id, {200, Rpc.handle(Request.Body)});
    else if (Request.Path == "/v1/cell-jobs")
      receiveJob(Request);
    else
      Server.reply(Request.Id, {404, "{}"});
  });
  // The sender of a ping that waited here for longer than its time-out has
  // closed the connection; the cancellations in it still hold.
  Server.AbandonedRequestReceived.connect([this](const HttpRequest &Request) {
    if (Request.Path == "/rpc")
      Rpc.handle(Request.Body);
  });
  Server.RequestClosed.connect(
      [this](RequestId Id) { dispatch(JobAbandoned{Id}); });
  Effects.on<AnswerPing>().connect(
      [this](const AnswerPing &E) { PongReply = encodePong(E.Message); });
  Effects.on<AnswerResultQuery>().connect([this](const AnswerResultQuery &E) {
    ResultsReply = encodeResultReply(E.Reply);
  });
  Effects.on<AnswerOpenJobQuery>().connect([this](const AnswerOpenJobQuery &E) {
    OpenJobsReply = encodeOpenJobReply(E.Reply);
  });
  Effects.on<SendOpenJobQuery>().connect(
      [this](const SendOpenJobQuery &E) { query(E); });
  Effects.on<SendResultQuery>().connect(
      [this](const SendResultQuery &E) { query(E); });
  Effects.on<AnswerJob>().connect([this](const AnswerJob &E) {
    Server.reply(E.Request, {200, writeJson(encodeJobResult(E.Result))});
  });
  Effects.on<SendPing>().connect([this](const SendPing &E) { ping(E); });
  Effects.on<FetchSnapshot>().connect(
      [this](const FetchSnapshot &E) { fetch(E); });
  Effects.on<ForwardJob>().connect([this](const ForwardJob &E) { forward(E); });
  Effects.on<AbandonForward>().connect(
      [this](const AbandonForward &E) { abandon(E); });
}

void CellDaemon::receiveJob(const HttpRequest &Request) {
  Result<JobOrder> Order =
      decodeParsed(parseJson(Request.Body), decodeJobOrder);
  if (failed(Order)) {
    if (auto Omitted = LogLimits.admit("peer_job"))
      SNIPESHUNT_LOG(WARNING, "sender")
          << "malformed job from peer=" << Request.RemoteIp
          << " rejected: " << errorOf(Order).Message << "; "
          << errorOf(Order).Remedy << *Omitted;
    Server.reply(Request.Id, {400, "{}"});
    return;
  }
  dispatch(JobArrived{Request.Id, std::move(valueOf(Order))});
}

void CellDaemon::ping(const SendPing &E) {
  HttpCall Call;
  Call.Target = E.Endpoint;
  Call.Method = "POST";
  Call.Path = "/rpc";
  Call.Body = encodeRpcRequest("cell.ping", encodePing(E.Message),
                               E.Message.WantsEvacuation);
  Call.Timeout = PingTimeout;
  Address Endpoint = E.Endpoint;
  PingClient.send(
      std::move(Call), [this, Endpoint](const HttpOutcome &Outcome) {
        PingAnswered Event;
        Event.Endpoint = Endpoint;
        if (const auto *Failure = std::get_if<HttpFailure>(&Outcome)) {
          Event.ConnectionRefused = Failure->ConnectionRefused;
        } else {
          Result<PeerPong> Pong = decodeParsed(
              decodeRpcResponse(std::get<HttpReply>(Outcome).Body), decodePong);
          if (failed(Pong)) {
            if (auto Omitted = LogLimits.admit("pong"))
              SNIPESHUNT_LOG(WARNING, "cells")
                  << "malformed answer to a ping from peer=" << Endpoint.Value
                  << ": " << errorOf(Pong).Message << *Omitted;
          } else {
            Event.Reply = std::move(valueOf(Pong));
          }
        }
        dispatch(std::move(Event));
      });
}

void CellDaemon::fetch(const FetchSnapshot &E) {
  HttpCall Call;
  Call.Target = E.Endpoint;
  Call.Method = "POST";
  Call.Path = "/rpc";
  Call.Body = encodeRpcRequest("cell.snapshot", Json::Value(Json::objectValue),
                               E.WantsEvacuation);
  Call.Timeout = PingTimeout;
  JobClient.send(std::move(Call), [this](const HttpOutcome &Outcome) {
    const auto *Answer = std::get_if<HttpReply>(&Outcome);
    // Without an answer the reducer sends the request again later.
    if (!Answer)
      return;
    Result<SnapshotFetched> Snapshot =
        decodeParsed(decodeRpcResponse(Answer->Body), decodeSnapshot);
    if (failed(Snapshot)) {
      if (auto Omitted = LogLimits.admit("snapshot"))
        SNIPESHUNT_LOG(WARNING, "directory")
            << "malformed snapshot from a peer: " << errorOf(Snapshot).Message
            << *Omitted;
    } else {
      dispatch(std::move(valueOf(Snapshot)));
    }
  });
}

void CellDaemon::forward(const ForwardJob &E) {
  HttpCall Call;
  Call.Target = E.Sender;
  Call.Method = "POST";
  Call.Path = "/v1/cell-jobs";
  Call.Body = writeJson(encodeJobOrder(E.Order));
  Call.Timeout = E.Timeout;
  Address Endpoint = E.Sender;
  RequestId Request = E.Request;
  ForwardCalls[{Endpoint, Request}] = JobClient.send(
      std::move(Call), [this, Endpoint, Request](const HttpOutcome &Outcome) {
        ForwardCalls.erase({Endpoint, Request});
        ForwardAnswered Event;
        Event.Sender = Endpoint;
        Event.Request = Request;
        if (const auto *Failure = std::get_if<HttpFailure>(&Outcome)) {
          Event.NothingSent = Failure->NothingSent;
        } else {
          Result<JobResult> Decoded = decodeParsed(
              parseJson(std::get<HttpReply>(Outcome).Body), decodeJobResult);
          if (failed(Decoded)) {
            if (auto Omitted = LogLimits.admit("job_answer"))
              SNIPESHUNT_LOG(WARNING, "entry")
                  << "malformed answer to a job from sender=" << Endpoint.Value
                  << ": " << errorOf(Decoded).Message << *Omitted;
          } else {
            Event.Result = std::move(valueOf(Decoded));
          }
        }
        dispatch(std::move(Event));
      });
}

void CellDaemon::query(const SendResultQuery &E) {
  HttpCall Call;
  Call.Target = E.Sender;
  Call.Method = "POST";
  Call.Path = "/rpc";
  Call.Body = encodeRpcRequest("cell.results", encodeResultQuery(E.Query));
  Call.Timeout = PingTimeout;
  QueryClient.send(std::move(Call), [this, Sender = E.Sender](
                                        const HttpOutcome &Outcome) {
    const auto *Answer = std::get_if<HttpReply>(&Outcome);
    // Without an answer the reducer sends another query later.
    if (!Answer)
      return;
    Result<Json::Value> Message = decodeRpcResponse(Answer->Body);
    // An instance of an earlier version answers no result queries.
    if (failed(Message))
      return;
    Result<ResultReply> Reply = decodeResultReply(valueOf(Message));
    if (failed(Reply)) {
      if (auto Omitted = LogLimits.admit("result_reply"))
        SNIPESHUNT_LOG(WARNING, "entry")
            << "malformed answer to a result query from sender=" << Sender.Value
            << ": " << errorOf(Reply).Message << *Omitted;
    } else {
      dispatch(ResultQueryAnswered{Sender, std::move(valueOf(Reply))});
    }
  });
}

void CellDaemon::query(const SendOpenJobQuery &E) {
  HttpCall Call;
  Call.Target = E.Receiver;
  Call.Method = "POST";
  Call.Path = "/rpc";
  Call.Body = encodeRpcRequest("cell.open_jobs", encodeOpenJobQuery(E.Query));
  Call.Timeout = PingTimeout;
  QueryClient.send(
      std::move(Call), [this, Receiver = E.Receiver,
                        Number = E.Number](const HttpOutcome &Outcome) {
        OpenJobQueryAnswered Event;
        Event.Receiver = Receiver;
        Event.Number = Number;
        if (const auto *Failure = std::get_if<HttpFailure>(&Outcome)) {
          Event.ConnectionRefused = Failure->ConnectionRefused;
          return dispatch(std::move(Event));
        }
        Result<OpenJobReply> Reply =
            decodeParsed(decodeRpcResponse(std::get<HttpReply>(Outcome).Body),
                         decodeOpenJobReply);
        if (failed(Reply)) {
          if (auto Omitted = LogLimits.admit("open_job_reply"))
            SNIPESHUNT_LOG(WARNING, "entry")
                << "no usable answer to an open-job query from peer="
                << Receiver.Value << ", it may be of an earlier version: "
                << errorOf(Reply).Message << *Omitted;
          Event.NotUnderstood = true;
        } else {
          Event.Reply = std::move(valueOf(Reply));
        }
        dispatch(std::move(Event));
      });
}

void CellDaemon::abandon(const AbandonForward &E) {
  if (E.Silent)
    JobClient.closeIdle(E.Sender);
  auto Call = ForwardCalls.find({E.Sender, E.Request});
  if (Call != ForwardCalls.end())
    JobClient.cancel(E.Sender, Call->second);
}

} // namespace snipeshunt
