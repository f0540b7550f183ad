/// \file `standin-relay`: HTTP relay in front of an instance that drops, delays
/// or repeats messages by rules. `POST /relay/rules` sets the rules.
#include "http/http_client.h"
#include "standins/standin_func.h"

#include <event2/http.h>
#include <getopt.h>
#include <strings.h>

#include <cstdio>
#include <random>

namespace snipeshunt {

namespace {

// The instance holds the request of a job until the job ends.
constexpr auto ForwardTimeout = std::chrono::seconds(120);
constexpr size_t MaxRules = 1000;

/// Fault that a rule applies to a request.
enum class Action {
  Cut,         ///< Closes the connection without forwarding.
  DropRequest, ///< Closes the connection after a delay, without forwarding.
  DropReply,   ///< Forwards, then closes the connection without a reply.
  Duplicate,   ///< Forwards twice and returns the first reply.
  Delay,       ///< Forwards after a delay.
  LateCopy,    ///< Forwards, replies, and forwards a copy after a delay.
};

constexpr std::pair<std::string_view, Action> ActionNames[] = {
    {"cut", Action::Cut},
    {"drop_request", Action::DropRequest},
    {"drop_reply", Action::DropReply},
    {"duplicate", Action::Duplicate},
    {"delay", Action::Delay},
    {"late_copy", Action::LateCopy},
};

/// Selects requests and the fault that is applied to them.
struct Rule {
  std::string From; ///< Prefix of the source IP.
  std::string Path; ///< Prefix of the path.
  std::string Name; ///< Name of the action, for the counts.
  Action Kind = Action::Cut;
  std::chrono::milliseconds Delay{0}; ///< Of the actions that delay.
  double Probability = 1.0; ///< That the rule applies to a matching request.
};

struct Options {
  Address Listen{"127.0.0.1:0"};
  Address Target;
  uint64_t Seed = 1;
};

bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

bool isSnipeshuntHeader(const std::string &Name) {
  constexpr std::string_view Prefix = "Snipeshunt-";
  return strncasecmp(Name.c_str(), Prefix.data(), Prefix.size()) == 0;
}

std::string encodeUri(const std::string &Text) {
  char *Encoded =
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()),
                       /*space_to_plus=*/0);
  std::string Out = Encoded ? Encoded : "";
  free(Encoded);
  return Out;
}

/// Returns path and query in the form of a request line, percent-encoded.
std::string targetOf(const HttpRequest &Request) {
  std::string Out;
  size_t Begin = 0;
  for (size_t End = 0; End != std::string::npos; Begin = End + 1) {
    End = Request.Path.find('/', Begin);
    Out += encodeUri(Request.Path.substr(Begin, End - Begin));
    if (End != std::string::npos)
      Out += '/';
  }
  char Separator = '?';
  for (const auto &[Name, Value] : Request.Query) {
    Out += Separator + encodeUri(Name) + "=" + encodeUri(Value);
    Separator = '&';
  }
  return Out;
}

HttpServerLimits serverLimits() {
  HttpServerLimits Limits;
  // Larger than the instance's limit, so that the instance rejects the request
  // and not the relay.
  Limits.MaxBody = 16 << 20;
  Limits.Timeout = ForwardTimeout + std::chrono::seconds(10);
  return Limits;
}

HttpClientOptions clientOptions() {
  HttpClientOptions Out;
  // Each held request occupies a connection and must not block others.
  Out.MaxConnectionsPerTarget = 4096;
  Out.MaxReplyBody = 16 << 20;
  return Out;
}

class Relay {
public:
  explicit Relay(Options Given)
      : O(std::move(Given)), Random(O.Seed), Server(Loop, serverLimits()),
        Client(Loop, clientOptions()), Delayed(Loop) {}

