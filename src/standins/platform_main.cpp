/// \file `standin-platform`: stand-in for the platform's key-value service and
/// for its list of instances and upstreams, which is updated with a lag.
///
/// Difference from etcd: a watch ends with its first reply, whereas etcd's
/// gateway streams further replies. The client watches again from the revision
/// after the last one that it has received.
#include "standins/kv_codec.h"
#include "standins/standin_func.h"

#include <getopt.h>

#include <cstdio>
#include <random>

namespace snipeshunt {

namespace {

constexpr auto WatchLimit = std::chrono::seconds(60);
constexpr auto ExpiryCheck = std::chrono::milliseconds(100);

/// The command line.
struct Options {
  Address Listen{"127.0.0.1:0"};
  uint64_t Seed = 1; ///< Of the lease ids.
  /// Time from a change of the list until it is served.
  std::chrono::milliseconds ListLag{2000};
};

/// Faults that are in effect, set by `POST /v1/faults`.
struct Faults {
  bool Outage = false; ///< Close every connection without an answer.
  std::chrono::milliseconds Delay{0}; ///< Before a call is handled.
  bool LoseAnswers = false; ///< Changes take effect but are not answered.
};

/// A watch without events so far.
struct PendingWatch {
  KvWatch Requested;
  SteadyTime Deadline; ///< Answered at this time without events.
};

HttpServerLimits limits() {
  HttpServerLimits Limits;
  // Large enough for a transaction with two values of 1 MB in base64.
  Limits.MaxBody = 4 << 20;
  // Longer than `WatchLimit`, for which a watch is held.
  Limits.Timeout = std::chrono::seconds(90);
  return Limits;
}

HttpReply kvError(const Error &E) {
  // gRPC codes for "not found" and "invalid argument".
  const bool Missing = E.Kind == ErrorKind::NotFound;
  Json::Value Body;
  Body["error"] = E.Message;
  Body["message"] = E.Message + "; " + E.Remedy;
  Body["code"] = Missing ? 5 : 3;
  return jsonReply(Missing ? 404 : 400, Body);
}

Error leaseNotFound() {
  return {ErrorKind::NotFound, "etcdserver: requested lease not found",
          "grant a new lease"};
}

class Platform {
public:
  explicit Platform(Options Given)
      : O(std::move(Given)), Random(O.Seed), Server(Loop, limits()),
        Delayed(Loop), Expiry(Loop, [this] { expire(); }) {
    List["instances"] = Json::arrayValue;
    List["upstreams"] = Json::arrayValue;
  }

  int run() {
    Server.RequestReceived.connect(
        [this](const HttpRequest &Request) { handle(Request); });
    Server.RequestClosed.connect([this](RequestId Id) { Watches.erase(Id); });
    Expiry.startPeriodic(ExpiryCheck);
    if (!startListening(Server, O.Listen, "platform"))
      return 1;
    runUntilSignal(Loop);
    return 0;
  }

private:
  using Handler = void (Platform::*)(RequestId, const Json::Value &);
  struct Call {
    const char *Method;
    const char *Path;
    const char *Name; ///< Key in the counts.
    Handler Handle;
  };

  void handle(const HttpRequest &Request) {
    static const Call Calls[] = {
        {"POST", "/v3/kv/range", "range", &Platform::range},
        {"POST", "/v3/kv/put", "put", &Platform::put},
        {"POST", "/v3/kv/deleterange", "deleterange", &Platform::deleteRange},
        {"POST", "/v3/kv/txn", "txn", &Platform::txn},
        {"POST", "/v3/lease/grant", "lease_grant", &Platform::grant},
        {"POST", "/v3/lease/keepalive", "lease_keepalive",
         &Platform::keepAlive},
        {"POST", "/v3/lease/revoke", "lease_revoke", &Platform::revoke},
        {"POST", "/v3/watch", "watch", &Platform::watch},
        {"GET", "/v1/instances", "instances", &Platform::instances},
    };
    for (const Call &C : Calls)
      if (Request.Method == C.Method && Request.Path == C.Path) {
        ++Counts[C.Name];
        return handleCall(Request, C.Handle);
      }
    control(Request);
  }

  /// Handles a call after the configured delay, or closes its connection during
  /// an outage.
  void handleCall(const HttpRequest &Request, Handler Handle) {
    auto Step = [this, Id = Request.Id, Body = Request.Body, Handle] {
      if (Current.Outage)
        return Server.drop(Id);
      Store.expireLeases(std::chrono::steady_clock::now());
      Result<Json::Value> Parsed =
          Body.empty() ? Json::Value(Json::objectValue) : parseJson(Body);
      if (failed(Parsed))
        return Server.reply(Id, kvError(errorOf(Parsed)));
      (this->*Handle)(Id, valueOf(Parsed));
      answerWatches();
    };
    if (Current.Delay.count() > 0)
      Delayed.after(Current.Delay, std::move(Step));
    else
      Step();
  }

