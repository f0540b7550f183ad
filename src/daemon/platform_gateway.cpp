/// \file Calls to the platform: list of instances and upstreams, configuration.
#include "daemon/platform_gateway.h"

#include "core/json_func.h"
#include "daemon/log.h"
#include "daemon/view_func.h"

namespace snipeshunt {

namespace {

// The platform updates its list with a delay of seconds, so reading it more
// often has no benefit.
constexpr Duration ListPeriod = std::chrono::seconds(1);
constexpr Duration ListTimeout = std::chrono::seconds(3);
constexpr size_t MaxRecords = 20000;
constexpr size_t MaxNameBytes = 128;

/// Calls \p Read for each object of the array \p Name. Errors are reported to
/// \p Reader.
void forEachRecord(ObjectReader &Reader, const char *Name,
                   const std::function<void(ObjectReader &)> &Read) {
  const Json::Value *List = Reader.array(Name, MaxRecords);
  if (!List)
    return;
  for (const Json::Value &Item : *List) {
    ObjectReader Record(Item, Name);
    Read(Record);
    if (std::optional<Error> Problem = Record.finish())
      Reader.fail(*Problem);
  }
}

} // namespace

Result<PlatformListRead> readListReply(std::string_view Body) {
  Result<Json::Value> Parsed = parseJson(Body);
  if (failed(Parsed))
    return errorOf(Parsed);
  PlatformListRead List;
  ObjectReader Reader(valueOf(Parsed), "");
  forEachRecord(Reader, "instances", [&](ObjectReader &Record) {
    MemberAddress Member;
    std::string State;
    Record.string("address", Member.Endpoint.Value, MaxNameBytes)
        .string("data_centre", Member.Centre.Value, MaxNameBytes)
        .string("state", State, MaxNameBytes);
    if (State == "leaving")
      List.LeavingInstances.push_back(Member.Endpoint);
    else
      List.Instances.push_back(std::move(Member));
  });
  forEachRecord(Reader, "upstreams", [&](ObjectReader &Record) {
    ListedUpstream U;
    std::string State;
    int64_t Slots = 0;
    int64_t Accelerators = 0;
    Record.string("address", U.Endpoint.Value, MaxNameBytes)
        .string("data_centre", U.Centre.Value, MaxNameBytes)
        .string("state", State, MaxNameBytes)
        .integer("slots", Slots, 0, 1024)
        .integer("accelerators", Accelerators, 0, 1024);
    U.Slots = static_cast<uint32_t>(Slots);
    U.Accelerators = static_cast<uint32_t>(Accelerators);
    U.Leaving = State == "leaving";
    List.Upstreams.push_back(std::move(U));
  });
  if (std::optional<Error> Problem = Reader.finish())
    return *Problem;
  return List;
}

PlatformGateway::PlatformGateway(Daemon &Owner)
    : Owner(Owner),
      Client(Owner.loop(), clientOptions(Owner.state().Settings, 4)),
      ListTimer(Owner.loop(), [this] { pollList(); }), Watch(Owner, Client) {
  ListTimer.startOnce(Duration::zero());
  if (!Owner.state().Settings.Platform)
    return;
  Owner.effects().on<WatchConfiguration>().connect(
      [this](const WatchConfiguration &E) { Watch.enable(E.Enabled); });
}

void PlatformGateway::pollList() {
  if (!Owner.state().Settings.Platform) {
    // An instance without a platform must not be selected as the watcher.
    Owner.dispatch(PlatformReachabilityObserved{false});
    return;
  }
  HttpCall Call;
  Call.Target = *Owner.state().Settings.Platform;
  Call.Path = "/v1/instances";
  Call.Timeout = ListTimeout;
  Client.send(std::move(Call), [this](const HttpOutcome &Outcome) {
    // Without a reply, the last list remains in use.
    if (auto *Reply = std::get_if<HttpReply>(&Outcome);
        Reply && Reply->Status == 200) {
      Result<PlatformListRead> List = readListReply(Reply->Body);
      if (failed(List))
        SNIPESHUNT_LOG(WARNING, "platform")
            << "list of instances and upstreams can't be decoded: "
            << errorOf(List).Message << ".";
      else
        Owner.dispatch(std::move(valueOf(List)));
    } else {
      Watch.verifyPlatform();
    }
    ListTimer.startOnce(ListPeriod);
  });
}

} // namespace snipeshunt