  int run() {
    Server.RequestReceived.connect(
        [this](const HttpRequest &Request) { handle(Request); });
    if (!startListening(Server, O.Listen, "relay"))
      return 1;
    runUntilSignal(Loop);
    return 0;
  }

private:
  void handle(const HttpRequest &Request) {
    if (startsWith(Request.Path, "/relay/"))
      return control(Request);
    HttpCall Call = callFor(Request);
    const Rule *R = ruleFor(Request);
    if (!R)
      return forward(Request.Id, std::move(Call));
    ++Counts[R->Name];
    applyRule(*R, Request.Id, std::move(Call));
  }

  /// Returns the first rule that matches and is selected by its probability;
  /// null if there is none.
  const Rule *ruleFor(const HttpRequest &Request) {
    for (const Rule &R : Rules)
      if (startsWith(Request.RemoteIp, R.From) &&
          startsWith(Request.Path, R.Path) &&
          std::uniform_real_distribution<>()(Random) < R.Probability)
        return &R;
    return nullptr;
  }

  HttpCall callFor(const HttpRequest &Request) const {
    HttpCall Call;
    Call.Target = O.Target;
    Call.Method = Request.Method;
    Call.Path = targetOf(Request);
    Call.Body = Request.Body;
    Call.Timeout = ForwardTimeout;
    for (const auto &[Name, Value] : Request.Headers)
      // The client adds its own Content-Type to requests with a body.
      if (isSnipeshuntHeader(Name) ||
          (Call.Body.empty() && strcasecmp(Name.c_str(), "Content-Type") == 0))
        Call.Headers.emplace_back(Name, Value);
    return Call;
  }

  void applyRule(const Rule &R, RequestId Id, HttpCall Call) {
    switch (R.Kind) {
    case Action::Cut:
      return Server.drop(Id);
    case Action::DropRequest:
      return Delayed.after(R.Delay, [this, Id] { Server.drop(Id); });
    case Action::DropReply:
      Client.send(std::move(Call),
                  [this, Id](const HttpOutcome &) { Server.drop(Id); });
      return;
    case Action::Duplicate:
      return duplicate(Id, Call);
    case Action::Delay:
      return Delayed.after(
          R.Delay, [this, Id, Call = std::move(Call)] { forward(Id, Call); });
    case Action::LateCopy:
      forward(Id, Call, [this, Delay = R.Delay, Call] {
        Delayed.after(Delay, [this, Call] {
          Client.send(Call, [](const HttpOutcome &) {});
        });
      });
      return;
    }
  }

  void forward(RequestId Id, HttpCall Call,
               std::function<void()> WhenReplied = {}) {
    Client.send(std::move(Call),
                [this, Id, WhenReplied = std::move(WhenReplied)](
                    const HttpOutcome &Outcome) {
                  forwardOutcome(Id, Outcome);
                  if (WhenReplied)
                    WhenReplied();
                });
  }

  /// Forwards two copies and returns the first reply. Closes the connection if
  /// neither copy gets one.
  void duplicate(RequestId Id, const HttpCall &Call) {
    auto Failures = std::make_shared<int>(0);
    for (int Copy = 0; Copy < 2; ++Copy)
      Client.send(Call, [this, Id, Failures](const HttpOutcome &Outcome) {
        if (std::holds_alternative<HttpReply>(Outcome) || ++*Failures == 2)
          forwardOutcome(Id, Outcome);
      });
  }

  /// Returns the target's reply to the client. Without a reply, closes the
  /// connection, as the target would.
  void forwardOutcome(RequestId Id, const HttpOutcome &Outcome) {
    const auto *Received = std::get_if<HttpReply>(&Outcome);
    if (!Received)
      return Server.drop(Id);
    HttpReply Reply;
    Reply.Status = Received->Status;
    Reply.Body = Received->Body;
    for (const auto &[Name, Value] : Received->Headers) {
      if (strcasecmp(Name.c_str(), "Content-Type") == 0)
        Reply.ContentType = Value;
      else if (isSnipeshuntHeader(Name))
        Reply.Headers.emplace_back(Name, Value);
    }
    Server.reply(Id, Reply);
  }

