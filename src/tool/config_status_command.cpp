/// \file Subcommand that compares the configuration of all instances.
#include "core/json_func.h"
#include "tool/api_client.h"
#include "tool/commands.h"
#include "tool_support/tool_config.h"

#include <algorithm>
#include <iostream>

namespace snipeshunt {

namespace {

/// Returns the JSON object in the body of a reply with status 200, otherwise
/// null.
Json::Value objectOf(const HttpOutcome &Outcome) {
  const auto *Reply = std::get_if<HttpReply>(&Outcome);
  if (!Reply || Reply->Status != 200)
    return Json::Value();
  Result<Json::Value> Body = parseJson(Reply->Body);
  bool Usable = !failed(Body) && valueOf(Body).isObject();
  return Usable ? valueOf(Body) : Json::Value();
}

} // namespace

ToolExit runConfigStatus(const ToolArguments &Arguments) {
  ApiClient Client(Arguments);
  std::vector<Address> All = Arguments.Instances;
  for (const HttpOutcome &Outcome :
       Client.getAll(Arguments.Instances, "/v1/instances"))
    for (Address &Listed : presentInstances(objectOf(Outcome)))
      if (std::find(All.begin(), All.end(), Listed) == All.end())
        All.push_back(std::move(Listed));
  std::vector<HttpOutcome> Outcomes = Client.getAll(All, "/v1/configuration");
  std::vector<ConfigurationStatus> Rows;
  for (size_t I = 0; I < All.size(); ++I)
    Rows.push_back(readConfigurationStatus(All[I], objectOf(Outcomes[I])));
  std::cout << formatConfigurationStatus(Rows, Arguments.Json);
  if (std::none_of(Rows.begin(), Rows.end(),
                   [](const auto &Row) { return Row.Reachable; }))
    return fail(ToolExit::Unreachable, "no instance answered",
                "check that the instances run, or give others by --instance");
  if (!haveSameRevision(Rows))
    return fail(ToolExit::Failed,
                "the instances do not all have the same revision in force",
                "repeat the command; if an instance stays behind, see its "
                "rejected document or its log");
  return ToolExit::Success;
}

} // namespace snipeshunt
