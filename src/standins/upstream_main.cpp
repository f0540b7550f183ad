/// \file `standin-upstream`: stand-in for an upstream. A task runs by waiting;
/// faults are set by `POST /v1/mode`.
#include "standins/standin_func.h"

#include <fcntl.h>
#include <getopt.h>
#include <unistd.h>
#include <xxhash.h>

#include <cstdio>
#include <list>
#include <random>

namespace snipeshunt {

namespace {

constexpr size_t MaxText = 1 << 20;
constexpr int64_t MaxRunMs = 3'600'000;

/// The fault that the upstream shows. It applies to each request with the
/// probability `Rate`, except `Leaving`, which always applies.
enum class Mode {
  Normal,
  FailAll,        ///< Answers 500 at once.
  Refuse,         ///< Rejects the task with `not_run`.
  CutBeforeStart, ///< Closes the connection; the task does not start.
  CutAfterStart,  ///< Runs the task and closes without an answer.
  Freeze,         ///< Answers nothing until the mode changes.
  Leaving,        ///< Rejects new tasks; running ones finish.
};

constexpr std::pair<std::string_view, Mode> ModeNames[] = {
    {"normal", Mode::Normal},
    {"fail_all", Mode::FailAll},
    {"refuse", Mode::Refuse},
    {"cut_before_start", Mode::CutBeforeStart},
    {"cut_after_start", Mode::CutAfterStart},
    {"freeze", Mode::Freeze},
    {"leaving", Mode::Leaving},
};

std::optional<Mode> parseMode(std::string_view Name) {
  for (const auto &[Text, Value] : ModeNames)
    if (Text == Name)
      return Value;
  return std::nullopt;
}

/// The command line.
struct Options {
  Address Listen{"127.0.0.1:0"};
  int64_t Slots = 8;        ///< Tasks that may run at a time.
  int64_t Accelerators = 0; ///< Reported in the status only.
  double Speed = 1.0;       ///< Divides the run time of each task.
  uint64_t Seed = 1;        ///< Of the run times and of the faults.
  std::string History;      ///< History file; empty for none.
  /// Longer than the dispatcher's limit of 4 s for idle connections, which
  /// therefore applies first.
  std::chrono::milliseconds IdleTimeout{30000};
  Mode StartMode = Mode::Normal; ///< Until the first `POST /v1/mode`.
  double Rate = 1.0;             ///< Probability of the fault, 0 to 1.
};

struct Task {
  RequestId Request;
  std::string Id;
  std::string Kind;
  std::string Payload;
};

HttpServerLimits limitsFor(const Options &O) {
  HttpServerLimits Limits;
  // A payload of the maximum size is longer when escaped as JSON.
  Limits.MaxBody = 8 * MaxText;
  Limits.Timeout = std::chrono::ceil<std::chrono::seconds>(O.IdleTimeout);
  return Limits;
}

class Upstream {
public:
  explicit Upstream(Options Given)
      : O(std::move(Given)), Current(O.StartMode), Rate(O.Rate), Random(O.Seed),
        Server(Loop, limitsFor(O)), Delayed(Loop) {}
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;
  ~Upstream() {
    if (History >= 0)
      close(History);
  }

