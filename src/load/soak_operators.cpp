/// \file Operators that change the configuration during a soak test.
#include "load/soak_operators.h"

#include "configuration/configuration_func.h"
#include "configuration/etcd_func.h"
#include "core/json_func.h"

#include <algorithm>

namespace snipeshunt {

namespace {

std::string changeId(uint64_t Number) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Text.push_back(Digits[(Number >> Shift) & 15]);
  return Text;
}

Result<std::string> send(const Address &Endpoint, const EtcdRequest &Request) {
  return postText(Endpoint, Request.Path, Request.Body);
}

Revision revisionInForce(const Address &Instance) {
  Result<std::string> Text = getText(Instance, "/v1/configuration");
  if (failed(Text))
    return {};
  Result<Json::Value> Parsed = parseJson(valueOf(Text));
  if (failed(Parsed) || !valueOf(Parsed)["revision"].isUInt64())
    return {};
  return {valueOf(Parsed)["revision"].asUInt64()};
}

} // namespace

bool SoakOperators::race() {
  Result<std::string> Text = send(F.platform(), rangeRequest(ConfigurationKey));
  if (failed(Text))
    return false;
  Result<EtcdRangeReply> Reply = parseRangeReply(valueOf(Text));
  if (failed(Reply))
    return false;
  const std::optional<EtcdValue> &Found = valueOf(Reply).Found;
  std::string OldText = Found ? Found->Value : "";
  Revision Old = Found ? Found->ModRevision : Revision{};
  // An earlier change may have been accepted although its answer was lost.
  HighestRevision = std::max(HighestRevision, Old);
  ++Races;
  bool First = tryChange(OldText, Old, 5000);
  bool Second = tryChange(OldText, Old, 6000);
  if (First && Second)
    ++BothAccepted;
  return true;
}

bool SoakOperators::tryChange(const std::string &OldText, Revision Old,
                              int64_t Quota) {
  Configuration Before;
  if (!OldText.empty()) {
    Result<Configuration> Parsed = parseConfiguration(OldText);
    if (failed(Parsed))
      return false;
    Before = valueOf(Parsed);
  }
  Configuration After = Before;
  After.Defaults.DefaultTeamQuotaTasks = Quota;
  After.Change = {ChangeId{changeId(Random())}, "soak", "2026-01-01T00:00:00Z"};
  Result<std::string> Text =
      send(F.platform(), swapRequest(Before, Old, After));
  if (failed(Text))
    return false;
  Result<EtcdSwapReply> Reply = parseSwapReply(valueOf(Text));
  if (failed(Reply) || valueOf(Reply).Outcome != SwapOutcome::Swapped)
    return false;
  HighestRevision = std::max(HighestRevision, valueOf(Reply).StoreRevision);
  return true;
}

size_t SoakOperators::countOutdated(Duration Limit) const {
  SteadyTime End = std::chrono::steady_clock::now() + Limit;
  size_t Outdated = 0;
  for (size_t I = 0; I < F.instances(); ++I) {
    auto InForce = [&] {
      return !(revisionInForce(F.directInstance(I)) < HighestRevision);
    };
    Duration Left = End - std::chrono::steady_clock::now();
    if (!Fleet::waitUntil(InForce, std::max(Left, Duration::zero())))
      ++Outdated;
  }
  return Outdated;
}

} // namespace snipeshunt