  void control(const HttpRequest &Request) {
    const bool Post = Request.Method == "POST";
    if (!Post && Request.Path == "/v1/calls")
      return sendCounts(Request.Id);
    if (!Post || (Request.Path != "/v1/list" && Request.Path != "/v1/faults"))
      return Server.reply(Request.Id, unknownPath());
    Result<Json::Value> Parsed = parseJson(Request.Body);
    std::optional<Error> Problem;
    if (failed(Parsed))
      Problem = errorOf(Parsed);
    else if (Request.Path == "/v1/list")
      Problem = changeList(valueOf(Parsed));
    else
      Problem = changeFaults(valueOf(Parsed));
    Server.reply(Request.Id, Problem ? badRequest(*Problem)
                                     : jsonReply(200, Json::objectValue));
  }

  void sendCounts(RequestId Id) {
    Json::Value Body(Json::objectValue);
    for (const auto &[Name, Count] : Counts)
      Body[Name] = Json::UInt64(Count);
    Server.reply(Id, jsonReply(200, Body));
  }

  std::optional<Error> changeList(const Json::Value &Body) {
    ObjectReader Reader(Body, "");
    Reader.array("instances", 10000);
    Reader.array("upstreams", 10000);
    if (std::optional<Error> E = Reader.finish())
      return E;
    if (O.ListLag.count() == 0)
      List = Body;
    else
      Delayed.after(O.ListLag, [this, Body] { List = Body; });
    return std::nullopt;
  }