  void control(const HttpRequest &Request) {
    if (Request.Path == "/relay/counts" && Request.Method == "GET") {
      Json::Value Body;
      for (const auto &[Name, Value] : ActionNames)
        Body[std::string(Name)] = Json::UInt64(Counts[std::string(Name)]);
      return Server.reply(Request.Id, jsonReply(200, Body));
    }
    if (Request.Path != "/relay/rules" || Request.Method != "POST")
      return Server.reply(Request.Id, unknownPath());
    std::optional<Error> Problem = changeRules(Request.Body);
    Server.reply(Request.Id, Problem ? badRequest(*Problem)
                                     : jsonReply(200, Json::objectValue));
  }

  std::optional<Error> changeRules(const std::string &Body) {
    Result<Json::Value> Parsed = parseJson(Body);
    if (failed(Parsed))
      return errorOf(Parsed);
    std::vector<Rule> New;
    ObjectReader Reader(valueOf(Parsed), "");
    if (const Json::Value *List = Reader.array("rules", MaxRules))
      for (const Json::Value &Item : *List) {
        Result<Rule> One = readRule(Item);
        if (failed(One))
          Reader.fail(errorOf(One));
        else
          New.push_back(valueOf(One));
      }
    if (std::optional<Error> E = Reader.finish())
      return E;
    Rules = std::move(New);
    return std::nullopt;
  }

  static Result<Rule> readRule(const Json::Value &Body) {
    Rule Out;
    int64_t DelayMs = 0;
    ObjectReader Reader(Body, "rules");
    Reader.optionalString("from", Out.From, 40)
        .optionalString("path", Out.Path, 200)
        .string("action", Out.Name, 40)
        .optionalInteger("delay_ms", DelayMs, 0, 600'000)
        .optionalNumber("probability", Out.Probability, 0, 1);
    Out.Delay = std::chrono::milliseconds(DelayMs);
    bool Found = false;
    for (const auto &[Name, Value] : ActionNames)
      if (Out.Name == Name) {
        Out.Kind = Value;
        Found = true;
      }
    if (!Found)
      Reader.fail("action", "cut, drop_request, drop_reply, duplicate, delay "
                            "or late_copy");
    if (std::optional<Error> E = Reader.finish())
      return *E;
    return Out;
  }

  Options O;
  std::mt19937_64 Random;
  EventLoop Loop;
  HttpServer Server;
  HttpClient Client;
  DelayedCalls Delayed;
  std::vector<Rule> Rules;
  std::map<std::string, uint64_t> Counts;
};

constexpr char Help[] =
    "usage: standin-relay --target IP:port [--listen IP:port] [--seed N]\n";

/// Stores one option. Returns false if its value is invalid.
bool readOption(int Code, const char *Text, Options &O) {
  switch (Code) {
  case 'l':
    O.Listen.Value = Text;
    return true;
  case 't':
    O.Target.Value = Text;
    return true;
  case 'e': {
    std::optional<int64_t> Seed = parseInteger(Text, 0, INT64_MAX);
    O.Seed = static_cast<uint64_t>(Seed.value_or(0));
    return Seed.has_value();
  }
  default:
    return false;
  }
}

} // namespace

} // namespace snipeshunt

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  static const option Names[] = {{"listen", required_argument, nullptr, 'l'},
                                 {"target", required_argument, nullptr, 't'},
                                 {"seed", required_argument, nullptr, 'e'},
                                 {nullptr, 0, nullptr, 0}};
  Options O;
  bool Valid = true;
  for (int Code; (Code = getopt_long(Argc, Argv, "", Names, nullptr)) != -1;)
    Valid = Valid && readOption(Code, optarg, O);
  if (!Valid || O.Target.Value.empty()) {
    fputs(Help, stderr);
    return 2;
  }
  return Relay(std::move(O)).run();
}
