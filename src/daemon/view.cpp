/// \file JSON bodies of the read-only requests to an instance.
#include "daemon/view_func.h"

#include "http/http_address.h"
#include "tickets/ticket_func.h"
#include "upstreams/upstream_cmd.h"

namespace snipeshunt {

namespace {

const char *memberStateName(const Member &M) {
  switch (M.Health) {
  case MemberHealth::NeverHeard:
    return "never_heard";
  case MemberHealth::Suspect:
    return "suspect";
  case MemberHealth::Dead:
    return M.State == MemberState::Left ? "left" : "dead";
  case MemberHealth::Alive:
    break;
  }
  switch (M.State) {
  case MemberState::Joining:
    return "joining";
  case MemberState::Live:
    return "live";
  case MemberState::Draining:
    return "draining";
  case MemberState::Left:
    return "left";
  }
  return "live";
}

Json::Value memberView(const Member &M) {
  Json::Value V(Json::objectValue);
  V["address"] = M.Location.Endpoint.Value;
  V["data_centre"] = M.Location.Centre.Value;
  V["incarnation"] = incarnationText(M.Incarnation);
  V["state"] = memberStateName(M);
  V["free_slots"] = M.Load.FreeSlots;
  V["waiting_tasks"] = M.Load.WaitingTasks;
  V["configuration_revision"] = Json::UInt64(M.ConfigurationRevision.Value);
  return V;
}

const char *upstreamState(const Upstream &U) {
  if (U.Leaving)
    return "leaving";
  if (U.Probing)
    return "probing";
  if (U.Owned && !U.StatusReadAt)
    return "status_unknown";
  return "usable";
}

} // namespace

Json::Value instancesView(const InstanceState &State, SteadyTime Now) {
  Member Self;
  Self.Location = {State.Settings.Advertise, State.Settings.Centre};
  Self.Incarnation = State.Incarnation;
  Self.State = State.Members.OwnState;
  Self.Health = MemberHealth::Alive;
  Self.Load = currentLoad(State, Now);
  Self.ConfigurationRevision = State.Configuration.InForceRevision;
  Json::Value V(Json::objectValue);
  V["instances"].append(memberView(Self));
  for (const auto &[Endpoint, M] : State.Members.Members)
    V["instances"].append(memberView(M));
  return V;
}

Json::Value upstreamsView(const InstanceState &State) {
  Json::Value V(Json::objectValue);
  V["upstreams"] = Json::Value(Json::arrayValue);
  for (const auto &[Endpoint, U] : State.Upstreams.All) {
    Json::Value Record(Json::objectValue);
    Record["address"] = Endpoint.Value;
    Record["data_centre"] = U.Listed.Centre.Value;
    Record["sender"] = U.Sender.Value;
    Record["slots"] = U.Listed.Slots;
    Record["busy"] = U.SlotsInUse;
    Record["speed"] = U.Speed;
    Record["state"] = upstreamState(U);
    V["upstreams"].append(std::move(Record));
  }
  return V;
}

Json::Value configurationView(const InstanceState &State, SteadyTime Now) {
  const ConfigurationState &C = State.Configuration;
  Json::Value V(Json::objectValue);
  V["revision"] = Json::UInt64(C.InForceRevision.Value);
  V["in_force_ms"] = Json::Int64(
      C.InForceRevision.Value == 0 ? 0 : toMilliseconds(Now - C.Since));
  V["text"] = C.InForceText;
  V["watching"] = State.WatchesConfiguration;
  V["platform_reachable"] = State.Members.PlatformReachable;
  if (C.LastRejected) {
    V["rejected"]["revision"] = Json::UInt64(C.RejectedRevision.Value);
    V["rejected"]["message"] = C.LastRejected->Message;
    V["rejected"]["remedy"] = C.LastRejected->Remedy;
  }
  return V;
}

HttpClientOptions clientOptions(const DaemonSettings &Settings,
                                size_t MaxConnections) {
  HttpClientOptions Options;
  Result<HostPort> Own = parseAddress(Settings.Listen);
  if (!failed(Own) && valueOf(Own).Host != "0.0.0.0")
    Options.LocalIp = valueOf(Own).Host;
  Options.MaxConnectionsPerTarget = MaxConnections;
  Options.MaxReplyBody =
      static_cast<size_t>(Settings.Limits.MaxAnswerBytes) * 2;
  return Options;
}

} // namespace snipeshunt