  /// Replaces all faults; those that the body omits are off.
  std::optional<Error> changeFaults(const Json::Value &Body) {
    Faults New;
    int64_t DelayMs = 0;
    ObjectReader Reader(Body, "");
    Reader.optionalBoolean("outage", New.Outage)
        .optionalInteger("delay_ms", DelayMs, 0, 600'000)
        .optionalBoolean("lose_answers", New.LoseAnswers);
    if (std::optional<Error> E = Reader.finish())
      return E;
    New.Delay = std::chrono::milliseconds(DelayMs);
    Current = New;
    if (Current.Outage) {
      for (const auto &[Id, W] : Watches)
        Server.drop(Id);
      Watches.clear();
    }
    return std::nullopt;
  }

  void answerChange(RequestId Id, const HttpReply &Reply) {
    if (Current.LoseAnswers)
      Server.drop(Id);
    else
      Server.reply(Id, Reply);
  }

  Result<KvResult> runStep(const Json::Value &Body, KvOperation::Type Kind) {
    Result<KvOperation> Step = readOperation(Body, Kind);
    if (failed(Step))
      return errorOf(Step);
    return Store.run(valueOf(Step));
  }

  HttpReply stepReply(const Result<KvResult> &Out) const {
    if (failed(Out))
      return kvError(errorOf(Out));
    return jsonReply(200, writeResult(valueOf(Out), Store.revision()));
  }

  void range(RequestId Id, const Json::Value &Body) {
    Server.reply(Id, stepReply(runStep(Body, KvOperation::Type::Range)));
  }

  void put(RequestId Id, const Json::Value &Body) {
    answerChange(Id, stepReply(runStep(Body, KvOperation::Type::Put)));
  }

  void deleteRange(RequestId Id, const Json::Value &Body) {
    answerChange(Id, stepReply(runStep(Body, KvOperation::Type::Delete)));
  }

  void txn(RequestId Id, const Json::Value &Body) {
    Result<KvTxn> Txn = readTxn(Body);
    if (failed(Txn))
      return answerChange(Id, kvError(errorOf(Txn)));
    const KvTxn &T = valueOf(Txn);
    Result<KvTxnResult> Out = Store.txn(T.Conditions, T.Success, T.Failure);
    if (failed(Out))
      return answerChange(Id, kvError(errorOf(Out)));
    answerChange(
        Id, jsonReply(200, writeTxnResult(valueOf(Out), Store.revision())));
  }

  void grant(RequestId Id, const Json::Value &Body) {
    Result<KvLease> Lease = readLease(Body, /*Grant=*/true);
    if (failed(Lease))
      return answerChange(Id, kvError(errorOf(Lease)));
    KvLease &L = valueOf(Lease);
    if (L.Id == 0)
      L.Id = std::uniform_int_distribution<int64_t>(1, INT64_MAX)(Random);
    std::chrono::seconds Ttl(L.TtlSeconds);
    if (!Store.grantLease(L.Id, Ttl, std::chrono::steady_clock::now()))
      return answerChange(Id, kvError({ErrorKind::InvalidField,
                                       "etcdserver: lease already exists",
                                       "choose another ID"}));
    answerChange(Id, jsonReply(200, writeLease(L.Id, Ttl, Store.revision())));
  }

  void keepAlive(RequestId Id, const Json::Value &Body) {
    Result<KvLease> Lease = readLease(Body, /*Grant=*/false);
    if (failed(Lease))
      return answerChange(Id, kvError(errorOf(Lease)));
    int64_t LeaseId = valueOf(Lease).Id;
    // As in etcd, the answer for a lease that does not exist has no TTL.
    auto Ttl = Store.keepLeaseAlive(LeaseId, std::chrono::steady_clock::now())
                   .value_or(std::chrono::seconds(0));
    Json::Value Out;
    Out["result"] = writeLease(LeaseId, Ttl, Store.revision());
    answerChange(Id, jsonReply(200, Out));
  }

  void revoke(RequestId Id, const Json::Value &Body) {
    Result<KvLease> Lease = readLease(Body, /*Grant=*/false);
    if (failed(Lease))
      return answerChange(Id, kvError(errorOf(Lease)));
    if (!Store.revokeLease(valueOf(Lease).Id))
      return answerChange(Id, kvError(leaseNotFound()));
    Json::Value Out;
    Out["header"] = writeHeader(Store.revision());
    answerChange(Id, jsonReply(200, Out));
  }

  void watch(RequestId Id, const Json::Value &Body) {
    Result<KvWatch> Requested = readWatch(Body);
    if (failed(Requested))
      return Server.reply(Id, kvError(errorOf(Requested)));
    KvWatch &W = valueOf(Requested);
    if (W.StartRevision == 0)
      W.StartRevision = Store.revision() + 1;
    Watches[Id] = {W, std::chrono::steady_clock::now() + WatchLimit};
  }

  void instances(RequestId Id, const Json::Value &) {
    Server.reply(Id, jsonReply(200, List));
  }

  void answerWatches() {
    const SteadyTime Now = std::chrono::steady_clock::now();
    for (auto It = Watches.begin(); It != Watches.end();) {
      KvWatch &W = It->second.Requested;
      KvChanges Found = Store.changes(W.Keys, W.StartRevision);
      if (Found.Events.empty() && Found.CompactedUpTo == 0 &&
          Now < It->second.Deadline) {
        // No event up to the current revision matches. The watch moves on, so
        // that discarding these events later does not count as a gap.
        W.StartRevision = std::max(W.StartRevision, Store.revision() + 1);
        ++It;
        continue;
      }
      Server.reply(It->first,
                   jsonReply(200, writeChanges(Found, Store.revision())));
      It = Watches.erase(It);
    }
  }

  void expire() {
    Store.expireLeases(std::chrono::steady_clock::now());
    answerWatches();
  }

  Options O;
  std::mt19937_64 Random;
  EventLoop Loop;
  HttpServer Server;
  DelayedCalls Delayed;
  Timer Expiry;
  KvStore Store;
  Faults Current;
  Json::Value List;
  std::map<RequestId, PendingWatch> Watches;
  std::map<std::string, uint64_t> Counts;
};

constexpr char Help[] =
    "usage: standin-platform [--listen IP:port] [--seed N]\n"
    "  [--list-lag-ms N]\n";

/// Stores one option. Returns false if its value is invalid.
bool readOption(int Code, const char *Text, Options &O) {
  std::optional<int64_t> Number = parseInteger(Text ? Text : "", 0, INT64_MAX);
  switch (Code) {
  case 'l':
    O.Listen.Value = Text;
    return true;
  case 'e':
    O.Seed = static_cast<uint64_t>(Number.value_or(0));
    return Number.has_value();
  case 'g':
    O.ListLag = std::chrono::milliseconds(Number.value_or(0));
    return Number && *Number <= 3'600'000;
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
      {"seed", required_argument, nullptr, 'e'},
      {"list-lag-ms", required_argument, nullptr, 'g'},
      {nullptr, 0, nullptr, 0}};
  Options O;
  for (int Code; (Code = getopt_long(Argc, Argv, "", Names, nullptr)) != -1;)
    if (!readOption(Code, optarg, O)) {
      fputs(Help, stderr);
      return 2;
    }
  return Platform(std::move(O)).run();
}
