/// \file HTTP interface for callers and operators.
#include "daemon/caller_gateway.h"

#include "core/json_func.h"
#include "daemon/view_func.h"
#include "jobs/answer_func.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace snipeshunt {

namespace {

constexpr std::string_view JobPrefix = "/v1/jobs/";
constexpr const char *ForwardedHeader = "Snipeshunt-Forwarded";
constexpr uint32_t MaxTicketsPerRequest = 100;
// A full timeline takes most of a second to encode. The pause after it is this
// many times as long, so that readers don't keep callers from being served.
constexpr int TimelinePauseFactor = 4;
// Exceeds the default of max_patience_ms (600 s), so that the home's answer
// arrives first. An unresponsive home is detected by the failure detector.
constexpr Duration ForwardTimeout = std::chrono::seconds(660);

std::optional<JobVerb> parseVerb(const std::string &Method) {
  if (Method == "PUT")
    return JobVerb::Submit;
  if (Method == "GET")
    return JobVerb::Query;
  if (Method == "DELETE")
    return JobVerb::Cancel;
  return std::nullopt;
}

const char *verbMethod(JobVerb Verb) {
  switch (Verb) {
  case JobVerb::Submit:
    return "PUT";
  case JobVerb::Query:
    return "GET";
  case JobVerb::Cancel:
    return "DELETE";
  }
  return "GET";
}

std::string queryValue(const HttpRequest &Request, const char *Name) {
  auto It = Request.Query.find(Name);
  return It == Request.Query.end() ? std::string() : It->second;
}

/// Outcome in the body of another instance's answer; unknown if unreadable.
Outcome parseOutcome(const std::string &Body) {
  Result<Json::Value> Parsed = parseJson(Body);
  if (failed(Parsed) || !valueOf(Parsed)["outcome"].isString())
    return Outcome::Unknown;
  std::string Name = valueOf(Parsed)["outcome"].asString();
  for (Outcome O : {Outcome::Complete, Outcome::Failed, Outcome::NotRun,
                    Outcome::Unknown, Outcome::Running})
    if (Name == outcomeName(O))
      return O;
  return Outcome::Unknown;
}

} // namespace

CallerGateway::CallerGateway(Daemon &Owner)
    : Owner(Owner),
      HomeClient(Owner.loop(), clientOptions(Owner.state().Settings, 4096)),
      TimelineTimer(Owner.loop(), [this] { answerTimeline(); }) {
  Owner.server().RequestReceived.connect(
      [this](const HttpRequest &Request) { handle(Request); });
  Owner.server().RequestClosed.connect([this](RequestId Id) {
    auto Reader = std::find(TimelineReaders.begin(), TimelineReaders.end(), Id);
    if (Reader != TimelineReaders.end())
      TimelineReaders.erase(Reader);
    this->Owner.dispatch(CallerDisconnected{Id});
  });
  Owner.effects().on<ReplyTickets>().connect(
      [this](const ReplyTickets &Reply) { replyTickets(Reply); });
  Owner.effects().on<ReplyToCaller>().connect([this](const ReplyToCaller &R) {
    send(R.Request, {R.Answer->Status, R.Answer->Body});
  });
  Owner.effects().on<ForwardRequest>().connect(
      [this](const ForwardRequest &Request) { forward(Request); });
}

void CallerGateway::handle(const HttpRequest &Request) {
  if (Request.Path.compare(0, JobPrefix.size(), JobPrefix) == 0) {
    handleJob(Request);
    return;
  }
  if (Request.Path == "/v1/tickets" && Request.Method == "POST") {
    handleTickets(Request);
    return;
  }
  if (Request.Path == "/v1/drain" && Request.Method == "POST") {
    send(Request.Id, {202, "{\"state\":\"draining\"}"});
    Owner.dispatch(DrainRequested{});
    return;
  }
  // PeerGateway handles /rpc.
  if (Request.Path == "/rpc" || handleView(Request))
    return;
  replyError(Request.Id, 404,
             {ErrorKind::NotFound,
              "nothing at " + Request.Method + " " + Request.Path,
              "see docs/protocol.md for the paths"});
}

void CallerGateway::handleJob(const HttpRequest &Request) {
  std::optional<JobVerb> Verb = parseVerb(Request.Method);
  if (!Verb) {
    replyError(Request.Id, 405,
               {ErrorKind::MethodNotAllowed,
                Request.Method + " is not allowed on a job",
                "use PUT, GET or DELETE"});
    return;
  }
  JobRequested Event;
  Event.Request = Request.Id;
  Event.Verb = *Verb;
  Event.TicketText = Request.Path.substr(JobPrefix.size());
  Event.Body = Request.Body;
  Event.BodyHash = XXH64(Request.Body.data(), Request.Body.size(), 0);
  Event.Forwarded = !Request.header(ForwardedHeader).empty();
  Event.Wait = queryValue(Request, "wait") != "false";
  Owner.dispatch(std::move(Event));
}

