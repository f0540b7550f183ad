/// \file Read-only views of an instance, as JSON.
#ifndef SNIPESHUNT_DAEMON_VIEW_FUNC_H
#define SNIPESHUNT_DAEMON_VIEW_FUNC_H

#include "http/http_client.h"
#include "reducer/state_base.h"
#include "timeline/timeline_func.h"

#include <json/json.h>

namespace snipeshunt {

/// Answer of `GET /v1/instances`.
Json::Value instancesView(const InstanceState &State, SteadyTime Now);
/// Answer of `GET /v1/upstreams`.
Json::Value upstreamsView(const InstanceState &State);
/// Answer of `GET /v1/configuration`.
Json::Value configurationView(const InstanceState &State, SteadyTime Now);

/// Client options with this instance's own IP as the source of connections.
HttpClientOptions clientOptions(const DaemonSettings &Settings,
                                size_t MaxConnections);

} // namespace snipeshunt

#endif // SNIPESHUNT_DAEMON_VIEW_FUNC_H