  int run() {
    if (!O.History.empty()) {
      History = open(O.History.c_str(),
                     O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      if (History < 0) {
        fprintf(stderr,
                "upstream: can't open history %s; give a writable "
                "file\n",
                O.History.c_str());
        return 1;
      }
    }
    Server.RequestReceived.connect(
        [this](const HttpRequest &Request) { handle(Request); });
    std::optional<Address> Bound = startListening(Server, O.Listen, "upstream");
    if (!Bound)
      return 1;
    Endpoint = *Bound;
    runUntilSignal(Loop);
    return 0;
  }

private:
  void handle(const HttpRequest &Request) {
    if (Request.Path == "/v1/mode" && Request.Method == "POST")
      changeMode(Request);
    else if (Request.Path == "/v1/status" && Request.Method == "GET")
      runUnlessFrozen([this, Id = Request.Id] { sendStatus(Id); });
    else if (Request.Path == "/v1/tasks" && Request.Method == "POST")
      receiveTask(Request);
    else
      Server.reply(Request.Id, unknownPath());
  }

  void changeMode(const HttpRequest &Request) {
    Result<Json::Value> Parsed = parseJson(Request.Body);
    if (failed(Parsed))
      return Server.reply(Request.Id, badRequest(errorOf(Parsed)));
    std::string Name;
    double NewRate = 1.0;
    ObjectReader Reader(valueOf(Parsed), "");
    Reader.string("mode", Name, 40).optionalNumber("rate", NewRate, 0, 1);
    std::optional<Mode> NewMode = parseMode(Name);
    if (!NewMode)
      Reader.fail("mode", "a mode that the program's help lists");
    if (std::optional<Error> E = Reader.finish())
      return Server.reply(Request.Id, badRequest(*E));
    Current = *NewMode;
    Rate = NewRate;
    Server.reply(Request.Id, jsonReply(200, Json::objectValue));
    std::list<std::function<void()>> Resumed = std::move(FrozenSteps);
    FrozenSteps.clear();
    for (std::function<void()> &Step : Resumed)
      Step();
  }

  /// Returns true if the current mode is \p M and its rate selects this
  /// request.
  bool modeApplies(Mode M) {
    return Current == M && std::uniform_real_distribution<>()(Random) < Rate;
  }

  /// Runs \p Step now or, if frozen, when the mode changes. Steps of clients
  /// that have disconnected run too, as they would in a process that was
  /// paused.
  void runUnlessFrozen(std::function<void()> Step) {
    if (modeApplies(Mode::Freeze))
      FrozenSteps.push_back(std::move(Step));
    else
      Step();
  }

  void sendStatus(RequestId Id) {
    Json::Value Body;
    Body["slots"] = Json::Int64(O.Slots);
    Body["accelerators"] = Json::Int64(O.Accelerators);
    Body["leaving"] = Current == Mode::Leaving;
    Server.reply(Id, jsonReply(200, Body));
  }

  void receiveTask(const HttpRequest &Request) {
    Result<Json::Value> Parsed = parseJson(Request.Body);
    if (failed(Parsed))
      return Server.reply(Request.Id, badRequest(errorOf(Parsed)));
    Task T;
    T.Request = Request.Id;
    ObjectReader Reader(valueOf(Parsed), "");
    Reader.string("task", T.Id, 200)
        .string("kind", T.Kind, 200)
        .string("payload", T.Payload, MaxText);
    if (std::optional<Error> E = Reader.finish())
      return Server.reply(Request.Id, badRequest(*E));
    runUnlessFrozen([this, T = std::move(T)] { begin(T); });
  }

  void begin(const Task &T) {
    if (Current == Mode::Leaving)
      return refuse(T, "leaving");
    if (modeApplies(Mode::Refuse) || Running >= O.Slots)
      return refuse(T, "busy");
    if (modeApplies(Mode::CutBeforeStart))
      return Server.drop(T.Request);
    record("start", T);
    if (modeApplies(Mode::FailAll))
      return fail(T);
    ++Running;
    bool Cut = modeApplies(Mode::CutAfterStart);
    Delayed.after(runTime(T), [this, T, Cut] { end(T, Cut); });
  }

  void end(const Task &T, bool Cut) {
    --Running;
    bool Fails = T.Payload.find("fail=1") != std::string::npos;
    if (Cut) {
      record(Fails ? "fail" : "finish", T);
      return Server.drop(T.Request);
    }
    runUnlessFrozen([this, T, Fails] { Fails ? fail(T) : finish(T); });
  }

  void finish(const Task &T) {
    record("finish", T);
    Json::Value Body;
    Body["outcome"] = "finished";
    Body["output"] = "echo:" + T.Payload;
    Server.reply(T.Request, jsonReply(200, Body));
  }

  void fail(const Task &T) {
    record("fail", T);
    Json::Value Body;
    Body["outcome"] = "failed";
    Body["message"] = "the task failed on the stand-in upstream";
    Server.reply(T.Request, jsonReply(500, Body));
  }

  void refuse(const Task &T, const char *Reason) {
    record("refuse", T);
    Json::Value Body;
    Body["outcome"] = "not_run";
    Body["reason"] = Reason;
    Server.reply(T.Request, jsonReply(503, Body));
  }

  Duration runTime(const Task &T) const {
    constexpr std::string_view Key = "run_ms=";
    double BaseMs = 0;
    size_t At = T.Payload.find(Key);
    if (At != std::string::npos) {
      BaseMs = strtod(T.Payload.c_str() + At + Key.size(), nullptr);
    } else {
      // Seeded with the task id, so that the run time does not depend on the
      // order of arrival.
      std::mt19937_64 Draw(XXH64(T.Id.data(), T.Id.size(), O.Seed));
      BaseMs = std::uniform_int_distribution<int>(50, 1000)(Draw);
    }
    if (!(BaseMs >= 0 && BaseMs <= MaxRunMs))
      BaseMs = 0;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(BaseMs / O.Speed));
  }