void CallerGateway::handleTickets(const HttpRequest &Request) {
  uint32_t Count = 1;
  std::string Text = queryValue(Request, "count");
  if (!Text.empty()) {
    auto [Rest, Problem] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Count);
    if (Problem != std::errc() || Rest != Text.data() + Text.size() ||
        Count == 0 || Count > MaxTicketsPerRequest) {
      replyError(Request.Id, 400,
                 {ErrorKind::InvalidField, "count has a wrong value",
                  "give a whole number from 1 to 100"});
      return;
    }
  }
  Owner.dispatch(TicketsRequested{Request.Id, Count});
}

bool CallerGateway::handleView(const HttpRequest &Request) {
  if (Request.Method != "GET" && Request.Method != "HEAD")
    return false;
  const InstanceState &State = Owner.state();
  if (Request.Path == "/healthz") {
    send(Request.Id, {200, "{\"healthy\":true}"});
  } else if (Request.Path == "/readyz") {
    bool Ready = State.Members.OwnState == MemberState::Live;
    send(Request.Id,
         {Ready ? 200 : 503, Ready ? "{\"ready\":true}" : "{\"ready\":false}"});
  } else if (Request.Path == "/metrics") {
    InstanceMetrics.update(State, Owner.timeline(), Owner.peerTraffic());
    send(Request.Id,
         {200, InstanceMetrics.text(), "text/plain; version=0.0.4"});
  } else if (Request.Path == "/v1/instances") {
    send(Request.Id,
         {200, writeJson(instancesView(State, Owner.clock().steadyNow()))});
  } else if (Request.Path == "/v1/upstreams") {
    send(Request.Id, {200, writeJson(upstreamsView(State))});
  } else if (Request.Path == "/v1/configuration") {
    send(Request.Id,
         {200, writeJson(configurationView(State, Owner.clock().steadyNow()))});
  } else if (Request.Path == "/v1/timeline") {
    TimelineReaders.push_back(Request.Id);
    TimelineTimer.startOnceIfStopped(
        std::max(Duration::zero(), NextTimeline - Owner.clock().steadyNow()));
  } else {
    return false;
  }
  return true;
}

void CallerGateway::answerTimeline() {
  if (TimelineReaders.empty())
    return;
  RequestId Reader = TimelineReaders.front();
  TimelineReaders.pop_front();
  SteadyTime Begin = Owner.clock().steadyNow();
  send(Reader, {200, encodeTimeline(Owner.timelineSource(), Owner.timeline())});
  SteadyTime End = Owner.clock().steadyNow();
  NextTimeline = End + TimelinePauseFactor * (End - Begin);
  if (!TimelineReaders.empty())
    TimelineTimer.startOnce(NextTimeline - End);
}

void CallerGateway::replyError(RequestId Id, int Status, const Error &E) {
  Json::Value Body(Json::objectValue);
  Body["error"]["kind"] = std::string(errorKindName(E.Kind));
  Body["error"]["message"] = E.Message;
  Body["error"]["remedy"] = E.Remedy;
  send(Id, {Status, writeJson(Body)});
}

void CallerGateway::send(RequestId Id, HttpReply Reply) {
  // While draining, a caller must not reuse the connection, because the exit of
  // the process closes it.
  if (Owner.state().Drain)
    Reply.Headers.emplace_back("Connection", "close");
  Owner.server().reply(Id, Reply);
}

void CallerGateway::replyTickets(const ReplyTickets &Reply) {
  if (Reply.Tickets.empty()) {
    replyError(Reply.Request, 503,
               {ErrorKind::Draining, "the instance is shutting down",
                "ask another instance"});
    return;
  }
  Json::Value Body(Json::objectValue);
  for (const std::string &Text : Reply.Tickets)
    Body["tickets"].append(Text);
  send(Reply.Request, {200, writeJson(Body)});
}

void CallerGateway::forward(const ForwardRequest &Request) {
  HttpCall Call;
  Call.Target = Request.Home;
  Call.Method = verbMethod(Request.Verb);
  Call.Path = std::string(JobPrefix) + Request.TicketText +
              (Request.Wait ? "" : "?wait=false");
  Call.Body = Request.Body;
  Call.Headers = {{ForwardedHeader, "1"}};
  Call.Timeout = ForwardTimeout;
  RequestId Id = Request.Request;
  HomeClient.send(std::move(Call), [this, Id](const HttpOutcome &Outcome) {
    ForwardEnded Ended{Id, std::nullopt};
    if (auto *Reply = std::get_if<HttpReply>(&Outcome))
      Ended.Answer =
          StoredAnswer{parseOutcome(Reply->Body), Reply->Status, Reply->Body};
    Owner.dispatch(std::move(Ended));
  });
}

} // namespace snipeshunt