  void record(const char *Event, const Task &T) {
    if (History < 0)
      return;
    auto Wall = std::chrono::system_clock::now().time_since_epoch();
    Json::Value Line;
    Line["wall_us"] = Json::Int64(
        std::chrono::duration_cast<std::chrono::microseconds>(Wall).count());
    Line["upstream"] = Endpoint.Value;
    Line["event"] = Event;
    Line["task"] = T.Id;
    Line["kind"] = T.Kind;
    Line["leaving"] = Current == Mode::Leaving;
    std::string Text = writeJson(Line) + "\n";
    // The process exits rather than write a history with gaps, which could hide
    // a second start of a task.
    if (write(History, Text.data(), Text.size()) !=
        static_cast<ssize_t>(Text.size())) {
      fprintf(stderr, "upstream: can't write history %s; free disk space\n",
              O.History.c_str());
      _exit(1);
    }
  }

  Options O;
  Mode Current;
  double Rate;
  std::mt19937_64 Random;
  EventLoop Loop;
  HttpServer Server;
  DelayedCalls Delayed;
  Address Endpoint;
  int History = -1;
  int64_t Running = 0;
  std::list<std::function<void()>> FrozenSteps;
};

constexpr char Help[] =
    "usage: standin-upstream [--listen IP:port] [--slots N]\n"
    "  [--accelerators N] [--speed X] [--seed N] [--history FILE]\n"
    "  [--idle-timeout-ms N] [--mode NAME] [--rate 0.0-1.0]\n"
    "modes: normal fail_all refuse cut_before_start cut_after_start freeze\n"
    "  leaving\n"
    "The idle timeout is rounded up to whole seconds.\n";

/// Stores one option. Returns false if its value is invalid.
bool readOption(int Code, const char *Text, Options &O) {
  auto ReadInteger = [Text](auto &Out, int64_t Min, int64_t Max) {
    std::optional<int64_t> Value = parseInteger(Text, Min, Max);
    if (Value)
      Out = static_cast<std::decay_t<decltype(Out)>>(*Value);
    return Value.has_value();
  };
  auto ReadReal = [Text](double &Out, double Min, double Max) {
    std::optional<double> Value = parseReal(Text, Min, Max);
    Out = Value.value_or(Out);
    return Value.has_value();
  };
  switch (Code) {
  case 'l':
    O.Listen.Value = Text;
    return true;
  case 's':
    return ReadInteger(O.Slots, 1, 100000);
  case 'a':
    return ReadInteger(O.Accelerators, 0, 100000);
  case 'x':
    return ReadReal(O.Speed, 0.001, 1000);
  case 'e':
    return ReadInteger(O.Seed, 0, INT64_MAX);
  case 'h':
    O.History = Text;
    return true;
  case 'i':
    return ReadInteger(O.IdleTimeout, 1, 3'600'000);
  case 'm':
    O.StartMode = parseMode(Text).value_or(Mode::Normal);
    return parseMode(Text).has_value();
  case 'r':
    return ReadReal(O.Rate, 0, 1);
  default:
    return false;
  }
}

} // namespace

} // namespace snipeshunt

int main(int Argc, char **Argv) {
  using namespace snipeshunt;
  static const option Names[] = {
      {"listen", required_argument, nullptr, 'l'},
      {"slots", required_argument, nullptr, 's'},
      {"accelerators", required_argument, nullptr, 'a'},
      {"speed", required_argument, nullptr, 'x'},
      {"seed", required_argument, nullptr, 'e'},
      {"history", required_argument, nullptr, 'h'},
      {"idle-timeout-ms", required_argument, nullptr, 'i'},
      {"mode", required_argument, nullptr, 'm'},
      {"rate", required_argument, nullptr, 'r'},
      {nullptr, 0, nullptr, 0}};
  Options O;
  for (int Code; (Code = getopt_long(Argc, Argv, "", Names, nullptr)) != -1;)
    if (!readOption(Code, optarg, O)) {
      fputs(Help, stderr);
      return 2;
    }
  return Upstream(std::move(O)).run();
}
